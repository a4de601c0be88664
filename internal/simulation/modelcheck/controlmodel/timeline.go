package controlmodel

import "time"

// event is a function to run at a time. Events of the same time run in the order of their sequence numbers.
type event struct {
	due      time.Duration
	sequence uint64
	run      func()
}

// timeline is the simulated clock and a heap of pending events, the next one first. Time advances from one event to the next.
type timeline struct {
	now   time.Duration
	count uint64
	heap  []event
}

func (t *timeline) after(wait time.Duration, run func()) {
	t.count++
	t.heap = append(t.heap, event{t.now + max(0, wait), t.count, run})
	t.siftUp(len(t.heap) - 1)
}

// next removes the earliest event and advances time to it. If none is due by end, it advances time to end and returns false.
func (t *timeline) next(end time.Duration) (func(), bool) {
	if len(t.heap) == 0 || t.heap[0].due > end {
		t.now = max(t.now, end)
		return nil, false
	}
	first := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = event{}
	t.heap = t.heap[:last]
	t.siftDown(0)
	t.now = max(t.now, first.due)
	return first.run, true
}

func (t *timeline) isBefore(first, second int) bool {
	return t.heap[first].due < t.heap[second].due || t.heap[first].due == t.heap[second].due && t.heap[first].sequence < t.heap[second].sequence
}

// siftUp moves an event towards the root of the heap until its parent is not later.
func (t *timeline) siftUp(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !t.isBefore(index, parent) {
			return
		}
		t.heap[index], t.heap[parent] = t.heap[parent], t.heap[index]
		index = parent
	}
}

// siftDown moves an event away from the root of the heap until none of its children is earlier.
func (t *timeline) siftDown(index int) {
	for {
		child := 2*index + 1
		if child >= len(t.heap) {
			return
		}
		if child+1 < len(t.heap) && t.isBefore(child+1, child) {
			child++
		}
		if !t.isBefore(child, index) {
			return
		}
		t.heap[index], t.heap[child] = t.heap[child], t.heap[index]
		index = child
	}
}
