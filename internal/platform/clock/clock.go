// Package clock is the only place where the project asks for the time.
package clock

import "time"

// Clock tells the time. Deadlines and leases count by Monotonic; WallMs is for what is given as a time of day.
type Clock interface {
	// Monotonic is the time since the clock was made. It never goes back.
	Monotonic() time.Duration
	// WallMs is the time of day in milliseconds since 1970. It may jump in either direction.
	WallMs() int64
	// After gives a channel that gets one value once the wait is over.
	After(wait time.Duration) <-chan time.Time
}

type realClock struct{ begin time.Time }

// System is the clock of the machine.
func System() Clock { return realClock{begin: time.Now()} }

// Monotonic is the time since System was called, on the monotonic clock of the machine.
func (p realClock) Monotonic() time.Duration { return time.Since(p.begin) }

// WallMs is the time of day of the machine, in milliseconds since 1970.
func (p realClock) WallMs() int64 { return time.Now().UnixMilli() }

// After is time.After.
func (p realClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }

// Milliseconds converts milliseconds to a duration.
func Milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// Fake is a clock for tests that moves only when it is told to. Only one goroutine may use it.
type Fake struct {
	now   time.Duration
	wall  int64
	waits []fakeWait
}

type fakeWait struct {
	due  time.Duration
	done chan time.Time
}

// NewFake makes a fake clock whose time of day begins at so many milliseconds since 1970.
func NewFake(wallMs int64) *Fake { return &Fake{wall: wallMs} }

// Monotonic is the sum of all advances.
func (f *Fake) Monotonic() time.Duration { return f.now }

// WallMs is the time of day in milliseconds since 1970, with all steps.
func (f *Fake) WallMs() int64 { return f.wall + f.now.Milliseconds() }

// StepWall moves the time of day alone, by milliseconds.
func (f *Fake) StepWall(ms int64) { f.wall += ms }

// After gives a channel that gets one value in the Advance that reaches the end of the wait.
func (f *Fake) After(wait time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	f.waits = append(f.waits, fakeWait{f.now + wait, done})
	return done
}

// Advance moves the clock on and ends the waits that have become due.
func (f *Fake) Advance(length time.Duration) {
	f.now += length
	kept := f.waits[:0]
	for _, wait := range f.waits {
		if wait.due <= f.now {
			wait.done <- time.Time{}
			continue
		}
		kept = append(kept, wait)
	}
	f.waits = kept
}
