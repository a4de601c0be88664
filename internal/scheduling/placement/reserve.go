package placement

import "container/heap"

// sizeClass is the executors of one total capacity that are open and not reserved: a heap with the emptiest on top.
type sizeClass struct {
	total      Resources
	entries    []heapEntry
	candidates []candidateState
}

// heapEntry is the CPU that was free on an executor when it was last looked at; a candidate may have less by now.
type heapEntry struct {
	index     int
	cpu       int64
	candidate int
}

const noCandidate = -1

func (e heapEntry) isEmptierThan(other heapEntry) bool {
	return e.cpu > other.cpu || e.cpu == other.cpu && e.index < other.index
}

func (s *sizeClass) Len() int           { return len(s.entries) }
func (s *sizeClass) Less(a, b int) bool { return s.entries[a].isEmptierThan(s.entries[b]) }
func (s *sizeClass) Swap(a, b int)      { s.entries[a], s.entries[b] = s.entries[b], s.entries[a] }

// Push does nothing; heap.Interface asks for it, but executors are only put in before heap.Init.
func (s *sizeClass) Push(any) {}

// Pop leaves the last executor where heap.Remove has moved it; take cuts it off.
func (s *sizeClass) Pop() any { return nil }

func (s *sizeClass) suits(need Resources) bool {
	isLarge := 3*need.CPU > s.total.CPU || 3*need.Memory > s.total.Memory
	return isLarge && len(s.entries) > 0 && s.total.Fits(need)
}

// emptiest brings up to date what lies on top until it is what it says.
func (s *sizeClass) emptiest() heapEntry {
	for {
		top := &s.entries[0]
		if top.candidate == noCandidate || s.candidates[top.candidate].free.CPU == top.cpu {
			return *top
		}
		top.cpu = s.candidates[top.candidate].free.CPU
		heap.Fix(s, 0)
	}
}

// take reserves an executor and removes it from the heap.
func (s *sizeClass) take(number int) {
	if one := s.entries[number].candidate; one != noCandidate {
		s.candidates[one].isReserved = true
	}
	heap.Remove(s, number)
	s.entries = s.entries[:len(s.entries)-1]
}

// emptiestFor finds the emptiest executor that a group with labels, or with executors excluded, may use at all.
func (s *sizeClass) emptiestFor(group *Group, executors []Executor) (emptiest heapEntry, number int) {
	number = -1
	for index, entry := range s.entries {
		if entry.candidate != noCandidate {
			entry.cpu = s.candidates[entry.candidate].free.CPU
		}
		isExcluded := len(group.Excluded) > entry.index && group.Excluded[entry.index]
		if !isExcluded && hasAll(executors[entry.index].Labels, group.Labels) && (number < 0 || entry.isEmptierThan(emptiest)) {
			emptiest, number = entry, index
		}
	}
	return emptiest, number
}

// findEmptiest gives the emptiest executor of this size that a group may use, by its number in the heap.
func (s *sizeClass) findEmptiest(group *Group, executors []Executor) (emptiest heapEntry, number int) {
	if len(group.Labels) == 0 && group.Excluded == nil {
		return s.emptiest(), 0
	}
	return s.emptiestFor(group, executors)
}

// isLarge tells whether a group's tasks may be too large to find room between small ones.
func (t *turn) isLarge(group *Group) bool {
	return 3*group.Need.CPU > t.smallestTotal.CPU || 3*group.Need.Memory > t.smallestTotal.Memory
}

// reserve keeps the emptiest executor for a large task, so that it does not starve behind small later ones. One that
// the task can't use is left to others.
func (t *turn) reserve(group *Group) {
	if t.sizeClasses == nil {
		t.sizeClasses = t.bySizeClass()
	}
	var emptiest heapEntry
	var chosen *sizeClass
	var inHeap int
	for _, class := range t.sizeClasses {
		if !class.suits(group.Need) {
			continue
		}
		if top, number := class.findEmptiest(group, t.executors); number >= 0 && (chosen == nil || top.isEmptierThan(emptiest)) {
			emptiest, chosen, inHeap = top, class, number
		}
	}
	if chosen == nil {
		return
	}
	chosen.take(inHeap)
	t.openCount--
	t.isLargestFreeStale = true
}

// bySizeClass groups the executors by their total capacity, each class as a heap ordered by free capacity.
func (t *turn) bySizeClass() []*sizeClass {
	sizes := []*sizeClass{}
	known := map[Resources]*sizeClass{}
	next := 0
	for index := range t.executors {
		executor := &t.executors[index]
		isCandidate := next < len(t.candidates) && t.candidates[next].index == index
		if isCandidate {
			next++
		}
		if executor.isShut() {
			continue
		}
		class := known[executor.Total]
		if class == nil {
			class = &sizeClass{total: executor.Total, candidates: t.candidates}
			known[executor.Total] = class
			sizes = append(sizes, class)
		}
		entry := heapEntry{index, executor.Free.CPU, noCandidate}
		if isCandidate {
			entry.candidate, entry.cpu = next-1, t.candidates[next-1].free.CPU
		}
		class.entries = append(class.entries, entry)
	}
	for _, class := range sizes {
		heap.Init(class)
	}
	return sizes
}
