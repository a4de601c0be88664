package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// stepRequests holds the placement requests of a step. They are valid until something in the step changes, or until refreshAt.
type stepRequests struct {
	isStale   bool
	refreshAt time.Duration
	// heapIndex is the position in stepTimes plus one; 0 if the step isn't in it.
	heapIndex int
	// first is the request for the tasks without runs, described by group. speculative has one request for each second run.
	first       placementRequest
	group       placement.Group
	speculative []*placementRequest
}

// placementRequest is a set of tasks of a step that may start now, and the group that describes them to placement.
type placementRequest struct {
	step  *stepState
	tasks []*taskState
	group *placement.Group
}

// requests holds placement requests in the order in which they are placed; groups is parallel to them.
type requests struct {
	requests []*placementRequest
	groups   []*placement.Group
	// demand is the total need of the requests that are on time, by priority.
	demand map[int]allocation
	// tenantDemand is the total need of all requests, and urgentDemand that of the requests that are on time and don't have to leave room
	// for more urgent work (Group.CountsAsLong), both by the index of the tenant.
	tenantDemand map[int]allocation
	urgentDemand map[int]allocation
	// minNeed is a lower bound of the need of a task in any request.
	minNeed placement.Resources
}

func newRequests() requests {
	r := requests{demand: map[int]allocation{}, tenantDemand: map[int]allocation{}, urgentDemand: map[int]allocation{}}
	r.findMinNeed()
	return r
}

func compareRequests(a, b *placementRequest) int {
	if order := placement.CompareGroups(a.group, b.group); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(a.step.tasks[0].name, b.step.tasks[0].name), cmp.Compare(a.tasks[0].index, b.tasks[0].index))
}

// change replaces the tasks and the group of a request and keeps the order. A request without tasks isn't in the list.
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

// count adds a group to the sums of demand, or removes it if count is negative. Late work isn't part of the demand of its priority, as no
// capacity is reserved for a backlog of it.
func (r *requests) count(group *placement.Group, count int) {
	if group.Count == 0 {
		return
	}
	addDemand(r.tenantDemand, group.Tenant, totalNeed(group), count)
	if group.Deadline == placement.OnTime {
		r.countDemand(group, count)
	}
	if count > 0 {
		r.minNeed = r.minNeed.Min(group.Need)
	}
}

// countDemand adds a group that is on time to the demand of its priority and to the urgent demand of its tenant, or removes it if count is
// negative.
func (r *requests) countDemand(group *placement.Group, count int) {
	addDemand(r.demand, group.Priority, totalNeed(group), count)
	if !group.CountsAsLong() {
		addDemand(r.urgentDemand, group.Tenant, totalNeed(group), count)
	}
}

// addDemand adds a need to an entry, or subtracts it if count is negative. It deletes an entry that counts no group any more.
func addDemand(demands map[int]allocation, key int, need placement.Resources, count int) {
	demand := demands[key].with(need, count)
	demands[key] = demand
	if demand.count == 0 {
		delete(demands, key)
	}
}

// totalNeed returns the total need of a group's tasks.
func totalNeed(group *placement.Group) placement.Resources {
	return group.Need.Times(float64(group.Count))
}

// findMinNeed recomputes minNeed, which otherwise only decreases.
func (r *requests) findMinNeed() {
	r.minNeed = placement.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for _, group := range r.groups {
		r.minNeed = r.minNeed.Min(group.Need)
	}
}
