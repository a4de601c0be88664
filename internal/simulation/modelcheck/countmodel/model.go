// Package countmodel runs the real halves of the tenants' count, tenantcount.Part and tenantcount.Accounts, against each other on a fake
// clock and a simulated network, under schedules of faults: leaders that are killed with commits under way, calls and answers that are
// lost, doubled or late, pools that are cut off, limits that are lowered and raised, and demand that moves from pool to pool.
package countmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "count"
	// settleTime is how long after the last fault the system may take until all demand has its part.
	settleTime = 12 * time.Second
)

// New gives the model of the tenants' count.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: draw,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

func (c *simCluster) note(format string, values ...any) { c.Note(c.queue.Now(), format, values...) }

// Run plays a schedule until all faults are over and what was held back is free again.
func (c *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
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
