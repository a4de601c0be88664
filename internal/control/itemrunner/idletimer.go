package itemrunner

import (
	"context"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// idleTimer ends a run whose executor brings nothing for too long. An executor whose machine has gone dark after it acknowledged the
// request closes no connection.
type idleTimer struct {
	clock clock.Clock
	limit time.Duration
	// lastEventAt is when the last event came, in nanoseconds of the monotonic clock.
	lastEventAt atomic.Int64
	isExpired   atomic.Bool
}

// newIdleTimer makes a timer of a run that begins now. A limit of 0 is none.
func newIdleTimer(clock clock.Clock, limit time.Duration) *idleTimer {
	timer := &idleTimer{clock: clock, limit: limit}
	timer.noteEvent()
	return timer
}

// noteEvent begins the time anew.
func (t *idleTimer) noteEvent() { t.lastEventAt.Store(int64(t.clock.Monotonic())) }

// hasExpired tells whether the run was ended by this timer.
func (t *idleTimer) hasExpired() bool { return t.isExpired.Load() }

// run watches until ctx is done, or calls end once the limit has passed without an event.
func (t *idleTimer) run(ctx context.Context, end func()) {
	if t.limit <= 0 {
		return
	}
	for {
		left := t.limit - (t.clock.Monotonic() - time.Duration(t.lastEventAt.Load()))
		if left <= 0 {
			t.isExpired.Store(true)
			end()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(left):
		}
	}
}
