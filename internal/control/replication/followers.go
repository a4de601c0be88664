package replication

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxConcurrentHeartbeats is how many heartbeats may be under way to a follower beside a call. Some are needed where an answer takes
// longer than the pause between two heartbeats; with one alone the lease would end before it can be renewed.
const maxConcurrentHeartbeats = 3

// failuresBeforePause is how many calls in a row a follower may leave without effect before the leader pauses.
const failuresBeforePause = 2

// followerProgress is what the leader knows of a disk that it sends changes to: a voter or a learner, its own disk too.
type followerProgress struct {
	disk string
	// acked is the position that the disk has said it holds; it counts only while isPositionKnown.
	acked         wire.LogPosition
	isPositionKnown       bool
	needsSnapshot bool

	// isBusy tells that a call is under way, renewals how many heartbeats are under way beside it.
	isBusy   bool
	concurrentHeartbeats int
	sentAt   time.Duration
	// failures counts calls in a row that brought the follower no further; before pausedUntil it gets heartbeats only.
	failures    int
	pausedUntil time.Duration

	// lastContact is the last answer other than to a heartbeat beside a call, so that a disk that hangs counts as silent.
	lastContact time.Duration
	leaseUntil  time.Duration
	wallOffsetMs  int64
	hasWallOffset     bool
	syncDelay       time.Duration
	hasSyncDelay    bool

	transfer  *snapshotTransfer
	nextChunk int
	// retention is what is kept for it beyond the usual, from the begin of a transfer until it has caught up.
	retention retention
	lacksChunkSupport   bool

	// isLeaving tells that its process is about to end.
	isLeaving bool
}

// followerOf gives the follower of a disk, from now on if there is none yet.
func (e *Engine) followerOf(disk string) *followerProgress {
	follower := e.followers[disk]
	if follower == nil {
		follower = &followerProgress{disk: disk, lastContact: e.clock.Monotonic()}
		e.followers[disk] = follower
	}
	return follower
}

func (e *Engine) sortedFollowers() []*followerProgress {
	followers := make([]*followerProgress, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		followers = append(followers, e.followers[disk])
	}
	return followers
}

// replicate sends every follower what it lacks.
func (e *Engine) replicate() {
	for _, follower := range e.sortedFollowers() {
		e.sendAppend(follower, false)
	}
}

// sendAppend gives a follower the changes or the snapshot that it lacks; a heartbeat goes out even if it lacks nothing.
func (e *Engine) sendAppend(follower *followerProgress, isHeartbeat bool) {
	if follower.isBusy || !isHeartbeat && e.clock.Monotonic() < follower.pausedUntil {
		return
	}
	call := e.appendCall()
	call.Prev = follower.acked
	getsSnapshot := follower.needsSnapshot && e.clock.Monotonic()-follower.lastContact < e.timing.LostAfter
	if getsSnapshot {
		transfer := e.transferFor(follower)
		if transfer == nil {
			if isHeartbeat {
				e.callAppend(follower, call)
			}
			return
		}
		call.Prev = transfer.snapshot.Last
		if transfer.count() > 1 && !follower.lacksChunkSupport {
			call.Chunk = transfer.chunk(follower.nextChunk)
			e.callAppend(follower, call)
			return
		}
		call.Snapshot = &transfer.snapshot
	}
	if follower.isPositionKnown || getsSnapshot {
		changes, isKept := e.changesAfter(call.Prev)
		if !isKept {
			follower.isPositionKnown, follower.needsSnapshot = false, true
			return
		}
		call.Changes = changes
	} else {
		isHeartbeat = true
	}
	if len(call.Changes) == 0 && call.Snapshot == nil && !isHeartbeat {
		return
	}
	e.callAppend(follower, call)
}

func (e *Engine) appendCall() wire.AppendCall {
	return wire.AppendCall{Key: e.key, Epoch: e.epoch, Owner: e.name, Disk: e.disk}
}

func (e *Engine) callAppend(follower *followerProgress, call wire.AppendCall) {
	follower.isBusy, follower.sentAt = true, e.clock.Monotonic()
	attempt, sentAt := e.generation, follower.sentAt
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != attempt {
			return
		}
		follower.isBusy = false
		if err != nil {
			e.noteFailure(follower)
			return
		}
		e.handleAppendAnswer(follower, call, answer, sentAt)
	})
}

// renewLease sends a voter a heartbeat beside a call that takes long, as a large one on a slow link or one that waits
// for a slow disk. Its answer renews the lease and nothing else, as it says nothing about the call.
func (e *Engine) renewLease(follower *followerProgress) {
	if follower.concurrentHeartbeats >= maxConcurrentHeartbeats || !slices.Contains(disksOf(e.voters), follower.disk) {
		return
	}
	follower.concurrentHeartbeats++
	follower.sentAt = e.clock.Monotonic()
	call := e.appendCall()
	call.Prev = follower.acked
	attempt, sentAt := e.generation, follower.sentAt
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != attempt {
			return
		}
		follower.concurrentHeartbeats--
		if err == nil && e.isAnswerOf(follower, answer) {
			e.noteLease(follower, sentAt)
		}
	})
}

// isAnswerOf tells whether an answer comes from the follower's disk and the leader may go on; it steps down if a
// higher epoch was promised.
func (e *Engine) isAnswerOf(follower *followerProgress, answer wire.AppendAnswer) bool {
	if answer.Disk != follower.disk {
		return false
	}
	if answer.Promised > e.epoch {
		e.highestEpochSeen = max(e.highestEpochSeen, answer.Promised)
		e.stepDown("a higher epoch was promised")
		return false
	}
	return e.followers[follower.disk] == follower
}

func (e *Engine) handleAppendAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer, sentAt time.Duration) {
	if !e.isAnswerOf(follower, answer) {
		return
	}
	now := e.clock.Monotonic()
	follower.lastContact, follower.isLeaving = now, answer.Leaving
	follower.wallOffsetMs, follower.hasWallOffset = answer.WallMs-(sentAt+(now-sentAt)/2).Milliseconds(), true
	e.noteLease(follower, sentAt)
	if len(call.Changes) > 0 && answer.Taken {
		e.noteSyncDelay(follower, answer, now-sentAt)
	}
	before := *follower
	e.notePosition(follower, call, answer)
	if answer.Taken || before.isPositionKnown != follower.isPositionKnown || before.needsSnapshot != follower.needsSnapshot ||
		before.acked != follower.acked || before.nextChunk != follower.nextChunk {
		follower.failures, follower.pausedUntil = 0, 0
	} else {
		e.noteFailure(follower)
	}
	e.advanceCommit()
	if e.phase == phaseLeading || e.phase == phaseOpening {
		e.sendAppend(follower, false)
	}
}

// notePosition takes from an answer where the follower stands, and so what it is to be sent next.
func (e *Engine) notePosition(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	_, isNear := e.changesAfter(answer.Last)
	switch {
	case answer.Taken || isNear:
		follower.isPositionKnown, follower.needsSnapshot, follower.acked, follower.transfer = true, false, answer.Last, nil
		if e.last.Index-follower.acked.Index <= maxLag {
			follower.retention = retention{}
		}
	case call.Chunk != nil:
		e.noteChunkAnswer(follower, call, answer)
	default:
		follower.isPositionKnown, follower.needsSnapshot, follower.acked = false, true, answer.Last
	}
}

// noteFailure counts a call that brought the follower no further, and pauses after a few, so that a disk that refuses
// or a machine that resets each connection is not called without end.
func (e *Engine) noteFailure(follower *followerProgress) {
	follower.failures++
	if follower.failures >= failuresBeforePause {
		follower.pausedUntil = e.clock.Monotonic() + e.timing.Heartbeat
	}
}
