// Package controlmodel runs the real replication engines, replicas and state machines of three to nine machines on a simulated
// clock, network and disks. The model "control" has the configuration leader and operators who change and read the configuration.
// The model "coordination" has locks, numbers and cells, and the applications that use them.
package controlmodel

import (
	"io"

	"gannetline/internal/simulation/modelcheck"
)

// The names of the models in schedules.
const (
	Name             = "control"
	CoordinationName = "coordination"
)

// model is the model of one service.
type model struct {
	name string
	// addCalls adds the calls of the service's clients to a schedule.
	addCalls func(*drawing)
}

// New returns the model of the configuration leader.
func New() modelcheck.Model { return model{Name, (*drawing).addOperatorCalls} }

// NewCoordination returns the model of locks, numbers and cells.
func NewCoordination() modelcheck.Model { return model{CoordinationName, (*drawing).addCallers} }

// Name returns the name of the model in schedules and on the command line.
func (m model) Name() string { return m.name }

// InjectedFaults returns the faults that can be injected into the model, sorted by name.
func (m model) InjectedFaults() []modelcheck.InjectedFault { return listFaults(m.name) }

// Run runs a schedule on a new simulated cluster and returns the violations and the coverage.
func (model) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	return newSimCluster(schedule).play()
}

// Trace runs a schedule as Run does and writes each event to a writer.
func (model) Trace(schedule modelcheck.Schedule, to io.Writer) modelcheck.Outcome {
	sim := newSimCluster(schedule)
	sim.trace = to
	return sim.play()
}
