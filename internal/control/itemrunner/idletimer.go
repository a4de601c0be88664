package itemrunner

import (
	"context"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// idleTimer ends a run whose executor sends no event for too long. If the executor's machine fails, nothing closes the connection, and
// without the timer the run would only end after runTimeout.
type idleTimer struct {
	clock   clock.Clock
	timeout time.Duration
	// lastEventNs is when the run started or the last event came, in nanoseconds on the monotonic clock.
	lastEventNs atomic.Int64
	// isExpired is set when the timer ends the run.
	isExpired atomic.Bool
}

// newIdleTimer returns a timer for a run that starts now. A timeout of 0 disables the timer.
func newIdleTimer(clock clock.Clock, timeout time.Duration) *idleTimer {
	timer := &idleTimer{clock: clock, timeout: timeout}
	timer.reset()
	return timer
}

// reset restarts the idle time. It is called for each event.
func (t *idleTimer) reset() { t.lastEventNs.Store(int64(t.clock.Monotonic())) }

// hasExpired reports whether this timer has ended the run.
func (t *idleTimer) hasExpired() bool { return t.isExpired.Load() }

// run blocks until ctx is done, or until the timeout has passed without an event. In the latter case it calls cancel. With a disabled timer
// it returns at once.
func (t *idleTimer) run(ctx context.Context, cancel func()) {
	if t.timeout <= 0 {
		return
	}
	for {
		remaining := t.timeout - (t.clock.Monotonic() - time.Duration(t.lastEventNs.Load()))
		if remaining <= 0 {
			t.isExpired.Store(true)
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(remaining):
		}
	}
}
