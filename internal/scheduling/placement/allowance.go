package placement

// allowance limits how much a group may still take: the remaining capacity of its priority and, while shares are placed, the balance of
// the share.
type allowance struct {
	remaining map[int]Resources
	priority  int
	// hasLimit means that remaining limits the group.
	hasLimit bool
	// share is nil when groups are placed in queue order rather than from a share.
	share *shareBalance
}

// allowanceOf returns the allowance of a group. Only long work and expired work are limited; expired work counts as Background.
func allowanceOf(remaining map[int]Resources, group *Group) allowance {
	priority, isLimited := group.Priority, group.IsLong
	if group.Deadline == Expired {
		priority, isLimited = Background, true
	}
	_, hasLimit := remaining[priority]
	return allowance{remaining: remaining, priority: priority, hasLimit: hasLimit && isLimited}
}

// covers reports whether the remaining capacity of the priority is enough for a need, or does not limit the group. GPUs are not limited.
func (a allowance) covers(need Resources) bool {
	if !a.hasLimit {
		return true
	}
	capacity := a.remaining[a.priority]
	return need.CPU <= capacity.CPU && need.Memory <= capacity.Memory
}

// spend subtracts a need from the remaining capacity of this priority and of all less urgent ones, and from the share. It does so also for
// groups that are not limited.
func (a allowance) spend(need Resources) {
	for priority, capacity := range a.remaining {
		if priority >= a.priority {
			a.remaining[priority] = capacity.Minus(need)
		}
	}
	a.spendShare(need)
}

// spendShare subtracts a need from the share only.
func (a allowance) spendShare(need Resources) {
	if a.share != nil {
		a.share.Resources = a.share.Resources.Minus(need)
	}
}

// isShareSpent reports whether the share is used up. Without a share it is always false.
func (a allowance) isShareSpent() bool { return a.share != nil && a.share.isSpent() }

// countFailure counts a group of single tasks that found no executor. It subtracts the need of one task from the share although nothing was
// placed, so that the scan of the queue for the share ends even if no task fits. Gangs that found no executors are not counted.
func (a allowance) countFailure(need Resources) {
	if a.share != nil {
		a.share.failures++
		a.spendShare(need)
	}
}

// mayReserve reports whether an executor may be reserved for a large task that fits nowhere, and counts the reservation against the share.
func (a allowance) mayReserve() bool {
	if a.share == nil {
		return true
	}
	a.share.Reservations--
	return a.share.Reservations >= 0
}
