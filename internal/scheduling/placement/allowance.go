package placement

// allowance is what one priority may still take, and, while shares are given out, what is left of the share.
type allowance struct {
	remaining map[int]Resources
	priority  int
	isBound   bool
	// share is nil where the order of the queue decides.
	share *openShare
}

func allowanceOf(remaining map[int]Resources, group *Group) allowance {
	priority, isLimited := group.Priority, group.IsLong
	if group.Deadline == Expired {
		priority, isLimited = Background, true
	}
	_, isBound := remaining[priority]
	return allowance{remaining: remaining, priority: priority, isBound: isBound && isLimited}
}

func (a allowance) covers(need Resources) bool {
	if !a.isBound {
		return true
	}
	capacity := a.remaining[a.priority]
	return need.CPU <= capacity.CPU && need.Memory <= capacity.Memory
}

// spend counts against this priority and all below it, and against the share.
func (a allowance) spend(need Resources) {
	for priority, capacity := range a.remaining {
		if priority >= a.priority {
			a.remaining[priority] = capacity.Minus(need)
		}
	}
	a.spendShare(need)
}

// spendShare counts against the share alone.
func (a allowance) spendShare(need Resources) {
	if a.share != nil {
		a.share.Resources = a.share.Resources.Minus(need)
	}
}

// isShareSpent tells whether a share is used up; where the order of the queue decides, it never is.
func (a allowance) isShareSpent() bool { return a.share != nil && a.share.isSpent() }

// fail counts a group that found no executor: its need is spent all the same, so that the share does not go through the whole queue.
func (a allowance) fail(need Resources) {
	if a.share != nil {
		a.share.failures++
		a.spendShare(need)
	}
}

// mayReserve tells whether an executor may be reserved for a large task that found none, and counts the reservation.
func (a allowance) mayReserve() bool {
	if a.share == nil {
		return true
	}
	a.share.Reservations--
	return a.share.Reservations >= 0
}
