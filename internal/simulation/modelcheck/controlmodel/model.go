// Package controlmodel runs the real replication engines, replicas and configuration leader of three to nine machines
// on a simulated clock, network and disks, with operators who change and read the configuration.
package controlmodel

import (
	"io"

	"gannetline/internal/simulation/modelcheck"
)

// Name is the model's name in schedules.
const Name = "control"

type model struct{}

// New gives the model of the control side.
func New() modelcheck.Model { return model{} }

// Name is that of the model in schedules and on the command line.
func (model) Name() string { return Name }

// InjectedFaults are the faults that can be injected by name.
func (model) InjectedFaults() []modelcheck.InjectedFault { return listFaults() }

// Run plays a schedule from the beginning.
func (model) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	return newSimCluster(schedule).play()
}

// Trace runs a schedule as Run does, and writes what happens.
func (model) Trace(schedule modelcheck.Schedule, to io.Writer) modelcheck.Outcome {
	w := newSimCluster(schedule)
	w.trace = to
	return w.play()
}
