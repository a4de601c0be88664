// Package countmodel runs both sides of the tenants' count, the real tenantcount.Part and tenantcount.Accounts, on a simulated clock and
// network under schedules of faults. Leaders are killed with commits in flight, calls and answers are lost, doubled or late, and pools are
// cut off. Limits are lowered and raised, and demand moves between pools.
package countmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "count"
	// settleTime is the longest time from the last fault until the limits must be fully granted to the pools.
	settleTime = 12 * time.Second
)

// New returns the model of the tenants' count.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: draw,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

func (c *simCluster) tracef(format string, values ...any) { c.Note(c.queue.Now(), format, values...) }

// Run runs a schedule, then settleTime without faults and with more demand than the limits, and checks that the grants have settled. It
// stops early when an invariant is broken.
func (c *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	c.start()
	lastMs := 0
	for _, step := range schedule.Steps {
		c.queue.After(clock.Milliseconds(int64(step.AtMs)), func() { c.applyStep(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
	}
	last := clock.Milliseconds(int64(lastMs))
	c.queue.After(last, c.raiseDemand)
	c.runUntil(last + settleTime)
	c.checkProgress()
	return modelcheck.Outcome{Violations: c.violations, Coverage: c.coverage}
}

// runUntil runs until a time, or until an invariant is broken.
func (c *simCluster) runUntil(end time.Duration) {
	for c.queue.Now() < end && len(c.violations) == 0 {
		c.queue.RunUntil(min(end, c.queue.Now()+tickInterval))
	}
}
