// Package clock provides the time. It is the only place where the project reads the system clock.
package clock

import "time"

// Clock provides the time. Deadlines and leases use Monotonic. WallMs is only for values that are times of day.
type Clock interface {
	// Monotonic returns the time since the creation of the clock. It never goes back.
	Monotonic() time.Duration
	// WallMs returns the time of day in milliseconds since 1970. It may jump in either direction.
	WallMs() int64
	// After returns a channel that receives one value after the wait.
	After(wait time.Duration) <-chan time.Time
}

// realClock is the clock of the machine. Monotonic counts from startedAt.
type realClock struct{ startedAt time.Time }

// System returns the clock of the machine.
func System() Clock { return realClock{startedAt: time.Now()} }

// Monotonic returns the time since the call of System, by the monotonic clock of the machine.
func (c realClock) Monotonic() time.Duration { return time.Since(c.startedAt) }

// WallMs returns the time of day of the machine, in milliseconds since 1970.
func (c realClock) WallMs() int64 { return time.Now().UnixMilli() }

// After calls time.After.
func (c realClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }

// maxDuration is the longest duration that Milliseconds returns, about 146 years. The sum of two such durations does not overflow.
const maxDuration = 1 << 62 * time.Nanosecond

// Milliseconds converts milliseconds to a duration, at most maxDuration in both directions.
func Milliseconds(count int64) time.Duration {
	const maxCount = int64(maxDuration / time.Millisecond)
	return time.Duration(max(-maxCount, min(count, maxCount))) * time.Millisecond
}

// Fake is a clock for tests that moves only by Advance and StepWall. Only one goroutine may use it.
type Fake struct {
	now    time.Duration
	wall   int64
	timers []fakeTimer
}

// fakeTimer is a call of After whose wait has not ended yet.
type fakeTimer struct {
	due  time.Duration
	done chan time.Time
}

// NewFake creates a fake clock with an initial time of day in milliseconds since 1970.
func NewFake(wallMs int64) *Fake { return &Fake{wall: wallMs} }

// Monotonic returns the sum of all advances.
func (f *Fake) Monotonic() time.Duration { return f.now }

// WallMs returns the time of day in milliseconds since 1970, after all advances and steps.
func (f *Fake) WallMs() int64 { return f.wall + f.now.Milliseconds() }

// StepWall moves the time of day, but not Monotonic, by a number of milliseconds.
func (f *Fake) StepWall(ms int64) { f.wall += ms }

// After returns a channel that receives one value when Advance reaches the end of the wait. A wait of 0 ends at the next Advance.
func (f *Fake) After(wait time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	f.timers = append(f.timers, fakeTimer{f.now + wait, done})
	return done
}

// Advance moves Monotonic and WallMs forward and ends the waits of After that have become due.
func (f *Fake) Advance(duration time.Duration) {
	f.now += duration
	pending := f.timers[:0]
	for _, timer := range f.timers {
		if timer.due <= f.now {
			timer.done <- time.Time{}
			continue
		}
		pending = append(pending, timer)
	}
	f.timers = pending
}
