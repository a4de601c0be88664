package replication

import (
	"time"

	"gannetline/internal/control/replication/quorum"
)

const (
	// leaseMargin is subtracted from each lease, so that the leader's lease ends before the voter's even if their clocks run at
	// slightly different rates.
	leaseMargin = 30 * time.Millisecond
	// leaseLossLimit is the number of lease durations without a lease after which a leader steps down.
	leaseLossLimit = 4
	// snapshotReadTimeout is how long a leader may read the state from its own disk while it holds the lease. It is long enough for
	// slow processors. After it another voter should lead, since a disk that hangs would never return the state.
	snapshotReadTimeout = 10 * time.Second
)

// hasLease reports whether the leader now holds a lease from a quorum of the voters.
func (e *Engine) hasLease() bool { return e.clock.Monotonic() < e.leaseUntil() }

// leaseUntil returns the end of the lease that a quorum of the voters has granted. There is no other leader before it.
func (e *Engine) leaseUntil() time.Duration {
	return quorum.LeaseEnd(e.voters.set, func(disk string) time.Duration {
		if voter := e.followers[disk]; voter != nil {
			return voter.leaseUntil
		}
		return 0
	})
}

// extendLease records the lease that a follower granted by its answer to a call sent at sentAt. The leader counts the lease from
// sentAt; the voter counts it from the arrival of the call, which is later.
func (e *Engine) extendLease(follower *followerProgress, sentAt time.Duration) {
	follower.leaseUntil = max(follower.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	e.publishLease()
}

// publishLease publishes the current lease to other goroutines while there is a leadership.
func (e *Engine) publishLease() {
	if e.leadership != nil {
		e.leadership.publish()
	}
}

// heartbeat renews the leases and does the leader's periodic checks: step down without a quorum, leave, change voters, and transfer
// the leadership.
func (e *Engine) heartbeat() {
	if e.releaseIfUnfit() {
		return
	}
	now := e.clock.Monotonic()
	e.sendHeartbeats(now)
	if e.hasLease() {
		e.lastLeaseAt = now
	} else if now-e.lastLeaseAt > leaseLossLimit*e.timing.Lease {
		e.stepDown("no majority answers")
		return
	}
	e.snapshots.dropUnlessNeeded(e.isSnapshotNeeded())
	e.progress.record(now, e.changes.last.Index, e.timing.LostAfter)
	if e.maybeLeave(); e.phase == phaseLeading {
		e.maybeChangeVoters()
		e.maybeTransferLeadership()
	}
	e.maybeMoveToPreferred()
}

// releaseIfUnfit releases the key if this process can't continue to lead because of its own disk, and reports whether it did.
func (e *Engine) releaseIfUnfit() bool {
	switch {
	case e.isOwnReplicaBehind():
		e.release("its own replica lacks changes that the log no longer has", "")
	case e.isSnapshotReadOverdue():
		e.release("reading the state from its own disk timed out", "")
		e.campaignState.nextAt = e.clock.Monotonic() + campaignPause
	case e.isRemoved():
		e.releaseToMostUpToDate("its disk is no longer a voter")
	default:
		return false
	}
	return true
}

// sendHeartbeats sends a heartbeat to each follower that was sent nothing for a heartbeat interval, and continues the transfer to
// each follower that needs a snapshot.
func (e *Engine) sendHeartbeats(now time.Duration) {
	for _, follower := range e.sortedFollowers() {
		e.abandonStuckCall(follower, now)
		isDue := now-follower.sentAt >= e.timing.Heartbeat
		switch {
		case isDue && follower.hasCallInFlight:
			e.renewLease(follower)
		case isDue || follower.needsSnapshot:
			e.sendAppend(follower, isDue)
		}
	}
}

// isSnapshotReadOverdue reports whether reading the state from the leader's own disk has exceeded snapshotReadTimeout.
func (e *Engine) isSnapshotReadOverdue() bool {
	return e.snapshots.isReading && e.clock.Monotonic()-e.snapshots.startedAt > snapshotReadTimeout
}

// isOwnReplicaBehind reports whether the log no longer has the changes that the leader's own disk lacks, because the disk was stalled
// or full for too long. This leader can neither bring its disk up to date nor read a snapshot for others. The next leader can do both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
