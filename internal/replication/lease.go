package replication

func (e *Engine) hasLease() bool {
	now := e.clock.Steady()
	return Agreed(e.set, func(disk string) bool {
		one := e.followers[disk]
		return one != nil && now < one.leaseUntil
	})
}

func (e *Engine) heartbeat() {
	now := e.clock.Steady()
	for _, one := range e.inOrder() {
		if one.needsSnapshot || now-one.sentAt >= e.timing.Heartbeat {
			e.send(one, now-one.sentAt >= e.timing.Heartbeat)
		}
	}
	if e.hasLease() {
		e.staleSince = now
	} else if now-e.staleSince > 4*e.timing.Lease {
		e.stepDown("no majority answers")
		return
	}
	if e.phase == phaseLeading {
		e.considerVoters()
		e.considerHandover()
	}
}
