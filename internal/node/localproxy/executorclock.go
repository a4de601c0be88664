package localproxy

import (
	"time"
)

// The executor's clock may be 2% slow or fast: a share of 100 of the time passed that it shows at least, and at most.
const (
	slowestClock = 98
	fastestClock = 102
)

// clockSample is a reading of the executor's steady clock, in milliseconds, and when it came by the proxy's clock.
type clockSample struct {
	executorMs int64
	readAt     time.Duration
	isThere    bool
}

// clockAt is the least that the executor's clock can have shown at a moment, in milliseconds.
func (s clockSample) clockAt(moment time.Duration) int64 {
	apart := moment - s.readAt
	if apart >= 0 {
		return s.executorMs + (apart * slowestClock / 100).Milliseconds()
	}
	return s.executorMs + (apart * fastestClock / 100).Milliseconds()
}

func (t *Table) sample(from *incarnation, executorMs int64) {
	from.clock = clockSample{executorMs, t.now(), true}
}

// Clock takes a reading of the executor's steady clock, in milliseconds, from any of its answers.
func (t *Table) Clock(lifeID string, executorMs int64) {
	if current := t.currentIs(lifeID); current != nil && executorMs > 0 {
		current.misses = 0
		t.sample(current, executorMs)
	}
}

// extend lengthens the time that runs may go on by a grant, counted from before it was asked for.
func (i *incarnation) extend(askedAt time.Duration, grantMs int64) {
	if grantMs > 0 && i.clock.isThere {
		i.expiryMs = max(i.expiryMs, i.clock.clockAt(askedAt)+grantMs)
	}
}

// limitOf is the expiry that the leader counted on when it gave an order. A later grant doesn't lengthen it: the leader may
// have given the run up in between.
func (i *incarnation) limitOf(askedAt time.Duration, grantMs int64) int64 {
	if grantMs == 0 {
		return i.expiryMs
	}
	return i.clock.clockAt(askedAt) + grantMs
}
