// Package gcpacing bounds what a busy process spends on collecting garbage. A small heap growth keeps the memory of a quiet process
// low; a process that allocates much would collect many times a second with it, so its heap may grow more between collections.
package gcpacing

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"gannetline/internal/platform/clock"
)

const (
	// QuietPercent is the heap growth, in percent of what is live, at which a quiet process collects (GOGC).
	QuietPercent = 50
	// busyPercent is that of a process that would collect too often.
	busyPercent = 200
	// interval is how often the collections are counted.
	interval = time.Second
	// manyCycles in an interval make a process busy, and so few make it quiet again. Growing the heap four times as much takes
	// the cycles to about a quarter, so quietCycles lies below manyCycles/4: a steady process stays what it is.
	manyCycles  = 3
	quietCycles = 0.5
	// quietIntervals is over how many intervals in a row there have to be so few.
	quietIntervals = 10
)

// cyclesMetric counts the collections that the process's allocations have brought about.
const cyclesMetric = "/gc/cycles/automatic:gc-cycles"

// pacer decides on the heap growth from the number of collections in each interval.
type pacer struct {
	isBusy bool
	// quietFor counts the intervals since the process was last busy, and cycles the collections in them.
	quietFor int
	cycles   uint64
}

// percent is the heap growth to use now.
func (p *pacer) percent() int {
	if p.isBusy {
		return busyPercent
	}
	return QuietPercent
}

// note takes the collections of one interval, and tells whether the heap growth changes.
func (p *pacer) note(cycles uint64) (isChanged bool) {
	if !p.isBusy {
		p.isBusy = cycles >= manyCycles
		return p.isBusy
	}
	p.quietFor, p.cycles = p.quietFor+1, p.cycles+cycles
	if p.quietFor < quietIntervals {
		return false
	}
	p.isBusy = float64(p.cycles) > quietCycles*quietIntervals
	p.quietFor, p.cycles = 0, 0
	return !p.isBusy
}

// Run paces the collector of this process until ctx is done. It is a part of a supervisor tree.
func Run(ctx context.Context, clock clock.Clock) error {
	var pacer pacer
	counted := collections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(interval):
		}
		now := collections()
		if pacer.note(now - counted) {
			debug.SetGCPercent(pacer.percent())
		}
		counted = now
	}
}

// collections counts all collections of this process so far.
func collections() uint64 {
	sample := []metrics.Sample{{Name: cyclesMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
