package placement

import (
	"cmp"
)

// Executor is what placement knows of an executor: its free and total capacity, its labels and rack. IsUnschedulable takes no
// new runs; a higher Penalty makes it a later choice.
type Executor struct {
	Free            Resources
	Total           Resources
	Labels          []string
	Rack            string
	IsUnschedulable bool
	Penalty         float64
	// RunLimit is how many runs may be added where it has to show first that it is healthy; 0 sets no bound, NoRuns adds none.
	RunLimit int
}

// NoRuns is the RunLimit of an executor that has as many runs as it may have.
const NoRuns = -1

// isShut tells whether only first runs, if any, may be added.
func (e *Executor) isShut() bool { return e.IsUnschedulable || e.RunLimit == NoRuns }

// Group is the tasks of one step that may start now; they all ask for the same. Executors are named by their index;
// RunsByExecutor counts those that run tasks of the step already, and matters only with AntiAffinity.
type Group struct {
	Need     Resources
	Count    int
	IsGang   bool
	SameRack bool
	Labels   []string
	Locality []string
	// IsLocalityRequired keeps the tasks waiting for capacity near their data.
	IsLocalityRequired bool
	AntiAffinity       int
	RunsByExecutor     map[int]int
	Avoided            []int
	ExcludedIndices    []int
	Excluded           []bool
	IsSpeculative      bool
	IsLong             bool
	// IsIdle tells that none of the step's tasks runs, so that its first run, or its gang, may go past soft limits.
	IsIdle   bool
	Priority int
	Deadline DeadlineClass
	Due      int64
}

// DeadlineClass is what a group's job can still earn. Within a priority what may be in time goes before what is late, and
// what comes too late for anything goes after all others.
type DeadlineClass int

const (
	// OnTime may still be in time.
	OnTime DeadlineClass = iota
	// Late is late already but still earns something.
	Late
	// Expired earns nothing any more.
	Expired
)

// deadlineClassNames are the classes as operators see them.
var deadlineClassNames = [...]string{OnTime: "on_time", Late: "late", Expired: "expired"}

// String is the class as metrics and logs name it.
func (c DeadlineClass) String() string { return deadlineClassNames[c] }

// Placement is one start: the number of the group and the index of the executor.
type Placement struct{ Group, Executor int }

// Queue is groups in the order of CompareGroups, the speculative ones after them, and resources that none needs less than.
// The speculative groups are numbered on from the others.
type Queue struct {
	Groups      []*Group
	Speculative []*Group
	MinNeed     Resources
}

// Limits are the soft limits of a placement. Remaining is what long work of a priority may still take of all capacity
// together; a priority without an entry may take all there is. As long as less CPU than FirstRunCPU has been given out,
// Remaining, reservations and the run limits of executors keep no step from its first run.
type Limits struct {
	Remaining   map[int]Resources
	FirstRunCPU int64
}

// CompareGroups orders the groups of a queue: what is too late after all others, then by priority, by what can be in
// time, and by what is due.
func CompareGroups(a, b *Group) int {
	if a.isTooLate() != b.isTooLate() {
		if b.isTooLate() {
			return -1
		}
		return 1
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	if a.Deadline != b.Deadline {
		return cmp.Compare(a.Deadline, b.Deadline)
	}
	return cmp.Compare(a.Due, b.Due)
}

func (g *Group) isTooLate() bool { return g.Deadline == Expired }
