package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxConcurrentHeartbeats limits the heartbeats in flight to a follower beside a call. One is not enough if an answer takes longer
	// than the heartbeat interval: the lease would end before it is renewed.
	maxConcurrentHeartbeats = 3
	// failuresBeforePause is the number of consecutive calls without effect after which the leader pauses calls to a follower.
	failuresBeforePause = 2
)

// replicate sends each follower the changes or the snapshot that it lacks.
func (e *Engine) replicate() {
	for _, follower := range e.sortedFollowers() {
		e.sendAppend(follower, false)
	}
}

// sendAppend sends a follower the changes or the snapshot that it lacks, unless a call to it is in flight or calls to it are paused.
// A heartbeat is sent even if the follower lacks nothing or is paused.
func (e *Engine) sendAppend(follower *followerProgress, isHeartbeat bool) {
	if follower.hasCallInFlight || !isHeartbeat && e.clock.Monotonic() < follower.pausedUntil {
		return
	}
	if follower.needsSnapshot && e.isInContact(follower) {
		e.sendSnapshot(follower, isHeartbeat)
		return
	}
	call := e.newAppendCall(follower.acked)
	if !follower.isPositionKnown {
		// The answer to a call without changes contains the follower's position.
		e.startAppendCall(follower, call)
		return
	}
	if e.addChanges(follower, &call) && (len(call.Changes) > 0 || isHeartbeat) {
		e.startAppendCall(follower, call)
	}
}

// addChanges adds the changes that follow call.Prev to a call. If the log no longer has them, it returns false and marks the
// follower as needing a snapshot.
func (e *Engine) addChanges(follower *followerProgress, call *wire.AppendCall) bool {
	changes, isKept := e.changes.after(call.Prev)
	if !isKept {
		follower.isPositionKnown, follower.needsSnapshot = false, true
		return false
	}
	call.Changes = changes
	return true
}

// sendSnapshot sends a follower the next chunk of a snapshot. A snapshot of a single chunk, or one for a follower without chunk
// support, is sent whole, together with the changes that follow it. While the snapshot is still being read, only heartbeats are sent.
func (e *Engine) sendSnapshot(follower *followerProgress, isHeartbeat bool) {
	transfer := e.transferFor(follower)
	if transfer == nil {
		if isHeartbeat {
			e.startAppendCall(follower, e.newAppendCall(follower.acked))
		}
		return
	}
	call := e.newAppendCall(transfer.snapshot.Last)
	if transfer.count() > 1 && !follower.lacksChunkSupport {
		call.Chunk = transfer.chunk(follower.nextChunk)
		e.startAppendCall(follower, call)
		return
	}
	if !e.addChanges(follower, &call) {
		return
	}
	call.Snapshot = &transfer.snapshot
	e.startAppendCall(follower, call)
}

// newAppendCall returns a call of this leadership without changes.
func (e *Engine) newAppendCall(prev wire.LogPosition) wire.AppendCall {
	return wire.AppendCall{Key: e.key, Epoch: e.epoch, Leader: e.name, Disk: e.disk, Prev: prev}
}

// startAppendCall sends a call to a follower and processes its answer. Apart from concurrent heartbeats and abandoned calls, only one
// call to a follower is in flight at a time.
func (e *Engine) startAppendCall(follower *followerProgress, call wire.AppendCall) {
	follower.hasCallInFlight, follower.sentAt = true, e.clock.Monotonic()
	follower.call = outstandingCall{number: follower.call.number + 1, isResendable: call.Snapshot == nil && call.Chunk == nil}
	generation, sentAt, number := e.generation, follower.sentAt, follower.call.number
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != generation {
			return
		}
		if follower.call.number != number || !follower.hasCallInFlight {
			e.handleLateAnswer(follower, call, answer, err, sentAt)
			return
		}
		follower.hasCallInFlight = false
		if err != nil {
			e.recordFailure(follower)
			return
		}
		e.handleAppendAnswer(follower, call, answer, sentAt)
	})
}

// handleLateAnswer processes the answer to a call that was abandoned by abandonStuckCall.
func (e *Engine) handleLateAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer, err error, sentAt time.Duration) {
	follower.abandonedCalls--
	if err == nil && answer.Taken && follower.isPositionKnown && answer.Last.Index > follower.acked.Index {
		e.handleAppendAnswer(follower, call, answer, sentAt)
	}
}

// renewLease sends a follower a heartbeat while a long call is in flight, such as a large call on a slow link or one that waits
// for a slow disk. The answer renews the lease that the voter grants. It shows that the network delivers new messages, but not whether
// the long call has arrived. A candidate that fetches changes also uses renewLease.
func (e *Engine) renewLease(follower *followerProgress) {
	if follower.concurrentHeartbeats >= maxConcurrentHeartbeats {
		return
	}
	follower.concurrentHeartbeats++
	follower.sentAt = e.clock.Monotonic()
	call := e.newAppendCall(follower.acked)
	generation, sentAt, number := e.generation, follower.sentAt, follower.call.number
	e.transport.Append(follower.disk, call, func(answer wire.AppendAnswer, err error) {
		if e.generation != generation {
			return
		}
		follower.concurrentHeartbeats--
		if err == nil && e.isAnswerOf(follower, answer) {
			follower.call.recordAnsweredHeartbeat(number, e.clock.Monotonic())
			e.extendLease(follower, sentAt)
		}
	})
}

// isAnswerOf reports whether an answer comes from the follower's disk and this leader still tracks the follower. If the disk has
// promised a higher epoch, the leader steps down.
func (e *Engine) isAnswerOf(follower *followerProgress, answer wire.AppendAnswer) bool {
	if answer.Disk != follower.disk {
		return false
	}
	if answer.Promised > e.epoch {
		e.campaignState.recordEpoch(answer.Promised)
		e.stepDown("a higher epoch was promised")
		return false
	}
	return e.followers[follower.disk] == follower
}

// handleAppendAnswer processes the answer to a call of startAppendCall that was sent at sentAt, and sends the next call.
func (e *Engine) handleAppendAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer, sentAt time.Duration) {
	if !e.isAnswerOf(follower, answer) {
		return
	}
	now := e.clock.Monotonic()
	follower.lastContact, follower.isLeaving = now, answer.Leaving
	follower.wallOffsetMs, follower.hasWallOffset = answer.WallMs-(sentAt+(now-sentAt)/2).Milliseconds(), true
	e.extendLease(follower, sentAt)
	if len(call.Changes) > 0 && answer.Taken {
		e.recordSyncDelay(follower, answer, now-sentAt)
	}
	before := *follower
	e.updatePosition(follower, call, answer)
	if answer.Taken || hasNextSendChanged(&before, follower) {
		follower.failures, follower.pausedUntil = 0, 0
	} else {
		e.recordFailure(follower)
	}
	e.advanceCommit()
	e.maybeMoveToPreferred()
	if e.phase == phaseLeading || e.phase == phaseOpening {
		e.sendAppend(follower, false)
	}
}

// hasNextSendChanged reports whether an answer has changed what the leader sends next to the follower.
func hasNextSendChanged(before, after *followerProgress) bool {
	return before.isPositionKnown != after.isPositionKnown || before.needsSnapshot != after.needsSnapshot ||
		before.acked != after.acked || before.nextChunk != after.nextChunk
}

// updatePosition updates the follower's position from an answer, which determines what the leader sends next.
func (e *Engine) updatePosition(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	_, isKept := e.changes.after(answer.Last)
	switch {
	case answer.Taken || isKept:
		follower.isPositionKnown, follower.needsSnapshot, follower.acked, follower.transfer = true, false, answer.Last, nil
		if e.changes.last.Index-follower.acked.Index <= maxLag {
			follower.retention = retention{}
		}
	case call.Chunk != nil:
		e.updateNextChunk(follower, call, answer)
	default:
		follower.isPositionKnown, follower.needsSnapshot, follower.acked = false, true, answer.Last
	}
}

// recordFailure counts a call without effect. From failuresBeforePause consecutive ones on, it pauses calls to the follower for a
// heartbeat interval. A disk that refuses writes or a machine that resets each connection is thus not called in a tight loop.
func (e *Engine) recordFailure(follower *followerProgress) {
	follower.failures++
	if follower.failures >= failuresBeforePause {
		follower.pausedUntil = e.clock.Monotonic() + e.timing.Heartbeat
	}
}
