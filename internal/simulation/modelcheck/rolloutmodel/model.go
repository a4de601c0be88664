// Package rolloutmodel runs the real pools of three versions of a service, the real leader of the configuration with its
// rollout controller, and the real decisions of gates, on a fake clock and a simulated network. In its schedules, good and bad
// versions are rolled out and a queue is moved between the versions, while leaders are lost, messages are lost or duplicated late,
// gates receive configurations late, executors are silent, and operators intervene.
package rolloutmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "rollouts"
	// settleTime is how long after the last step all jobs may take until they are over.
	settleTime = 30 * time.Second
	// checkInterval is the interval of the checks whether all jobs are over.
	checkInterval = 200 * time.Millisecond
)

// New returns the model of rollouts and moves of queues.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: draw,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

// tracef writes a line about an event at the current simulated time.
func (c *simCluster) tracef(format string, values ...any) { c.Note(c.queue.Now(), format, values...) }

// Run plays a schedule until an invariant is violated, until all jobs are over after the last step, or until settleTime has passed
// after that. If nothing is violated, it checks how the jobs ended.
func (c *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	c.start()
	lastMs := 0
	for _, step := range schedule.Steps {
		c.queue.After(clock.Milliseconds(int64(step.AtMs)), func() { c.play(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
	}
	last := clock.Milliseconds(int64(lastMs))
	c.queue.After(last, c.endFaults)
	for c.queue.Now() < last+settleTime && len(c.violations) == 0 {
		c.queue.RunUntil(c.queue.Now() + checkInterval)
		if c.queue.Now() > last && c.areAllOver() {
			break
		}
	}
	if len(c.violations) == 0 {
		c.checkEnd()
	}
	return modelcheck.Outcome{Violations: c.violations, Coverage: c.coverage}
}
