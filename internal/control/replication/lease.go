package replication

import (
	"time"

	"gannetline/internal/control/replication/quorum"
)

const (
	// leaseMargin is taken off each lease, so that clocks that run at slightly different rates don't let the leader's last
	// longer than the voter's.
	leaseMargin = 30 * time.Millisecond
	// leaseLossLimit is how many lengths of a lease a leader may be without one before it steps down.
	leaseLossLimit = 4
	// snapshotReadTimeout is how long a leader may read the state of its own disk, lease in hand, before another should try:
	// long enough for slow processors, while a disk that hangs would give nothing for ever.
	snapshotReadTimeout = 10 * time.Second
)

// hasLease tells whether a quorum of the voters vouches, now, that there is no other leader.
func (e *Engine) hasLease() bool { return e.clock.Monotonic() < e.leaseUntil() }

// leaseUntil is until when a quorum of the voters vouches that there is no other leader.
func (e *Engine) leaseUntil() time.Duration {
	return quorum.LeaseEnd(e.voters.set, func(disk string) time.Duration {
		if voter := e.followers[disk]; voter != nil {
			return voter.leaseUntil
		}
		return 0
	})
}

// noteLease notes the lease that a follower has granted by its answer to a call that was sent at that moment. It counts from
// the sending, as the voter counts from the arrival, which is later.
func (e *Engine) noteLease(follower *followerProgress, sentAt time.Duration) {
	follower.leaseUntil = max(follower.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	e.publishLease()
}

// publishLease lets other goroutines know, if there is a leadership, what has changed of its lease.
func (e *Engine) publishLease() {
	if e.leadership != nil {
		e.leadership.publish()
	}
}

// heartbeat renews the leases, and does what a leader does from time to time.
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
	e.snapshots.keepOnlyIf(e.isSnapshotNeeded())
	e.progress.record(now, e.changes.last.Index, e.timing.LostAfter)
	if e.maybeLeave(); e.phase == phaseLeading {
		e.maybeChangeVoters()
		e.maybeTransferLeadership()
	}
	e.maybeMoveToPreferred()
}

// releaseIfUnfit gives the key up if this process can't go on leading it for reasons of its own.
func (e *Engine) releaseIfUnfit() bool {
	switch {
	case e.isOwnReplicaBehind():
		e.release("its own replica is behind the changes it keeps", "")
	case e.isSnapshotReadOverdue():
		e.release("its own disk does not give the state", "")
		e.campaignState.nextAt = e.clock.Monotonic() + campaignPause
	case e.isRemoved():
		e.releaseToFurthest("its disk is no longer a voter")
	default:
		return false
	}
	return true
}

// sendHeartbeats sends to each follower that was sent nothing for the pause between two heartbeats, and to each that needs a
// snapshot.
func (e *Engine) sendHeartbeats(now time.Duration) {
	for _, follower := range e.sortedFollowers() {
		e.giveUpStuckCall(follower, now)
		isDue := now-follower.sentAt >= e.timing.Heartbeat
		switch {
		case isDue && follower.isBusy:
			e.renewLease(follower)
		case isDue || follower.needsSnapshot:
			e.sendAppend(follower, isDue)
		}
	}
}

// isSnapshotReadOverdue tells whether the leader has waited too long for the state on its own disk.
func (e *Engine) isSnapshotReadOverdue() bool {
	return e.snapshots.isReading && e.clock.Monotonic()-e.snapshots.startedAt > snapshotReadTimeout
}

// isOwnReplicaBehind tells whether the own disk was stalled or full for so long that the changes it lacks are no longer
// kept. Nobody can send them to it, and it has no snapshot for others; the next leader has both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
