package replication

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
)

type follower struct {
	disk          string
	acked         peerapi.LogPosition
	isKnown       bool
	isBusy        bool
	needsSnapshot bool
	sentAt        time.Duration
	lastContact   time.Duration
	leaseUntil    time.Duration
	wallOffset    int64
	hasWall       bool
	delay         time.Duration
	hasDelay      bool
	transfer      *snapshotTransfer
	nextChunk     int
	isOld         bool
}

func (e *Engine) follow(disk string) *follower {
	one := e.followers[disk]
	if one == nil {
		one = &follower{disk: disk, lastContact: e.clock.Steady()}
		e.followers[disk] = one
	}
	return one
}

func (e *Engine) inOrder() []*follower {
	all := make([]*follower, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		all = append(all, e.followers[disk])
	}
	return all
}

func (e *Engine) push() {
	for _, one := range e.inOrder() {
		e.send(one, false)
	}
}

func (e *Engine) send(one *follower, isBeat bool) {
	if one.isBusy {
		return
	}
	call := peerapi.AppendCall{Key: e.key, Epoch: e.epoch, Owner: e.name, Disk: e.disk, Prev: one.acked}
	getsWhole := one.needsSnapshot && e.clock.Steady()-one.lastContact < e.timing.LostAfter
	if getsWhole {
		packed := e.transferFor(one)
		if packed == nil {
			return
		}
		call.Prev = packed.snapshot.Last
		if packed.count() > 1 && !one.isOld {
			call.Chunk = packed.chunk(one.nextChunk)
			e.launch(one, call)
			return
		}
		call.Snapshot = &packed.snapshot
	}
	if one.isKnown || getsWhole {
		changes, isThere := e.after(call.Prev)
		if !isThere {
			one.isKnown, one.needsSnapshot = false, true
			return
		}
		call.Changes = changes
	} else {
		isBeat = true
	}
	if len(call.Changes) == 0 && call.Snapshot == nil && !isBeat {
		return
	}
	e.launch(one, call)
}

func (e *Engine) launch(one *follower, call peerapi.AppendCall) {
	one.isBusy, one.sentAt = true, e.clock.Steady()
	attempt, sentAt := e.attempt, one.sentAt
	e.links.Append(one.disk, call, func(answer peerapi.AppendAnswer, err error) {
		if e.attempt != attempt {
			return
		}
		one.isBusy = false
		if err != nil {
			return
		}
		e.handleAppendAnswer(one, call, answer, sentAt)
	})
}

func (e *Engine) handleAppendAnswer(one *follower, call peerapi.AppendCall, answer peerapi.AppendAnswer, sentAt time.Duration) {
	now := e.clock.Steady()
	if answer.Disk != one.disk {
		return
	}
	if answer.Promised > e.epoch {
		e.highest = max(e.highest, answer.Promised)
		e.stepDown("a higher epoch was promised")
		return
	}
	if e.followers[one.disk] != one {
		return
	}
	one.lastContact = now
	one.leaseUntil = max(one.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	if len(call.Changes) > 0 {
		e.noteDelay(one, answer, now-sentAt)
	}
	one.wallOffset, one.hasWall = answer.WallMs-pulse.InMs(sentAt+(now-sentAt)/2), true
	_, isNear := e.after(answer.Last)
	switch {
	case answer.Taken || isNear:
		one.isKnown, one.needsSnapshot, one.acked, one.transfer = true, false, answer.Last, nil
	case call.Chunk != nil:
		e.noteChunkAnswer(one, call, answer)
	default:
		one.isKnown, one.needsSnapshot, one.acked = false, true, answer.Last
	}
	e.advance()
	if e.phase == phaseLeading || e.phase == phaseOpening {
		e.send(one, false)
	}
}
