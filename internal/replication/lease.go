package replication

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
	if e.considerLeaving(); e.phase == phaseLeading {
		e.considerVoters()
		e.considerHandover()
	}
}

// isOwnReplicaBehind tells whether the own disk was stalled or full for so long that the changes it lacks are no longer
// kept. Nobody can send them to it, and it has no snapshot for others; the next leader has both.
func (e *Engine) isOwnReplicaBehind() bool {
	own := e.followers[e.disk]
	return own != nil && own.needsSnapshot
}
