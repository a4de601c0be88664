// Package countmodel runs the real halves of the tenants' count, tenantcount.Part and tenantcount.Ledger, against each other on a fake
// clock and a simulated network, under schedules of faults: leaders that are killed with commits under way, calls and answers that are
// lost, doubled or late, pools that are cut off, limits that are lowered and raised, and demand that moves from pool to pool.
package countmodel

import (
	"fmt"
	"io"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "count"
	// settleTime is how long after the last fault the system may take until all demand has its part.
	settleTime = 12 * time.Second
)

type model struct{}

// New gives the model of the tenants' count.
func New() modelcheck.Model { return model{} }

// Name is that of the model in schedules and on the command line.
func (model) Name() string { return modelName }

// InjectedFaults are the faults that can be injected in the order of their list.
func (model) InjectedFaults() []modelcheck.InjectedFault { return slices.Clone(injectedFaults) }

// Draw makes the schedule of a seed. The model has one size.
func (model) Draw(seed uint64, losses int, _ modelcheck.Size) modelcheck.Schedule {
	return draw(seed, losses)
}

// Run plays a schedule until all faults are over and what was held back is free again.
func (model) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	return newSimCluster(schedule).run(schedule)
}

// Trace plays a schedule and writes down what pools and parts do.
func (model) Trace(schedule modelcheck.Schedule, to io.Writer) modelcheck.Outcome {
	c := newSimCluster(schedule)
	c.trace = to
	return c.run(schedule)
}

func (c *simCluster) note(format string, values ...any) {
	if c.trace != nil {
		fmt.Fprintf(c.trace, "%8d ms  "+format+"\n", append([]any{c.queue.Now().Milliseconds()}, values...)...)
	}
}

func (c *simCluster) run(schedule modelcheck.Schedule) modelcheck.Outcome {
	c.start()
	lastMs := 0
	for _, step := range schedule.Steps {
		c.queue.After(clock.Milliseconds(int64(step.AtMs)), func() { c.play(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
	}
	last := clock.Milliseconds(int64(lastMs))
	c.queue.After(last, c.endFaults)
	c.runUntil(last + settleTime)
	c.checkProgress()
	return modelcheck.Outcome{Violations: c.violations, Coverage: c.coverage}
}

// runUntil plays on until a moment, or until an invariant is broken.
func (c *simCluster) runUntil(end time.Duration) {
	for c.queue.Now() < end && len(c.violations) == 0 {
		c.queue.RunUntil(min(end, c.queue.Now()+tickInterval))
	}
}

var _ modelcheck.Tracer = model{}
