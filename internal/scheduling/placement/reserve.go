package placement

import "container/heap"

// sizeClass holds the executors with the same total capacity that are neither closed nor reserved, in a heap with the emptiest on top.
type sizeClass struct {
	total   Resources
	entries []heapEntry
	// candidates are all candidates of the round, of all size classes.
	candidates []candidateState
}

// heapEntry is an executor in the heap of its size class.
type heapEntry struct {
	// index is the index of the executor.
	index int
	// freeCPU is the free CPU when the entry was last updated. A candidate may have less by now.
	freeCPU int64
	// candidate is the executor's index in sizeClass.candidates, or noCandidate if it had no capacity for MinNeed when the round began.
	candidate int
}

const noCandidate = -1

func (e heapEntry) isEmptierThan(other heapEntry) bool {
	return e.freeCPU > other.freeCPU || e.freeCPU == other.freeCPU && e.index < other.index
}

func (s *sizeClass) Len() int           { return len(s.entries) }
func (s *sizeClass) Less(a, b int) bool { return s.entries[a].isEmptierThan(s.entries[b]) }
func (s *sizeClass) Swap(a, b int)      { s.entries[a], s.entries[b] = s.entries[b], s.entries[a] }

// Push does nothing. heap.Interface requires it, but executors are only added before heap.Init.
func (s *sizeClass) Push(any) {}

// Pop does nothing. heap.Remove has moved the removed executor to the end, and reserve truncates the slice.
func (s *sizeClass) Pop() any { return nil }

// suits reports whether the class has an executor, its executors can hold the need when empty, and the need is large for them: more than a
// third of their total CPU or memory.
func (s *sizeClass) suits(need Resources) bool {
	isLarge := 3*need.CPU > s.total.CPU || 3*need.Memory > s.total.Memory
	return isLarge && len(s.entries) > 0 && s.total.Fits(need)
}

// emptiest returns the emptiest executor of a class that is not empty. It updates the entry on top of the heap until the top is up to date.
func (s *sizeClass) emptiest() heapEntry {
	for {
		top := &s.entries[0]
		if top.candidate == noCandidate || s.candidates[top.candidate].free.CPU == top.freeCPU {
			return *top
		}
		top.freeCPU = s.candidates[top.candidate].free.CPU
		heap.Fix(s, 0)
	}
}

// reserve reserves the executor at a position in the heap and removes it from the heap.
func (s *sizeClass) reserve(position int) {
	if candidate := s.entries[position].candidate; candidate != noCandidate {
		s.candidates[candidate].isReserved = true
	}
	heap.Remove(s, position)
	s.entries = s.entries[:len(s.entries)-1]
}

// scanForEmptiest searches all executors of the class. It returns the emptiest one that has the group's labels and is not excluded by
// group.Excluded, and its position in the heap, or -1 if there is none.
func (s *sizeClass) scanForEmptiest(group *Group, executors []Executor) (emptiest heapEntry, position int) {
	position = -1
	for index, entry := range s.entries {
		if entry.candidate != noCandidate {
			entry.freeCPU = s.candidates[entry.candidate].free.CPU
		}
		isExcluded := len(group.Excluded) > entry.index && group.Excluded[entry.index]
		if !isExcluded && hasAll(executors[entry.index].Labels, group.Labels) && (position < 0 || entry.isEmptierThan(emptiest)) {
			emptiest, position = entry, index
		}
	}
	return emptiest, position
}

// findEmptiest returns the emptiest executor of this class that may be reserved for a group, and its position in the heap, or -1 if there
// is none. The class must not be empty.
func (s *sizeClass) findEmptiest(group *Group, executors []Executor) (emptiest heapEntry, position int) {
	if len(group.Labels) == 0 && group.Excluded == nil {
		return s.emptiest(), 0
	}
	return s.scanForEmptiest(group, executors)
}

// isLarge reports whether the group's tasks may starve behind small ones: they need more than a third of the least total CPU, or of the
// least total memory, of the executors that are not closed.
func (r *placementRound) isLarge(group *Group) bool {
	return 3*group.Need.CPU > r.smallestTotal.CPU || 3*group.Need.Memory > r.smallestTotal.Memory
}

// reserve reserves the emptiest executor for a large task, so that the task does not starve behind small tasks that come later. Executors
// that are too small in total, lack a required label or are excluded by group.Excluded are never reserved for it.
func (r *placementRound) reserve(group *Group) {
	if r.sizeClasses == nil {
		r.sizeClasses = r.groupBySizeClass()
	}
	var emptiest heapEntry
	var chosen *sizeClass
	var chosenPosition int
	for _, class := range r.sizeClasses {
		if !class.suits(group.Need) {
			continue
		}
		if entry, position := class.findEmptiest(group, r.executors); position >= 0 && (chosen == nil || entry.isEmptierThan(emptiest)) {
			emptiest, chosen, chosenPosition = entry, class, position
		}
	}
	if chosen == nil {
		return
	}
	chosen.reserve(chosenPosition)
	r.unreservedCount--
	r.isLargestFreeStale = true
}

// groupBySizeClass groups the executors that are not closed by their total capacity, and orders each class as a heap by free CPU. The
// candidates are in the order of the executors.
func (r *placementRound) groupBySizeClass() []*sizeClass {
	classes := []*sizeClass{}
	byTotal := map[Resources]*sizeClass{}
	nextCandidate := 0
	for index := range r.executors {
		executor := &r.executors[index]
		isCandidate := nextCandidate < len(r.candidates) && r.candidates[nextCandidate].index == index
		if isCandidate {
			nextCandidate++
		}
		if executor.isClosed() {
			continue
		}
		class := byTotal[executor.Total]
		if class == nil {
			class = &sizeClass{total: executor.Total, candidates: r.candidates}
			byTotal[executor.Total] = class
			classes = append(classes, class)
		}
		entry := heapEntry{index, executor.Free.CPU, noCandidate}
		if isCandidate {
			entry.candidate, entry.freeCPU = nextCandidate-1, r.candidates[nextCandidate-1].free.CPU
		}
		class.entries = append(class.entries, entry)
	}
	for _, class := range classes {
		heap.Init(class)
	}
	return classes
}
