package ordermodel

import (
	"slices"
	"strings"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// The oracle of stalled jobs. A job is stalled if it has had no active run for stallTimeout although it could run all that time: the
// dependencies of one of its tasks are done, there is room for twice that task, and less than half of the service's capacity is in
// use. The oracle considers only what executors actually run, not what the leader knows.
//
// Faults excuse jobs:
//   - While the core (stewards, gates, the network as a whole) has a fault, and for the contact time after that, no job is stalled.
//   - A machine offers no room while it has a fault and for the contact time after that.
//   - A job with an order to a faulty machine is excused until all runs that the machine was ordered to start have lapsed, and for
//     the contact time after that.
//   - If the leader changes while a machine is faulty, all jobs that were submitted before are excused for as long.
const (
	stallTimeout = 3 * time.Second
	// maxOrderExcuse is the longest time for which an order to a machine excuses its job.
	maxOrderExcuse = 15 * time.Second
	// requiredRoomFactor is the number of copies of a task or a gang for which there must be room.
	requiredRoomFactor = 2
)

// watchStalls checks for stalled jobs at intervals, for as long as the run lasts.
func (c *simCluster) watchStalls() {
	c.queue.after(c.profile.stallCheckInterval, func() {
		c.oracles.checkStalls()
		c.watchStalls()
	})
}

// offeredCapacity is the free capacity of sound executors at present.
type offeredCapacity struct {
	executors []*modelExecutor
	free      []wire.Capacity
	// isHalfUsed is set if half or more of the capacity is in use, either of all executors that are up or of the sound executors
	// alone. The sound ones count alone because the capacity of the others can't be reached.
	isHalfUsed bool
}

// usage is a capacity and how much of it is in use.
type usage struct{ used, total wire.Capacity }

func (s *usage) add(used, total wire.Capacity) {
	s.used.CPU, s.used.Memory = s.used.CPU+used.CPU, s.used.Memory+used.Memory
	s.total.CPU, s.total.Memory = s.total.CPU+total.CPU, s.total.Memory+total.Memory
}

func (s *usage) isHalfUsed() bool {
	return 2*s.used.CPU >= s.total.CPU || 2*s.used.Memory >= s.total.Memory
}

// offeredCapacity returns the free capacity of the sound executors, and whether half of the capacity is in use.
func (o *oracles) offeredCapacity() *offeredCapacity {
	offered, sound, all := &offeredCapacity{}, usage{}, usage{}
	for _, executor := range o.cluster.executors {
		if !executor.isUp {
			continue
		}
		used := executor.used()
		all.add(used, executor.capacity)
		if o.isSound(executor) {
			sound.add(used, executor.capacity)
			offered.executors = append(offered.executors, executor)
			offered.free = append(offered.free, wire.Capacity{CPU: executor.capacity.CPU - used.CPU, Memory: executor.capacity.Memory - used.Memory})
		}
	}
	offered.isHalfUsed = all.isHalfUsed() || sound.isHalfUsed()
	return offered
}

// isSound reports whether an executor can get runs: it is up and not frozen, neither draining nor deregistered, its proxy is
// reachable, and for the contact time it has been up and its machine has had no fault.
func (o *oracles) isSound(executor *modelExecutor) bool {
	now, contact := o.cluster.queue.now(), o.cluster.profile.contactTime
	return executor.isUp && !executor.isFrozen && !executor.isDraining && !executor.hasSkippedDrain && executor.proxy.isReachable() && executor.proxy.group == 0 &&
		now-executor.begunAt > contact && now-executor.faultyUntil > contact
}

// fits reports whether there is room for count more tasks of a step on sound executors. countTasksOn returns how many tasks of the
// step are active on an executor.
func (c *offeredCapacity) fits(step *jobs.Step, countTasksOn func(*modelExecutor) int, count int64) bool {
	number := int64(0)
	for index, executor := range c.executors {
		if !hasLabels(executor, step) {
			continue
		}
		slots := countSlots(c.free[index], step)
		if step.AntiAffinity > 0 {
			slots = min(slots, int64(max(0, step.AntiAffinity-countTasksOn(executor))))
		}
		if number += slots; number >= count {
			return true
		}
	}
	return false
}

// countSlots returns how many tasks of a step fit into a free capacity.
func countSlots(free wire.Capacity, step *jobs.Step) int64 {
	if free.CPU < step.CPU || free.Memory < step.Memory {
		return 0
	}
	slots := free.CPU / max(1, step.CPU)
	if step.Memory > 0 {
		slots = min(slots, free.Memory/step.Memory)
	}
	return slots
}

// checkStalls checks that a job that could run doesn't wait for stallTimeout or longer. During faults of the core, for the contact
// time after them, and while half of the capacity is in use, it treats no job as waiting.
func (o *oracles) checkStalls() {
	c, now := o.cluster, o.cluster.queue.now()
	if now-c.coreFaultsUntil <= c.profile.contactTime {
		o.resetStalls()
		return
	}
	offered := o.offeredCapacity()
	if offered.isHalfUsed {
		o.resetStalls()
		return
	}
	for _, job := range o.jobsInOrder {
		name, isWaiting := o.findWaitingTask(job, offered)
		switch {
		case !isWaiting:
			job.waitingSince = 0
		case job.waitingSince == 0:
			job.waitingSince = now
		case now-job.waitingSince >= stallTimeout:
			c.violate("STALLED", "%s has had no active run since %d ms, although its task %s could run and there is room", job.id,
				job.waitingSince.Milliseconds(), name)
			return
		}
	}
}

// resetStalls treats all jobs as not waiting.
func (o *oracles) resetStalls() {
	for _, job := range o.jobsInOrder {
		job.waitingSince = 0
	}
}

// findWaitingTask returns a task of a job that could run. It returns none if the job is not accepted, was cancelled or is over, has
// an active run, is excused, or may have failed.
func (o *oracles) findWaitingTask(job *modelJob, offered *offeredCapacity) (name string, isWaiting bool) {
	if !job.isAccepted || job.isCancelSent || job.isOver() || job.running > 0 || o.isExcused(job) || o.mayHaveFailed(job) {
		return "", false
	}
	for occurrence := range max(1, job.spec.RepeatCount) {
		if !o.isDue(job, occurrence) {
			break
		}
		for number := range job.spec.Steps {
			step := &job.spec.Steps[number]
			index, hasUndone := o.firstUndoneTask(job, occurrence, number)
			if !hasUndone || !o.areDependenciesDone(job, occurrence, step) {
				continue
			}
			count := int64(requiredRoomFactor)
			if step.Gang {
				count *= int64(step.Tasks)
			}
			countTasksOn := func(executor *modelExecutor) int { return executor.countTasks(job.id, occurrence, number) }
			if offered.fits(step, countTasksOn, count) {
				return jobs.TaskName(job.id, occurrence, number, index), true
			}
		}
	}
	return "", false
}

// isDue reports whether an occurrence of a job is due by now, also by the clock of a steward that has jumped.
func (o *oracles) isDue(job *modelJob, occurrence int) bool {
	if job.spec.RepeatCount == 0 {
		return true
	}
	slack := int64(earlySlackMs)
	if o.hasClockJumped {
		slack += jumpSlackMs
	}
	return o.cluster.queue.clock.WallMs() >= job.spec.FirstRunMs+int64(occurrence)*job.spec.PeriodMs+slack
}

// firstUndoneTask returns the index of the first task of a step that no run has done; hasUndone is false if all tasks are done.
func (o *oracles) firstUndoneTask(job *modelJob, occurrence, number int) (index int, hasUndone bool) {
	for index := range job.spec.Steps[number].Tasks {
		if !o.isDone(jobs.TaskName(job.id, occurrence, number, index)) {
			return index, true
		}
	}
	return 0, false
}

func (o *oracles) isDone(name string) bool {
	facts := o.tasks[name]
	return facts != nil && facts.isDone
}

// areDependenciesDone reports whether all tasks of the steps that a step depends on are done.
func (o *oracles) areDependenciesDone(job *modelJob, occurrence int, step *jobs.Step) bool {
	for _, earlier := range step.DependsOn {
		if _, hasUndone := o.firstUndoneTask(job, occurrence, earlier); hasUndone {
			return false
		}
	}
	return true
}

// recordOrders records, for the jobs that they concern, that the leader answers a machine's exchange with orders.
func (o *oracles) recordOrders(call *wire.ExchangeCall, orders []wire.Order) {
	machine := -1
	for _, order := range orders {
		if machine < 0 {
			machine = o.machineOf(call.Executor)
		}
		position, _ := jobs.ParseTask(order.Task)
		if job := o.jobs[position.ID]; job != nil {
			if job.orderedAt == nil {
				job.orderedAt = map[int]time.Duration{}
			}
			job.orderedAt[machine] = o.cluster.queue.now()
		}
	}
}

// machineOf returns the number of the machine on which an executor runs. The executor's ID is the machine's name followed by the
// number of the incarnation.
func (o *oracles) machineOf(executorID string) int {
	name := executorID[:strings.LastIndexByte(executorID, '-')]
	return slices.IndexFunc(o.cluster.executors, func(executor *modelExecutor) bool { return executor.machine == name })
}

// recordElection records that a new leader takes over. If a machine is faulty, the leader can't find out which runs the former leader
// gave to it, and waits until these have lapsed. Jobs that were submitted before the election are excused until then, and for the
// contact time after that.
func (o *oracles) recordElection() {
	for _, executor := range o.cluster.executors {
		if !o.isSound(executor) {
			o.electedAt, o.electionExcuseUntil = o.cluster.queue.now(), o.cluster.queue.now()+o.holdLapseTime()+o.cluster.profile.contactTime
			return
		}
	}
}

// holdLapseTime returns how long a leader waits until it considers a hold as lapsed. One part in 40 allows for slow clocks of
// executors.
func (o *oracles) holdLapseTime() time.Duration {
	hold := o.cluster.timing.MaxHold
	return hold + hold/40 + lapseSlack
}

// isExcused reports whether a job may wait until its runs on faulty machines have lapsed.
func (o *oracles) isExcused(job *modelJob) bool {
	now := o.cluster.queue.now()
	if job.submittedAt <= o.electedAt && now < o.electionExcuseUntil {
		return true
	}
	for machine, at := range job.orderedAt {
		if now-at < maxOrderExcuse && now < o.excusedUntil(o.cluster.executors[machine]) {
			return true
		}
	}
	return false
}

// excusedUntil returns until when orders to a machine excuse their jobs: until all runs that the machine was ordered to start have
// lapsed and its last fault is over, and for the contact time after that. It returns 0 if the machine never had a fault.
//
// The runs lapse holdLapseTime after the last order, which may come up to a second after the machine's fault began. The last fault of
// the core may end after the machine's fault began and less than maxOrderExcuse after it ended. In that case a leader may have been
// elected that was not informed of the runs, and the runs lapse only holdLapseTime after the end of the core's fault.
func (o *oracles) excusedUntil(executor *modelExecutor) time.Duration {
	if executor.faultyUntil == 0 {
		return 0
	}
	from := executor.faultyFrom + time.Second
	if core := o.cluster.coreFaultsUntil; core > executor.faultyFrom && core < executor.faultyUntil+maxOrderExcuse {
		from = max(from, core)
	}
	return max(from+o.holdLapseTime(), executor.faultyUntil) + o.cluster.profile.contactTime
}

// lapseSlack is the margin that a leader adds to the time after which it considers a hold as lapsed.
const lapseSlack = 250 * time.Millisecond

// countTasks counts the active runs of a step on an executor.
func (e *modelExecutor) countTasks(id string, occurrence, step int) int {
	count := 0
	for _, execution := range e.active {
		if execution.position.ID == id && execution.position.Occurrence == occurrence && execution.position.Step == step {
			count++
		}
	}
	return count
}

// hasLabels reports whether an executor has all labels of a step.
func hasLabels(executor *modelExecutor, step *jobs.Step) bool {
	for _, label := range step.Labels {
		if !slices.Contains(executor.labels, label) {
			return false
		}
	}
	return true
}
