// Package placement decides which executor runs which task. It knows neither clock nor network.
package placement

import (
	"maps"
)

// Place gives the starts that fit, in the order of the queue.
func Place(executors []Executor, queue Queue, limits Limits) []Placement {
	if len(queue.Groups)+len(queue.Speculative) == 0 {
		return nil
	}
	turn := newTurn(executors, queue.MinNeed, limits.FirstRunCPU)
	turn.placeAll(queue.Groups, 0, limits.Remaining)
	turn.placeAll(queue.Speculative, len(queue.Groups), limits.Remaining)
	return turn.placed
}

// placeAll places groups of the same priority in their order, within what their limits still allow.
func (t *turn) placeAll(groups []*Group, number int, remaining map[int]Resources) {
	for index, group := range groups {
		if t.isOver {
			return
		}
		allowance := allowanceOf(remaining, group)
		if group.IsGang {
			t.placeGang(group, number+index, allowance)
			continue
		}
		t.placeSingles(group, number+index, allowance)
	}
}

// allowance is what one priority may still take.
type allowance struct {
	remaining map[int]Resources
	priority  int
	isBound   bool
}

func allowanceOf(remaining map[int]Resources, group *Group) allowance {
	if !group.IsLong {
		return allowance{remaining: remaining, priority: group.Priority}
	}
	_, isBound := remaining[group.Priority]
	return allowance{remaining, group.Priority, isBound}
}

func (a allowance) covers(need Resources) bool {
	if !a.isBound {
		return true
	}
	capacity := a.remaining[a.priority]
	return need.CPU <= capacity.CPU && need.Memory <= capacity.Memory
}

// spend counts against this priority and all below it.
func (a allowance) spend(need Resources) {
	for priority, capacity := range a.remaining {
		if priority >= a.priority {
			a.remaining[priority] = capacity.Minus(need)
		}
	}
}

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
	smallestTotal      Resources
	placed             []Placement
}

// candidateState is an executor that had capacity when the turn began, and what it has now.
type candidateState struct {
	index      int
	free       Resources
	isReserved bool
	added      int
}

// newTurn gathers the executors that can still take a run.
func newTurn(executors []Executor, minNeed Resources, firstRunCPU int64) *turn {
	t := &turn{executors: executors, minNeed: minNeed, firstRunCPU: firstRunCPU}
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
		if isAtLimit && t.firstRunCPU <= 0 {
			continue
		}
		t.isOver = t.isOver && !candidate.free.Fits(t.minNeed)
		if !candidate.isReserved && !isAtLimit {
			t.largestFree = t.largestFree.Max(candidate.free)
		}
	}
}

// mayExceedLimits tells whether soft limits give way to a group, as far as nothing of its step runs.
func (t *turn) mayExceedLimits(group *Group) bool {
	return group.IsIdle && !group.IsSpeculative && t.firstRunCPU > 0
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

// placeSingles places a group's tasks one by one until one finds no executor.
func (t *turn) placeSingles(group *Group, number int, allowance allowance) {
	runs := group.RunsByExecutor
	if group.AntiAffinity > 0 {
		runs = runsOn(group)
	}
	for count := range group.Count {
		mayExceedLimits := count == 0 && t.mayExceedLimits(group)
		if !mayExceedLimits && !allowance.covers(group.Need) {
			return
		}
		var best *candidateState
		if !t.fitsNowhere(group) {
			best = t.choose(search{group: group, runs: runs, limits: withSoftLimits})
		}
		if best == nil && mayExceedLimits {
			best = t.chooseAny(group, runs)
		}
		if best == nil {
			t.handleFailure(group)
			return
		}
		t.take(group, runs, best)
		allowance.spend(group.Need)
		t.placed = append(t.placed, Placement{number, best.index})
	}
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

func (t *turn) handleFailure(group *Group) {
	if !t.fitsNowhere(group) {
		t.noteFailure(group)
	}
	if !group.IsSpeculative && !group.IsLocalityRequired && t.openCount > 0 && !t.isOver {
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
