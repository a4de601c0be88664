package ordermodel

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/platform/clock"
)

// event is a function call that is due at a time; events of the same time run in the order in which they were added.
type event struct {
	due   time.Duration
	order uint64
	run   func()
}

func (e event) isBefore(other event) bool {
	return e.due < other.due || e.due == other.due && e.order < other.order
}

// eventQueue is a binary heap of events on a fake clock, with the random numbers of a run.
type eventQueue struct {
	clock  *clock.Fake
	random *rand.Rand
	heap   []event
	// count is the number of events that were added so far.
	count uint64
}

func newEventQueue(seed uint64) *eventQueue {
	return &eventQueue{clock: clock.NewFake(wallAtStartMs), random: rand.New(rand.NewPCG(seed, queueStream))}
}

func (q *eventQueue) now() time.Duration { return q.clock.Monotonic() }

// after schedules a call after a delay; a negative delay counts as none.
func (q *eventQueue) after(wait time.Duration, run func()) {
	q.count++
	q.heap = append(q.heap, event{q.now() + max(0, wait), q.count, run})
	for child := len(q.heap) - 1; child > 0; {
		parent := (child - 1) / 2
		if !q.heap[child].isBefore(q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

func (q *eventQueue) pop() event {
	first, last := q.heap[0], len(q.heap)-1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for parent := 0; ; {
		child := 2*parent + 1
		if child >= last {
			return first
		}
		if child+1 < last && q.heap[child+1].isBefore(q.heap[child]) {
			child++
		}
		if !q.heap[child].isBefore(q.heap[parent]) {
			return first
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		parent = child
	}
}

// runUntil runs the events that are due up to a time, in their order. It returns early once isOver returns true.
func (q *eventQueue) runUntil(end time.Duration, isOver func() bool) {
	for len(q.heap) > 0 && q.heap[0].due <= end && !isOver() {
		next := q.pop()
		if next.due > q.now() {
			q.clock.Advance(next.due - q.now())
		}
		next.run()
	}
}

// between draws a duration between two bounds, both included.
func (q *eventQueue) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(q.random.Int64N(int64(maximum-minimum)+1))
}

// chance draws whether an event of the given probability happens. For 0 percent it uses no random number.
func (q *eventQueue) chance(percent int) bool { return percent > 0 && q.random.IntN(100) < percent }
