package placement

import "container/heap"

// sizeClass holds the executors of one total capacity that are neither closed nor reserved, in a heap with the emptiest on top.
type sizeClass struct {
	total      Resources
	entries    []heapEntry
	candidates []candidateState
}

// heapEntry is an executor with its free CPU when it was last read. A candidate may have less by now. candidate is its index in
// sizeClass.candidates, or noCandidate for an executor that had no capacity when the round began.
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

// Push does nothing. heap.Interface requires it, but executors are only added before heap.Init.
func (s *sizeClass) Push(any) {}

// Pop does nothing. heap.Remove has moved the removed executor to the end, and reserve truncates the slice.
func (s *sizeClass) Pop() any { return nil }

// suits reports whether an executor of this class can hold the need, and the need is large for it: more than a third of its CPU or memory.
func (s *sizeClass) suits(need Resources) bool {
	isLarge := 3*need.CPU > s.total.CPU || 3*need.Memory > s.total.Memory
	return isLarge && len(s.entries) > 0 && s.total.Fits(need)
}

// emptiest returns the emptiest executor. It refreshes the entry on top of the heap until that entry is up to date.
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

// reserve reserves an executor and removes it from the heap.
func (s *sizeClass) reserve(number int) {
	if one := s.entries[number].candidate; one != noCandidate {
		s.candidates[one].isReserved = true
	}
	heap.Remove(s, number)
	s.entries = s.entries[:len(s.entries)-1]
}

// emptiestFor returns the emptiest executor that has the group's labels and is not excluded, and its position in the heap, which is -1
// if there is none.
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

// findEmptiest returns the emptiest executor of this class that a group may use, and its position in the heap, which is -1 if there is
// none.
func (s *sizeClass) findEmptiest(group *Group, executors []Executor) (emptiest heapEntry, number int) {
	if len(group.Labels) == 0 && group.Excluded == nil {
		return s.emptiest(), 0
	}
	return s.emptiestFor(group, executors)
}

// isLarge reports whether the group's tasks may starve behind small ones: they need more than a third of the least total CPU, or of the
// least total memory, of the executors that are not closed.
func (r *placementRound) isLarge(group *Group) bool {
	return 3*group.Need.CPU > r.smallestTotal.CPU || 3*group.Need.Memory > r.smallestTotal.Memory
}

// reserve reserves the emptiest executor for a large task, so that the task does not starve behind small later ones. Executors that
// are too small in total, lack a required label or are excluded by group.Excluded are never reserved for it.
func (r *placementRound) reserve(group *Group) {
	if r.sizeClasses == nil {
		r.sizeClasses = r.groupBySizeClass()
	}
	var emptiest heapEntry
	var chosen *sizeClass
	var inHeap int
	for _, class := range r.sizeClasses {
		if !class.suits(group.Need) {
			continue
		}
		if top, number := class.findEmptiest(group, r.executors); number >= 0 && (chosen == nil || top.isEmptierThan(emptiest)) {
			emptiest, chosen, inHeap = top, class, number
		}
	}
	if chosen == nil {
		return
	}
	chosen.reserve(inHeap)
	r.unreservedCount--
	r.isLargestFreeStale = true
}

// groupBySizeClass groups the executors by their total capacity and orders each class as a heap by free CPU.
func (r *placementRound) groupBySizeClass() []*sizeClass {
	sizes := []*sizeClass{}
	known := map[Resources]*sizeClass{}
	next := 0
	for index := range r.executors {
		executor := &r.executors[index]
		isCandidate := next < len(r.candidates) && r.candidates[next].index == index
		if isCandidate {
			next++
		}
		if executor.isClosed() {
			continue
		}
		class := known[executor.Total]
		if class == nil {
			class = &sizeClass{total: executor.Total, candidates: r.candidates}
			known[executor.Total] = class
			sizes = append(sizes, class)
		}
		entry := heapEntry{index, executor.Free.CPU, noCandidate}
		if isCandidate {
			entry.candidate, entry.cpu = next-1, r.candidates[next-1].free.CPU
		}
		class.entries = append(class.entries, entry)
	}
	for _, class := range sizes {
		heap.Init(class)
	}
	return sizes
}
