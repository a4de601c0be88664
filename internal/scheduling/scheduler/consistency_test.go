package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// Differences names what the pool keeps and what is not what comes out when it is worked out from nothing.
func (p *Pool) Differences() []string {
	var jobIDs []string
	compare := func(what string, kept, current any) {
		if !reflect.DeepEqual(kept, current) {
			jobIDs = append(jobIDs, fmt.Sprintf("%s: kept %+v, worked out %+v", what, kept, current))
		}
	}
	now := p.clock.Monotonic()
	lives := slices.SortedFunc(maps.Values(p.executors), func(executor, b *executorState) int { return cmp.Compare(executor.id, b.id) })
	compare("lives", plain(p.table.sorted), plain(lives))
	executors := slices.Clone(p.placementView(now))
	var open, all placement.Resources
	var taken int64
	for index, executor := range lives {
		view := p.viewOf(executor, now)
		if all = all.Plus(view.Total); !view.IsUnschedulable && view.RunLimit != placement.NoRuns {
			open = open.Plus(view.Total)
		}
		taken += takenCPU(&view)
		compare("place", executor.index, index)
		compare("executor "+executor.id, executors[index], p.viewOf(executor, now))
	}
	compare("open room", p.table.openCapacity, open)
	compare("all room", p.table.totalCapacity, all)
	compare("taken CPU", p.table.usedCPU, taken)
	p.compareRuns(compare, lives)
	compare("ended", plain(p.endedJobs), p.endedFromNothing())
	compare("broken", p.brokenAndOpen(), p.brokenFromNothing())
	for id, job := range p.awaitingRelease {
		compare("due before it is looked at, "+id, job.releaseMs(job.nextOccurrence) < p.nextReleaseMs, false)
	}
	for _, step := range p.open.refreshTimes.steps {
		compare("open while its time is kept", p.open.steps[step], true)
	}
	steps := p.openFromNothing()
	for _, step := range steps {
		name := step.tasks[0].name
		compare("idle of "+name, plain(step.idle), where(step, func(task *taskState) bool { return !task.isDone && len(task.runs) == 0 }))
		compare("busy of "+name, plain(step.busy), where(step, func(task *taskState) bool { return len(task.runs) > 0 }))
	}
	p.refreshAll(now)
	kept, current := append(slices.Clone(p.open.first.requests), p.open.speculative.requests...), p.requestsFromNothing(steps, now)
	compare("requests", len(kept), len(current))
	for index := range min(len(kept), len(current)) {
		compare("step", kept[index].step.tasks[0].name, current[index].step.tasks[0].name)
		compare("tasks", plain(kept[index].tasks), current[index].tasks)
		compare("group", *kept[index].group, *current[index].group)
	}
	for _, list := range []*requests{&p.open.first, &p.open.speculative} {
		asked := map[int]allocation{}
		for index, request := range list.requests {
			compare("group in its place", list.groups[index] == request.group, true)
			compare("least need", request.group.Need.Fits(list.minNeed), true)
			if request.group.Deadline == placement.OnTime {
				asked[request.group.Priority] = asked[request.group.Priority].with(totalNeed(request.group), 1)
			}
		}
		compare("asked", list.demand, asked)
	}
	return jobIDs
}

// plain makes no difference between a list that is empty and one that is not there.
func plain[T any](list []T) []T { return append([]T(nil), list...) }

func where(step *stepState, holds func(*taskState) bool) []*taskState {
	var tasks []*taskState
	for _, task := range step.tasks {
		if holds(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (p *Pool) compareRuns(compare func(string, any, any), lives []*executorState) {
	pending, taken := map[*runState]bool{}, map[int]allocation{}
	for _, executor := range lives {
		var used placement.Resources
		for _, run := range executor.runs {
			need, priority := run.task.step.need(), run.task.step.priority()
			if run.isExpired {
				priority = placement.Background
			}
			used = used.Plus(need)
			taken[priority] = taken[priority].with(need, 1)
			if run.phase != runRunning {
				pending[run] = true
			}
		}
		compare("used of "+executor.id, executor.allocated, used)
	}
	compare("pending", p.pendingRuns, pending)
	compare("usage", p.allocations, taken)
}

// Orders names the orders that may be under way.
func (p *Pool) Orders() []string {
	var names []string
	for _, executor := range p.executors {
		for _, run := range executor.runs {
			switch run.phase {
			case runLaunching:
				names = append(names, orderName(run.task, run.number, wire.OrderLaunch))
			case runStopping:
				names = append(names, orderName(run.task, run.number, wire.OrderStop))
			}
		}
	}
	return names
}

func (p *Pool) endedFromNothing() []*jobState {
	var ended []*jobState
	for _, job := range p.jobs {
		if !job.isOpen() && job.spec == nil {
			ended = append(ended, job)
		}
	}
	slices.SortFunc(ended, func(job, b *jobState) int {
		return cmp.Or(cmp.Compare(job.endedMs, b.endedMs), cmp.Compare(job.id, b.id))
	})
	return ended
}

func (p *Pool) openFromNothing() []*stepState {
	var steps []*stepState
	for _, job := range p.jobs {
		for _, occurrence := range job.occurrences {
			for _, step := range occurrence.steps {
				if job.isOpen() && step.isOpen && step.remaining > 0 {
					steps = append(steps, step)
				}
			}
		}
	}
	slices.SortFunc(steps, func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	return steps
}

func (p *Pool) brokenAndOpen() map[string]bool {
	jobIDs := map[string]bool{}
	for step := range p.brokenGangs {
		if step.remaining > 0 && step.occurrence.job.isOpen() {
			jobIDs[step.tasks[0].name] = true
		}
	}
	return jobIDs
}

func (p *Pool) brokenFromNothing() map[string]bool {
	jobIDs := map[string]bool{}
	for _, step := range p.openFromNothing() {
		if step.brokenAt > 0 {
			jobIDs[step.tasks[0].name] = true
		}
	}
	return jobIDs
}

func (p *Pool) requestsFromNothing(steps []*stepState, now time.Duration) []*placementRequest {
	var jobIDs []*placementRequest
	for _, step := range steps {
		ready := where(step, func(task *taskState) bool {
			return !task.isDone && len(task.runs) == 0 && task.notBefore <= now && !(step.spec.Gang && step.hasRuns())
		})
		if len(ready) > 0 {
			group := p.group(step, ready)
			jobIDs = append(jobIDs, &placementRequest{step, ready, &group})
		}
		candidates := where(step, func(task *taskState) bool {
			return step.spec.Redundant && !step.spec.Gang && !task.isDone && len(task.runs) == 1 && p.needsSpeculation(task.runs[0], now)
		})
		if step.spec.AntiAffinity > 0 && len(ready) > 0 {
			candidates = nil
		}
		if step.spec.AntiAffinity > 0 && len(candidates) > 1 {
			candidates = candidates[:1]
		}
		for _, task := range candidates {
			group := p.speculativeGroup(task)
			jobIDs = append(jobIDs, &placementRequest{step, []*taskState{task}, &group})
		}
	}
	slices.SortStableFunc(jobIDs, func(request, b *placementRequest) int {
		if request.group.IsSpeculative != b.group.IsSpeculative {
			return map[bool]int{true: 1, false: -1}[request.group.IsSpeculative]
		}
		return placement.CompareGroups(request.group, b.group)
	})
	return jobIDs
}
