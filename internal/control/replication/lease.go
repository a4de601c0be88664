package replication

import (
	"slices"
	"time"
)

// snapshotReadTimeout is how long a leader may read the state of its own disk, lease in hand, before another should try: long
// enough for slow processors, while a disk that hangs would give nothing for ever.
const snapshotReadTimeout = 10 * time.Second

// hasLease tells whether a majority of the voters vouches, now, that there is no other leader.
func (e *Engine) hasLease() bool { return e.clock.Monotonic() < e.leaseUntil() }

// leaseUntil is until when a majority of the voters vouches that there is no other leader, and a majority of the old ones
// while those still count.
func (e *Engine) leaseUntil() time.Duration {
	end := e.majorityLease(e.voters.Now)
	if len(e.voters.Old) > 0 {
		end = min(end, e.majorityLease(e.voters.Old))
	}
	return end
}

func (e *Engine) majorityLease(voters []string) time.Duration {
	if len(voters) == 0 {
		return 0
	}
	ends := make([]time.Duration, len(voters))
	for index, disk := range voters {
		if voter := e.followers[disk]; voter != nil {
			ends[index] = voter.leaseUntil
		}
	}
	slices.Sort(ends)
	return ends[(len(ends)-1)/2]
}

// noteLease notes a lease that a follower has granted by its answer to a call that was sent at that moment.
func (e *Engine) noteLease(follower *followerProgress, sentAt time.Duration) {
	follower.leaseUntil = max(follower.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	e.publishLease()
}

// publishLease tells the leadership, if there is one, what has changed of its lease.
func (e *Engine) publishLease() {
	if e.leadership != nil {
		e.leadership.publish()
	}
}

// heartbeat renews the leases, and does what a leader does from time to time.
func (e *Engine) heartbeat() {
	if e.isOwnReplicaBehind() {
		e.release("its own replica is behind the changes it keeps", "")
		return
	}
	now := e.clock.Monotonic()
	if e.isSnapshotReadOverdue() {
		e.release("its own disk does not give the state", "")
		e.nextCampaignAt = now + campaignPause
		return
	}
	if e.isRemoved() {
		e.releaseToFurthest("its disk is no longer a voter")
		return
	}
	for _, follower := range e.sortedFollowers() {
		isDue := now-follower.sentAt >= e.timing.Heartbeat
		switch {
		case isDue && follower.isBusy:
			e.renewLease(follower)
		case isDue || follower.needsSnapshot:
			e.sendAppend(follower, isDue)
		}
	}
	if e.hasLease() {
		e.lastLeaseAt = now
	} else if now-e.lastLeaseAt > 4*e.timing.Lease {
		e.stepDown("no majority answers")
		return
	}
	e.snapshotReader.keepOnlyIf(e.isSnapshotNeeded())
	e.progress.record(now, e.last.Index, e.timing.LostAfter)
	if e.maybeLeave(); e.phase == phaseLeading {
		e.maybeChangeVoters()
		e.maybeHandOver()
	}
}

// isSnapshotReadOverdue tells whether the leader has waited too long for the state on its own disk.
func (e *Engine) isSnapshotReadOverdue() bool {
	return e.snapshotReader.isReading && e.clock.Monotonic()-e.snapshotReader.startedAt > snapshotReadTimeout
}

// isOwnReplicaBehind tells whether the own disk was stalled or full for so long that the changes it lacks are no longer
// kept. Nobody can send them to it, and it has no snapshot for others; the next leader has both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
