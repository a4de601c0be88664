package scheduler

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/placement"
)

// maxRuleWait is how long a step waits for the executors that its queue's rule allows.
const maxRuleWait = time.Second

// maxIdleWait is how long soft limits (see placement.Limits) may keep a step without runs from starting its first run.
const maxIdleWait = time.Second

// markChanged updates the lists of a step after one of its tasks has changed. It marks the placement requests of all steps of the occurrence
// as stale.
func (p *Pool) markChanged(task *taskState) {
	task.step.classify(task)
	for _, step := range task.step.occurrence.steps {
		p.open.markStale(step)
	}
}

// refreshAll recomputes the requests that may have changed since the last placement.
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
	p.endOverloads(now)
	// The list may grow in the loop, as a step that becomes late may make others stale.
	for index := 0; index < len(o.stale); index++ {
		step := o.stale[index]
		step.requests.isStale = false
		if o.steps[step] {
			p.refresh(step, now)
		}
	}
	o.stale = o.stale[:0]
}

// dependsOnExecutors reports whether the requests of a step depend on the set of executors or on their indices.
func (p *Pool) dependsOnExecutors(step *stepState) bool {
	ready := step.requests.first.tasks
	return p.clock.Monotonic() < p.localityWaitUntil(step) || step.spec.AntiAffinity > 0 || len(step.requests.speculative) > 0 || len(ready) > 0 && ready[0].avoid != "" ||
		p.rules.HasUse(step.queue())
}

// refresh recomputes the requests of a step, and the time of its next refresh, which is the end of their validity.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	ready, next := p.ready(step, now)
	var group placement.Group
	if len(ready) > 0 {
		group = p.group(step, ready)
	}
	p.recordTargetMiss(&step.requests.group, &group, now)
	p.open.first.change(&step.requests.first, ready, group)
	candidates, candidatesNext := p.tasksToSpeculate(step, now)
	p.refreshSpeculative(step, candidates)
	next = min(next, candidatesNext)
	if len(ready)+len(candidates) > 0 {
		next = min(next, p.nextDeadlineChange(step, now))
	}
	if ruleEnd := step.openedAt + maxRuleWait + 1; now < ruleEnd && p.rules.HasUse(step.queue()) {
		next = min(next, ruleEnd)
	}
	if until := p.localityWaitUntil(step); now < until {
		next = min(next, until)
	}
	if idleFrom := p.idleFrom(step); now < idleFrom {
		next = min(next, idleFrom)
	}
	p.open.refreshTimes.set(step, next)
}

// refreshSpeculative updates the speculative requests of a step to those of the candidates. It merges the two lists, which are both in
// the order of the tasks.
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

// ready returns the tasks that may start now, and when the next of the others may.
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

// group returns the ready tasks of a step as a group for placement, with their need, constraints, preferences and order.
func (p *Pool) group(step *stepState, ready []*taskState) placement.Group {
	job := step.occurrence.job
	group := placement.Group{Excluded: p.excludedByRule(step), Need: step.need(), Count: len(ready), IsGang: step.spec.Gang, IsIdle: p.clock.Monotonic() >= p.idleFrom(step), IsLasting: step.spec.LongRunning,
		SameRack: step.spec.SameRack, Labels: step.spec.Labels, Locality: step.spec.Affinity, AntiAffinity: step.spec.AntiAffinity,
		IsLong:   p.isLong(step),
		Priority: job.record.Terms.Priority, Tenant: job.tenant.index, Deadline: p.deadlineClass(step), CanWait: p.canWait(step), RemainingTenths: p.remainingTenths(step), Due: p.orderKey(step, len(ready))}
	group.IsLocalityRequired = p.clock.Monotonic() < p.localityWaitUntil(step) && p.hasLocalExecutor(step)
	if group.AntiAffinity > 0 {
		group.RunsByExecutor = step.runsByExecutor()
	}
	if executor := p.executors[ready[0].avoid]; executor != nil {
		group.Avoided = []int{executor.index}
	}
	return group
}

// isLong reports whether a step is long-running, or the estimate of its tasks is longer than ReservedCapacity.LongWork.
func (p *Pool) isLong(step *stepState) bool {
	return step.spec.LongRunning || clock.Milliseconds(step.spec.EstimatedMs) > p.timing.ReservedCapacity.LongWork
}

// idleFrom returns when a step without runs may exceed soft limits. A long-running step may at once, even if some of its tasks run, as each
// of them should run at all times.
func (p *Pool) idleFrom(step *stepState) time.Duration {
	switch {
	case step.spec.LongRunning:
		return 0
	case step.hasRuns():
		return never
	}
	return step.lastProgressAt + maxIdleWait
}

// orderKey returns the sort key of a step within its section of the queue, lower first. It comes from the rule of the step's queue, or from
// dueKey if the queue has no rule for the order.
func (p *Pool) orderKey(step *stepState, tasks int) int64 {
	if !p.rules.HasOrder(step.queue()) {
		return p.dueKey(step)
	}
	return p.rules.Order(step.queue(), queuerules.Step{Due: int(step.occurrence.targetMs), Tasks: tasks,
		CPU: int(step.spec.CPU), Memory: int(step.spec.Memory), Estimate: int(step.spec.EstimatedMs)})
}

// allTenths is the value of remainingTenths for an occurrence of which no task has started.
const allTenths = 10

// remainingTenths returns how much of the work of a step's occurrence has not been started, in tenths and by the estimates. It is always
// allTenths for a queue whose rule orders its steps, so that only the rule decides. It is also allTenths for expired work, so that only the
// age decides and every job gets its turn.
func (p *Pool) remainingTenths(step *stepState) int {
	if p.rules.HasOrder(step.queue()) || p.deadlineClass(step) == placement.Expired {
		return allTenths
	}
	var total, remaining float64
	for _, other := range step.occurrence.steps {
		total += other.spec.Work(len(other.tasks))
		remaining += other.spec.Work(len(other.idle))
	}
	return int(remaining * allTenths / total)
}

// runsByExecutor counts the runs of a step by the index of their executor.
func (s *stepState) runsByExecutor() map[int]int {
	runs := map[int]int{}
	for _, task := range s.busy {
		for _, run := range task.runs {
			runs[run.executor.index]++
		}
	}
	return runs
}

// excludedByRule marks, by index, the executors that the rule of a step's queue doesn't allow. The rule applies for maxRuleWait after the
// step has opened. Then the step may use any executor, so that no rule leaves work undone while there is capacity.
func (p *Pool) excludedByRule(step *stepState) []bool {
	queue := step.queue()
	if !p.rules.HasUse(queue) || p.clock.Monotonic()-step.openedAt > maxRuleWait {
		return nil
	}
	excluded := make([]bool, len(p.table.sorted))
	for index, executor := range p.table.sorted {
		excluded[index] = !p.rules.Allows(queue, queuerules.Executor{Labels: executor.labels, CPU: int(executor.capacity.CPU),
			Memory: int(executor.capacity.Memory), GPU: int(executor.capacity.GPU)})
	}
	return excluded
}
