package simcluster

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

const (
	// stallCheckInterval is the interval at which jobs are checked, maxStallTime is how long a job may wait before it counts as stalled, and
	// takeoverTime is how long a new leader may need until it knows all executors.
	stallCheckInterval = 100 * time.Millisecond
	maxStallTime       = 3 * time.Second
	takeoverTime       = 2 * time.Second
)

// StallDetector finds stalled jobs. An accepted job is stalled if none of its tasks runs for 3 s, although one of them could start, there is
// free capacity for two such tasks (or gangs), and less than half of the service's CPU capacity is in use. A job is excused for as long as
// an unreachable executor may still hold the lease for one of its runs, and if it has failed. All jobs are excused while the pool has no
// leader, and until a new leader has led for takeoverTime.
type StallDetector struct {
	cluster      *Cluster
	waitingSince map[string]time.Duration
	excusedUntil map[string]time.Duration
	ignored      map[string]bool
	leader       *Node
	leaderSince  time.Duration
	// Checks counts the checks that found a job waiting under all these conditions, however long it had waited.
	Checks int
	// Stalls describes each stall: the time, the job, and since when it waited. A job that stays stalled is listed again every 3 s.
	Stalls []string
}

// DetectStalls starts checking for stalled jobs.
func (s *Cluster) DetectStalls() *StallDetector {
	d := &StallDetector{cluster: s, waitingSince: map[string]time.Duration{}, excusedUntil: map[string]time.Duration{}, ignored: map[string]bool{}}
	s.Events.After(stallCheckInterval, d.check)
	return d
}

// Ignore excludes a job from the checks, for example because its client cancelled it.
func (d *StallDetector) Ignore(id string) { d.ignored[id] = true }

// check checks all jobs, and schedules the next check. After a change of leader the waiting times of all jobs start again.
func (d *StallDetector) check() {
	d.cluster.Events.After(stallCheckInterval, d.check)
	leader := d.cluster.Leader()
	if leader != d.leader {
		d.leader, d.leaderSince = leader, d.cluster.Events.Now()
	}
	if leader == nil || d.cluster.Events.Now()-d.leaderSince < takeoverTime {
		clear(d.waitingSince)
		return
	}
	d.excuseUnreachable()
	running, isBusy := d.runningJobs()
	for id := range d.cluster.Checker.jobs {
		d.checkJob(id, running[id], isBusy)
	}
}

// checkJob records a stall if a job that has not failed has waited longer than maxStallTime although it could have run.
func (d *StallDetector) checkJob(id string, isRunning, isBusy bool) {
	now := d.cluster.Events.Now()
	if isRunning || isBusy || d.ignored[id] || now < d.excusedUntil[id] || !d.hasRunnableTask(id) {
		delete(d.waitingSince, id)
		return
	}
	d.Checks++
	waitingSince, isWaiting := d.waitingSince[id]
	if !isWaiting {
		d.waitingSince[id] = now
		return
	}
	if now-waitingSince > maxStallTime && !d.cluster.Checker.HasFailed(id) {
		d.Stalls = append(d.Stalls, fmt.Sprintf("%v: %s since %v", now, id, waitingSince))
		d.waitingSince[id] = now
	}
}

// runningJobs returns the jobs with runs on executors that are up, and whether at least half of the CPU capacity of these is in use.
func (d *StallDetector) runningJobs() (jobsRunning map[string]bool, isBusy bool) {
	jobsRunning = map[string]bool{}
	var used, all wire.Capacity
	for _, executor := range d.cluster.Executors {
		if !executor.isUp {
			continue
		}
		here := executor.usedCapacity()
		used.CPU, used.Memory = used.CPU+here.CPU, used.Memory+here.Memory
		all.CPU, all.Memory = all.CPU+executor.Capacity.CPU, all.Memory+executor.Capacity.Memory
		for _, run := range executor.active {
			_, position := d.cluster.Checker.step(run.task)
			jobsRunning[position.ID] = true
		}
	}
	return jobsRunning, 2*used.CPU >= all.CPU
}

// hasRunnableTask reports whether the job is accepted, a task of it could start, and there is free capacity for two of its kind.
func (d *StallDetector) hasRunnableTask(id string) bool {
	checker := d.cluster.Checker
	if !checker.jobs[id].isAccepted {
		return false
	}
	spec := checker.jobs[id].spec
	for occurrence := range max(1, spec.RepeatCount) {
		if spec.RepeatCount > 0 && spec.FirstRunMs+int64(occurrence)*spec.PeriodMs > d.cluster.Events.Clock.WallMs() {
			return false
		}
		for number := range spec.Steps {
			step := &spec.Steps[number]
			isPending := !checker.isStepDone(id, occurrence, number) &&
				!slices.ContainsFunc(step.DependsOn, func(earlier int) bool { return !checker.isStepDone(id, occurrence, earlier) })
			if isPending && d.hasDoubleCapacity(step) {
				return true
			}
		}
	}
	return false
}

// isStepDone reports whether all tasks of a step are done in an occurrence of a job.
func (c *Checker) isStepDone(id string, occurrence, number int) bool {
	for index := range c.jobs[id].spec.Steps[number].Tasks {
		if facts := c.tasks[jobs.TaskName(id, occurrence, number, index)]; facts == nil || !facts.isDone {
			return false
		}
	}
	return true
}

// hasDoubleCapacity reports whether the healthy executors with the labels of a step have free capacity for two of its tasks, or of its gangs.
func (d *StallDetector) hasDoubleCapacity(step *jobs.Step) bool {
	wanted, count := 2, 0
	if step.Gang {
		wanted *= step.Tasks
	}
	for _, executor := range d.cluster.Executors {
		if !executor.isHealthy() || slices.ContainsFunc(step.Labels, func(label string) bool { return !slices.Contains(executor.Labels, label) }) {
			continue
		}
		count += executor.slots(step, wanted)
		if count >= wanted {
			return true
		}
	}
	return false
}

// isHealthy reports whether an executor is reachable and no fault keeps it from running tasks normally.
func (e *Executor) isHealthy() bool {
	return e.isReachable() && !e.isDraining && !e.losesStartAnswers && e.Speed == 1
}

func (s *Cluster) proxyOf(executor *Executor) *Proxy {
	return s.Proxies[slices.IndexFunc(s.Proxies, func(proxy *Proxy) bool { return proxy.executor == executor })]
}

// slots returns how many tasks of a step fit into the free capacity of the executor, at most limit.
func (e *Executor) slots(step *jobs.Step, limit int) int {
	if step.AntiAffinity > 0 {
		limit = min(limit, step.AntiAffinity)
	}
	used := e.usedCapacity()
	freeCPU, freeMemory := e.Capacity.CPU-used.CPU, e.Capacity.Memory-used.Memory
	if step.CPU > 0 {
		limit = min(limit, int(freeCPU/step.CPU))
	}
	if step.Memory > 0 {
		limit = min(limit, int(freeMemory/step.Memory))
	}
	return max(0, limit)
}

// excuseUnreachable excuses the jobs that, in the leader's table, have runs on executors that are unreachable now. Their tasks may start
// elsewhere only after the lease of these runs has expired, so the excuse lasts for the longest hold and one second more.
func (d *StallDetector) excuseUnreachable() {
	pool := d.cluster.Leader().poolOf(d.cluster.keys[0])
	until := d.cluster.Events.Now() + d.cluster.timing.MaxHold + time.Second
	for _, executor := range d.cluster.Executors {
		if executor.isReachable() {
			continue
		}
		for _, id := range pool.JobsOn(executor.Machine) {
			d.excusedUntil[id] = until
		}
	}
}

// isReachable reports whether the executor and its proxy are up and connected, and the executor neither refuses nor delays calls.
func (e *Executor) isReachable() bool {
	return e.isUp && !e.isRefusing && !e.delaysCalls && !e.cluster.cut[e.Machine] && e.cluster.proxyOf(e).isUp
}
