package placement

import "slices"

// turn is one placement under way. Capacity only shrinks while it lasts, so what found none once finds none later,
// and only executors with capacity for the least need of all can be chosen. Gangs may use reserved executors, others not.
type turn struct {
	executors          []Executor
	minNeed            Resources
	candidates         []candidateState
	sizeClasses        []*sizeClass
	openCount          int
	largestFree        Resources
	isLargestFreeStale bool
	isOver             bool
	misses             misses
	missesPastLimits   misses
	firstRunCPU        int64
	tenants            []Tenant
	// isWithinShares keeps tenants to their shares while others may want what is left.
	isWithinShares bool
	// countsPlaced has placedOf count all that is placed, as the queue is gone through once more.
	countsPlaced bool
	// hasFailed are the numbers of the groups that found no executor within shares.
	hasFailed     map[int]bool
	hasLasting    bool
	smallestTotal Resources
	placed        []Placement
	// placedOf counts, by their number, what was placed of the groups that the turn comes back to.
	placedOf map[int]int
}

// candidateState is an executor that had capacity when the turn began, and what it has now.
type candidateState struct {
	index      int
	free       Resources
	isReserved bool
	added      int
}

// newTurn gathers the executors that can still take a run.
func newTurn(executors []Executor, queue Queue, limits Limits) *turn {
	t := &turn{executors: executors, minNeed: queue.MinNeed, firstRunCPU: limits.FirstRunCPU, tenants: slices.Clone(limits.Tenants)}
	t.hasLasting = slices.ContainsFunc(queue.Groups, func(group *Group) bool { return group.IsLasting })
	for index := range executors {
		executor := &executors[index]
		if executor.IsUnschedulable {
			continue
		}
		if !executor.isShut() {
			if t.openCount == 0 {
				t.smallestTotal = executor.Total
			}
			t.smallestTotal = t.smallestTotal.Min(executor.Total)
			t.openCount++
		}
		if executor.Free.Fits(t.minNeed) {
			t.candidates = append(t.candidates, candidateState{index: index, free: executor.Free})
		}
	}
	t.measure()
	return t
}

// measure works out the most capacity that any executor has for single tasks; it is too much once something was placed.
// It also finds out when no executor, reserved or not, has capacity for anything.
func (t *turn) measure() {
	t.largestFree, t.isLargestFreeStale, t.isOver = Resources{CPU: -1, Memory: -1, GPU: -1}, false, true
	for index := range t.candidates {
		candidate := &t.candidates[index]
		isAtLimit := t.isAtRunLimit(candidate)
		if isAtLimit && t.firstRunCPU <= 0 && !t.hasLasting {
			continue
		}
		t.isOver = t.isOver && !candidate.free.Fits(t.minNeed)
		if !candidate.isReserved && !isAtLimit {
			t.largestFree = t.largestFree.Max(candidate.free)
		}
	}
}

// mayExceedLimits tells whether soft limits give way to a group, as far as nothing of its step runs, or its tasks last.
func (t *turn) mayExceedLimits(group *Group) bool {
	return group.IsIdle && !group.IsSpeculative && (group.IsLasting || t.firstRunCPU > 0)
}

// fitsNowhere rejects at once a single task that certainly fits nowhere.
func (t *turn) fitsNowhere(group *Group) bool {
	return t.openCount == 0 || !t.largestFree.Fits(group.Need) || t.misses.covers(group)
}

// noteFailure remembers a need that fits nowhere.
func (t *turn) noteFailure(group *Group) {
	if t.isLargestFreeStale {
		t.measure()
	}
	if !t.fitsNowhere(group) {
		t.misses.note(group)
	}
}
