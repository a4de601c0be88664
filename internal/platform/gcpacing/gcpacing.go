// Package gcpacing adapts the heap growth between garbage collections (GOGC) to the allocation rate of the process. A small growth keeps the
// memory of a quiet process low. A busy process would collect many times a second with it and therefore gets a larger one,
// which limits the time that it spends on collections.
package gcpacing

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"gannetline/internal/platform/clock"
)

const (
	// QuietPercent is the heap growth (GOGC) of a quiet process, in percent of the live heap.
	QuietPercent = 50
	// busyPercent is the heap growth of a busy process, which would collect too often with QuietPercent.
	busyPercent = 200
	// interval is the time between two counts of the collections.
	interval = time.Second
	// busyCycles is the smallest number of collections in an interval that makes a process busy. quietCycles is the largest mean number of
	// collections per interval at which it becomes quiet again. As busyPercent is four times QuietPercent, a busy process collects about a
	// quarter as often. So quietCycles is below busyCycles/4. Otherwise a process with a constant load would alternate between busy and quiet.
	busyCycles  = 3
	quietCycles = 0.5
	// quietIntervals is the number of consecutive intervals over which the mean for quietCycles is taken.
	quietIntervals = 10
)

// cyclesMetric is the runtime metric of collections triggered by allocations, without forced ones.
const cyclesMetric = "/gc/cycles/automatic:gc-cycles"

// pacer decides on the heap growth by the number of collections in each interval.
type pacer struct {
	isBusy bool
	// intervalsSinceCheck is the number of intervals since the mean of a busy process was last checked, or since the process became busy.
	// cyclesSinceCheck is the number of collections in these intervals.
	intervalsSinceCheck int
	cyclesSinceCheck    uint64
}

// heapGrowthPercent returns the heap growth to use now.
func (p *pacer) heapGrowthPercent() int {
	if p.isBusy {
		return busyPercent
	}
	return QuietPercent
}

// recordInterval records the number of collections in one interval, and reports whether the heap growth changes.
func (p *pacer) recordInterval(intervalCycles uint64) (isChanged bool) {
	if !p.isBusy {
		p.isBusy = intervalCycles >= busyCycles
		return p.isBusy
	}
	p.intervalsSinceCheck, p.cyclesSinceCheck = p.intervalsSinceCheck+1, p.cyclesSinceCheck+intervalCycles
	if p.intervalsSinceCheck < quietIntervals {
		return false
	}
	p.isBusy = float64(p.cyclesSinceCheck) > quietCycles*quietIntervals
	p.intervalsSinceCheck, p.cyclesSinceCheck = 0, 0
	return !p.isBusy
}

// Run adapts the heap growth of this process until ctx is done. It is a part for a supervisor tree.
func Run(ctx context.Context, clock clock.Clock) error {
	var pacer pacer
	previous := countCycles()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(interval):
		}
		now := countCycles()
		if pacer.recordInterval(now - previous) {
			debug.SetGCPercent(pacer.heapGrowthPercent())
		}
		previous = now
	}
}

// countCycles returns the number of collections of this process so far that were triggered by allocations.
func countCycles() uint64 {
	sample := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
