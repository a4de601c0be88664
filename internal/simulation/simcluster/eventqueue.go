// Package simcluster plays the project's own code over simulated nodes and executors, on a clock of its own.
// What is drawn by lot is drawn from a seed, so that a play can be repeated to the byte.
package simcluster

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gannetline/internal/platform/clock"
)

// event is a function that falls due at a moment; place is its number, which decides among those of one moment.
type event struct {
	due     time.Duration
	address uint64
	run     func()
}

// events is a heap (container/heap) with the event that falls due first on top.
type events []event

// Len is the number of events.
func (e events) Len() int { return len(e) }

// Less tells whether an event falls due before another one.
func (e events) Less(i, j int) bool {
	return e[i].due < e[j].due || e[i].due == e[j].due && e[i].address < e[j].address
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; heap.Push then moves it to its place.
func (e *events) Push(added any) { *e = append(*e, added.(event)) }

// Pop takes the last event away; heap.Pop has moved the first one there.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// EventQueue is what happens, in order of time.
type EventQueue struct {
	Clock *clock.Fake
	Draw  *rand.Rand
	queue events
	count uint64
}

// NewEventQueue makes an empty line whose time of day begins at so many milliseconds; all chance comes from the seed.
func NewEventQueue(wallMs int64, seed uint64) *EventQueue {
	return &EventQueue{Clock: clock.NewFake(wallMs), Draw: rand.New(rand.NewPCG(seed, 42))}
}

// Now is the steady time of the simulation.
func (l *EventQueue) Now() time.Duration { return l.Clock.Monotonic() }

// After runs the function once the wait is over; what falls due at one moment runs in the order of the calls.
func (l *EventQueue) After(wait time.Duration, run func()) {
	l.count++
	heap.Push(&l.queue, event{l.Now() + max(0, wait), l.count, run})
}

// RunUntil plays all that falls due up to a moment.
func (l *EventQueue) RunUntil(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].due <= end {
		next := heap.Pop(&l.queue).(event)
		if next.due > l.Now() {
			l.Clock.Advance(next.due - l.Now())
		}
		next.run()
	}
	if end > l.Now() {
		l.Clock.Advance(end - l.Now())
	}
}
