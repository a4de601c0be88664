package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxConcurrentHeartbeats is how many heartbeats may be under way to a follower beside a call. Some are needed where an
	// answer takes longer than the pause between two heartbeats; with one alone the lease would end before it can be renewed.
	maxConcurrentHeartbeats = 3
	// failuresBeforePause is how many calls in a row a follower may leave without effect before the leader pauses.
	failuresBeforePause = 2
)

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
	if follower.needsSnapshot && e.isInContact(follower) {
		e.sendSnapshot(follower, isHeartbeat)
		return
	}
	call := e.appendCall(follower.acked)
	if !follower.isPositionKnown {
		// The answer to a call without changes tells the position.
		e.callAppend(follower, call)
		return
	}
	if e.addChanges(follower, &call) && (len(call.Changes) > 0 || isHeartbeat) {
		e.callAppend(follower, call)
	}
}

// addChanges adds to a call the changes that follow on its Prev. It is false if the log no longer has them, and the follower
// needs a snapshot then.
func (e *Engine) addChanges(follower *followerProgress, call *wire.AppendCall) bool {
	changes, isKept := e.changes.after(call.Prev)
	if !isKept {
		follower.isPositionKnown, follower.needsSnapshot = false, true
		return false
	}
	call.Changes = changes
	return true
}

// sendSnapshot sends a follower the next chunk of the key's state, or all of it and the changes that follow on it if one call
// can carry the state. While the state is still being read, only a heartbeat goes out.
func (e *Engine) sendSnapshot(follower *followerProgress, isHeartbeat bool) {
	transfer := e.transferFor(follower)
	if transfer == nil {
		if isHeartbeat {
			e.callAppend(follower, e.appendCall(follower.acked))
		}
		return
	}
	call := e.appendCall(transfer.snapshot.Last)
	if transfer.count() > 1 && !follower.lacksChunkSupport {
		call.Chunk = transfer.chunk(follower.nextChunk)
		e.callAppend(follower, call)
		return
	}
	if !e.addChanges(follower, &call) {
		return
	}
	call.Snapshot = &transfer.snapshot
	e.callAppend(follower, call)
}

// appendCall is a call of this leadership without changes.
func (e *Engine) appendCall(prev wire.LogPosition) wire.AppendCall {
	return wire.AppendCall{Key: e.key, Epoch: e.epoch, Leader: e.name, Disk: e.disk, Prev: prev}
}

// callAppend makes the one call at a time that may bring a follower further.
func (e *Engine) callAppend(follower *followerProgress, call wire.AppendCall) {
	follower.isBusy, follower.sentAt = true, e.clock.Monotonic()
	follower.call = outstandingCall{number: follower.call.number + 1, isResendable: call.Snapshot == nil && call.Chunk == nil}
	generation, sentAt, number := e.generation, follower.sentAt, follower.call.number
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != generation {
			return
		}
		if follower.call.number != number || !follower.isBusy {
			e.handleOvertakenAnswer(follower, call, answer, err, sentAt)
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

// handleOvertakenAnswer takes the answer to a call that giveUpStuckCall no longer waits for.
func (e *Engine) handleOvertakenAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer, err error, sentAt time.Duration) {
	follower.overtakenCalls--
	if err == nil && answer.Taken && follower.isPositionKnown && answer.Last.Index > follower.acked.Index {
		e.handleAppendAnswer(follower, call, answer, sentAt)
	}
}

// renewLease sends a follower a heartbeat beside a call that takes long, as a large one on a slow link or one that waits
// for a slow disk. Its answer renews a voter's lease; of the call it says only that the network carries what is sent now.
func (e *Engine) renewLease(follower *followerProgress) {
	if follower.concurrentHeartbeats >= maxConcurrentHeartbeats {
		return
	}
	follower.concurrentHeartbeats++
	follower.sentAt = e.clock.Monotonic()
	call := e.appendCall(follower.acked)
	generation, sentAt, number := e.generation, follower.sentAt, follower.call.number
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != generation {
			return
		}
		follower.concurrentHeartbeats--
		if err == nil && e.isAnswerOf(follower, answer) {
			follower.call.noteAnsweredHeartbeat(number, e.clock.Monotonic())
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
		e.campaignState.noteEpoch(answer.Promised)
		e.stepDown("a higher epoch was promised")
		return false
	}
	return e.followers[follower.disk] == follower
}

// handleAppendAnswer takes the answer to a call of callAppend that was sent at that moment, and sends what comes next.
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
	if answer.Taken || hasMoved(&before, follower) {
		follower.failures, follower.pausedUntil = 0, 0
	} else {
		e.noteFailure(follower)
	}
	e.advanceCommit()
	e.maybeMoveToPreferred()
	if e.phase == phaseLeading || e.phase == phaseOpening {
		e.sendAppend(follower, false)
	}
}

// hasMoved tells whether an answer has changed what the follower is to be sent next.
func hasMoved(before, after *followerProgress) bool {
	return before.isPositionKnown != after.isPositionKnown || before.needsSnapshot != after.needsSnapshot ||
		before.acked != after.acked || before.nextChunk != after.nextChunk
}

// notePosition takes from an answer where the follower stands, and so what it is to be sent next.
func (e *Engine) notePosition(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	_, isKept := e.changes.after(answer.Last)
	switch {
	case answer.Taken || isKept:
		follower.isPositionKnown, follower.needsSnapshot, follower.acked, follower.transfer = true, false, answer.Last, nil
		if e.changes.last.Index-follower.acked.Index <= maxLag {
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
