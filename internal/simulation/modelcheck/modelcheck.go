// Package modelcheck runs models of the system under schedules of faults that are drawn from a seed. A model, in a package of its own,
// runs the real code on a simulated clock, network and disks, and checks that no invariant is violated.
package modelcheck

// Step is one event of a schedule. The model defines the kinds and what the other fields mean for each kind.
type Step struct {
	// AtMs is when the step happens, in milliseconds of simulated time since the start of the schedule.
	AtMs int `json:"at_ms"`
	// Kind names the event, for example "kill" or "cut".
	Kind string `json:"kind"`
	// Node and Peer are mostly indices of nodes. The model may use them differently for some kinds.
	Node int `json:"node"`
	Peer int `json:"peer,omitempty"`
	// ForMs is how long the event lasts, in milliseconds.
	ForMs int `json:"for_ms,omitempty"`
	// Value is a number whose meaning depends on the kind.
	Value int `json:"value,omitempty"`
}

// Size is the size of the system that a schedule is drawn for.
type Size string

const (
	// SizeSmall has a few machines and jobs, so that very many schedules can be run.
	SizeSmall Size = ""
	// SizeLarge has the machines and the load of a large deployment. Running a schedule takes a second or more.
	SizeLarge Size = "large"
)

// Schedule determines a whole run: the same schedule has the same outcome on any machine. The exception is a history whose check for
// linearizability takes too long. It may be left undecided on a slow machine.
type Schedule struct {
	Model string `json:"model"`
	Seed  uint64 `json:"seed"`
	// Losses is the number of disks that the system must tolerate losing at the same time.
	Losses int `json:"losses"`
	// Nodes is the number of machines or pools at the start.
	Nodes int `json:"nodes"`
	// Size is the size of the system. The empty value is SizeSmall.
	Size Size `json:"size,omitempty"`
	// InjectedFault is the name of an injected fault, or empty.
	InjectedFault string `json:"plant,omitempty"`
	Steps         []Step `json:"steps"`
}

// Violation is an invariant that did not hold.
type Violation struct {
	// Oracle names the invariant.
	Oracle string `json:"oracle"`
	// AtMs is the simulated time at which it was detected, in milliseconds.
	AtMs   int    `json:"at_ms"`
	Detail string `json:"detail"`
}

// Coverage counts the events of one or more runs by name, for example "leader opened" or "message lost".
type Coverage map[string]int

// Add adds the counts of another coverage.
func (c Coverage) Add(other Coverage) {
	for name, count := range other {
		c[name] += count
	}
}

// Outcome is the result of a run: the violated invariants, and the counts of events.
type Outcome struct {
	Violations []Violation
	Coverage   Coverage
}

// InjectedFault is a fault that can be put into a model to prove that an oracle detects it.
type InjectedFault struct {
	Name string
	// About says in one sentence what goes wrong.
	About string
}

// Model is a part of the system that schedules can be run against.
type Model interface {
	// Name returns a name without spaces that is unique among the models.
	Name() string
	// InjectedFaults returns the faults that can be put into this model.
	InjectedFaults() []InjectedFault
	// Draw returns the schedule of a seed, for a system of the given size. losses is the number of disks that the system must tolerate
	// losing at the same time.
	Draw(seed uint64, losses int, size Size) Schedule
	// Run runs a schedule from the beginning. It keeps no state between calls.
	Run(schedule Schedule) Outcome
}
