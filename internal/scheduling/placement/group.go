package placement

import (
	"cmp"
	"math"
)

// Executor describes an executor to placement: its free and total capacity, its labels and its rack. An executor with IsUnschedulable
// gets no new runs. Executors with a lower Penalty are preferred.
type Executor struct {
	Free            Resources
	Total           Resources
	Labels          []string
	Rack            string
	IsUnschedulable bool
	Penalty         float64
	// RunLimit is how many runs may be added in one round to an executor that has not yet proved healthy. 0 is no limit, NoRuns allows none.
	RunLimit int
}

// NoRuns is the RunLimit of an executor that already has as many runs as it is allowed.
const NoRuns = -1

// isClosed reports whether the executor gets no runs within the soft limits: it is unschedulable, or its RunLimit is NoRuns.
func (e *Executor) isClosed() bool { return e.IsUnschedulable || e.RunLimit == NoRuns }

// Group is the set of tasks of one step that may start now, all with the same Need. Executors are identified by their index.
// RunsByExecutor counts the step's running tasks by executor and is used only with AntiAffinity.
type Group struct {
	Need   Resources
	Count  int
	IsGang bool
	// SameRack means that a gang prefers a single rack.
	SameRack bool
	// Labels are required of an executor. Locality holds the labels of executors near the tasks' data, which are preferred.
	Labels   []string
	Locality []string
	// IsLocalityRequired makes the tasks wait for capacity near their data.
	IsLocalityRequired bool
	// AntiAffinity is how many tasks of the step one executor may run at once; 0 is no limit.
	AntiAffinity   int
	RunsByExecutor map[int]int
	// Avoided executors are chosen last.
	Avoided []int
	// ExcludedIndices and Excluded are the executors that must not be used: a list of indices, and a table by index that may be nil.
	ExcludedIndices []int
	Excluded        []bool
	// IsSpeculative means that the tasks are speculative runs, which never exceed the soft limits and for which nothing is reserved.
	IsSpeculative bool
	// IsLong means that the tasks hold their capacity for a long time.
	IsLong bool
	// IsIdle means that the step has had no runs for some time, so that its first run, or its gang, may exceed the soft limits. The scheduler
	// also sets it for every lasting step.
	IsIdle bool
	// IsLasting means that the tasks must be running at all times. If IsIdle is set too, their first run in a round may exceed the soft limits
	// even when FirstRunCPU is used up.
	IsLasting bool
	Priority  int
	// Tenant is the index in Limits.Tenants of the tenant that the work belongs to; 0 means no tenant.
	Tenant   int
	Deadline DeadlineClass
	// CanWait means that the group can start much later and still be on time. Shares skip it.
	CanWait bool
	// RemainingTenths is how much of the job's work has not been started, in tenths. Groups of jobs with less remaining work go first, so
	// that started jobs are finished before new ones start.
	RemainingTenths int
	// Due orders groups that are otherwise equal, smallest first. It is a due time or the result of the queue's own order rule.
	Due int64
}

// DeadlineClass says whether a group's job can still meet its deadline. Expired work goes last; rank defines the order of the other classes.
type DeadlineClass int

const (
	// OnTime means that the job can still meet its deadline.
	OnTime DeadlineClass = iota
	// Late means that the job can no longer meet its deadline, but can still end while its result is useful.
	Late
	// Expired means that the job can no longer end while its result is useful. Surplus work of a tenant counts as expired, too.
	Expired
)

// deadlineClassNames are the names of the classes in metrics and logs.
var deadlineClassNames = [...]string{OnTime: "on_time", Late: "late", Expired: "expired"}

// String returns the name of the class in metrics and logs.
func (c DeadlineClass) String() string { return deadlineClassNames[c] }

// Placement starts one task: Group is the number of the group in the queue, Executor the index of the executor. IsFromShare means that
// the capacity was taken from a share.
type Placement struct {
	Group, Executor int
	IsFromShare     bool
}

// Queue holds Groups, and the groups of speculative runs, which are placed after them. Each list is in the order of CompareGroups. The
// numbers of the speculative groups continue after those of Groups. MinNeed is a lower bound, in each resource, of what any group needs.
type Queue struct {
	Groups      []*Group
	Speculative []*Group
	MinNeed     Resources
}

// Limits are the limits of one placement round.
//
// Remaining is how much long work of each priority, and expired work as Background, may still take of the total capacity; a priority
// without an entry is not limited. Remaining, reservations, the run limits of executors and the LongLimit of tenants are soft: the first
// run of an idle step may exceed them until FirstRunCPU of CPU has been placed in the round, and that of a lasting step always may.
// Shares are placed first.
type Limits struct {
	Remaining   map[int]Resources
	FirstRunCPU int64
	Shares      []Share
	// Tenants holds the limits of each tenant. Nothing exceeds a tenant's Limit, except for one run of a tenant with MayOvershoot. Index 0 is
	// work without a tenant.
	Tenants []Tenant
}

// Share is capacity that part of the queue may take before the rest is placed in queue order. The part is the groups of one priority
// and deadline class, or the expired groups of all priorities, in both cases without those that can wait. The last run may exceed
// Resources, so that large tasks are not starved. Reservations is how many executors may be reserved for such tasks.
type Share struct {
	Priority     int
	Deadline     DeadlineClass
	Resources    Resources
	Reservations int
}

// Background is the priority under which expired work of all priorities counts in Remaining. It is the least urgent one, because the
// runs of expired work can't be preempted and must leave enough capacity for every other priority.
const Background = math.MaxInt

// CompareGroups is the queue order: by section, then the group with the least remaining work first, then the one with the smallest Due.
func CompareGroups(a, b *Group) int {
	return cmp.Or(compareSections(sectionOf(a), sectionOf(b)), cmp.Compare(a.RemainingTenths, b.RemainingTenths), cmp.Compare(a.Due, b.Due))
}
