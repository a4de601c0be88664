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
	// stallThreshold is the shortest time between two checks that counts as a stall. It is shorter than the timeout after which callers retry
	// at another process.
	stallThreshold = 500 * time.Millisecond
	// suspicionPeriod is the time after the end of a stall during which a call that is read may have waited in a socket.
	suspicionPeriod = 300 * time.Millisecond
)

// Detector checks the monotonic clock at regular intervals and records stalls. Its times are in nanoseconds.
type Detector struct {
	clock     clock.Clock
	lastCheck atomic.Int64
	lastStall atomic.Int64
}

// New creates a detector that has seen no stall yet.
func New(clock clock.Clock) *Detector {
	detector := &Detector{clock: clock}
	detector.lastCheck.Store(int64(clock.Monotonic()))
	detector.lastStall.Store(int64(clock.Monotonic() - suspicionPeriod))
	return detector
}

// Run checks the clock until ctx is done.
func (d *Detector) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.clock.After(checkInterval):
			d.check()
		}
	}
}

// check records a stall if the last check is at least stallThreshold ago.
func (d *Detector) check() {
	now := d.clock.Monotonic()
	if now-time.Duration(d.lastCheck.Load()) >= stallThreshold {
		d.lastStall.Store(int64(now))
	}
	d.lastCheck.Store(int64(now))
}

// MayHaveWaited reports whether a call that is read now may have waited in a socket during a stall. Any goroutine may call it. It also
// detects a stall whose end is not recorded yet, because a caller may run before the next check.
func (d *Detector) MayHaveWaited() bool {
	now := d.clock.Monotonic()
	return now-time.Duration(d.lastCheck.Load()) >= stallThreshold || now-time.Duration(d.lastStall.Load()) < suspicionPeriod
}
