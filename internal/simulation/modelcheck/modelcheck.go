// Package modelcheck runs the real replication, configuration and order code on a fake clock, a simulated network and
// simulated disks, under schedules of faults that a seed decides, and checks what callers saw.
package modelcheck

// Step is one event of a schedule. Its kind belongs to the model; the other fields mean what the kind says.
type Step struct {
	// AtMs is when the step happens, in milliseconds of simulated time since the start of the schedule.
	AtMs int `json:"at_ms"`
	// Kind names the event, for example "kill" or "cut".
	Kind string `json:"kind"`
	// Node and Peer are indices into the nodes of the schedule.
	Node int `json:"node"`
	Peer int `json:"peer,omitempty"`
	// ForMs is how long a fault lasts, in milliseconds.
	ForMs int `json:"for_ms,omitempty"`
	// Value is a further number that the kind needs.
	Value int `json:"value,omitempty"`
}

// Size is how large a system a schedule is drawn for.
type Size string

const (
	// SizeSmall has a few machines and jobs, so that very many schedules can be run.
	SizeSmall Size = ""
	// SizeLarge has the machines and the load of a large deployment; a schedule takes about a second or more.
	SizeLarge Size = "large"
)

// Schedule decides a whole run: the same schedule gives the same outcome, whatever the machine.
type Schedule struct {
	Model string `json:"model"`
	Seed  uint64 `json:"seed"`
	// Losses is how many disks the system must be able to lose at once.
	Losses int `json:"losses"`
	Nodes  int `json:"nodes"`
	// Size is that of the system; the empty one is small.
	Size Size `json:"size,omitempty"`
	// InjectedFault names an injected fault, or is empty.
	InjectedFault string `json:"plant,omitempty"`
	Steps         []Step `json:"steps"`
}

// Violation is an invariant that did not hold.
type Violation struct {
	// Oracle names the invariant.
	Oracle string `json:"oracle"`
	// AtMs is the simulated time at which it was noticed.
	AtMs   int    `json:"at_ms"`
	Detail string `json:"detail"`
}

// Coverage counts what a run went through, for example elections, changes of voters or snapshots, by name.
type Coverage map[string]int

// Add counts all of another coverage in.
func (c Coverage) Add(other Coverage) {
	for name, count := range other {
		c[name] += count
	}
}

// Outcome is what came of a run.
type Outcome struct {
	Violations []Violation
	Coverage   Coverage
}

// InjectedFault is a fault that can be put into a model to prove that an oracle finds it.
type InjectedFault struct {
	Name string
	// About says in one sentence what goes wrong.
	About string
}

// Model is a part of the system that schedules can be run against.
type Model interface {
	// Name is unique among the models, without spaces.
	Name() string
	// InjectedFaults are the faults that can be put into this model.
	InjectedFaults() []InjectedFault
	// Draw makes the schedule of a seed, for a system of a size that must bear so many losses of disks at once.
	Draw(seed uint64, losses int, size Size) Schedule
	// Run plays a schedule from the beginning; it keeps nothing from one call to the next.
	Run(schedule Schedule) Outcome
}
