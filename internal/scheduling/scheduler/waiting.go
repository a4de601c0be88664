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

// ruleHolds is how long a task waits for the executors of its queue's rule.
const ruleHolds = time.Second

// mostIdle is how long soft limits may keep a step that runs nothing from its first run.
const mostIdle = time.Second

// waits is what a step asks of placement, kept until something of the step changes or its time comes.
type waits struct {
	isStale   bool
	lookAgain time.Duration
	inTimes   int
	request   request
	group     placement.Group
	spares    []*request
}

// request is tasks that may start now, and how they are to be placed.
type request struct {
	step  *stepState
	tasks []*task
	group *placement.Group
}

// requests are kept in the order in which they are placed, with what they ask for by priority, and a room that none
// needs less than.
type requests struct {
	requests []*request
	groups   []*placement.Group
	asked    map[int]usage
	least    placement.Room
}

func newRequests() requests {
	r := requests{asked: map[int]usage{}}
	r.findLeast()
	return r
}

func compareRequests(one, two *request) int {
	if order := placement.CompareGroups(one.group, two.group); order != 0 {
		return order
	}
	return cmp.Or(cmp.Compare(one.step.tasks[0].name, two.step.tasks[0].name), cmp.Compare(one.tasks[0].index, two.tasks[0].index))
}

// change makes a request ask for something else; one that asks for nothing is not listed.
func (r *requests) change(one *request, tasks []*task, group placement.Group) {
	was := *one.group
	staysInPlace := was.Count > 0 && group.Count > 0 && placement.CompareGroups(&was, &group) == 0
	if was.Count > 0 && !staysInPlace {
		place, _ := slices.BinarySearchFunc(r.requests, one, compareRequests)
		r.requests, r.groups = slices.Delete(r.requests, place, place+1), slices.Delete(r.groups, place, place+1)
	}
	*one.group, one.tasks = group, tasks
	if group.Count > 0 && !staysInPlace {
		place, _ := slices.BinarySearchFunc(r.requests, one, compareRequests)
		r.requests, r.groups = slices.Insert(r.requests, place, one), slices.Insert(r.groups, place, one.group)
	}
	r.count(&was, -1)
	r.count(&group, 1)
}

func (r *requests) count(group *placement.Group, count int) {
	if group.Count == 0 {
		return
	}
	taken := r.asked[group.Priority].with(asks(group), count)
	r.asked[group.Priority] = taken
	if taken.count == 0 {
		delete(r.asked, group.Priority)
	}
	if count > 0 {
		r.least = r.least.AtMost(group.Need)
	}
}

func asks(group *placement.Group) placement.Room { return group.Need.Times(float64(group.Count)) }

// findLeast works out the least need again, which only sinks in between.
func (r *requests) findLeast() {
	r.least = placement.Room{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for _, group := range r.groups {
		r.least = r.least.AtMost(group.Need)
	}
}

// openSteps keeps the steps that are under way, what they ask for, and when they have to be looked at again.
type openSteps struct {
	steps   map[*stepState]bool
	firsts  requests
	spares  requests
	stale   []*stepState
	times   stepTimes
	version uint64
}

func newOpenSteps() openSteps {
	return openSteps{steps: map[*stepState]bool{}, firsts: newRequests(), spares: newRequests()}
}

func (o *openSteps) add(step *stepState) {
	if !o.steps[step] {
		o.steps[step] = true
		step.waits.request = request{step: step, group: &step.waits.group}
		o.note(step)
	}
}

func (o *openSteps) remove(step *stepState) {
	if !o.steps[step] {
		return
	}
	o.firsts.change(&step.waits.request, nil, placement.Group{})
	for _, spare := range step.waits.spares {
		o.spares.change(spare, spare.tasks, placement.Group{})
	}
	step.waits.spares = nil
	o.times.set(step, never)
	delete(o.steps, step)
}

func (o *openSteps) note(step *stepState) {
	if o.steps[step] && !step.waits.isStale {
		step.waits.isStale = true
		o.stale = append(o.stale, step)
	}
}

// request gives the request of a group by its number in the line.
func (o *openSteps) request(number int) *request {
	if number < len(o.firsts.requests) {
		return o.firsts.requests[number]
	}
	return o.spares.requests[number-len(o.firsts.requests)]
}

func (o *openSteps) line() placement.Line {
	return placement.Line{Groups: o.firsts.groups, Spares: o.spares.groups, Least: o.firsts.least.AtMost(o.spares.least)}
}

// stepTimes is a heap of the steps that have to be looked at again at a time.
type stepTimes struct{ steps []*stepState }

func (t *stepTimes) Len() int { return len(t.steps) }
func (t *stepTimes) Less(one, two int) bool {
	return t.steps[one].waits.lookAgain < t.steps[two].waits.lookAgain
}
func (t *stepTimes) Swap(one, two int) {
	t.steps[one], t.steps[two] = t.steps[two], t.steps[one]
	t.steps[one].waits.inTimes, t.steps[two].waits.inTimes = one+1, two+1
}

// Push appends a *stepState for package heap, and notes its place plus one in the step; heap.Push calls it.
func (t *stepTimes) Push(step any) {
	t.steps = append(t.steps, step.(*stepState))
	t.steps[len(t.steps)-1].waits.inTimes = len(t.steps)
}

// Pop removes the last step for package heap and notes in it that it is in no heap; heap.Remove calls it.
func (t *stepTimes) Pop() any {
	last := t.steps[len(t.steps)-1]
	t.steps, last.waits.inTimes = t.steps[:len(t.steps)-1], 0
	return last
}

func (t *stepTimes) set(step *stepState, at time.Duration) {
	place := step.waits.inTimes
	step.waits.lookAgain = at
	switch {
	case place == 0 && at < never:
		heap.Push(t, step)
	case place > 0 && at < never:
		heap.Fix(t, place-1)
	case place > 0:
		heap.Remove(t, place-1)
	}
}

// touch notes that something of a task changed which placement may see.
func (p *Pool) touch(which *task) {
	which.step.file(which)
	p.open.note(which.step)
}

// refreshAll works out anew what may have changed since the last placement.
func (p *Pool) refreshAll(now time.Duration) {
	o := &p.open
	if o.version != p.roster.version {
		o.version = p.roster.version
		for step := range o.steps {
			if p.namesExecutors(step) {
				o.note(step)
			}
		}
	}
	for len(o.times.steps) > 0 && o.times.steps[0].waits.lookAgain <= now {
		step := o.times.steps[0]
		o.times.set(step, never)
		o.note(step)
	}
	for _, step := range o.stale {
		step.waits.isStale = false
		if o.steps[step] {
			p.refresh(step, now)
		}
	}
	o.stale = o.stale[:0]
}

// namesExecutors tells whether what a step asks for depends on who is in the roster, and in which place.
func (p *Pool) namesExecutors(step *stepState) bool {
	ready := step.waits.request.tasks
	return p.clock.Monotonic() < p.nearUntil(step) || step.step.Apart > 0 || len(step.waits.spares) > 0 || len(ready) > 0 && ready[0].avoid != "" ||
		p.rules.HasUse(step.time.job.record.Entry)
}

// refresh works out anew what a step asks for, and until when that holds.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	ready, again := p.ready(step, now)
	var group placement.Group
	if len(ready) > 0 {
		group = p.group(step, ready)
	}
	p.open.firsts.change(&step.waits.request, ready, group)
	doubtful, doubtAgain := p.doubtful(step, now)
	p.refreshSpares(step, doubtful)
	again = min(again, doubtAgain)
	if len(ready)+len(doubtful) > 0 {
		again = min(again, p.chanceChanges(step, now))
	}
	if frees := step.openedAt + ruleHolds + 1; now < frees && p.rules.HasUse(step.time.job.record.Entry) {
		again = min(again, frees)
	}
	if until := p.nearUntil(step); now < until {
		again = min(again, until)
	}
	if idleFrom := p.idleFrom(step); now < idleFrom {
		again = min(again, idleFrom)
	}
	p.open.times.set(step, again)
}

// refreshSpares goes along the spares there are and those there should be, both in the order of their tasks.
func (p *Pool) refreshSpares(step *stepState, doubtful []*task) {
	old := step.waits.spares
	step.waits.spares = nil
	drop := func() {
		p.open.spares.change(old[0], old[0].tasks, placement.Group{})
		old = old[1:]
	}
	for _, which := range doubtful {
		for len(old) > 0 && old[0].tasks[0].index < which.index {
			drop()
		}
		one := &request{step, []*task{which}, &placement.Group{}}
		if len(old) > 0 && old[0].tasks[0] == which {
			one, old = old[0], old[1:]
		}
		p.open.spares.change(one, one.tasks, p.spare(which))
		step.waits.spares = append(step.waits.spares, one)
	}
	for len(old) > 0 {
		drop()
	}
}

// ready gives the tasks that may start now, and when others may.
func (p *Pool) ready(step *stepState, now time.Duration) (ready []*task, again time.Duration) {
	switch {
	case step.step.Gang && step.hasRuns():
		return nil, never
	case step.notBefore <= now:
		return step.idle, never
	}
	again = never
	for _, which := range step.idle {
		if which.notBefore <= now {
			ready = append(ready, which)
			continue
		}
		again = min(again, which.notBefore)
	}
	return ready, again
}

func (p *Pool) group(step *stepState, ready []*task) placement.Group {
	owner := step.time.job
	group := placement.Group{Barred: p.barredByRule(step), Need: step.need(), Count: len(ready), IsGang: step.step.Gang, IsIdle: p.clock.Monotonic() >= p.idleFrom(step),
		SameRack: step.step.SameRack, Labels: step.step.Labels, Near: step.step.Near, Apart: step.step.Apart,
		IsLong:   step.step.Lasting || clock.Milliseconds(step.step.EstimatedMs) > p.timing.Headroom.LongWork,
		Priority: owner.record.Terms.Priority, Chance: p.chance(step), Due: p.due(step, len(ready))}
	group.IsNearOnly = p.clock.Monotonic() < p.nearUntil(step) && p.hasNear(step)
	if group.Apart > 0 {
		group.Held = step.held()
	}
	if home := p.lives[ready[0].avoid]; home != nil {
		group.Avoid = []int{home.place}
	}
	return group
}

// idleFrom is when a step that runs nothing goes past soft limits.
func (p *Pool) idleFrom(step *stepState) time.Duration {
	if step.hasRuns() {
		return never
	}
	return step.ranAt + mostIdle
}

func (p *Pool) due(step *stepState, tasks int) int64 {
	return p.rules.Order(step.time.job.record.Entry, queuerules.Step{Due: int(step.time.aimMs), Tasks: tasks,
		CPU: int(step.step.CPU), Memory: int(step.step.Memory), Estimate: int(step.step.EstimatedMs)})
}

// held counts the runs of a step by the place of their executor.
func (s *stepState) held() map[int]int {
	held := map[int]int{}
	for _, which := range s.busy {
		for _, one := range which.runs {
			held[one.life.place]++
		}
	}
	return held
}

// barredByRule keeps a queue to the executors of its rule for a moment; a task that waits longer may go anywhere,
// so that no rule of a queue leaves work undone while there is room.
func (p *Pool) barredByRule(step *stepState) []bool {
	queue := step.time.job.record.Entry
	if !p.rules.HasUse(queue) || p.clock.Monotonic()-step.openedAt > ruleHolds {
		return nil
	}
	barred := make([]bool, len(p.roster.lives))
	for place, home := range p.roster.lives {
		barred[place] = !p.rules.Allows(queue, queuerules.Executor{Labels: home.labels, CPU: int(home.room.CPU),
			Memory: int(home.room.Memory), GPU: int(home.room.GPU)})
	}
	return barred
}
