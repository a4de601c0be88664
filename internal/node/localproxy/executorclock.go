package localproxy

import (
	"time"
)

// The executor's clock may be 2% slow or fast. These are the least and the most that it advances, in percent of the elapsed time.
const (
	minClockRate = 98
	maxClockRate = 102
)

// clockSample is a reading of the executor's monotonic clock, in milliseconds, and its arrival time on the proxy's clock.
type clockSample struct {
	executorMs int64
	readAt     time.Duration
	isRead     bool
}

// minReadingAt returns the lowest possible reading of the executor's clock at a moment of the proxy's clock, in milliseconds.
func (s clockSample) minReadingAt(moment time.Duration) int64 {
	elapsed := moment - s.readAt
	if elapsed >= 0 {
		return s.executorMs + (elapsed * minClockRate / 100).Milliseconds()
	}
	return s.executorMs + (elapsed * maxClockRate / 100).Milliseconds()
}

// sample stores a reading that arrives now.
func (t *Table) sample(from *executorState, executorMs int64) {
	from.clock = clockSample{executorMs, t.now(), true}
}

// ReadClock handles the clock reading in the executor's answer to an order, in milliseconds: it stores the reading and resets the count of
// misses. A reading of 0, from an answer without one, is ignored.
func (t *Table) ReadClock(executorID string, executorMs int64) {
	if current := t.currentWithID(executorID); current != nil && executorMs > 0 {
		current.misses = 0
		t.sample(current, executorMs)
	}
}

// extendLease extends the lease of the runs by a grant, which counts from the time the exchange was sent.
func (e *executorState) extendLease(askedAt time.Duration, grantMs int64) {
	if grantMs > 0 && e.clock.isRead {
		e.leaseExpiryMs = max(e.leaseExpiryMs, e.clock.minReadingAt(askedAt)+grantMs)
	}
}

// expiryForOrder returns the lease expiry for the runs that an answer of the leader orders to launch, in milliseconds of the executor's
// clock: by the grant in the same answer, or by earlier grants if the answer has none. A later grant does not extend it, as the leader may
// have given up the run in between.
func (e *executorState) expiryForOrder(askedAt time.Duration, grantMs int64) int64 {
	if grantMs == 0 {
		return e.leaseExpiryMs
	}
	return e.clock.minReadingAt(askedAt) + grantMs
}
