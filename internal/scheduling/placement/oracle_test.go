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
		copy(dense.barred, group.Barred)
		for place, count := range group.Held {
			dense.held[place] = count
		}
		for _, place := range group.Avoid {
			dense.avoid[place] = true
		}
		for _, place := range group.Except {
			dense.barred[place] = true
		}
		groups[number] = dense
	}
	return groups
}

// PlaceByWalking is the plain way to place: all executors are looked at for each task.
func PlaceByWalking(executors []Executor, sparse []*Group, limits Limits) []Placement {
	left, firstRuns := limits.Left, limits.FirstRuns
	groups := denseGroups(sparse, len(executors))
	free := make([]Room, len(executors))
	for place, executor := range executors {
		free[place] = executor.Free
	}
	order := make([]int, len(groups))
	for place := range order {
		order[place] = place
	}
	slices.SortStableFunc(order, func(one, two int) int {
		return cmp.Or(compareBools(groups[one].IsSpare, groups[two].IsSpare), compareBools(groups[one].Chance == ChanceTooLate, groups[two].Chance == ChanceTooLate),
			cmp.Compare(groups[one].Priority, groups[two].Priority), cmp.Compare(groups[one].Chance, groups[two].Chance), cmp.Compare(groups[one].Due, groups[two].Due))
	})
	var placed []Placement
	reserved, added := make([]bool, len(executors)), make([]int, len(executors))
	for _, number := range order {
		group := &groups[number]
		allowance := allowanceOf(left, group.Group)
		isFirst := group.IsIdle && !group.IsSpare && firstRuns > 0
		if group.IsGang {
			if isFirst || allowance.covers(group.Need.Times(float64(group.Count))) {
				gang := placeGang(executors, free, added, group, number)
				if gang == nil && isFirst {
					gang = placeGang(unlimited(executors), free, added, group, number)
				}
				allowance.spend(group.Need.Times(float64(len(gang))))
				firstRuns -= group.Need.CPU * int64(len(gang))
				placed = append(placed, gang...)
			}
			continue
		}
		held := slices.Clone(group.held)
		for count := range group.Count {
			isFirst = isFirst && count == 0
			if !isFirst && !allowance.covers(group.Need) {
				break
			}
			best := choose(executors, free, reserved, added, group, held)
			if best < 0 && isFirst {
				best = choose(unlimited(executors), free, make([]bool, len(executors)), added, group, held)
			}
			if best < 0 {
				if !group.IsSpare && !group.IsNearOnly {
					reserve(executors, free, reserved, group)
				}
				break
			}
			free[best] = free[best].Minus(group.Need)
			held[best]++
			added[best]++
			allowance.spend(group.Need)
			firstRuns -= group.Need.CPU
			placed = append(placed, Placement{number, best})
		}
	}
	return placed
}

// unlimited gives the executors without any bound on their runs.
func unlimited(executors []Executor) []Executor {
	all := slices.Clone(executors)
	for place := range all {
		all[place].Most = 0
	}
	return all
}

func allowed(executor *Executor, group *denseGroup, held []int, place int) bool {
	isBarred := len(group.barred) > place && group.barred[place]
	if executor.IsClosed || isBarred || group.Apart > 0 && held[place] >= group.Apart || group.IsNearOnly && !isNear(executor, group.Group) {
		return false
	}
	for _, label := range group.Labels {
		if !slices.Contains(executor.Labels, label) {
			return false
		}
	}
	return true
}

func choose(executors []Executor, free []Room, reserved []bool, added []int, group *denseGroup, held []int) int {
	best, bestScore := -1, 0.0
	for place := range executors {
		executor := &executors[place]
		isLimited := executor.Most == NoMore || executor.Most > 0 && added[place] >= executor.Most
		if isLimited || reserved[place] || !allowed(executor, group, held, place) || !free[place].Fits(group.Need) {
			continue
		}
		score := rate(executor, free[place], group.Group)
		if len(group.avoid) > place && group.avoid[place] {
			score += 20
		}
		if best < 0 || score < bestScore {
			best, bestScore = place, score
		}
	}
	return best
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones.
func reserve(executors []Executor, free []Room, reserved []bool, group *denseGroup) {
	best := -1
	for place := range executors {
		executor := &executors[place]
		isLarge := 3*group.Need.CPU > executor.Total.CPU || 3*group.Need.Memory > executor.Total.Memory
		mayUse := !(len(group.Barred) > place && group.Barred[place]) && hasAll(executor.Labels, group.Labels)
		if !mayUse || reserved[place] || executor.IsClosed || executor.Most == NoMore || !isLarge || !executor.Total.Fits(group.Need) {
			continue
		}
		if best < 0 || free[place].CPU > free[best].CPU {
			best = place
		}
	}
	if best >= 0 {
		reserved[best] = true
	}
}

func placeGang(executors []Executor, free []Room, added []int, group *denseGroup, number int) []Placement {
	if group.SameRack {
		for _, rack := range racksByFree(executors, free) {
			if placed := fillGang(executors, free, added, group, number, rack); placed != nil {
				return placed
			}
		}
	}
	return fillGang(executors, free, added, group, number, "")
}

func racksByFree(executors []Executor, free []Room) []string {
	total := map[string]int64{}
	for place, executor := range executors {
		if !executor.IsClosed && executor.Rack != "" {
			total[executor.Rack] += free[place].CPU
		}
	}
	racks := make([]string, 0, len(total))
	for rack := range total {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(one, two string) int {
		return cmp.Or(cmp.Compare(total[two], total[one]), cmp.Compare(one, two))
	})
	return racks
}

func fillGang(executors []Executor, free []Room, added []int, group *denseGroup, number int, rack string) []Placement {
	trial, held, counts := slices.Clone(free), slices.Clone(group.held), slices.Clone(added)
	closed := make([]bool, len(executors))
	for place, executor := range executors {
		closed[place] = rack != "" && executor.Rack != rack
	}
	var placed []Placement
	for range group.Count {
		best := choose(executors, trial, closed, counts, group, held)
		if best < 0 {
			return nil
		}
		trial[best] = trial[best].Minus(group.Need)
		held[best]++
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
		if group.IsSpare {
			spares = append(spares, number)
			continue
		}
		firsts = append(firsts, number)
	}
	compare := func(one, two int) int { return CompareGroups(groups[one], groups[two]) }
	slices.SortStableFunc(firsts, compare)
	slices.SortStableFunc(spares, compare)
	line := Line{}
	order := slices.Concat(firsts, spares)
	for place, number := range order {
		if place == 0 {
			line.Least = groups[number].Need
		}
		line.Least = line.Least.AtMost(groups[number].Need)
		if groups[number].IsSpare {
			line.Spares = append(line.Spares, groups[number])
			continue
		}
		line.Groups = append(line.Groups, groups[number])
	}
	placed := Place(executors, line, limits)
	for place := range placed {
		placed[place].Group = order[placed[place].Group]
	}
	return placed
}
