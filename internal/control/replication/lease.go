package replication

import (
	"slices"
	"time"
)

// mostReading is how long a leader may read the state of its own disk, lease in hand, before another should try: long
// enough for slow processors, while a disk that hangs would give nothing for ever.
const mostReading = 10 * time.Second

// hasLease tells whether a majority of the voters vouches, now, that there is no other leader.
func (e *Engine) hasLease() bool { return e.clock.Monotonic() < e.leaseEnd() }

// leaseEnd is until when a majority of the voters vouches that there is no other leader, and a majority of the old ones
// while those still count.
func (e *Engine) leaseEnd() time.Duration {
	end := e.majorityLease(e.set.Now)
	if len(e.set.Old) > 0 {
		end = min(end, e.majorityLease(e.set.Old))
	}
	return end
}

func (e *Engine) majorityLease(voters []string) time.Duration {
	if len(voters) == 0 {
		return 0
	}
	ends := make([]time.Duration, len(voters))
	for place, disk := range voters {
		if voter := e.followers[disk]; voter != nil {
			ends[place] = voter.leaseUntil
		}
	}
	slices.Sort(ends)
	return ends[(len(ends)-1)/2]
}

// renewed notes a lease that a follower has granted by its answer to a call that was sent at that moment.
func (e *Engine) renewed(by *follower, sentAt time.Duration) {
	by.leaseUntil = max(by.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	e.publish()
}

// publish tells the leadership, if there is one, what has changed of its lease.
func (e *Engine) publish() {
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
	if e.isStuckReading() {
		e.release("its own disk does not give the state", "")
		e.nextTry = now + standBack
		return
	}
	if e.isVotedOut() {
		e.releaseToFurthest("its disk is no longer a voter")
		return
	}
	for _, to := range e.inOrder() {
		isDue := now-to.sentAt >= e.timing.Heartbeat
		switch {
		case isDue && to.isBusy:
			e.renewLease(to)
		case isDue || to.needsSnapshot:
			e.send(to, isDue)
		}
	}
	if e.hasLease() {
		e.staleSince = now
	} else if now-e.staleSince > 4*e.timing.Lease {
		e.stepDown("no majority answers")
		return
	}
	e.reader.keepOnlyIf(e.isStateWanted())
	e.marks.note(now, e.last.Index, e.timing.LostAfter)
	if e.considerLeaving(); e.phase == phaseLeading {
		e.considerVoters()
		e.considerHandover()
	}
}

// isStuckReading tells whether the leader has waited too long for the state on its own disk.
func (e *Engine) isStuckReading() bool {
	return e.reader.isReading && e.clock.Monotonic()-e.reader.since > mostReading
}

// isOwnReplicaBehind tells whether the own disk was stalled or full for so long that the changes it lacks are no longer
// kept. Nobody can send them to it, and it has no snapshot for others; the next leader has both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
