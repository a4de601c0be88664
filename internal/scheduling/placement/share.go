package placement

// placeShares places the groups of each share from its capacity, regardless of groups that come earlier in the queue.
func (r *placementRound) placeShares(groups []*Group, limits Limits) {
	for _, share := range limits.Shares {
		balance := &shareBalance{Share: share}
		for _, section := range share.sections() {
			from, to := sectionBounds(groups, section)
			r.placeShare(groups[:to], from, limits.Remaining, balance)
		}
	}
}

// maxShareFailures is how many groups of a share may find no executor in one round before the rest of the share is skipped. Gangs are not
// counted.
const maxShareFailures = 8

// shareBalance is the rest of a share, and the number of its groups that found no executor.
type shareBalance struct {
	Share
	failures int
}

// isSpent reports whether the share is used up, or too many of its groups found no executor.
func (s *shareBalance) isSpent() bool {
	return s.Resources.CPU <= 0 || s.Resources.Memory <= 0 || s.failures >= maxShareFailures
}

// placeShare places the groups from index from on, except those that can wait, until the share is spent. The remaining capacity of the
// priority does not limit it.
func (r *placementRound) placeShare(groups []*Group, from int, remaining map[int]Resources, share *shareBalance) {
	for index := from; index < len(groups) && !r.isExhausted && !share.isSpent(); index++ {
		if groups[index].CanWait {
			continue
		}
		allowance := allowanceOf(remaining, groups[index])
		allowance.share, allowance.hasLimit = share, false
		r.placeGroup(groups[index], index, allowance)
	}
}
