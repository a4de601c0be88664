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

// Differences recomputes the tables that the pool updates incrementally and returns a description of each difference.
func (p *Pool) Differences() []string {
	var differences []string
	compare := func(table string, kept, recomputed any) {
		if !reflect.DeepEqual(kept, recomputed) {
			differences = append(differences, fmt.Sprintf("%s: kept %+v, recomputed %+v", table, kept, recomputed))
		}
	}
	now := p.clock.Monotonic()
	sortedExecutors := slices.SortedFunc(maps.Values(p.executors), func(a, b *executorState) int { return cmp.Compare(a.id, b.id) })
	compare("sorted executors", nilIfEmpty(p.table.sorted), nilIfEmpty(sortedExecutors))
	views := slices.Clone(p.placementView(now))
	var open, total placement.Resources
	var usedCPU int64
	for index, executor := range sortedExecutors {
		view := p.viewOf(executor, now)
		if total = total.Plus(view.Total); !view.IsUnschedulable && view.RunLimit != placement.NoRuns {
			open = open.Plus(view.Total)
		}
		usedCPU += takenCPU(&view)
		compare("executor index", executor.index, index)
		compare("executor "+executor.id, views[index], p.viewOf(executor, now))
	}
	compare("open capacity", p.table.openCapacity, open)
	compare("total capacity", p.table.totalCapacity, total)
	compare("used CPU", p.table.usedCPU, usedCPU)
	p.compareRuns(compare, sortedExecutors)
	compare("ended jobs", nilIfEmpty(p.endedJobs), p.recomputeEnded())
	compare("broken gangs", p.openBrokenGangs(), p.recomputeBrokenGangs())
	for id, job := range p.awaitingRelease {
		compare("release before nextReleaseMs of job "+id, job.releaseMs(job.nextOccurrence) < p.nextReleaseMs, false)
	}
	for _, step := range p.open.refreshTimes.steps {
		compare("step in the refresh heap is open", p.open.steps[step], true)
	}
	steps := p.recomputeOpenSteps()
	for _, step := range steps {
		name := step.tasks[0].name
		compare("idle tasks of "+name, nilIfEmpty(step.idle), filterTasks(step, func(task *taskState) bool { return !task.isDone && len(task.runs) == 0 }))
		compare("busy tasks of "+name, nilIfEmpty(step.busy), filterTasks(step, func(task *taskState) bool { return len(task.runs) > 0 }))
	}
	p.refreshAll(now)
	kept, recomputed := append(slices.Clone(p.open.first.requests), p.open.speculative.requests...), p.recomputeRequests(steps, now)
	compare("number of requests", len(kept), len(recomputed))
	for index := range min(len(kept), len(recomputed)) {
		compare("step of request", kept[index].step.tasks[0].name, recomputed[index].step.tasks[0].name)
		compare("tasks of request", nilIfEmpty(kept[index].tasks), recomputed[index].tasks)
		compare("group of request", *kept[index].group, *recomputed[index].group)
	}
	for _, list := range []*requests{&p.open.first, &p.open.speculative} {
		demands := map[int]allocation{}
		for index, request := range list.requests {
			compare("group at the index of its request", list.groups[index] == request.group, true)
			compare("minimum need", request.group.Need.Fits(list.minNeed), true)
			if request.group.Deadline == placement.OnTime {
				demands[request.group.Priority] = demands[request.group.Priority].with(totalNeed(request.group), 1)
			}
		}
		compare("demand by priority", list.demand, demands)
	}
	return differences
}

// nilIfEmpty copies a list. The copy of an empty list is nil, so that empty and nil lists compare as equal.
func nilIfEmpty[T any](list []T) []T { return append([]T(nil), list...) }

// filterTasks returns the tasks of a step that meet a condition.
func filterTasks(step *stepState, matches func(*taskState) bool) []*taskState {
	var tasks []*taskState
	for _, task := range step.tasks {
		if matches(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// compareRuns recomputes the tables of allocations and pending runs.
func (p *Pool) compareRuns(compare func(string, any, any), sortedExecutors []*executorState) {
	pending, allocations := map[*runState]bool{}, map[int]allocation{}
	for _, executor := range sortedExecutors {
		var used placement.Resources
		for _, run := range executor.runs {
			need, priority := run.task.step.need(), run.task.step.priority()
			if run.isExpired {
				priority = placement.Background
			}
			used = used.Plus(need)
			allocations[priority] = allocations[priority].with(need, 1)
			if run.phase != runRunning {
				pending[run] = true
			}
		}
		compare("allocation of executor "+executor.id, executor.allocated, used)
	}
	compare("pending runs", p.pendingRuns, pending)
	compare("allocations by priority", p.allocations, allocations)
}

// Orders returns the record names of the orders of all pending runs.
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

func (p *Pool) recomputeEnded() []*jobState {
	var ended []*jobState
	for _, job := range p.jobs {
		if !job.isOpen() && job.spec == nil {
			ended = append(ended, job)
		}
	}
	slices.SortFunc(ended, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.endedMs, b.endedMs), cmp.Compare(a.id, b.id))
	})
	return ended
}

func (p *Pool) recomputeOpenSteps() []*stepState {
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
	slices.SortFunc(steps, func(a, b *stepState) int { return cmp.Compare(a.tasks[0].name, b.tasks[0].name) })
	return steps
}

// openBrokenGangs returns the kept broken gangs that are still open, by the name of their first task.
func (p *Pool) openBrokenGangs() map[string]bool {
	names := map[string]bool{}
	for step := range p.brokenGangs {
		if step.remaining > 0 && step.occurrence.job.isOpen() {
			names[step.tasks[0].name] = true
		}
	}
	return names
}

func (p *Pool) recomputeBrokenGangs() map[string]bool {
	names := map[string]bool{}
	for _, step := range p.recomputeOpenSteps() {
		if step.brokenAt > 0 {
			names[step.tasks[0].name] = true
		}
	}
	return names
}

func (p *Pool) recomputeRequests(steps []*stepState, now time.Duration) []*placementRequest {
	var expected []*placementRequest
	for _, step := range steps {
		ready := filterTasks(step, func(task *taskState) bool {
			return !task.isDone && len(task.runs) == 0 && task.notBefore <= now && !(step.spec.Gang && step.hasRuns())
		})
		if len(ready) > 0 {
			group := p.group(step, ready)
			expected = append(expected, &placementRequest{step, ready, &group})
		}
		candidates := filterTasks(step, func(task *taskState) bool {
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
			expected = append(expected, &placementRequest{step, []*taskState{task}, &group})
		}
	}
	slices.SortStableFunc(expected, func(a, b *placementRequest) int {
		if a.group.IsSpeculative != b.group.IsSpeculative {
			return map[bool]int{true: 1, false: -1}[a.group.IsSpeculative]
		}
		return placement.CompareGroups(a.group, b.group)
	})
	return expected
}
