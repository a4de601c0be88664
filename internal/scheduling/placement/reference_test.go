package placement

import (
	"cmp"
	"slices"
)

// denseGroup is a group with its runs, avoided executors and excluded executors as slices indexed by executor.
type denseGroup struct {
	*Group
	runs     []int
	avoided  []bool
	excluded []bool
}

// denseGroups converts groups for a number of executors.
func denseGroups(sparse []*Group, executors int) []denseGroup {
	groups := make([]denseGroup, len(sparse))
	for number, group := range sparse {
		dense := denseGroup{group, make([]int, executors), make([]bool, executors), make([]bool, executors)}
		copy(dense.excluded, group.Excluded)
		for index, count := range group.RunsByExecutor {
			dense.runs[index] = count
		}
		for _, index := range group.Avoided {
			dense.avoided[index] = true
		}
		for _, index := range group.ExcludedIndices {
			dense.excluded[index] = true
		}
		groups[number] = dense
	}
	return groups
}

// referenceRound is the state of one call of PlaceByReference.
type referenceRound struct {
	executors   []Executor
	groups      []denseGroup
	remaining   map[int]Resources
	firstRunCPU int64
	// free, reserved and addedRuns hold the free capacity, the reservation and the number of added runs of each executor.
	free      []Resources
	reserved  []bool
	addedRuns []int
	// counts is the number of placements of each group.
	counts []int
	placed []Placement
}

// PlaceByReference is a simple reference implementation of Place, without tenants. It checks all executors for each task and all groups
// for each share.
func PlaceByReference(executors []Executor, sparse []*Group, limits Limits) []Placement {
	r := &referenceRound{executors: executors, groups: denseGroups(sparse, len(executors)), remaining: limits.Remaining, firstRunCPU: limits.FirstRunCPU,
		free: make([]Resources, len(executors)), reserved: make([]bool, len(executors)), addedRuns: make([]int, len(executors)), counts: make([]int, len(sparse))}
	for index, executor := range executors {
		r.free[index] = executor.Free
	}
	order := make([]int, len(r.groups))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareForReference(r.groups[a].Group, r.groups[b].Group) })
	for _, share := range limits.Shares {
		balance := shareBalance{Share: share}
		for _, number := range order {
			group := r.groups[number]
			isWanted := group.Deadline == share.Deadline && (share.Deadline == Expired || group.Priority == share.Priority)
			if isWanted && !group.IsSpeculative && !group.CanWait && balance.Resources.CPU > 0 && balance.Resources.Memory > 0 && balance.failures < maxShareFailures {
				r.place(number, &balance)
			}
		}
	}
	for _, number := range order {
		r.place(number, nil)
	}
	return r.placed
}

// compareForReference is the queue order, implemented independently of CompareGroups.
func compareForReference(a, b *Group) int {
	isPrompt := func(group *Group) bool { return group.Deadline == OnTime && !(group.IsLong && group.Priority > 0) }
	if order := cmp.Or(compareBools(a.IsSpeculative, b.IsSpeculative), compareBools(a.Deadline == Expired, b.Deadline == Expired)); order != 0 {
		return order
	}
	byAge := cmp.Or(cmp.Compare(a.RemainingTenths, b.RemainingTenths), cmp.Compare(a.Due, b.Due))
	if a.Deadline == Expired {
		return byAge
	}
	return cmp.Or(compareBools(isPrompt(b), isPrompt(a)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Deadline, b.Deadline), byAge)
}

// place places the remaining tasks of one group, from a share unless share is nil.
func (r *referenceRound) place(number int, share *shareBalance) {
	group := &r.groups[number]
	allowance := allowanceOf(r.remaining, group.Group)
	allowance.hasLimit = allowance.hasLimit && share == nil
	mayExceedLimits := r.counts[number] == 0 && group.IsIdle && !group.IsSpeculative && (group.IsLasting || r.firstRunCPU > 0)
	if group.IsGang {
		if r.counts[number] == 0 && (mayExceedLimits || allowance.covers(group.Need.Times(float64(group.Count)))) {
			r.placeGang(number, mayExceedLimits, allowance, share)
		}
		return
	}
	for r.counts[number] < group.Count && (share == nil || share.Resources.CPU > 0 && share.Resources.Memory > 0) {
		mayExceedLimits = mayExceedLimits && r.counts[number] == 0
		if !mayExceedLimits && !allowance.covers(group.Need) {
			return
		}
		best := choose(r.executors, r.free, r.reserved, r.addedRuns, group, group.runs)
		if best < 0 && mayExceedLimits {
			best = choose(unlimited(r.executors), r.free, make([]bool, len(r.executors)), r.addedRuns, group, group.runs)
		}
		if share != nil {
			share.Resources = share.Resources.Minus(group.Need)
		}
		if best < 0 {
			r.reserveOnce(group, share)
			if share != nil {
				share.failures++
			}
			return
		}
		r.free[best] = r.free[best].Minus(group.Need)
		group.runs[best]++
		r.addedRuns[best]++
		r.counts[number]++
		allowance.spend(group.Need)
		r.firstRunCPU -= group.Need.CPU
		r.placed = append(r.placed, Placement{number, best, share != nil})
	}
}

// reserveOnce reserves an executor for a group that found none, if its share allows another reservation.
func (r *referenceRound) reserveOnce(group *denseGroup, share *shareBalance) {
	if group.IsSpeculative || group.IsLocalityRequired {
		return
	}
	if share == nil {
		reserve(r.executors, r.free, r.reserved, group)
		return
	}
	isLarge := slices.ContainsFunc(r.executors, func(executor Executor) bool {
		return !executor.isClosed() && (3*group.Need.CPU > executor.Total.CPU || 3*group.Need.Memory > executor.Total.Memory)
	})
	if isLarge && share.Reservations > 0 {
		share.Reservations--
		reserve(r.executors, r.free, r.reserved, group)
	}
}

// placeGang places all members of a gang or none.
func (r *referenceRound) placeGang(number int, mayExceedLimits bool, allowance allowance, share *shareBalance) {
	group := &r.groups[number]
	gang := placeGang(r.executors, r.free, r.addedRuns, group, number)
	if gang == nil && mayExceedLimits {
		gang = placeGang(unlimited(r.executors), r.free, r.addedRuns, group, number)
	}
	taken := group.Need.Times(float64(len(gang)))
	allowance.spend(taken)
	if share != nil {
		share.Resources = share.Resources.Minus(taken)
	}
	for index := range gang {
		gang[index].IsFromShare = share != nil
	}
	r.firstRunCPU -= group.Need.CPU * int64(len(gang))
	r.counts[number] += len(gang)
	r.placed = append(r.placed, gang...)
}

// unlimited returns a copy of the executors without run limits.
func unlimited(executors []Executor) []Executor {
	all := slices.Clone(executors)
	for index := range all {
		all[index].RunLimit = 0
	}
	return all
}

// isAllowed reports whether the constraints of a group allow an executor, regardless of its capacity, run limit and reservation.
func isAllowed(executor *Executor, group *denseGroup, runs []int, index int) bool {
	isExcluded := len(group.excluded) > index && group.excluded[index]
	if executor.IsUnschedulable || isExcluded || group.AntiAffinity > 0 && runs[index] >= group.AntiAffinity || group.IsLocalityRequired && !IsLocal(executor.Labels, group.Locality) {
		return false
	}
	for _, label := range group.Labels {
		if !slices.Contains(executor.Labels, label) {
			return false
		}
	}
	return true
}

// choose returns the index of the executor with the lowest score, or -1.
func choose(executors []Executor, free []Resources, reserved []bool, addedRuns []int, group *denseGroup, runs []int) int {
	best, bestScore := -1, 0.0
	for index := range executors {
		executor := &executors[index]
		isLimited := executor.RunLimit == NoRuns || executor.RunLimit > 0 && addedRuns[index] >= executor.RunLimit
		if isLimited || reserved[index] || !isAllowed(executor, group, runs, index) || !free[index].Fits(group.Need) {
			continue
		}
		score := fitScore(executor, free[index], group.Group)
		if len(group.avoided) > index && group.avoided[index] {
			score += 20
		}
		if best < 0 || score < bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// reserve reserves the emptiest executor for a large task, so that the task does not starve behind small tasks that come later.
func reserve(executors []Executor, free []Resources, reserved []bool, group *denseGroup) {
	best := -1
	for index := range executors {
		executor := &executors[index]
		isLarge := 3*group.Need.CPU > executor.Total.CPU || 3*group.Need.Memory > executor.Total.Memory
		mayUse := !(len(group.Excluded) > index && group.Excluded[index]) && hasAll(executor.Labels, group.Labels)
		if !mayUse || reserved[index] || executor.IsUnschedulable || executor.RunLimit == NoRuns || !isLarge || !executor.Total.Fits(group.Need) {
			continue
		}
		if best < 0 || free[index].CPU > free[best].CPU {
			best = index
		}
	}
	if best >= 0 {
		reserved[best] = true
	}
}

// placeGang returns the placements of all members of a gang, or nil with nothing allocated.
func placeGang(executors []Executor, free []Resources, addedRuns []int, group *denseGroup, number int) []Placement {
	if group.SameRack {
		for _, rack := range racksByFree(executors, free) {
			if placed := fillGang(executors, free, addedRuns, group, number, rack); placed != nil {
				return placed
			}
		}
	}
	return fillGang(executors, free, addedRuns, group, number, "")
}

// racksByFree lists the racks, ordered by their free CPU from most to least.
func racksByFree(executors []Executor, free []Resources) []string {
	total := map[string]int64{}
	for index, executor := range executors {
		if !executor.IsUnschedulable && executor.Rack != "" {
			total[executor.Rack] += free[index].CPU
		}
	}
	racks := make([]string, 0, len(total))
	for rack := range total {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	})
	return racks
}

// fillGang returns the placements of all members of a gang on one rack, or on any rack if rack is empty. If there is no executor for a
// member, it returns nil and changes nothing.
func fillGang(executors []Executor, free []Resources, addedRuns []int, group *denseGroup, number int, rack string) []Placement {
	trial, runs, counts := slices.Clone(free), slices.Clone(group.runs), slices.Clone(addedRuns)
	otherRack := make([]bool, len(executors))
	for index, executor := range executors {
		otherRack[index] = rack != "" && executor.Rack != rack
	}
	var placed []Placement
	for range group.Count {
		best := choose(executors, trial, otherRack, counts, group, runs)
		if best < 0 {
			return nil
		}
		trial[best] = trial[best].Minus(group.Need)
		runs[best]++
		counts[best]++
		placed = append(placed, Placement{Group: number, Executor: best})
	}
	copy(free, trial)
	copy(addedRuns, counts)
	return placed
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// PlaceInAnyOrder sorts the groups into a queue and calls Place. The placements refer to groups by their index in the argument.
func PlaceInAnyOrder(executors []Executor, groups []*Group, limits Limits) []Placement {
	var regular, speculative []int
	for number, group := range groups {
		if group.IsSpeculative {
			speculative = append(speculative, number)
			continue
		}
		regular = append(regular, number)
	}
	compare := func(a, b int) int { return CompareGroups(groups[a], groups[b]) }
	slices.SortStableFunc(regular, compare)
	slices.SortStableFunc(speculative, compare)
	queue := Queue{}
	order := slices.Concat(regular, speculative)
	for index, number := range order {
		if index == 0 {
			queue.MinNeed = groups[number].Need
		}
		queue.MinNeed = queue.MinNeed.Min(groups[number].Need)
		if groups[number].IsSpeculative {
			queue.Speculative = append(queue.Speculative, groups[number])
			continue
		}
		queue.Groups = append(queue.Groups, groups[number])
	}
	placed := Place(executors, queue, limits)
	for index := range placed {
		placed[index].Group = order[placed[index].Group]
	}
	return placed
}
