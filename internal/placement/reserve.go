package placement

import "container/heap"

// size is the executors of one total room that are open and not reserved: a heap with the emptiest on top.
type size struct {
	total      Room
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
func (s *size) Push(any)               {}
func (s *size) Pop() any               { return nil }

func (s *size) suits(need Room) bool {
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

func (s *size) takeEmptiest() {
	if one := s.emptiest().candidate; one != noCandidate {
		s.candidates[one].isReserved = true
	}
	last := len(s.places) - 1
	s.places[0] = s.places[last]
	s.places = s.places[:last]
	if last > 0 {
		heap.Fix(s, 0)
	}
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones.
func (t *turn) reserve(group *Group) {
	if 3*group.Need.CPU <= t.smallest.CPU && 3*group.Need.Memory <= t.smallest.Memory {
		return
	}
	if t.sizes == nil {
		t.sizes = t.bySize()
	}
	var best *size
	for _, one := range t.sizes {
		if one.suits(group.Need) && (best == nil || one.emptiest().isBefore(best.emptiest())) {
			best = one
		}
	}
	if best == nil {
		return
	}
	best.takeEmptiest()
	t.open--
	t.isMostOld = true
}

func (t *turn) bySize() []*size {
	sizes := []*size{}
	known := map[Room]*size{}
	next := 0
	for place := range t.executors {
		executor := &t.executors[place]
		if executor.IsClosed {
			continue
		}
		of := known[executor.Total]
		if of == nil {
			of = &size{total: executor.Total, candidates: t.candidates}
			known[executor.Total] = of
			sizes = append(sizes, of)
		}
		one := emptiness{place, executor.Free.CPU, noCandidate}
		if next < len(t.candidates) && t.candidates[next].place == place {
			one.candidate, one.cpu = next, t.candidates[next].free.CPU
			next++
		}
		of.places = append(of.places, one)
	}
	for _, one := range sizes {
		heap.Init(one)
	}
	return sizes
}
