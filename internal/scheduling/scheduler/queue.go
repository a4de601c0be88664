package scheduler

import (
	"container/heap"
	"time"

	"gannetline/internal/scheduling/placement"
)

// openReadySteps keeps the steps that are under way, what they ask for, and when they have to be looked at again.
type openSteps struct {
	steps        map[*stepState]bool
	first        requests
	speculative  requests
	stale        []*stepState
	refreshTimes stepTimes
	version      uint64
}

func newOpenSteps() openSteps {
	return openSteps{steps: map[*stepState]bool{}, first: newRequests(), speculative: newRequests()}
}

func (o *openSteps) add(step *stepState) {
	if !o.steps[step] {
		o.steps[step] = true
		step.tenant().openSteps++
		step.requests.first = placementRequest{step: step, group: &step.requests.group}
		o.markStale(step)
	}
}

// remove takes a step out of the queue, with its requests for first and for speculative runs.
func (o *openSteps) remove(step *stepState) {
	if !o.steps[step] {
		return
	}
	o.first.change(&step.requests.first, nil, placement.Group{})
	for _, speculative := range step.requests.speculative {
		o.speculative.change(speculative, speculative.tasks, placement.Group{})
	}
	step.requests.speculative = nil
	o.refreshTimes.set(step, never)
	delete(o.steps, step)
	step.tenant().openSteps--
}

func (o *openSteps) markStale(step *stepState) {
	if o.steps[step] && !step.requests.isStale {
		step.requests.isStale = true
		o.stale = append(o.stale, step)
	}
}

// request gives the request of a group by its number in the queue.
func (o *openSteps) request(number int) *placementRequest {
	if number < len(o.first.requests) {
		return o.first.requests[number]
	}
	return o.speculative.requests[number-len(o.first.requests)]
}

func (o *openSteps) queue() placement.Queue {
	return placement.Queue{Groups: o.first.groups, Speculative: o.speculative.groups, MinNeed: o.first.minNeed.Min(o.speculative.minNeed)}
}

// stepTimes is a heap of the steps that have to be looked at again at a time.
type stepTimes struct{ steps []*stepState }

func (t *stepTimes) Len() int { return len(t.steps) }
func (t *stepTimes) Less(a, b int) bool {
	return t.steps[a].requests.refreshAt < t.steps[b].requests.refreshAt
}
func (t *stepTimes) Swap(a, b int) {
	t.steps[a], t.steps[b] = t.steps[b], t.steps[a]
	t.steps[a].requests.heapIndex, t.steps[b].requests.heapIndex = a+1, b+1
}

// Push appends a *stepState for package heap, and notes its index plus one in the step; heap.Push calls it.
func (t *stepTimes) Push(step any) {
	t.steps = append(t.steps, step.(*stepState))
	t.steps[len(t.steps)-1].requests.heapIndex = len(t.steps)
}

// Pop removes the last step for package heap and notes in it that it is in no heap; heap.Remove calls it.
func (t *stepTimes) Pop() any {
	last := t.steps[len(t.steps)-1]
	t.steps, last.requests.heapIndex = t.steps[:len(t.steps)-1], 0
	return last
}

// set changes the moment at which a step is refreshed; never takes it out of the heap.
func (t *stepTimes) set(step *stepState, at time.Duration) {
	index := step.requests.heapIndex
	step.requests.refreshAt = at
	switch {
	case index == 0 && at < never:
		heap.Push(t, step)
	case index > 0 && at < never:
		heap.Fix(t, index-1)
	case index > 0:
		heap.Remove(t, index-1)
	}
}
