// Package placement decides which executor runs which task. Its results depend only on its input: it uses no clock and no network.
package placement

import (
	"maps"
)

// Place returns the tasks to start and their executors. Shares are placed first, then all other groups in queue order. If a tenant is
// above its share, tenants above their shares are left out of a first pass over the queue. Place subtracts what it places from
// limits.Remaining.
func Place(executors []Executor, queue Queue, limits Limits) []Placement {
	if len(queue.Groups)+len(queue.Speculative) == 0 {
		return nil
	}
	round := newRound(executors, queue, limits)
	round.placeShares(queue.Groups, limits)
	if round.hasTenantAboveShare() {
		round.placeWithinTenantShares(queue.Groups, limits.Remaining)
	}
	round.placeAll(queue.Groups, 0, limits.Remaining)
	round.placeAll(queue.Speculative, len(queue.Groups), limits.Remaining)
	return round.placed
}

// placeWithinTenantShares makes a pass over the queue in which tenants above their shares start nothing. A second pass must follow, which
// places the rest of the capacity regardless of these shares.
func (r *placementRound) placeWithinTenantShares(groups []*Group, remaining map[int]Resources) {
	r.appliesTenantShares, r.countsPlacements, r.failedGroups = true, true, map[int]bool{}
	r.placeAll(groups, 0, remaining)
	r.appliesTenantShares = false
}

// markFailed records a group that found no executor in the pass within tenant shares. It would find none later in the round either.
func (r *placementRound) markFailed(number int) {
	if r.appliesTenantShares {
		r.failedGroups[number] = true
	}
}

// placeAll places groups in queue order within their allowances. firstNumber is the number of the first of them.
func (r *placementRound) placeAll(groups []*Group, firstNumber int, remaining map[int]Resources) {
	for index, group := range groups {
		if r.isExhausted {
			return
		}
		if !r.failedGroups[firstNumber+index] {
			r.placeGroup(group, firstNumber+index, allowanceOf(remaining, group))
		}
	}
}

// placeGroup places the tasks of a group that are not placed yet. A gang is skipped if it was placed before.
func (r *placementRound) placeGroup(group *Group, number int, allowance allowance) {
	switch {
	case !group.IsGang:
		r.placeSingles(group, number, allowance)
	case r.placedOf[number] == 0:
		r.placeGang(group, number, allowance)
	}
}

// placeSingles places the tasks of a group one by one, until one finds no executor, a limit is reached or the share is spent.
func (r *placementRound) placeSingles(group *Group, number int, allowance allowance) {
	var runs map[int]int
	for count := r.placedOf[number]; count < group.Count && !allowance.isShareSpent(); count++ {
		if r.isTenantAtLimit(group, 1) {
			return
		}
		mayExceedLimits := count == 0 && r.mayExceedLimits(group)
		if !mayExceedLimits && !allowance.covers(group.Need) {
			return
		}
		var best *candidateState
		if mayExceedLimits || !r.fitsNowhere(group) {
			runs = r.runsByExecutor(group, number, runs)
			best = r.chooseFor(group, runs, mayExceedLimits)
		}
		if best == nil {
			r.markFailed(number)
			r.handleFailure(group, allowance)
			allowance.countFailure(group.Need)
			return
		}
		r.allocate(group, runs, best)
		allowance.spend(group.Need)
		r.recordPlacement(number, best, allowance)
	}
}

// recordPlacement appends a placement, and counts it for its group if the round may come back to that group later.
func (r *placementRound) recordPlacement(number int, candidate *candidateState, allowance allowance) {
	isFromShare := allowance.share != nil
	r.placed = append(r.placed, Placement{number, candidate.index, isFromShare})
	if !isFromShare && !r.countsPlacements {
		return
	}
	if r.placedOf == nil {
		r.placedOf = map[int]int{}
	}
	r.placedOf[number]++
}

// chooseFor returns the best executor for the next task of a group, or nil. A group that may exceed the soft limits does so only if no
// executor within them is found.
func (r *placementRound) chooseFor(group *Group, runs map[int]int, mayExceedLimits bool) *candidateState {
	var best *candidateState
	if !r.fitsNowhere(group) {
		best = r.choose(search{group: group, runs: runs, limits: withSoftLimits})
	}
	if best == nil && mayExceedLimits {
		best = r.chooseIgnoringLimits(group, runs)
	}
	return best
}

// runsByExecutor counts the runs of a group's step by executor, including those placed earlier in this round. Without anti-affinity there is
// nothing to count. runs is the result of an earlier call, which is returned again, or nil.
func (r *placementRound) runsByExecutor(group *Group, number int, runs map[int]int) map[int]int {
	if group.AntiAffinity == 0 || runs != nil {
		return runs
	}
	runs = copyRuns(group)
	if r.placedOf[number] == 0 {
		return runs
	}
	for _, placed := range r.placed {
		if placed.Group == number {
			runs[placed.Executor]++
		}
	}
	return runs
}

// chooseIgnoringLimits returns the best executor for a first run, ignoring all soft limits, or nil.
func (r *placementRound) chooseIgnoringLimits(group *Group, runs map[int]int) *candidateState {
	if r.missesWithoutLimits.rulesOut(group) {
		return nil
	}
	best := r.choose(search{group: group, runs: runs, limits: withoutSoftLimits})
	if best == nil {
		r.missesWithoutLimits.add(group)
	}
	return best
}

// handleFailure records that there was no executor for a task of a group, and reserves an executor for the group if its tasks are large.
func (r *placementRound) handleFailure(group *Group, allowance allowance) {
	if !r.fitsNowhere(group) {
		r.recordMiss(group)
	}
	if !group.IsSpeculative && !group.IsLocalityRequired && r.unreservedCount > 0 && !r.isExhausted && r.isLarge(group) && allowance.mayReserve() {
		r.reserve(group)
	}
}

// copyRuns returns a copy of the group's runs by executor that may be changed.
func copyRuns(group *Group) map[int]int {
	runs := maps.Clone(group.RunsByExecutor)
	if runs == nil {
		runs = map[int]int{}
	}
	return runs
}

// allocate takes the capacity for one run of the group from an executor and counts the run.
func (r *placementRound) allocate(group *Group, runs map[int]int, candidate *candidateState) {
	candidate.free = candidate.free.Minus(group.Need)
	candidate.addedRuns++
	r.firstRunCPU -= group.Need.CPU
	r.countForTenant(group, 1)
	r.isLargestFreeStale = true
	if group.AntiAffinity > 0 {
		runs[candidate.index]++
	}
}

// choose returns the executor with the lowest score among those that pass the filter, or nil.
func (r *placementRound) choose(search search) *candidateState {
	var best *candidateState
	bestScore := 0.0
	for index := range r.candidates {
		candidate := &r.candidates[index]
		if r.filter(search, candidate) != Suitable {
			continue
		}
		score := scoreOf(search.group, &r.executors[candidate.index], candidate)
		if best == nil || score < bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}
