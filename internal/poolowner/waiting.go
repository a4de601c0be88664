package poolowner

import (
	"cmp"
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
	version   uint64
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

// openSteps keeps the steps that are under way in the order in which they are placed.
type openSteps struct{ steps []*stepState }

func compareSteps(one, two *stepState) int {
	if one.priority() != two.priority() {
		return cmp.Compare(one.priority(), two.priority())
	}
	if one.waits.due != two.waits.due {
		return cmp.Compare(one.waits.due, two.waits.due)
	}
	return cmp.Compare(one.tasks[0].name, two.tasks[0].name)
}

func (o *openSteps) add(step *stepState) {
	if place, isThere := slices.BinarySearchFunc(o.steps, step, compareSteps); !isThere {
		o.steps = slices.Insert(o.steps, place, step)
	}
}

func (o *openSteps) remove(step *stepState) {
	if place, isThere := slices.BinarySearchFunc(o.steps, step, compareSteps); isThere {
		o.steps = slices.Delete(o.steps, place, place+1)
	}
}

// touch notes that something of a task changed which placement may see.
func (t *task) touch() {
	t.step.file(t)
	t.step.waits.isStale = true
}

// requests gives what waits for room, in the order of placement: first what must run, then the spares.
func (p *Pool) requests(now time.Duration) []*request {
	var moved []*stepState
	for _, step := range p.open.steps {
		waits := &step.waits
		if waits.isStale || now >= waits.lookAgain || waits.version != p.roster.version {
			p.refresh(step, now)
			if waits.group.Count > 0 && waits.group.Due != waits.due {
				moved = append(moved, step)
			}
		}
	}
	for _, step := range moved {
		p.open.remove(step)
		step.waits.due = step.waits.group.Due
		p.open.add(step)
	}
	found, spares := p.found[:0], p.spares[:0]
	for _, step := range p.open.steps {
		if waits := &step.waits; waits.group.Count > 0 {
			found = append(found, &waits.request)
		}
		for _, spare := range step.waits.spares {
			if p.isDoubtful(spare.tasks[0].runs[0], now) {
				spares = append(spares, spare)
			}
		}
	}
	p.found, p.spares = append(found, spares...), spares
	return p.found
}

// refresh works out anew what a step asks for, and until when that holds.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	waits := &step.waits
	waits.isStale, waits.version, waits.lookAgain = false, p.roster.version, never
	waits.request = request{step, p.ready(step, now), &waits.group}
	waits.group = placetasks.Group{}
	if len(waits.request.tasks) > 0 {
		waits.group = p.group(step, waits.request.tasks)
	}
	waits.spares = nil
	for _, which := range p.doubtful(step, now) {
		waits.spares = append(waits.spares, &request{step, []*task{which}, p.spare(which)})
	}
	if p.rules.HasUse(step.time.job.record.Entry) {
		if frees := step.openedAt + ruleHolds + 1; now < frees {
			waits.lookAgain = min(waits.lookAgain, frees)
		}
	}
}

func (p *Pool) ready(step *stepState, now time.Duration) []*task {
	if step.step.Gang && step.hasRuns() {
		return nil
	}
	if step.notBefore <= now {
		return step.idle
	}
	var ready []*task
	for _, which := range step.idle {
		if which.notBefore > now {
			step.waits.lookAgain = min(step.waits.lookAgain, which.notBefore)
			continue
		}
		ready = append(ready, which)
	}
	return ready
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
