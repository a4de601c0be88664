// Package placetasks decides which executor runs which task. It knows neither clock nor network.
package placetasks

import (
	"cmp"
	"slices"
)

type Room struct{ CPU, Memory, GPU int64 }

func (r Room) Fits(need Room) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

func (r Room) Minus(need Room) Room {
	return Room{r.CPU - need.CPU, r.Memory - need.Memory, r.GPU - need.GPU}
}

func (r Room) Plus(need Room) Room {
	return Room{r.CPU + need.CPU, r.Memory + need.Memory, r.GPU + need.GPU}
}

func (r Room) Times(factor float64) Room {
	return Room{int64(float64(r.CPU) * factor), int64(float64(r.Memory) * factor), int64(float64(r.GPU) * factor)}
}

func (r Room) AtLeast(other Room) Room {
	return Room{max(r.CPU, other.CPU), max(r.Memory, other.Memory), max(r.GPU, other.GPU)}
}

type Executor struct {
	Free     Room
	Total    Room
	Labels   []string
	Rack     string
	IsClosed bool
	Doubt    float64
}

// Group is the tasks of one step that may start now; they all ask for the same.
type Group struct {
	Need     Room
	Count    int
	IsGang   bool
	SameRack bool
	Labels   []string
	Near     []string
	Apart    int
	Held     []int
	Avoid    []bool
	Barred   []bool
	IsSpare  bool
	IsLong   bool
	Priority int
	Due      int64
}

type Placement struct{ Group, Executor int }

// Place gives the starts that fit, in the order of priority, then of the aim. Left is what long work of a
// priority may still take of all room together; a priority without an entry may take all there is.
func Place(executors []Executor, groups []Group, left map[int]Room) []Placement {
	free := make([]Room, len(executors))
	for place, executor := range executors {
		free[place] = executor.Free
	}
	order := make([]int, len(groups))
	for place := range order {
		order[place] = place
	}
	slices.SortStableFunc(order, func(one, two int) int {
		return cmp.Or(compareBools(groups[one].IsSpare, groups[two].IsSpare), cmp.Compare(groups[one].Priority, groups[two].Priority), cmp.Compare(groups[one].Due, groups[two].Due))
	})
	var placed []Placement
	reserved := make([]bool, len(executors))
	for _, number := range order {
		group := &groups[number]
		allowance := allowanceOf(left, group)
		if group.IsGang {
			if allowance.covers(group.Need.Times(float64(group.Count))) {
				gang := placeGang(executors, free, group, number)
				allowance.spend(group.Need.Times(float64(len(gang))))
				placed = append(placed, gang...)
			}
			continue
		}
		held := slices.Clone(group.Held)
		for range group.Count {
			if !allowance.covers(group.Need) {
				break
			}
			best := choose(executors, free, reserved, group, held)
			if best < 0 {
				if !group.IsSpare {
					reserve(executors, free, reserved, group)
				}
				break
			}
			free[best] = free[best].Minus(group.Need)
			held[best]++
			allowance.spend(group.Need)
			placed = append(placed, Placement{number, best})
		}
	}
	return placed
}

// allowance is what one priority may still take.
type allowance struct {
	left     map[int]Room
	priority int
	isBound  bool
}

func allowanceOf(left map[int]Room, group *Group) allowance {
	_, isBound := left[group.Priority]
	return allowance{left, group.Priority, isBound && group.IsLong}
}

func (a allowance) covers(need Room) bool {
	room := a.left[a.priority]
	return !a.isBound || need.CPU <= room.CPU && need.Memory <= room.Memory
}

// spend counts against this priority and all below it.
func (a allowance) spend(need Room) {
	for priority, room := range a.left {
		if priority >= a.priority {
			a.left[priority] = room.Minus(need)
		}
	}
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

func allowed(executor *Executor, group *Group, held []int, place int) bool {
	isBarred := len(group.Barred) > place && group.Barred[place]
	if executor.IsClosed || isBarred || group.Apart > 0 && held[place] >= group.Apart {
		return false
	}
	for _, label := range group.Labels {
		if !slices.Contains(executor.Labels, label) {
			return false
		}
	}
	return true
}

func choose(executors []Executor, free []Room, reserved []bool, group *Group, held []int) int {
	best, bestScore := -1, 0.0
	for place := range executors {
		executor := &executors[place]
		if reserved[place] || !allowed(executor, group, held, place) || !free[place].Fits(group.Need) {
			continue
		}
		score := rate(executor, free[place], group)
		if len(group.Avoid) > place && group.Avoid[place] {
			score += 20
		}
		if best < 0 || score < bestScore {
			best, bestScore = place, score
		}
	}
	return best
}

// rate is lower for better executors: near the data first, then trusted, then tightly filled.
func rate(executor *Executor, free Room, group *Group) float64 {
	score := executor.Doubt * 10
	if len(group.Near) > 0 && !isNear(executor, group) {
		score += 5
	}
	left := free.Minus(group.Need)
	if executor.Total.CPU > 0 {
		score += float64(left.CPU) / float64(executor.Total.CPU)
	}
	if executor.Total.Memory > 0 {
		score += 0.5 * float64(left.Memory) / float64(executor.Total.Memory)
	}
	return score
}

func isNear(executor *Executor, group *Group) bool {
	return slices.ContainsFunc(group.Near, func(label string) bool { return slices.Contains(executor.Labels, label) })
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones.
func reserve(executors []Executor, free []Room, reserved []bool, group *Group) {
	best := -1
	for place := range executors {
		executor := &executors[place]
		isLarge := 3*group.Need.CPU > executor.Total.CPU || 3*group.Need.Memory > executor.Total.Memory
		if reserved[place] || executor.IsClosed || !isLarge || !executor.Total.Fits(group.Need) {
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

func placeGang(executors []Executor, free []Room, group *Group, number int) []Placement {
	if group.SameRack {
		for _, rack := range racksByFree(executors, free) {
			if placed := fillGang(executors, free, group, number, rack); placed != nil {
				return placed
			}
		}
	}
	return fillGang(executors, free, group, number, "")
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

func fillGang(executors []Executor, free []Room, group *Group, number int, rack string) []Placement {
	trial, held := slices.Clone(free), slices.Clone(group.Held)
	closed := make([]bool, len(executors))
	for place, executor := range executors {
		closed[place] = rack != "" && executor.Rack != rack
	}
	var placed []Placement
	for range group.Count {
		best := choose(executors, trial, closed, group, held)
		if best < 0 {
			return nil
		}
		trial[best] = trial[best].Minus(group.Need)
		held[best]++
		placed = append(placed, Placement{number, best})
	}
	copy(free, trial)
	return placed
}
