// Package stallwatch notices that the process stood still: it was frozen, or was not given a processor for long. What it then finds in
// its sockets may have waited there while its callers went elsewhere.
package stallwatch

import (
	"context"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

const (
	// interval lies between two checks of the clock.
	interval = 100 * time.Millisecond
	// stallLength is the pause between two checks from which on the process counts as having stood still. It is shorter than the silence
	// after which callers turn to another process.
	stallLength = 500 * time.Millisecond
	// suspicion is for how long after a stall a call may be one that has waited.
	suspicion = 300 * time.Millisecond
)

// Watch checks the clock again and again. The times are on the monotonic clock, in nanoseconds.
type Watch struct {
	clock     clock.Clock
	lastCheck atomic.Int64
	stalledAt atomic.Int64
}

// New makes a watch that suspects nothing before its first stall.
func New(clock clock.Clock) *Watch {
	watch := &Watch{clock: clock}
	watch.lastCheck.Store(int64(clock.Monotonic()))
	watch.stalledAt.Store(int64(clock.Monotonic() - suspicion))
	return watch
}

// Run checks the clock until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.clock.After(interval):
			w.check()
		}
	}
}

// check notes a stall if the check before is long ago.
func (w *Watch) check() {
	now := w.clock.Monotonic()
	if now-time.Duration(w.lastCheck.Load()) >= stallLength {
		w.stalledAt.Store(int64(now))
	}
	w.lastCheck.Store(int64(now))
}

// MayHaveWaited tells whether a call that is read now may have waited while the process stood still. Any goroutine may ask; one that runs
// before the watch does after a stall finds the last check long ago.
func (w *Watch) MayHaveWaited() bool {
	now := w.clock.Monotonic()
	return now-time.Duration(w.lastCheck.Load()) >= stallLength || now-time.Duration(w.stalledAt.Load()) < suspicion
}
