// Package stallwatch detects that the process was suspended or got no CPU time for a while. Calls that it reads from its sockets after such
// a stall may be stale, because their callers have sent them to another process meanwhile.
package stallwatch

import (
	"context"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

const (
	// checkInterval is the time between two checks of the clock.
	checkInterval = 100 * time.Millisecond
	// stallThreshold is the time between two checks from which on the process counts as stalled. It is shorter than the timeout after which
	// callers retry at another process.
	stallThreshold = 500 * time.Millisecond
	// suspicionPeriod is the time after a stall during which a call that is read may have waited in a socket.
	suspicionPeriod = 300 * time.Millisecond
)

// Watch checks the monotonic clock at regular intervals and records stalls. Its times are in nanoseconds.
type Watch struct {
	clock     clock.Clock
	lastCheck atomic.Int64
	lastStall atomic.Int64
}

// New creates a watch that has seen no stall yet.
func New(clock clock.Clock) *Watch {
	watch := &Watch{clock: clock}
	watch.lastCheck.Store(int64(clock.Monotonic()))
	watch.lastStall.Store(int64(clock.Monotonic() - suspicionPeriod))
	return watch
}

// Run checks the clock until ctx is done.
func (w *Watch) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.clock.After(checkInterval):
			w.check()
		}
	}
}

// check records a stall if the last check is at least stallThreshold ago.
func (w *Watch) check() {
	now := w.clock.Monotonic()
	if now-time.Duration(w.lastCheck.Load()) >= stallThreshold {
		w.lastStall.Store(int64(now))
	}
	w.lastCheck.Store(int64(now))
}

// MayHaveWaited reports whether a call that is read now may have waited in a socket during a stall. Any goroutine may call it. It also
// detects a stall whose end is not recorded yet, because a caller may run before the next check.
func (w *Watch) MayHaveWaited() bool {
	now := w.clock.Monotonic()
	return now-time.Duration(w.lastCheck.Load()) >= stallThreshold || now-time.Duration(w.lastStall.Load()) < suspicionPeriod
}
