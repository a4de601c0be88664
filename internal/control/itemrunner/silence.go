package itemrunner

import (
	"context"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// silenceWatch ends a run whose executor brings nothing for too long. An executor whose machine has gone dark after it acknowledged the
// request closes no connection.
type silenceWatch struct {
	clock clock.Clock
	limit time.Duration
	// heardAt is when the last event came, in nanoseconds of the monotonic clock.
	heardAt atomic.Int64
	isOver  atomic.Bool
}

// newSilenceWatch makes a watch of a run that begins now. A limit of 0 is none.
func newSilenceWatch(clock clock.Clock, limit time.Duration) *silenceWatch {
	watch := &silenceWatch{clock: clock, limit: limit}
	watch.noteEvent()
	return watch
}

// noteEvent begins the time anew.
func (w *silenceWatch) noteEvent() { w.heardAt.Store(int64(w.clock.Monotonic())) }

// hasEnded tells whether the run was ended by this watch.
func (w *silenceWatch) hasEnded() bool { return w.isOver.Load() }

// run watches until ctx is done, or calls end once the limit has passed without an event.
func (w *silenceWatch) run(ctx context.Context, end func()) {
	if w.limit <= 0 {
		return
	}
	for {
		left := w.limit - (w.clock.Monotonic() - time.Duration(w.heardAt.Load()))
		if left <= 0 {
			w.isOver.Store(true)
			end()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.clock.After(left):
		}
	}
}
