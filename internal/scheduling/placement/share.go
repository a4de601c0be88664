package placement

// placeShares gives parts of the queue what is kept for them, whatever stands before them in the queue.
func (t *turn) placeShares(groups []*Group, limits Limits) {
	for _, share := range limits.Shares {
		open := &openShare{Share: share}
		for _, section := range share.sections() {
			from, to := indicesOf(groups, section)
			t.placeShare(groups[:to], from, limits.Remaining, open)
		}
	}
}

// maxShareFailures bounds how many groups of a share are tried in vain in one turn.
const maxShareFailures = 8

// openShare is what is left of a share, and how many of its groups found no executor.
type openShare struct {
	Share
	failures int
}

// isSpent tells whether nothing is left of a share, or nothing of it finds an executor.
func (s *openShare) isSpent() bool {
	return s.Resources.CPU <= 0 || s.Resources.Memory <= 0 || s.failures >= maxShareFailures
}

// placeShare places groups from an index on that can't wait, until the share is spent, which is the only limit here.
func (t *turn) placeShare(groups []*Group, from int, remaining map[int]Resources, share *openShare) {
	for index := from; index < len(groups) && !t.isOver && !share.isSpent(); index++ {
		if groups[index].CanWait {
			continue
		}
		allowance := allowanceOf(remaining, groups[index])
		allowance.share, allowance.isBound = share, false
		t.placeGroup(groups[index], index, allowance)
	}
}
