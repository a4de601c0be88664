// Package placement decides which executor runs which task. It knows neither clock nor network.
package placement

import (
	"maps"
)

// Place gives the starts that fit: first what shares are kept for, then all others in the order of the queue.
func Place(executors []Executor, queue Queue, limits Limits) []Placement {
	if len(queue.Groups)+len(queue.Speculative) == 0 {
		return nil
	}
	turn := newTurn(executors, queue, limits)
	turn.placeShares(queue.Groups, limits)
	if turn.hasTenantAboveShare() {
		turn.placeWithinShares(queue.Groups, limits.Remaining)
	}
	turn.placeAll(queue.Groups, 0, limits.Remaining)
	turn.placeAll(queue.Speculative, len(queue.Groups), limits.Remaining)
	return turn.placed
}

// placeWithinShares places what tenants may have without going beyond their shares; what is left over then goes by the order of the
// queue alone.
func (t *turn) placeWithinShares(groups []*Group, remaining map[int]Resources) {
	t.isWithinShares, t.countsPlaced, t.hasFailed = true, true, map[int]bool{}
	t.placeAll(groups, 0, remaining)
	t.isWithinShares = false
}

// noteFailed remembers a group that found no executor, as it finds none later in the turn either.
func (t *turn) noteFailed(number int) {
	if t.isWithinShares {
		t.hasFailed[number] = true
	}
}

// placeAll places groups in their order, within what their limits still allow.
func (t *turn) placeAll(groups []*Group, number int, remaining map[int]Resources) {
	for index, group := range groups {
		if t.isOver {
			return
		}
		if !t.hasFailed[number+index] {
			t.placeGroup(group, number+index, allowanceOf(remaining, group))
		}
	}
}

// placeGroup places what is left of a group.
func (t *turn) placeGroup(group *Group, number int, allowance allowance) {
	switch {
	case !group.IsGang:
		t.placeSingles(group, number, allowance)
	case t.placedOf[number] == 0:
		t.placeGang(group, number, allowance)
	}
}

// placeSingles places what is left of a group's tasks one by one, until one finds no executor or the share is spent.
func (t *turn) placeSingles(group *Group, number int, allowance allowance) {
	var runs map[int]int
	for count := t.placedOf[number]; count < group.Count && !allowance.isShareSpent(); count++ {
		if t.isTenantAtLimit(group, 1) {
			return
		}
		mayExceedLimits := count == 0 && t.mayExceedLimits(group)
		if !mayExceedLimits && !allowance.covers(group.Need) {
			return
		}
		var best *candidateState
		if mayExceedLimits || !t.fitsNowhere(group) {
			runs = t.runsWithin(group, number, runs)
			best = t.chooseFor(group, runs, mayExceedLimits)
		}
		if best == nil {
			t.noteFailed(number)
			t.handleFailure(group, allowance)
			allowance.fail(group.Need)
			return
		}
		t.take(group, runs, best)
		allowance.spend(group.Need)
		t.note(number, best, allowance)
	}
}

// note records a placement.
func (t *turn) note(number int, candidate *candidateState, allowance allowance) {
	isFromShare := allowance.share != nil
	t.placed = append(t.placed, Placement{number, candidate.index, isFromShare})
	if !isFromShare && !t.countsPlaced {
		return
	}
	if t.placedOf == nil {
		t.placedOf = map[int]int{}
	}
	t.placedOf[number]++
}

// chooseFor gives the best executor for the next task of a group, past soft limits if it may exceed them.
func (t *turn) chooseFor(group *Group, runs map[int]int, mayExceedLimits bool) *candidateState {
	var best *candidateState
	if !t.fitsNowhere(group) {
		best = t.choose(search{group: group, runs: runs, limits: withSoftLimits})
	}
	if best == nil && mayExceedLimits {
		best = t.chooseAny(group, runs)
	}
	return best
}

// runsWithin counts the runs of a group by executor, those that a share has brought in this turn included; runs is what it gave before.
func (t *turn) runsWithin(group *Group, number int, runs map[int]int) map[int]int {
	if group.AntiAffinity == 0 || runs != nil {
		return runs
	}
	runs = runsOn(group)
	if t.placedOf[number] == 0 {
		return runs
	}
	for _, placed := range t.placed {
		if placed.Group == number {
			runs[placed.Executor]++
		}
	}
	return runs
}

// chooseAny gives the best executor for a first run, past all soft limits.
func (t *turn) chooseAny(group *Group, runs map[int]int) *candidateState {
	if t.missesPastLimits.covers(group) {
		return nil
	}
	best := t.choose(search{group: group, runs: runs, limits: withoutSoftLimits})
	if best == nil {
		t.missesPastLimits.note(group)
	}
	return best
}

// handleFailure remembers that a task found no executor, and reserves one for it if it is large.
func (t *turn) handleFailure(group *Group, allowance allowance) {
	if !t.fitsNowhere(group) {
		t.noteFailure(group)
	}
	if !group.IsSpeculative && !group.IsLocalityRequired && t.openCount > 0 && !t.isOver && t.isLarge(group) && allowance.mayReserve() {
		t.reserve(group)
	}
}

func runsOn(group *Group) map[int]int {
	runs := maps.Clone(group.RunsByExecutor)
	if runs == nil {
		runs = map[int]int{}
	}
	return runs
}

// take counts a run of the group on an executor.
func (t *turn) take(group *Group, runs map[int]int, candidate *candidateState) {
	candidate.free = candidate.free.Minus(group.Need)
	candidate.added++
	t.firstRunCPU -= group.Need.CPU
	t.countForTenant(group, 1)
	t.isLargestFreeStale = true
	if group.AntiAffinity > 0 {
		runs[candidate.index]++
	}
}

// choose gives the best of the executors that pass the filter, or nil.
func (t *turn) choose(search search) *candidateState {
	var best *candidateState
	bestScore := 0.0
	for number := range t.candidates {
		candidate := &t.candidates[number]
		if t.filter(search, candidate) != Suitable {
			continue
		}
		score := scoreOf(search.group, &t.executors[candidate.index], candidate)
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}
