// Package simcluster runs the production code of stewards and local proxies on simulated nodes, disks, executors and a simulated
// network, with a simulated clock. All random choices come from one seed, so a simulation can be repeated to the byte.
package simcluster

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gannetline/internal/platform/clock"
)

// event is a function that is due at a simulated time. Events that are due at the same time run in the order of their sequence numbers.
type event struct {
	due      time.Duration
	sequence uint64
	run      func()
}

// events is a heap (container/heap) with the earliest event on top.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether the event at index i runs before the one at index j.
func (e events) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].sequence < e[j].sequence
}

// Swap exchanges the events at two indexes.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. heap.Push calls it, and then restores the heap order.
func (e *events) Push(added any) { *e = append(*e, added.(event)) }

// Pop removes and returns the last event. heap.Pop calls it after moving the earliest event there.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// EventQueue is the clock, the source of randomness and the queue of scheduled functions of a simulation.
type EventQueue struct {
	Clock *clock.Fake
	Draw  *rand.Rand
	queue events
	count uint64
}

// NewEventQueue creates an empty queue. Its wall clock starts at wallMs, and Draw is seeded with seed.
func NewEventQueue(wallMs int64, seed uint64) *EventQueue {
	return &EventQueue{Clock: clock.NewFake(wallMs), Draw: rand.New(rand.NewPCG(seed, 42))}
}

// Now returns the monotonic time of the simulation.
func (q *EventQueue) Now() time.Duration { return q.Clock.Monotonic() }

// After schedules a function to run after a wait. Functions that are due at the same time run in the order of the calls to After.
func (q *EventQueue) After(wait time.Duration, run func()) {
	q.count++
	heap.Push(&q.queue, event{q.Now() + max(0, wait), q.count, run})
}

// RunUntil runs all functions that are due up to and including a time, and advances the clock to that time.
func (q *EventQueue) RunUntil(end time.Duration) {
	for len(q.queue) > 0 && q.queue[0].due <= end {
		next := heap.Pop(&q.queue).(event)
		if next.due > q.Now() {
			q.Clock.Advance(next.due - q.Now())
		}
		next.run()
	}
	if end > q.Now() {
		q.Clock.Advance(end - q.Now())
	}
}
