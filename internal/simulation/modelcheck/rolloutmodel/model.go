// Package rolloutmodel runs the real pools of three versions of a service, the real leader of the configuration with its controller of
// rollouts, and the decisions of gates, on a fake clock and a simulated network: rollouts of good and bad versions and moves of queues, under
// leaders that are lost, messages that are lost, doubled or late, gates that learn late of a configuration, and operators who intervene.
package rolloutmodel

import (
	"fmt"
	"io"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "rollouts"
	// settleTime is how long after the last step all jobs may take until they are over.
	settleTime = 30 * time.Second
	checkEvery = 200 * time.Millisecond
)

type model struct{}

// New gives the model of rollouts and moves of queues.
func New() modelcheck.Model { return model{} }

// Name is that of the model in schedules and on the command line.
func (model) Name() string { return modelName }

// InjectedFaults are the faults that can be injected, in the order of their list.
func (model) InjectedFaults() []modelcheck.InjectedFault { return slices.Clone(injectedFaults) }

// Draw makes the schedule of a seed. The model has one size.
func (model) Draw(seed uint64, losses int, _ modelcheck.Size) modelcheck.Schedule {
	return draw(seed, losses)
}

// Run plays a schedule until all jobs are over.
func (model) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	return newSimCluster(schedule).run(schedule)
}

// Trace plays a schedule and writes down what happens.
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
	for c.queue.Now() < last+settleTime && len(c.violations) == 0 {
		c.queue.RunUntil(c.queue.Now() + checkEvery)
		if c.queue.Now() > last && c.areAllOver() {
			break
		}
	}
	if len(c.violations) == 0 {
		c.checkEnd()
	}
	return modelcheck.Outcome{Violations: c.violations, Coverage: c.coverage}
}

var _ modelcheck.Tracer = model{}
