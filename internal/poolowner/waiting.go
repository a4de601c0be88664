package poolowner

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"

	"gannetline/internal/placetasks"
	"gannetline/internal/pulse"
	"gannetline/internal/queuerules"
)

// ruleHolds is how long a task waits for the executors of its queue's rule.
const ruleHolds = time.Second

// waits is what a step asks of placement, kept until something of the step changes or its time comes.
type waits struct {
	isStale   bool
	lookAgain time.Duration
	inTimes   int
	due       int64
	request   request
	group     placetasks.Group
	spares    []*request
}

// request is tasks that may start now, and how they are to be placed.
type request struct {
	step  *stepState
	tasks []*task
	group *placetasks.Group
}

// openSteps keeps the steps that are under way: those that ask for room in the order in which they are placed,
// those with spares, and those that have to be looked at again.
type openSteps struct {
	steps    map[*stepState]bool
	requests []*request
	groups   []*placetasks.Group
	least    placetasks.Room
	asked    map[int]usage
	spared   map[*stepState]bool
	stale    []*stepState
	times    stepTimes
	version  uint64
}

func newOpenSteps() openSteps {
	o := openSteps{steps: map[*stepState]bool{}, asked: map[int]usage{}, spared: map[*stepState]bool{}}
	o.findLeast()
	return o
}

func (o *openSteps) add(step *stepState) {
	if !o.steps[step] {
		o.steps[step] = true
		o.note(step)
	}
}

func (o *openSteps) remove(step *stepState) {
	if !o.steps[step] {
		return
	}
	o.unlist(step)
	o.times.set(step, never)
	delete(o.steps, step)
}

func (o *openSteps) note(step *stepState) {
	if o.steps[step] && !step.waits.isStale {
		step.waits.isStale = true
		o.stale = append(o.stale, step)
	}
}

func compareRequests(one, two *request) int {
	if one.group.Priority != two.group.Priority {
		return cmp.Compare(one.group.Priority, two.group.Priority)
	}
	if one.group.Due != two.group.Due {
		return cmp.Compare(one.group.Due, two.group.Due)
	}
	return cmp.Compare(one.step.tasks[0].name, two.step.tasks[0].name)
}

func (o *openSteps) list(step *stepState) {
	if len(step.waits.spares) > 0 {
		o.spared[step] = true
	}
	one := &step.waits.request
	if one.group.Count == 0 {
		return
	}
	place, _ := slices.BinarySearchFunc(o.requests, one, compareRequests)
	o.requests, o.groups = slices.Insert(o.requests, place, one), slices.Insert(o.groups, place, one.group)
	o.least = o.least.AtMost(one.group.Need)
	o.asked[one.group.Priority] = o.asked[one.group.Priority].with(asks(one.group), 1)
}

func (o *openSteps) unlist(step *stepState) {
	delete(o.spared, step)
	one := &step.waits.request
	if one.group == nil || one.group.Count == 0 {
		return
	}
	place, _ := slices.BinarySearchFunc(o.requests, one, compareRequests)
	o.requests, o.groups = slices.Delete(o.requests, place, place+1), slices.Delete(o.groups, place, place+1)
	o.asked[one.group.Priority] = o.asked[one.group.Priority].with(asks(one.group), -1)
	if o.asked[one.group.Priority].count == 0 {
		delete(o.asked, one.group.Priority)
	}
}

func asks(group *placetasks.Group) placetasks.Room { return group.Need.Times(float64(group.Count)) }

// findLeast works out the least need again, which only sinks in between.
func (o *openSteps) findLeast() {
	o.least = placetasks.Room{CPU: math.MaxInt64, Memory: math.MaxInt64, GPU: math.MaxInt64}
	for _, group := range o.groups {
		o.least = o.least.AtMost(group.Need)
	}
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
func (t *stepTimes) Push(step any) {
	t.steps = append(t.steps, step.(*stepState))
	t.steps[len(t.steps)-1].waits.inTimes = len(t.steps)
}
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
			o.note(step)
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

// refresh works out anew what a step asks for, and until when that holds.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	waits := &step.waits
	p.open.unlist(step)
	lookAgain := never
	ready, again := p.ready(step, now)
	waits.request, waits.group, lookAgain = request{step, ready, &waits.group}, placetasks.Group{}, min(lookAgain, again)
	if len(ready) > 0 {
		waits.group = p.group(step, ready)
	}
	waits.spares = nil
	doubtful, again := p.doubtful(step, now)
	for _, which := range doubtful {
		waits.spares = append(waits.spares, &request{step, []*task{which}, p.spare(which)})
	}
	lookAgain = min(lookAgain, again)
	if frees := step.openedAt + ruleHolds + 1; now < frees && p.rules.HasUse(step.time.job.record.Entry) {
		lookAgain = min(lookAgain, frees)
	}
	p.open.list(step)
	p.open.times.set(step, lookAgain)
}

// doubted gives the spares that are wanted now, in the order in which they are placed.
func (p *Pool) doubted(now time.Duration) []*request {
	if len(p.open.spared) == 0 {
		return nil
	}
	var spares []*request
	steps := slices.SortedFunc(maps.Keys(p.open.spared), func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	for _, step := range steps {
		for _, spare := range step.waits.spares {
			if p.isDoubtful(spare.tasks[0].runs[0], now) {
				spares = append(spares, spare)
			}
		}
	}
	slices.SortStableFunc(spares, func(one, two *request) int { return placetasks.CompareGroups(one.group, two.group) })
	return spares
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

func (p *Pool) group(step *stepState, ready []*task) placetasks.Group {
	owner := step.time.job
	group := placetasks.Group{Barred: p.barredByRule(step), Need: step.need(), Count: len(ready), IsGang: step.step.Gang,
		SameRack: step.step.SameRack, Labels: step.step.Labels, Near: step.step.Near, Apart: step.step.Apart,
		IsLong:   step.step.Lasting || pulse.Ms(step.step.EstimatedMs) > p.timing.Headroom.LongWork,
		Priority: owner.record.Terms.Priority, Due: p.due(step, len(ready))}
	if group.Apart > 0 {
		group.Held = step.held()
	}
	if home := p.lives[ready[0].avoid]; home != nil {
		group.Avoid = []int{home.place}
	}
	return group
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
	if !p.rules.HasUse(queue) || p.clock.Steady()-step.openedAt > ruleHolds {
		return nil
	}
	barred := make([]bool, len(p.roster.lives))
	for place, home := range p.roster.lives {
		barred[place] = !p.rules.Allows(queue, queuerules.Executor{Labels: home.labels, CPU: int(home.room.CPU),
			Memory: int(home.room.Memory), GPU: int(home.room.GPU)})
	}
	return barred
}
