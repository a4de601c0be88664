package modelcheck

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Simulation is one run of a model.
type Simulation interface {
	// TraceTo has the run write what happens.
	TraceTo(to io.Writer)
	// Run plays the schedule that the simulation was made for. It must be called once.
	Run(schedule Schedule) Outcome
}

// SimulatedModel is a Model, and a Tracer, that makes a simulation for each schedule.
type SimulatedModel struct {
	ModelName string
	// Faults are those that can be injected, in the order of their list.
	Faults []InjectedFault
	// DrawSchedule makes the schedule of a seed.
	DrawSchedule func(seed uint64, losses int, size Size) Schedule
	// NewSimulation sets up what a schedule is played on.
	NewSimulation func(schedule Schedule) Simulation
}

var _ interface {
	Model
	Tracer
} = SimulatedModel{}

// Name is that of the model in schedules and on the command line.
func (m SimulatedModel) Name() string { return m.ModelName }

// InjectedFaults are the faults that can be injected, in the order of their list.
func (m SimulatedModel) InjectedFaults() []InjectedFault { return slices.Clone(m.Faults) }

// Draw makes the schedule of a seed.
func (m SimulatedModel) Draw(seed uint64, losses int, size Size) Schedule {
	return m.DrawSchedule(seed, losses, size)
}

// Run plays a schedule from the beginning.
func (m SimulatedModel) Run(schedule Schedule) Outcome {
	return m.NewSimulation(schedule).Run(schedule)
}

// Trace plays a schedule as Run does and writes what happens once it is set up.
func (m SimulatedModel) Trace(schedule Schedule, to io.Writer) Outcome {
	simulation := m.NewSimulation(schedule)
	simulation.TraceTo(to)
	return simulation.Run(schedule)
}

// Trace writes what happens in a run, a line an event. The zero value writes nothing.
type Trace struct{ to io.Writer }

// TraceTo has the run write what happens.
func (t *Trace) TraceTo(to io.Writer) { t.to = to }

// Note writes a line about an event at a simulated time.
func (t *Trace) Note(at time.Duration, format string, values ...any) {
	if t.to != nil {
		fmt.Fprintf(t.to, "%8d ms  "+format+"\n", append([]any{at.Milliseconds()}, values...)...)
	}
}
