package placement

import (
	"cmp"
	"math"
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
	IsIdle bool
	// IsLasting tells that the tasks are to run at every moment: their first run in a turn may go past soft limits however much is in use.
	IsLasting bool
	Priority  int
	// Tenant is the index in Limits.Tenants of the tenant that the work belongs to; 0 is none.
	Tenant   int
	Deadline DeadlineClass
	// CanWait tells that the group may still be started a good while later and be on time; shares pass it over.
	CanWait bool
	// RemainingTenths is how much of the job is yet to be started, in tenths of its work: what has been begun is finished first.
	RemainingTenths int
	Due             int64
}

// DeadlineClass is what a group's job can still earn. Work that is on time goes before work that is late, and what comes too late for
// anything goes after all others.
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

// Placement is one start: the number of the group and the index of the executor. IsFromShare tells that a share was used for it.
type Placement struct {
	Group, Executor int
	IsFromShare     bool
}

// Queue is groups in the order of CompareGroups, the speculative ones after them, and resources that none needs less than.
// The speculative groups are numbered on from the others.
type Queue struct {
	Groups      []*Group
	Speculative []*Group
	MinNeed     Resources
}

// Limits are the soft limits of a placement. Remaining is what long work of a priority, and expired work as Background, may still
// take of all capacity together; a priority without an entry may take all there is. As long as less CPU than FirstRunCPU has been given out,
// Remaining, reservations and the run limits of executors keep no step from its first run; tasks that last they never keep from it. Shares go first.
type Limits struct {
	Remaining   map[int]Resources
	FirstRunCPU int64
	Shares      []Share
	// Tenants are hard limits: nothing goes past them. The first one stands for work without a tenant.
	Tenants []Tenant
}

// Share is capacity that a part of the queue may take before the order of the queue decides: the groups of one priority and
// deadline class that can't wait, or all expired groups, whatever their priority. Its last run may go beyond Resources, so that a large task gets its
// turn, and so many executors may be reserved for such tasks.
type Share struct {
	Priority     int
	Deadline     DeadlineClass
	Resources    Resources
	Reservations int
}

// Background is the priority that the expired work of all priorities counts as in Remaining: it leaves alone what any of them may
// need, as its runs can't be pushed aside.
const Background = math.MaxInt

// CompareGroups orders the groups of a queue by their section, then what has been begun first, and then by what is due.
func CompareGroups(a, b *Group) int {
	return cmp.Or(compareSections(sectionOf(a), sectionOf(b)), cmp.Compare(a.RemainingTenths, b.RemainingTenths), cmp.Compare(a.Due, b.Due))
}
