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
	turn := newTurn(executors, queue.MinNeed, limits.FirstRunCPU)
	turn.placeShares(queue.Groups, limits)
	turn.placeAll(queue.Groups, 0, limits.Remaining)
	turn.placeAll(queue.Speculative, len(queue.Groups), limits.Remaining)
	return turn.placed
}

// placeAll places groups in their order, within what their limits still allow.
func (t *turn) placeAll(groups []*Group, number int, remaining map[int]Resources) {
	for index, group := range groups {
		if t.isOver {
			return
		}
		t.placeGroup(group, number+index, allowanceOf(remaining, group))
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
	// placedOf counts what was placed of the groups that have had part of a share, by their number.
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

// placeSingles places what is left of a group's tasks one by one, until one finds no executor or the share is spent.
func (t *turn) placeSingles(group *Group, number int, allowance allowance) {
	var runs map[int]int
	for count := t.placedOf[number]; count < group.Count && !allowance.isShareSpent(); count++ {
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
	if !isFromShare {
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
