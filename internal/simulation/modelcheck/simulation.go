package modelcheck

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Simulation is one run of a model.
type Simulation interface {
	// TraceTo makes the run write its events to a writer.
	TraceTo(to io.Writer)
	// Run runs the schedule that the simulation was created for. It must be called only once.
	Run(schedule Schedule) Outcome
}

// SimulatedModel is a Model and a Tracer that creates a simulation for each schedule.
type SimulatedModel struct {
	ModelName string
	// Faults are the faults that can be injected, in the order in which they are listed.
	Faults []InjectedFault
	// DrawSchedule returns the schedule of a seed.
	DrawSchedule func(seed uint64, losses int, size Size) Schedule
	// NewSimulation creates the simulation that runs a schedule.
	NewSimulation func(schedule Schedule) Simulation
}

var _ interface {
	Model
	Tracer
} = SimulatedModel{}

// Name returns the name of the model in schedules and on the command line.
func (m SimulatedModel) Name() string { return m.ModelName }

// InjectedFaults returns a copy of Faults.
func (m SimulatedModel) InjectedFaults() []InjectedFault { return slices.Clone(m.Faults) }

// Draw returns the schedule of a seed.
func (m SimulatedModel) Draw(seed uint64, losses int, size Size) Schedule {
	return m.DrawSchedule(seed, losses, size)
}

// Run runs a schedule on a new simulation.
func (m SimulatedModel) Run(schedule Schedule) Outcome {
	return m.NewSimulation(schedule).Run(schedule)
}

// Trace runs a schedule as Run does and writes its events. It does not write what happens while the simulation is created.
func (m SimulatedModel) Trace(schedule Schedule, to io.Writer) Outcome {
	simulation := m.NewSimulation(schedule)
	simulation.TraceTo(to)
	return simulation.Run(schedule)
}

// Trace writes a line for each event of a run. The zero value writes nothing.
type Trace struct{ to io.Writer }

// TraceTo makes the run write its events to a writer.
func (t *Trace) TraceTo(to io.Writer) { t.to = to }

// Note writes a line about an event, with its simulated time.
func (t *Trace) Note(at time.Duration, format string, values ...any) {
	if t.to != nil {
		fmt.Fprintf(t.to, "%8d ms  "+format+"\n", append([]any{at.Milliseconds()}, values...)...)
	}
}
