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
	// balanceTime is the time within which the accounts must add up to the limit at some moment: the end of a run and the way of the grants.
	balanceTime = longestRun + grantTime
	// recoveryTime is the longest time from the last fault until all leaders are back and late messages have arrived.
	recoveryTime = 6 * time.Second
	// longestRun is the longest time that a task runs.
	longestRun = 900 * time.Millisecond
	// grantTime is the longest time from the end of a run until another pool may use what it held: a poll, the raise interval, and the
	// messages and commits of two calls.
	grantTime = 800 * time.Millisecond
	// sizesPerPool is how many sizes of tasks a pool has that take turns, of each tenant.
	sizesPerPool = 2
)

// maxWaitTime is the longest time between two starts of tasks of one size in a pool while they wait: a turn of each size in each pool, and
// each turn may have to wait for the end of a run.
func maxWaitTime(pools int) time.Duration {
	return time.Duration(pools*sizesPerPool) * (longestRun + grantTime)
}

// New returns the model of the tenants' count.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: draw,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

func (c *simCluster) tracef(format string, values ...any) { c.Note(c.queue.Now(), format, values...) }

// Run runs a schedule, then a time without faults and with more demand than the limits, in which the grants must settle and no pool may wait
// longer than maxWaitTime. It stops early when an invariant is broken.
func (c *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	c.start()
	lastMs := 0
	for _, step := range schedule.Steps {
		c.queue.After(clock.Milliseconds(int64(step.AtMs)), func() { c.applyStep(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
	}
	last := clock.Milliseconds(int64(lastMs))
	c.queue.After(last, c.raiseDemand)
	c.queue.After(last+recoveryTime, func() { c.waits.since = c.queue.Now() })
	c.queue.After(last+settleTime, func() { c.isSettled = true })
	c.runUntil(last + max(settleTime+balanceTime, recoveryTime+maxWaitTime(len(c.pools))+tickInterval))
	c.checkProgress()
	return modelcheck.Outcome{Violations: c.violations, Coverage: c.coverage}
}

// runUntil runs until a time, or until an invariant is broken.
func (c *simCluster) runUntil(end time.Duration) {
	for c.queue.Now() < end && len(c.violations) == 0 {
		c.queue.RunUntil(min(end, c.queue.Now()+tickInterval))
		c.waits.check()
		c.noteBalances()
	}
}
