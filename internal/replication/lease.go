package replication

import "time"

// mostReading is how long a leader may read the state of its own disk, lease in hand, before another should try: long
// enough for slow processors, while a disk that hangs would give nothing for ever.
const mostReading = 10 * time.Second

// hasLease tells whether a majority of the voters vouches, now, that there is no other leader.
func (e *Engine) hasLease() bool {
	now := e.clock.Steady()
	return Agreed(e.set, func(disk string) bool {
		voter := e.followers[disk]
		return voter != nil && now < voter.leaseUntil
	})
}

// heartbeat renews the leases, and does what a leader does from time to time.
func (e *Engine) heartbeat() {
	if e.isOwnReplicaBehind() {
		e.release("its own replica is behind the changes it keeps", "")
		return
	}
	now := e.clock.Steady()
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
	if e.considerLeaving(); e.phase == phaseLeading {
		e.considerVoters()
		e.considerHandover()
	}
}

// isStuckReading tells whether the leader has waited too long for the state on its own disk.
func (e *Engine) isStuckReading() bool {
	return e.reader.isReading && e.clock.Steady()-e.reader.since > mostReading
}

// isOwnReplicaBehind tells whether the own disk was stalled or full for so long that the changes it lacks are no longer
// kept. Nobody can send them to it, and it has no snapshot for others; the next leader has both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
