package placement

import "slices"

// placementRound is the state of one call of Place. Capacity only shrinks during a round, so a group that found no executor will find none
// later, and only executors with capacity for MinNeed can be chosen. Only gangs, and first runs that may exceed the soft limits, may use
// reserved executors.
type placementRound struct {
	executors  []Executor
	minNeed    Resources
	candidates []candidateState
	// sizeClasses is nil until the first reservation.
	sizeClasses []*sizeClass
	// unreservedCount is the number of executors that are neither closed nor reserved.
	unreservedCount int
	// largestFree is an upper bound, in each resource, of the free capacity for single tasks. It is exact unless isLargestFreeStale.
	largestFree        Resources
	isLargestFreeStale bool
	// isExhausted means that no executor has capacity for MinNeed, so that the round ends.
	isExhausted bool
	// misses are needs that found no executor within the soft limits. missesWithoutLimits are needs that found none even without these limits.
	misses              misses
	missesWithoutLimits misses
	// firstRunCPU is how much CPU may still be placed, by any runs, before first runs have to respect the soft limits.
	firstRunCPU int64
	tenants     []Tenant
	// appliesTenantShares is set during the pass within tenant shares, in which tenants above their shares start nothing.
	appliesTenantShares bool
	// countsPlacements is set if there are two passes over the queue, so that placedOf has to count all placements.
	countsPlacements bool
	// failedGroups holds the numbers of the groups that found no executor in the pass within tenant shares.
	failedGroups map[int]bool
	// hasLasting means that the queue has lasting work, whose first runs may always exceed the soft limits.
	hasLasting bool
	// smallestTotal is the smallest total, in each resource, of the executors that are not closed.
	smallestTotal Resources
	placed        []Placement
	// placedOf counts placements by group number, for the groups that the round comes back to.
	placedOf map[int]int
}

// candidateState is an executor that had capacity for MinNeed when the round began, with its free capacity and the number of runs added to
// it since.
type candidateState struct {
	index      int
	free       Resources
	isReserved bool
	addedRuns  int
}

// newRound creates a round. Its candidates are the executors that have capacity for at least MinNeed.
func newRound(executors []Executor, queue Queue, limits Limits) *placementRound {
	r := &placementRound{executors: executors, minNeed: queue.MinNeed, firstRunCPU: limits.FirstRunCPU, tenants: slices.Clone(limits.Tenants)}
	r.hasLasting = slices.ContainsFunc(queue.Groups, func(group *Group) bool { return group.IsLasting })
	for index := range executors {
		executor := &executors[index]
		if executor.IsUnschedulable {
			continue
		}
		if !executor.isClosed() {
			if r.unreservedCount == 0 {
				r.smallestTotal = executor.Total
			}
			r.smallestTotal = r.smallestTotal.Min(executor.Total)
			r.unreservedCount++
		}
		if executor.Free.Fits(r.minNeed) {
			r.candidates = append(r.candidates, candidateState{index: index, free: executor.Free})
		}
	}
	r.updateLargestFree()
	return r
}

// updateLargestFree computes largestFree, which becomes stale with the next placement. It also ends the round when no executor, reserved or
// not, has capacity for MinNeed. Executors at their run limit count for that only while first runs may exceed the limit.
func (r *placementRound) updateLargestFree() {
	r.largestFree, r.isLargestFreeStale, r.isExhausted = Resources{CPU: -1, Memory: -1, GPU: -1}, false, true
	for index := range r.candidates {
		candidate := &r.candidates[index]
		isAtLimit := r.isAtRunLimit(candidate)
		if isAtLimit && r.firstRunCPU <= 0 && !r.hasLasting {
			continue
		}
		r.isExhausted = r.isExhausted && !candidate.free.Fits(r.minNeed)
		if !candidate.isReserved && !isAtLimit {
			r.largestFree = r.largestFree.Max(candidate.free)
		}
	}
}

// mayExceedLimits reports whether a group may exceed the soft limits with its first run in the round: its step is idle, and either it is
// lasting work or FirstRunCPU is not used up.
func (r *placementRound) mayExceedLimits(group *Group) bool {
	return group.IsIdle && !group.IsSpeculative && (group.IsLasting || r.firstRunCPU > 0)
}

// fitsNowhere reports whether a single task certainly fits nowhere within the soft limits, without a search.
func (r *placementRound) fitsNowhere(group *Group) bool {
	return r.unreservedCount == 0 || !r.largestFree.Fits(group.Need) || r.misses.rulesOut(group)
}

// recordMiss records a need that fits nowhere, unless an up-to-date largestFree rules it out already.
func (r *placementRound) recordMiss(group *Group) {
	if r.isLargestFreeStale {
		r.updateLargestFree()
	}
	if !r.fitsNowhere(group) {
		r.misses.add(group)
	}
}
