package placement

import (
	"cmp"
	"slices"
)

// denseGroup is a group whose runs, avoided executors and excluded executors are slices indexed by executor.
type denseGroup struct {
	*Group
	runs     []int
	avoided  []bool
	excluded []bool
}

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
	free        []Resources
	reserved    []bool
	added       []int
	counts      []int
	placed      []Placement
}

// PlaceByReference is a simple reference implementation of Place, without tenants. It checks all executors for each task and all groups
// for each share.
func PlaceByReference(executors []Executor, sparse []*Group, limits Limits) []Placement {
	r := &referenceRound{executors: executors, groups: denseGroups(sparse, len(executors)), remaining: limits.Remaining, firstRunCPU: limits.FirstRunCPU,
		free: make([]Resources, len(executors)), reserved: make([]bool, len(executors)), added: make([]int, len(executors)), counts: make([]int, len(sparse))}
	for index, executor := range executors {
		r.free[index] = executor.Free
	}
	order := make([]int, len(r.groups))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(one, two int) int { return compareForReference(r.groups[one].Group, r.groups[two].Group) })
	for _, share := range limits.Shares {
		left := shareBalance{Share: share}
		for _, number := range order {
			group := r.groups[number]
			isWanted := group.Deadline == share.Deadline && (share.Deadline == Expired || group.Priority == share.Priority)
			if isWanted && !group.IsSpeculative && !group.CanWait && left.Resources.CPU > 0 && left.Resources.Memory > 0 && left.failures < maxShareFailures {
				r.place(number, &left)
			}
		}
	}
	for _, number := range order {
		r.place(number, nil)
	}
	return r.placed
}

// compareForReference is the queue order, implemented independently of CompareGroups.
func compareForReference(one, two *Group) int {
	isPrompt := func(group *Group) bool { return group.Deadline == OnTime && !(group.IsLong && group.Priority > 0) }
	if order := cmp.Or(compareBools(one.IsSpeculative, two.IsSpeculative), compareBools(one.Deadline == Expired, two.Deadline == Expired)); order != 0 {
		return order
	}
	byAge := cmp.Or(cmp.Compare(one.RemainingTenths, two.RemainingTenths), cmp.Compare(one.Due, two.Due))
	if one.Deadline == Expired {
		return byAge
	}
	return cmp.Or(compareBools(isPrompt(two), isPrompt(one)), cmp.Compare(one.Priority, two.Priority), cmp.Compare(one.Deadline, two.Deadline), byAge)
}

// place places the remaining tasks of one group, from a share unless share is nil.
func (r *referenceRound) place(number int, share *shareBalance) {
	group := &r.groups[number]
	allowance := allowanceOf(r.remaining, group.Group)
	allowance.hasLimit = allowance.hasLimit && share == nil
	isFirst := r.counts[number] == 0 && group.IsIdle && !group.IsSpeculative && (group.IsLasting || r.firstRunCPU > 0)
	if group.IsGang {
		if r.counts[number] == 0 && (isFirst || allowance.covers(group.Need.Times(float64(group.Count)))) {
			r.placeGang(number, isFirst, allowance, share)
		}
		return
	}
	for r.counts[number] < group.Count && (share == nil || share.Resources.CPU > 0 && share.Resources.Memory > 0) {
		isFirst = isFirst && r.counts[number] == 0
		if !isFirst && !allowance.covers(group.Need) {
			return
		}
		best := choose(r.executors, r.free, r.reserved, r.added, group, group.runs)
		if best < 0 && isFirst {
			best = choose(unlimited(r.executors), r.free, make([]bool, len(r.executors)), r.added, group, group.runs)
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
		r.added[best]++
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
func (r *referenceRound) placeGang(number int, isFirst bool, allowance allowance, share *shareBalance) {
	group := &r.groups[number]
	gang := placeGang(r.executors, r.free, r.added, group, number)
	if gang == nil && isFirst {
		gang = placeGang(unlimited(r.executors), r.free, r.added, group, number)
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

func choose(executors []Executor, free []Resources, reserved []bool, added []int, group *denseGroup, runs []int) int {
	best, bestScore := -1, 0.0
	for index := range executors {
		executor := &executors[index]
		isLimited := executor.RunLimit == NoRuns || executor.RunLimit > 0 && added[index] >= executor.RunLimit
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

// reserve reserves the emptiest executor for a large task, so that the task does not starve behind small later ones.
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

func placeGang(executors []Executor, free []Resources, added []int, group *denseGroup, number int) []Placement {
	if group.SameRack {
		for _, rack := range racksByFree(executors, free) {
			if placed := fillGang(executors, free, added, group, number, rack); placed != nil {
				return placed
			}
		}
	}
	return fillGang(executors, free, added, group, number, "")
}

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
	slices.SortFunc(racks, func(a, two string) int {
		return cmp.Or(cmp.Compare(total[two], total[a]), cmp.Compare(a, two))
	})
	return racks
}

func fillGang(executors []Executor, free []Resources, added []int, group *denseGroup, number int, rack string) []Placement {
	trial, runs, counts := slices.Clone(free), slices.Clone(group.runs), slices.Clone(added)
	closed := make([]bool, len(executors))
	for index, executor := range executors {
		closed[index] = rack != "" && executor.Rack != rack
	}
	var placed []Placement
	for range group.Count {
		best := choose(executors, trial, closed, counts, group, runs)
		if best < 0 {
			return nil
		}
		trial[best] = trial[best].Minus(group.Need)
		runs[best]++
		counts[best]++
		placed = append(placed, Placement{Group: number, Executor: best})
	}
	copy(free, trial)
	copy(added, counts)
	return placed
}

func compareBools(one, two bool) int {
	switch {
	case one == two:
		return 0
	case two:
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
	compare := func(one, two int) int { return CompareGroups(groups[one], groups[two]) }
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
