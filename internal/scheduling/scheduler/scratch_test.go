package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// Differences names what the pool keeps and what is not what comes out when it is worked out from nothing.
func (p *Pool) Differences() []string {
	var found []string
	compare := func(what string, kept, fresh any) {
		if !reflect.DeepEqual(kept, fresh) {
			found = append(found, fmt.Sprintf("%s: kept %+v, worked out %+v", what, kept, fresh))
		}
	}
	now := p.clock.Monotonic()
	lives := slices.SortedFunc(maps.Values(p.lives), func(one, two *life) int { return cmp.Compare(one.id, two.id) })
	compare("lives", plain(p.roster.lives), plain(lives))
	executors := slices.Clone(p.executors(now))
	var open, all placement.Room
	var taken int64
	for place, home := range lives {
		executor := p.executor(home, now)
		if all = all.Plus(executor.Total); !executor.IsClosed && executor.Most != placement.NoMore {
			open = open.Plus(executor.Total)
		}
		taken += takenCPU(&executor)
		compare("place", home.place, place)
		compare("executor "+home.id, executors[place], p.executor(home, now))
	}
	compare("open room", p.roster.open, open)
	compare("all room", p.roster.all, all)
	compare("taken CPU", p.roster.taken, taken)
	p.compareRuns(compare, lives)
	compare("ended", plain(p.ended), p.endedFromNothing())
	compare("broken", p.brokenAndOpen(), p.brokenFromNothing())
	for id, one := range p.untimed {
		compare("due before it is looked at, "+id, one.dueMs(one.nextTime) < p.timesAtMs, false)
	}
	for _, step := range p.open.times.steps {
		compare("open while its time is kept", p.open.steps[step], true)
	}
	steps := p.openFromNothing()
	for _, step := range steps {
		name := step.tasks[0].name
		compare("idle of "+name, plain(step.idle), where(step, func(which *task) bool { return !which.isDone && len(which.runs) == 0 }))
		compare("busy of "+name, plain(step.busy), where(step, func(which *task) bool { return len(which.runs) > 0 }))
	}
	p.refreshAll(now)
	kept, fresh := append(slices.Clone(p.open.firsts.requests), p.open.spares.requests...), p.requestsFromNothing(steps, now)
	compare("requests", len(kept), len(fresh))
	for place := range min(len(kept), len(fresh)) {
		compare("step", kept[place].step.tasks[0].name, fresh[place].step.tasks[0].name)
		compare("tasks", plain(kept[place].tasks), fresh[place].tasks)
		compare("group", *kept[place].group, *fresh[place].group)
	}
	for _, list := range []*requests{&p.open.firsts, &p.open.spares} {
		asked := map[int]usage{}
		for place, one := range list.requests {
			compare("group in its place", list.groups[place] == one.group, true)
			compare("least need", one.group.Need.Fits(list.least), true)
			asked[one.group.Priority] = asked[one.group.Priority].with(asks(one.group), 1)
		}
		compare("asked", list.asked, asked)
	}
	return found
}

// plain makes no difference between a list that is empty and one that is not there.
func plain[T any](list []T) []T { return append([]T(nil), list...) }

func where(step *stepState, holds func(*task) bool) []*task {
	var found []*task
	for _, which := range step.tasks {
		if holds(which) {
			found = append(found, which)
		}
	}
	return found
}

func (p *Pool) compareRuns(compare func(string, any, any), lives []*life) {
	pending, taken := map[*run]bool{}, map[int]usage{}
	for _, home := range lives {
		var used placement.Room
		for _, one := range home.runs {
			need, priority := one.task.step.need(), one.task.step.priority()
			used = used.Plus(need)
			taken[priority] = taken[priority].with(need, 1)
			if one.state != runRunning {
				pending[one] = true
			}
		}
		compare("used of "+home.id, home.used, used)
	}
	compare("pending", p.pending, pending)
	compare("usage", p.usage, taken)
}

// Orders names the orders that may be under way.
func (p *Pool) Orders() []string {
	var names []string
	for _, home := range p.lives {
		for _, one := range home.runs {
			switch one.state {
			case runLaunching:
				names = append(names, orderName(one.task, one.number, kindLaunch))
			case runStopping:
				names = append(names, orderName(one.task, one.number, kindStop))
			}
		}
	}
	return names
}

func (p *Pool) endedFromNothing() []*job {
	var ended []*job
	for _, one := range p.jobs {
		if !one.isOpen() && one.spec == nil {
			ended = append(ended, one)
		}
	}
	slices.SortFunc(ended, func(one, two *job) int {
		return cmp.Or(cmp.Compare(one.endedMs, two.endedMs), cmp.Compare(one.id, two.id))
	})
	return ended
}

func (p *Pool) openFromNothing() []*stepState {
	var steps []*stepState
	for _, one := range p.jobs {
		for _, spell := range one.times {
			for _, step := range spell.steps {
				if one.isOpen() && step.isOpen && step.left > 0 {
					steps = append(steps, step)
				}
			}
		}
	}
	slices.SortFunc(steps, func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	return steps
}

func (p *Pool) brokenAndOpen() map[string]bool {
	found := map[string]bool{}
	for step := range p.broken {
		if step.left > 0 && step.time.job.isOpen() {
			found[step.tasks[0].name] = true
		}
	}
	return found
}

func (p *Pool) brokenFromNothing() map[string]bool {
	found := map[string]bool{}
	for _, step := range p.openFromNothing() {
		if step.brokenAt > 0 {
			found[step.tasks[0].name] = true
		}
	}
	return found
}

func (p *Pool) requestsFromNothing(steps []*stepState, now time.Duration) []*request {
	var found []*request
	for _, step := range steps {
		ready := where(step, func(which *task) bool {
			return !which.isDone && len(which.runs) == 0 && which.notBefore <= now && !(step.step.Gang && step.hasRuns())
		})
		if len(ready) > 0 {
			group := p.group(step, ready)
			found = append(found, &request{step, ready, &group})
		}
		doubtful := where(step, func(which *task) bool {
			return step.step.Redundant && !step.step.Gang && !which.isDone && len(which.runs) == 1 && p.isDoubtful(which.runs[0], now)
		})
		if step.step.Apart > 0 && len(ready) > 0 {
			doubtful = nil
		}
		if step.step.Apart > 0 && len(doubtful) > 1 {
			doubtful = doubtful[:1]
		}
		for _, which := range doubtful {
			group := p.spare(which)
			found = append(found, &request{step, []*task{which}, &group})
		}
	}
	slices.SortStableFunc(found, func(one, two *request) int {
		if one.group.IsSpare != two.group.IsSpare {
			return map[bool]int{true: 1, false: -1}[one.group.IsSpare]
		}
		return placement.CompareGroups(one.group, two.group)
	})
	return found
}
