package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// stepRequests is what a step asks of placement, kept until something of the step changes or it falls due.
type stepRequests struct {
	isStale     bool
	refreshAt   time.Duration
	heapIndex   int
	first       placementRequest
	group       placement.Group
	speculative []*placementRequest
}

// placementRequest is tasks that may start now, and how they are to be placed.
type placementRequest struct {
	step  *stepState
	tasks []*taskState
	group *placement.Group
}

// requests are kept in the order in which they are placed, with what those that are on time ask for by priority, and resources that
// none needs less than.
type requests struct {
	requests []*placementRequest
	groups   []*placement.Group
	demand   map[int]allocation
	// tenantDemand is all, and urgentDemand what is on time and no long work, by the index of the tenant.
	tenantDemand map[int]allocation
	urgentDemand map[int]allocation
	minNeed      placement.Resources
}

func newRequests() requests {
	r := requests{demand: map[int]allocation{}, tenantDemand: map[int]allocation{}, urgentDemand: map[int]allocation{}}
	r.findMinNeed()
	return r
}

func compareRequests(request, b *placementRequest) int {
	if order := placement.CompareGroups(request.group, b.group); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(request.step.tasks[0].name, b.step.tasks[0].name), cmp.Compare(request.tasks[0].index, b.tasks[0].index))
}

// change makes a request ask for something else; one that asks for nothing is not listed.
func (r *requests) change(request *placementRequest, tasks []*taskState, group placement.Group) {
	former := *request.group
	staysInPlace := former.Count > 0 && group.Count > 0 && placement.CompareGroups(&former, &group) == 0
	if former.Count > 0 && !staysInPlace {
		index, _ := slices.BinarySearchFunc(r.requests, request, compareRequests)
		r.requests, r.groups = slices.Delete(r.requests, index, index+1), slices.Delete(r.groups, index, index+1)
	}
	*request.group, request.tasks = group, tasks
	if group.Count > 0 && !staysInPlace {
		index, _ := slices.BinarySearchFunc(r.requests, request, compareRequests)
		r.requests, r.groups = slices.Insert(r.requests, index, request), slices.Insert(r.groups, index, request.group)
	}
	r.count(&former, -1)
	r.count(&group, 1)
}

// count adds a group's demand to that of its priority, or takes it out with a negative count. A backlog of late work is no demand
// that capacity is to be reserved for.
func (r *requests) count(group *placement.Group, count int) {
	if group.Count == 0 {
		return
	}
	addDemand(r.tenantDemand, group.Tenant, asks(group), count)
	if group.Deadline == placement.OnTime {
		r.countDemand(group, count)
	}
	if count > 0 {
		r.minNeed = r.minNeed.Min(group.Need)
	}
}

func (r *requests) countDemand(group *placement.Group, count int) {
	addDemand(r.demand, group.Priority, asks(group), count)
	if !group.CountsAsLong() {
		addDemand(r.urgentDemand, group.Tenant, asks(group), count)
	}
}

// addDemand counts a group in, or out with a negative count; what nothing is left of has no entry.
func addDemand(demands map[int]allocation, key int, asked placement.Resources, count int) {
	demand := demands[key].with(asked, count)
	demands[key] = demand
	if demand.count == 0 {
		delete(demands, key)
	}
}

func asks(group *placement.Group) placement.Resources { return group.Need.Times(float64(group.Count)) }

// findMinNeed works out the least need again, which only sinks in between.
func (r *requests) findMinNeed() {
	r.minNeed = placement.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for _, group := range r.groups {
		r.minNeed = r.minNeed.Min(group.Need)
	}
}
