package placement

import "container/heap"

// size is the executors of one total room that are open and not reserved: a heap with the emptiest on top.
type size struct {
	total      Resources
	places     []emptiness
	candidates []candidate
}

// emptiness is the room an executor had when it was last looked at; a candidate may have less by now.
type emptiness struct {
	place     int
	cpu       int64
	candidate int
}

const noCandidate = -1

func (e emptiness) isBefore(other emptiness) bool {
	return e.cpu > other.cpu || e.cpu == other.cpu && e.place < other.place
}

func (s *size) Len() int               { return len(s.places) }
func (s *size) Less(one, two int) bool { return s.places[one].isBefore(s.places[two]) }
func (s *size) Swap(one, two int)      { s.places[one], s.places[two] = s.places[two], s.places[one] }

// Push does nothing; heap.Interface asks for it, but executors are only put in before heap.Init.
func (s *size) Push(any) {}

// Pop leaves the last executor where heap.Remove has moved it; take cuts it off.
func (s *size) Pop() any { return nil }

func (s *size) suits(need Resources) bool {
	isLarge := 3*need.CPU > s.total.CPU || 3*need.Memory > s.total.Memory
	return isLarge && len(s.places) > 0 && s.total.Fits(need)
}

// emptiest brings up to date what lies on top until it is what it says.
func (s *size) emptiest() emptiness {
	for {
		top := &s.places[0]
		if top.candidate == noCandidate || s.candidates[top.candidate].free.CPU == top.cpu {
			return *top
		}
		top.cpu = s.candidates[top.candidate].free.CPU
		heap.Fix(s, 0)
	}
}

// take reserves an executor and removes it from the heap.
func (s *size) take(number int) {
	if one := s.places[number].candidate; one != noCandidate {
		s.candidates[one].isReserved = true
	}
	heap.Remove(s, number)
	s.places = s.places[:len(s.places)-1]
}

// emptiestFor finds the emptiest executor that a group with labels, or with executors barred, may use at all.
func (s *size) emptiestFor(group *Group, executors []Executor) (best emptiness, number int) {
	number = -1
	for place, one := range s.places {
		if one.candidate != noCandidate {
			one.cpu = s.candidates[one.candidate].free.CPU
		}
		isBarred := len(group.Excluded) > one.place && group.Excluded[one.place]
		if !isBarred && hasAll(executors[one.place].Labels, group.Labels) && (number < 0 || one.isBefore(best)) {
			best, number = one, place
		}
	}
	return best, number
}

// findEmptiest gives the emptiest executor of this size that a group may use, by its number in the heap.
func (s *size) findEmptiest(group *Group, executors []Executor) (best emptiness, number int) {
	if len(group.Labels) == 0 && group.Excluded == nil {
		return s.emptiest(), 0
	}
	return s.emptiestFor(group, executors)
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones. One that
// the task can't use is left to others.
func (t *turn) reserve(group *Group) {
	if 3*group.Need.CPU <= t.smallest.CPU && 3*group.Need.Memory <= t.smallest.Memory {
		return
	}
	if t.sizes == nil {
		t.sizes = t.bySize()
	}
	var best emptiness
	var of *size
	var inHeap int
	for _, one := range t.sizes {
		if !one.suits(group.Need) {
			continue
		}
		if top, number := one.findEmptiest(group, t.executors); number >= 0 && (of == nil || top.isBefore(best)) {
			best, of, inHeap = top, one, number
		}
	}
	if of == nil {
		return
	}
	of.take(inHeap)
	t.open--
	t.isMostOld = true
}

func (t *turn) bySize() []*size {
	sizes := []*size{}
	known := map[Resources]*size{}
	next := 0
	for place := range t.executors {
		executor := &t.executors[place]
		isCandidate := next < len(t.candidates) && t.candidates[next].place == place
		if isCandidate {
			next++
		}
		if executor.isShut() {
			continue
		}
		of := known[executor.Total]
		if of == nil {
			of = &size{total: executor.Total, candidates: t.candidates}
			known[executor.Total] = of
			sizes = append(sizes, of)
		}
		one := emptiness{place, executor.Free.CPU, noCandidate}
		if isCandidate {
			one.candidate, one.cpu = next-1, t.candidates[next-1].free.CPU
		}
		of.places = append(of.places, one)
	}
	for _, one := range sizes {
		heap.Init(one)
	}
	return sizes
}
