package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/placement"
)

// ruleHoldTime is how long a task waits for the executors of its queue's rule.
const ruleHoldTime = time.Second

// maxIdleWait is how long soft limits may keep a step that runs nothing from its first run.
const maxIdleWait = time.Second

// stepRequests is what a step asks of placement, kept until something of the step changes or its time comes.
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

// requests are kept in the order in which they are placed, with what they ask for by priority, and a room that none
// needs less than.
type requests struct {
	requests []*placementRequest
	groups   []*placement.Group
	demand   map[int]allocation
	minNeed  placement.Resources
}

func newRequests() requests {
	r := requests{demand: map[int]allocation{}}
	r.findMinNeed()
	return r
}

func compareRequests(request, otherRequest *placementRequest) int {
	if order := placement.CompareGroups(request.group, otherRequest.group); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(request.step.tasks[0].name, otherRequest.step.tasks[0].name), cmp.Compare(request.tasks[0].index, otherRequest.tasks[0].index))
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

func (r *requests) count(group *placement.Group, count int) {
	if group.Count == 0 {
		return
	}
	taken := r.demand[group.Priority].with(asks(group), count)
	r.demand[group.Priority] = taken
	if taken.count == 0 {
		delete(r.demand, group.Priority)
	}
	if count > 0 {
		r.minNeed = r.minNeed.AtMost(group.Need)
	}
}

func asks(group *placement.Group) placement.Resources { return group.Need.Times(float64(group.Count)) }

// findMinNeed works out the least need again, which only sinks in between.
func (r *requests) findMinNeed() {
	r.minNeed = placement.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for _, group := range r.groups {
		r.minNeed = r.minNeed.AtMost(group.Need)
	}
}

// openReadySteps keeps the steps that are under way, what they ask for, and when they have to be looked at again.
type openSteps struct {
	steps        map[*stepState]bool
	first        requests
	speculative  requests
	stale        []*stepState
	refreshTimes stepTimes
	version      uint64
}

func newOpenSteps() openSteps {
	return openSteps{steps: map[*stepState]bool{}, first: newRequests(), speculative: newRequests()}
}

func (o *openSteps) add(step *stepState) {
	if !o.steps[step] {
		o.steps[step] = true
		step.requests.first = placementRequest{step: step, group: &step.requests.group}
		o.markStale(step)
	}
}

func (o *openSteps) remove(step *stepState) {
	if !o.steps[step] {
		return
	}
	o.first.change(&step.requests.first, nil, placement.Group{})
	for _, speculative := range step.requests.speculative {
		o.speculative.change(speculative, speculative.tasks, placement.Group{})
	}
	step.requests.speculative = nil
	o.refreshTimes.set(step, never)
	delete(o.steps, step)
}

func (o *openSteps) markStale(step *stepState) {
	if o.steps[step] && !step.requests.isStale {
		step.requests.isStale = true
		o.stale = append(o.stale, step)
	}
}

// request gives the request of a group by its number in the line.
func (o *openSteps) request(number int) *placementRequest {
	if number < len(o.first.requests) {
		return o.first.requests[number]
	}
	return o.speculative.requests[number-len(o.first.requests)]
}

func (o *openSteps) queue() placement.Queue {
	return placement.Queue{Groups: o.first.groups, Speculative: o.speculative.groups, MinNeed: o.first.minNeed.AtMost(o.speculative.minNeed)}
}

// stepTimes is a heap of the steps that have to be looked at again at a time.
type stepTimes struct{ steps []*stepState }

func (t *stepTimes) Len() int { return len(t.steps) }
func (t *stepTimes) Less(one, two int) bool {
	return t.steps[one].requests.refreshAt < t.steps[two].requests.refreshAt
}
func (t *stepTimes) Swap(one, two int) {
	t.steps[one], t.steps[two] = t.steps[two], t.steps[one]
	t.steps[one].requests.heapIndex, t.steps[two].requests.heapIndex = one+1, two+1
}

// Push appends a *stepState for package heap, and notes its place plus one in the step; heap.Push calls it.
func (t *stepTimes) Push(step any) {
	t.steps = append(t.steps, step.(*stepState))
	t.steps[len(t.steps)-1].requests.heapIndex = len(t.steps)
}

// Pop removes the last step for package heap and notes in it that it is in no heap; heap.Remove calls it.
func (t *stepTimes) Pop() any {
	last := t.steps[len(t.steps)-1]
	t.steps, last.requests.heapIndex = t.steps[:len(t.steps)-1], 0
	return last
}

func (t *stepTimes) set(step *stepState, at time.Duration) {
	index := step.requests.heapIndex
	step.requests.refreshAt = at
	switch {
	case index == 0 && at < never:
		heap.Push(t, step)
	case index > 0 && at < never:
		heap.Fix(t, index-1)
	case index > 0:
		heap.Remove(t, index-1)
	}
}

// markChanged notes that something of a task changed which placement may see.
func (p *Pool) markChanged(task *taskState) {
	task.step.classify(task)
	p.open.markStale(task.step)
}

// refreshAll works out anew what may have changed since the last placement.
func (p *Pool) refreshAll(now time.Duration) {
	o := &p.open
	if o.version != p.table.version {
		o.version = p.table.version
		for step := range o.steps {
			if p.dependsOnExecutors(step) {
				o.markStale(step)
			}
		}
	}
	for len(o.refreshTimes.steps) > 0 && o.refreshTimes.steps[0].requests.refreshAt <= now {
		step := o.refreshTimes.steps[0]
		o.refreshTimes.set(step, never)
		o.markStale(step)
	}
	for _, step := range o.stale {
		step.requests.isStale = false
		if o.steps[step] {
			p.refresh(step, now)
		}
	}
	o.stale = o.stale[:0]
}

// dependsOnExecutors tells whether what a step asks for depends on who is in the roster, and in which place.
func (p *Pool) dependsOnExecutors(step *stepState) bool {
	ready := step.requests.first.tasks
	return p.clock.Monotonic() < p.localityWaitUntil(step) || step.spec.AntiAffinity > 0 || len(step.requests.speculative) > 0 || len(ready) > 0 && ready[0].avoid != "" ||
		p.rules.HasUse(step.occurrence.job.record.Route)
}

// refresh works out anew what a step asks for, and until when that holds.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	ready, next := p.ready(step, now)
	var group placement.Group
	if len(ready) > 0 {
		group = p.group(step, ready)
	}
	p.open.first.change(&step.requests.first, ready, group)
	candidates, candidatesNext := p.tasksToSpeculate(step, now)
	p.refreshSpeculative(step, candidates)
	next = min(next, candidatesNext)
	if len(ready)+len(candidates) > 0 {
		next = min(next, p.nextDeadlineChange(step, now))
	}
	if frees := step.openedAt + ruleHoldTime + 1; now < frees && p.rules.HasUse(step.occurrence.job.record.Route) {
		next = min(next, frees)
	}
	if until := p.localityWaitUntil(step); now < until {
		next = min(next, until)
	}
	if idleFrom := p.idleFrom(step); now < idleFrom {
		next = min(next, idleFrom)
	}
	p.open.refreshTimes.set(step, next)
}

// refreshSpeculative goes along the spares there are and those there should be, both in the order of their tasks.
func (p *Pool) refreshSpeculative(step *stepState, candidates []*taskState) {
	former := step.requests.speculative
	step.requests.speculative = nil
	drop := func() {
		p.open.speculative.change(former[0], former[0].tasks, placement.Group{})
		former = former[1:]
	}
	for _, task := range candidates {
		for len(former) > 0 && former[0].tasks[0].index < task.index {
			drop()
		}
		request := &placementRequest{step, []*taskState{task}, &placement.Group{}}
		if len(former) > 0 && former[0].tasks[0] == task {
			request, former = former[0], former[1:]
		}
		p.open.speculative.change(request, request.tasks, p.speculativeGroup(task))
		step.requests.speculative = append(step.requests.speculative, request)
	}
	for len(former) > 0 {
		drop()
	}
}

// ready gives the tasks that may start now, and when others may.
func (p *Pool) ready(step *stepState, now time.Duration) (ready []*taskState, next time.Duration) {
	switch {
	case step.spec.Gang && step.hasRuns():
		return nil, never
	case step.notBefore <= now:
		return step.idle, never
	}
	next = never
	for _, task := range step.idle {
		if task.notBefore <= now {
			ready = append(ready, task)
			continue
		}
		next = min(next, task.notBefore)
	}
	return ready, next
}

func (p *Pool) group(step *stepState, ready []*taskState) placement.Group {
	job := step.occurrence.job
	group := placement.Group{Excluded: p.excludedByRule(step), Need: step.need(), Count: len(ready), IsGang: step.spec.Gang, IsIdle: p.clock.Monotonic() >= p.idleFrom(step),
		SameRack: step.spec.SameRack, Labels: step.spec.Labels, Locality: step.spec.Affinity, AntiAffinity: step.spec.AntiAffinity,
		IsLong:   step.spec.LongRunning || clock.Milliseconds(step.spec.EstimatedMs) > p.timing.ReservedCapacity.LongWork,
		Priority: job.record.Terms.Priority, Deadline: p.deadlineClass(step), Due: p.orderKey(step, len(ready))}
	group.IsLocalityRequired = p.clock.Monotonic() < p.localityWaitUntil(step) && p.hasLocalExecutor(step)
	if group.AntiAffinity > 0 {
		group.RunsByExecutor = step.runsByExecutor()
	}
	if executor := p.executors[ready[0].avoid]; executor != nil {
		group.Avoided = []int{executor.index}
	}
	return group
}

// idleFrom is when a step that runs nothing goes past soft limits.
func (p *Pool) idleFrom(step *stepState) time.Duration {
	if step.hasRuns() {
		return never
	}
	return step.lastProgressAt + maxIdleWait
}

func (p *Pool) orderKey(step *stepState, tasks int) int64 {
	return p.rules.Order(step.occurrence.job.record.Route, queuerules.Step{Due: int(step.occurrence.targetMs), Tasks: tasks,
		CPU: int(step.spec.CPU), Memory: int(step.spec.Memory), Estimate: int(step.spec.EstimatedMs)})
}

// runsByExecutor counts the runs of a step by the place of their executor.
func (s *stepState) runsByExecutor() map[int]int {
	runs := map[int]int{}
	for _, task := range s.busy {
		for _, run := range task.runs {
			runs[run.executor.index]++
		}
	}
	return runs
}

// excludedByRule keeps a queue to the executors of its rule for a moment; a task that waits longer may go anywhere,
// so that no rule of a queue leaves work undone while there is room.
func (p *Pool) excludedByRule(step *stepState) []bool {
	queue := step.occurrence.job.record.Route
	if !p.rules.HasUse(queue) || p.clock.Monotonic()-step.openedAt > ruleHoldTime {
		return nil
	}
	excluded := make([]bool, len(p.table.sorted))
	for index, executor := range p.table.sorted {
		excluded[index] = !p.rules.Allows(queue, queuerules.Executor{Labels: executor.labels, CPU: int(executor.capacity.CPU),
			Memory: int(executor.capacity.Memory), GPU: int(executor.capacity.GPU)})
	}
	return excluded
}
