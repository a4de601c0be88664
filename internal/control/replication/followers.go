package replication

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// mostRenewals is how many heartbeats may be under way to a follower beside a call. Some are needed where an answer takes
// longer than the pause between two heartbeats; with one alone the lease would end before it can be renewed.
const mostRenewals = 3

// failuresBeforePause is how many calls in a row a follower may leave without effect before the leader pauses.
const failuresBeforePause = 2

// follower is what the leader knows of a disk that it sends changes to: a voter or a learner, its own disk too.
type follower struct {
	disk string
	// acked is the position that the disk has said it holds; it counts only while isKnown.
	acked         wire.LogPosition
	isKnown       bool
	needsSnapshot bool

	// isBusy tells that a call is under way, renewals how many heartbeats are under way beside it.
	isBusy   bool
	renewals int
	sentAt   time.Duration
	// failures counts calls in a row that brought the follower no further; before pausedUntil it gets heartbeats only.
	failures    int
	pausedUntil time.Duration

	// lastContact is the last answer other than to a heartbeat beside a call, so that a disk that hangs counts as silent.
	lastContact time.Duration
	leaseUntil  time.Duration
	wallOffset  int64
	hasWall     bool
	delay       time.Duration
	hasDelay    bool

	transfer  *snapshotTransfer
	nextChunk int
	// mayLack is what is kept for it beyond the usual, from the begin of a transfer until it has caught up.
	mayLack allowance
	isOld   bool

	// isLeaving tells that its process is about to end.
	isLeaving bool
}

// follow gives the follower of a disk, from now on if there is none yet.
func (e *Engine) follow(disk string) *follower {
	known := e.followers[disk]
	if known == nil {
		known = &follower{disk: disk, lastContact: e.clock.Monotonic()}
		e.followers[disk] = known
	}
	return known
}

func (e *Engine) inOrder() []*follower {
	all := make([]*follower, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		all = append(all, e.followers[disk])
	}
	return all
}

// push sends every follower what it lacks.
func (e *Engine) push() {
	for _, to := range e.inOrder() {
		e.send(to, false)
	}
}

// send gives a follower the changes or the snapshot that it lacks; a heartbeat goes out even if it lacks nothing.
func (e *Engine) send(to *follower, isHeartbeat bool) {
	if to.isBusy || !isHeartbeat && e.clock.Monotonic() < to.pausedUntil {
		return
	}
	call := e.appendCall()
	call.Prev = to.acked
	getsSnapshot := to.needsSnapshot && e.clock.Monotonic()-to.lastContact < e.timing.LostAfter
	if getsSnapshot {
		transfer := e.transferFor(to)
		if transfer == nil {
			if isHeartbeat {
				e.launch(to, call)
			}
			return
		}
		call.Prev = transfer.snapshot.Last
		if transfer.count() > 1 && !to.isOld {
			call.Chunk = transfer.chunk(to.nextChunk)
			e.launch(to, call)
			return
		}
		call.Snapshot = &transfer.snapshot
	}
	if to.isKnown || getsSnapshot {
		changes, isThere := e.after(call.Prev)
		if !isThere {
			to.isKnown, to.needsSnapshot = false, true
			return
		}
		call.Changes = changes
	} else {
		isHeartbeat = true
	}
	if len(call.Changes) == 0 && call.Snapshot == nil && !isHeartbeat {
		return
	}
	e.launch(to, call)
}

func (e *Engine) appendCall() wire.AppendCall {
	return wire.AppendCall{Key: e.key, Epoch: e.epoch, Owner: e.name, Disk: e.disk}
}

func (e *Engine) launch(to *follower, call wire.AppendCall) {
	to.isBusy, to.sentAt = true, e.clock.Monotonic()
	attempt, sentAt := e.attempt, to.sentAt
	e.links.Append(to.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.attempt != attempt {
			return
		}
		to.isBusy = false
		if err != nil {
			e.noteFailure(to)
			return
		}
		e.handleAppendAnswer(to, call, answer, sentAt)
	})
}

// renewLease sends a voter a heartbeat beside a call that takes long, as a large one on a slow link or one that waits
// for a slow disk. Its answer renews the lease and nothing else, as it says nothing about the call.
func (e *Engine) renewLease(to *follower) {
	if to.renewals >= mostRenewals || !slices.Contains(disksOf(e.set), to.disk) {
		return
	}
	to.renewals++
	to.sentAt = e.clock.Monotonic()
	call := e.appendCall()
	call.Prev = to.acked
	attempt, sentAt := e.attempt, to.sentAt
	e.links.Append(to.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.attempt != attempt {
			return
		}
		to.renewals--
		if err == nil && e.isAnswerOf(to, answer) {
			e.renewed(to, sentAt)
		}
	})
}

// isAnswerOf tells whether an answer comes from the follower's disk and the leader may go on; it steps down if a
// higher epoch was promised.
func (e *Engine) isAnswerOf(from *follower, answer wire.AppendAnswer) bool {
	if answer.Disk != from.disk {
		return false
	}
	if answer.Promised > e.epoch {
		e.highest = max(e.highest, answer.Promised)
		e.stepDown("a higher epoch was promised")
		return false
	}
	return e.followers[from.disk] == from
}

func (e *Engine) handleAppendAnswer(from *follower, call wire.AppendCall, answer wire.AppendAnswer, sentAt time.Duration) {
	if !e.isAnswerOf(from, answer) {
		return
	}
	now := e.clock.Monotonic()
	from.lastContact, from.isLeaving = now, answer.Leaving
	from.wallOffset, from.hasWall = answer.WallMs-(sentAt+(now-sentAt)/2).Milliseconds(), true
	e.renewed(from, sentAt)
	if len(call.Changes) > 0 && answer.Taken {
		e.noteDelay(from, answer, now-sentAt)
	}
	before := *from
	e.notePosition(from, call, answer)
	if answer.Taken || before.isKnown != from.isKnown || before.needsSnapshot != from.needsSnapshot ||
		before.acked != from.acked || before.nextChunk != from.nextChunk {
		from.failures, from.pausedUntil = 0, 0
	} else {
		e.noteFailure(from)
	}
	e.advance()
	if e.phase == phaseLeading || e.phase == phaseOpening {
		e.send(from, false)
	}
}

// notePosition takes from an answer where the follower stands, and so what it is to be sent next.
func (e *Engine) notePosition(from *follower, call wire.AppendCall, answer wire.AppendAnswer) {
	_, isNear := e.after(answer.Last)
	switch {
	case answer.Taken || isNear:
		from.isKnown, from.needsSnapshot, from.acked, from.transfer = true, false, answer.Last, nil
		if e.last.Index-from.acked.Index <= mostBehind {
			from.mayLack = allowance{}
		}
	case call.Chunk != nil:
		e.noteChunkAnswer(from, call, answer)
	default:
		from.isKnown, from.needsSnapshot, from.acked = false, true, answer.Last
	}
}

// noteFailure counts a call that brought the follower no further, and pauses after a few, so that a disk that refuses
// or a machine that resets each connection is not called without end.
func (e *Engine) noteFailure(to *follower) {
	to.failures++
	if to.failures >= failuresBeforePause {
		to.pausedUntil = e.clock.Monotonic() + e.timing.Heartbeat
	}
}
