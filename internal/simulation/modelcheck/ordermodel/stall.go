package ordermodel

import (
	"slices"
	"strings"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// The oracle of stalled jobs. A job is stalled if for stallTimeout none of its runs is active, although the dependencies of one
// of its tasks are done, there is room for twice that task, and less than half of the service's capacity is in use. The oracle
// considers only what executors actually run.
//
// Time doesn't count while the core (stewards, gates, the network as a whole) has a fault, or had one within the contact
// time. A machine with a fault within the contact time offers no room. A job with an order to a faulty machine is excused
// until all runs that the machine was ordered to start have lapsed, and for the contact time after that. So is each job after
// a change of the leader while a machine was faulty.
const (
	stallTimeout = 3 * time.Second
	// maxOrderExcuse bounds how long an order to a machine excuses its job.
	maxOrderExcuse = 15 * time.Second
	// requiredRoomFactor is for how many copies of a task or a gang there must be room.
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
	// isHalfUsed reports whether half of the service's capacity or more is in use: of all executors that are up, or of the
	// sound ones alone, as the capacity of the others can't be reached.
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

// isSound reports whether an executor has been up, and its machine has had no fault, for the contact time.
func (o *oracles) isSound(executor *modelExecutor) bool {
	now, contact := o.cluster.queue.now(), o.cluster.profile.contactTime
	return executor.isUp && !executor.isFrozen && !executor.isDraining && !executor.hasSkippedDrain && executor.proxy.isReachable() && executor.proxy.group == 0 &&
		now-executor.begunAt > contact && now-executor.faultyUntil > contact
}

// fits reports whether there is room for so many tasks of a step on sound executors.
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

// checkStalls checks that a job that could run doesn't wait for stallTimeout or longer. It starts afresh after faults of the core and
// while half of the capacity is in use.
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
	for _, job := range o.order {
		name, isWaiting := o.findStalledTask(job, offered)
		switch {
		case !isWaiting:
			job.stalledSince = 0
		case job.stalledSince == 0:
			job.stalledSince = now
		case now-job.stalledSince >= stallTimeout:
			c.violate("STALLED", "%s has had no active run since %d ms, although its task %s could run and there is room", job.id,
				job.stalledSince.Milliseconds(), name)
			return
		}
	}
}

// resetStalls treats no job as stalled up to now.
func (o *oracles) resetStalls() {
	for _, job := range o.order {
		job.stalledSince = 0
	}
}

// findStalledTask returns a task of a job that could run, if no run of the job is active and the job is not excused.
func (o *oracles) findStalledTask(job *modelJob, offered *offeredCapacity) (name string, isWaiting bool) {
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

// isDue reports whether an occurrence of a job is due by now, even by a steward's clock that is slow or has jumped.
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

// firstUndoneTask returns the index of the first task of a step that no run has done; hasUndone is false if there is none.
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

// areDependenciesDone reports whether all tasks of the steps that this one depends on are done.
func (o *oracles) areDependenciesDone(job *modelJob, occurrence int, step *jobs.Step) bool {
	for _, earlier := range step.DependsOn {
		if _, hasUndone := o.firstUndoneTask(job, occurrence, earlier); hasUndone {
			return false
		}
	}
	return true
}

// recordOrders records that the leader answers an exchange with orders for tasks.
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

// machineOf returns the number of the machine of an executor ID, which is the machine's name and the number of the incarnation.
func (o *oracles) machineOf(executorID string) int {
	name := executorID[:strings.LastIndexByte(executorID, '-')]
	return slices.IndexFunc(o.cluster.executors, func(executor *modelExecutor) bool { return executor.machine == name })
}

// recordElection records that a new leader took over. It can't find out which runs a faulty machine was given by the former
// leader, and waits until these have lapsed. Jobs that were submitted before are excused for as long.
func (o *oracles) recordElection() {
	for _, executor := range o.cluster.executors {
		if !o.isSound(executor) {
			o.electedAt, o.electionExcuseUntil = o.cluster.queue.now(), o.cluster.queue.now()+o.holdLapseTime()+o.cluster.profile.contactTime
			return
		}
	}
}

// holdLapseTime returns how long a leader waits until it considers a hold as lapsed.
func (o *oracles) holdLapseTime() time.Duration {
	hold := o.cluster.timing.MaxHold
	return hold + hold/40 + lapseSlack
}

// isExcused reports whether a job may wait for runs on faulty machines.
func (o *oracles) isExcused(job *modelJob) bool {
	now := o.cluster.queue.now()
	if job.submittedAt <= o.electedAt && now < o.electionExcuseUntil {
		return true
	}
	for machine, at := range job.orderedAt {
		if now-at < maxOrderExcuse && now < o.lapsedAt(o.cluster.executors[machine]) {
			return true
		}
	}
	return false
}

// lapsedAt returns when all runs have lapsed that a machine was ordered to start before its last fault, or before the last
// fault of the core if a leader may have been elected too late to be informed of them; the contact time is added.
func (o *oracles) lapsedAt(executor *modelExecutor) time.Duration {
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
