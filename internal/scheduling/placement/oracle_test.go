package placement

import (
	"cmp"
	"slices"
)

// denseGroup is a group with tables as long as the executors.
type denseGroup struct {
	*Group
	held   []int
	avoid  []bool
	barred []bool
}

func denseGroups(sparse []*Group, executors int) []denseGroup {
	groups := make([]denseGroup, len(sparse))
	for number, group := range sparse {
		dense := denseGroup{group, make([]int, executors), make([]bool, executors), make([]bool, executors)}
		copy(dense.barred, group.Excluded)
		for index, count := range group.RunsByExecutor {
			dense.held[index] = count
		}
		for _, index := range group.Avoided {
			dense.avoid[index] = true
		}
		for _, index := range group.ExcludedIndices {
			dense.barred[index] = true
		}
		groups[number] = dense
	}
	return groups
}

// PlaceByWalking is the plain way to place: all executors are looked at for each task.
func PlaceByWalking(executors []Executor, sparse []*Group, limits Limits) []Placement {
	remaining, firstRunCPU := limits.Remaining, limits.FirstRunCPU
	groups := denseGroups(sparse, len(executors))
	free := make([]Resources, len(executors))
	for index, executor := range executors {
		free[index] = executor.Free
	}
	order := make([]int, len(groups))
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(one, two int) int {
		return cmp.Or(compareBools(groups[one].IsSpeculative, groups[two].IsSpeculative), compareBools(groups[one].Deadline == Expired, groups[two].Deadline == Expired),
			cmp.Compare(groups[one].Priority, groups[two].Priority), cmp.Compare(groups[one].Deadline, groups[two].Deadline), cmp.Compare(groups[one].Due, groups[two].Due))
	})
	var placed []Placement
	reserved, added := make([]bool, len(executors)), make([]int, len(executors))
	for _, number := range order {
		group := &groups[number]
		allowance := allowanceOf(remaining, group.Group)
		isFirst := group.IsIdle && !group.IsSpeculative && firstRunCPU > 0
		if group.IsGang {
			if isFirst || allowance.covers(group.Need.Times(float64(group.Count))) {
				gang := placeGang(executors, free, added, group, number)
				if gang == nil && isFirst {
					gang = placeGang(unlimited(executors), free, added, group, number)
				}
				allowance.spend(group.Need.Times(float64(len(gang))))
				firstRunCPU -= group.Need.CPU * int64(len(gang))
				placed = append(placed, gang...)
			}
			continue
		}
		runs := slices.Clone(group.held)
		for count := range group.Count {
			isFirst = isFirst && count == 0
			if !isFirst && !allowance.covers(group.Need) {
				break
			}
			best := choose(executors, free, reserved, added, group, runs)
			if best < 0 && isFirst {
				best = choose(unlimited(executors), free, make([]bool, len(executors)), added, group, runs)
			}
			if best < 0 {
				if !group.IsSpeculative && !group.IsLocalityRequired {
					reserve(executors, free, reserved, group)
				}
				break
			}
			free[best] = free[best].Minus(group.Need)
			runs[best]++
			added[best]++
			allowance.spend(group.Need)
			firstRunCPU -= group.Need.CPU
			placed = append(placed, Placement{number, best})
		}
	}
	return placed
}

// unlimited gives the executors without any bound on their runs.
func unlimited(executors []Executor) []Executor {
	all := slices.Clone(executors)
	for index := range all {
		all[index].RunLimit = 0
	}
	return all
}

func allowed(executor *Executor, group *denseGroup, runs []int, index int) bool {
	isExcluded := len(group.barred) > index && group.barred[index]
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
		if isLimited || reserved[index] || !allowed(executor, group, runs, index) || !free[index].Fits(group.Need) {
			continue
		}
		score := fitScore(executor, free[index], group.Group)
		if len(group.avoid) > index && group.avoid[index] {
			score += 20
		}
		if best < 0 || score < bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones.
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
	trial, runs, counts := slices.Clone(free), slices.Clone(group.held), slices.Clone(added)
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
		placed = append(placed, Placement{number, best})
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

// PlaceInAnyOrder lines the groups up first; placements name them as they were given.
func PlaceInAnyOrder(executors []Executor, groups []*Group, limits Limits) []Placement {
	var firsts, spares []int
	for number, group := range groups {
		if group.IsSpeculative {
			spares = append(spares, number)
			continue
		}
		firsts = append(firsts, number)
	}
	compare := func(one, two int) int { return CompareGroups(groups[one], groups[two]) }
	slices.SortStableFunc(firsts, compare)
	slices.SortStableFunc(spares, compare)
	line := Queue{}
	order := slices.Concat(firsts, spares)
	for index, number := range order {
		if index == 0 {
			line.MinNeed = groups[number].Need
		}
		line.MinNeed = line.MinNeed.Min(groups[number].Need)
		if groups[number].IsSpeculative {
			line.Speculative = append(line.Speculative, groups[number])
			continue
		}
		line.Groups = append(line.Groups, groups[number])
	}
	placed := Place(executors, line, limits)
	for index := range placed {
		placed[index].Group = order[placed[index].Group]
	}
	return placed
}
