package scheduler

import (
	"container/heap"
	"time"

	"gannetline/internal/scheduling/placement"
)

// openSteps is the queue of a pool: the open steps, their placement requests, and when each step must be refreshed.
// A step is stale if its requests have to be computed again before the next placement.
type openSteps struct {
	steps map[*stepState]bool
	// first holds requests for tasks without a run, speculative those for a second run beside the first.
	first        requests
	speculative  requests
	stale        []*stepState
	refreshTimes stepTimes
	// version is the version of the executor table for which the requests were computed.
	version uint64
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

// remove deletes a step and its requests from the queue.
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

// request returns the request of a group by the group's number in queue(), which counts the groups of first and then the speculative ones.
func (o *openSteps) request(number int) *placementRequest {
	if number < len(o.first.requests) {
		return o.first.requests[number]
	}
	return o.speculative.requests[number-len(o.first.requests)]
}

func (o *openSteps) queue() placement.Queue {
	return placement.Queue{Groups: o.first.groups, Speculative: o.speculative.groups, MinNeed: o.first.minNeed.Min(o.speculative.minNeed)}
}

// stepTimes is a min-heap of steps by the time of their next refresh.
type stepTimes struct{ steps []*stepState }

func (t *stepTimes) Len() int { return len(t.steps) }
func (t *stepTimes) Less(a, b int) bool {
	return t.steps[a].requests.refreshAt < t.steps[b].requests.refreshAt
}
func (t *stepTimes) Swap(a, b int) {
	t.steps[a], t.steps[b] = t.steps[b], t.steps[a]
	t.steps[a].requests.heapIndex, t.steps[b].requests.heapIndex = a+1, b+1
}

// Push implements heap.Interface. It appends a *stepState and stores the step's index plus one in heapIndex.
func (t *stepTimes) Push(step any) {
	t.steps = append(t.steps, step.(*stepState))
	t.steps[len(t.steps)-1].requests.heapIndex = len(t.steps)
}

// Pop implements heap.Interface. It removes the last step and sets its heapIndex to 0, which means that the step isn't in the heap.
func (t *stepTimes) Pop() any {
	last := t.steps[len(t.steps)-1]
	t.steps, last.requests.heapIndex = t.steps[:len(t.steps)-1], 0
	return last
}

// set changes the time of a step's next refresh. If at is the constant never, the step is removed from the heap.
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
