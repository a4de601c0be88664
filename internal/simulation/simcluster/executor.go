package simcluster

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

// Work decides how long a run takes on an executor, and with which outcome it ends.
type Work func(task string, run int64, executor *Executor) (time.Duration, string)

// activeRun is a run that has not ended. outcome is how it ends if it reaches its full length.
type activeRun struct {
	task    string
	number  int64
	endsAt  time.Duration
	length  time.Duration
	outcome string
	isStuck bool
}

// Executor is a simulated executor. It follows the executor protocol, refuses runs beyond its capacity, and loses its runs, their ends and
// its lease when it crashes. Speed is the factor by which the length of new runs is multiplied: 1 is normal, a higher value is slower. Starts
// counts the runs started on it by all incarnations.
type Executor struct {
	cluster  *Cluster
	Machine  string
	Domain   string
	Labels   []string
	Capacity wire.Capacity
	Speed    float64
	Starts   int
	// ID names the current incarnation.
	ID          string
	incarnation int
	startedAt   time.Duration
	executorState
	executorLease
	executorRuns
}

// executorState holds whether the executor is up, and which faults Cluster has set on it.
type executorState struct {
	isUp              bool
	delaysCalls       bool
	isRefusing        bool
	isDraining        bool
	losesStartAnswers bool
}

// executorLease is the lease of the runs: its expiry by the executor's own clock, the highest fence that was accepted, and the holds that
// wait.
type executorLease struct {
	fence    uint64
	expiryMs int64
	// leaseExpiries is incremented whenever a scheduled check finds the lease expired, which can be several times for one expiry.
	leaseExpiries int
	// waitingHolds are called at the next end of a run. Each function answers one waiting hold.
	waitingHolds []func()
}

// executorRuns holds the runs of this incarnation and their ends. Ends are numbered and listed until they are acknowledged.
type executorRuns struct {
	active  []*activeRun
	ends    []executorapi.EndRow
	lastEnd int64
	// highest is the highest run number of each task that ended or was stopped here.
	highest map[string]int64
	// leaseExpiriesAtEnd is the value of leaseExpiries at the time of each end, by the number of the end.
	leaseExpiriesAtEnd map[int64]int
}

// restart starts a new incarnation without runs, ends or a lease.
func (e *Executor) restart() {
	e.cluster.Checker.handleCrash(e)
	e.incarnation++
	e.ID = e.Machine + "-life-" + string(rune('a'+(e.incarnation-1)%26))
	e.isUp, e.startedAt, e.fence, e.expiryMs, e.active, e.ends, e.lastEnd = true, e.cluster.Events.Now(), 0, 0, nil, nil, 0
	e.highest, e.waitingHolds, e.isDraining, e.leaseExpiriesAtEnd = map[string]int64{}, nil, false, map[int64]int{}
}

// ClockMs returns the executor's own clock in milliseconds. It starts at 100,000 with each incarnation and runs 1% slow.
func (e *Executor) ClockMs() int64 {
	return 100_000 + ((e.cluster.Events.Now() - e.startedAt) * 99 / 100).Milliseconds()
}

// acceptFence records a fence. It reports whether a call with this fence may be carried out, that is, whether no higher one is known.
func (e *Executor) acceptFence(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// extend extends the lease, to at most MaxHold from now, and schedules its expiry. It never shortens the lease.
func (e *Executor) extend(expiryMs int64) {
	e.expiryMs = max(e.expiryMs, min(expiryMs, e.ClockMs()+e.cluster.timing.MaxHold.Milliseconds()))
	incarnation := e.incarnation
	e.cluster.Events.After(clock.Milliseconds((e.expiryMs-e.ClockMs())*102/100+2), func() {
		if e.incarnation == incarnation && e.ClockMs() >= e.expiryMs {
			e.expireLease()
		}
	})
}

func (e *Executor) expireLease() {
	e.leaseExpiries++
	for _, active := range slices.Clone(e.active) {
		e.endRun(active, "lapsed")
	}
}

func (e *Executor) usedCapacity() wire.Capacity {
	var used wire.Capacity
	for _, active := range e.active {
		need := e.cluster.Checker.stepOf(active.task)
		used.CPU, used.Memory = used.CPU+need.CPU, used.Memory+need.Memory
	}
	return used
}

// Start handles POST /v1/run-start.
func (e *Executor) Start(order executorapi.RunStart) (int, executorapi.Answer) {
	answer := executorapi.Answer{ClockMs: e.ClockMs()}
	refuse := func(reason string) (int, executorapi.Answer) { answer.Reason = reason; return 409, answer }
	if !e.acceptFence(order.Fence) {
		return refuse("fence")
	}
	for _, active := range e.active {
		if active.task == order.Task && active.number == order.Run {
			e.extend(order.ExpiryMs)
			return 200, answer
		}
	}
	if order.Run <= e.highest[order.Task] {
		return refuse("old")
	}
	if order.ExpiryMs <= e.ClockMs() {
		return refuse("late")
	}
	e.extend(order.ExpiryMs)
	need, used := e.cluster.Checker.stepOf(order.Task), e.usedCapacity()
	if used.CPU+need.CPU > e.Capacity.CPU || used.Memory+need.Memory > e.Capacity.Memory {
		return refuse("room")
	}
	e.beginRun(order)
	return 200, answer
}

// beginRun starts a run and schedules its end.
func (e *Executor) beginRun(order executorapi.RunStart) {
	length, outcome := e.cluster.Work(order.Task, order.Run, e)
	length = time.Duration(float64(length) * e.Speed)
	active := &activeRun{task: order.Task, number: order.Run, endsAt: e.cluster.Events.Now() + length, length: length, outcome: outcome}
	e.active = append(e.active, active)
	e.Starts++
	e.cluster.Checker.handleStart(e, order.Task, order.Run)
	incarnation := e.incarnation
	e.cluster.Events.After(length, func() {
		if e.incarnation == incarnation && e.isUp && slices.Contains(e.active, active) && !active.isStuck {
			e.endRun(active, active.outcome)
		}
	})
}

// endRun ends a run and answers the waiting holds. If a run of a gang ends neither done nor broken, the other runs of the gang are broken.
func (e *Executor) endRun(active *activeRun, outcome string) {
	e.active = slices.DeleteFunc(e.active, func(other *activeRun) bool { return other == active })
	e.highest[active.task] = max(e.highest[active.task], active.number)
	e.lastEnd++
	e.leaseExpiriesAtEnd[e.lastEnd] = e.leaseExpiries
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: active.task, Run: active.number, Outcome: wire.RunOutcome(outcome)})
	e.cluster.Checker.handleEnd(e, active.task, active.number, outcome)
	waitingHolds := e.waitingHolds
	e.waitingHolds = nil
	for _, wake := range waitingHolds {
		wake()
	}
	if outcome != "done" && outcome != "broken" && e.cluster.Checker.isGang(active.task) {
		e.cluster.breakGang(active.task, active.number)
	}
}

// Stop handles POST /v1/run-stop. The run ends after half of the stop timeout.
func (e *Executor) Stop(order executorapi.RunStop) (int, executorapi.Answer) {
	answer := executorapi.Answer{ClockMs: e.ClockMs()}
	if !e.acceptFence(order.Fence) {
		answer.Reason = "fence"
		return 409, answer
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	incarnation := e.incarnation
	for _, active := range e.active {
		if active.task == order.Task && active.number == order.Run {
			e.cluster.Events.After(e.cluster.timing.StopTimeout/2, func() {
				if e.incarnation == incarnation && slices.Contains(e.active, active) {
					e.endRun(active, "stopped")
				}
			})
		}
	}
	return 200, answer
}

// Hold handles POST /v1/hold. If all ends are acknowledged, the answer waits for the next end of a run, for at most WaitMs. The checker
// gets an acknowledged end only if the lease has not expired since that end.
func (e *Executor) Hold(hold executorapi.Hold, answer func(int, executorapi.Answer)) {
	if !e.acceptFence(hold.Fence) {
		answer(409, executorapi.Answer{ClockMs: e.ClockMs(), Reason: "fence"})
		return
	}
	e.ends = slices.DeleteFunc(e.ends, func(end executorapi.EndRow) bool {
		if end.Number <= hold.LastSeen && e.leaseExpiriesAtEnd[end.Number] == e.leaseExpiries {
			e.cluster.Checker.handleAcknowledgement(end)
		}
		return end.Number <= hold.LastSeen
	})
	if hold.ExpiryMs > 0 {
		e.extend(hold.ExpiryMs)
	}
	if len(e.ends) > 0 || hold.WaitMs == 0 {
		answer(200, e.listRuns())
		return
	}
	isOver, incarnation := false, e.incarnation
	reply := func() {
		if !isOver && e.incarnation == incarnation && e.isUp {
			isOver = true
			answer(200, e.listRuns())
		}
	}
	e.waitingHolds = append(e.waitingHolds, reply)
	e.cluster.Events.After(clock.Milliseconds(hold.WaitMs), reply)
}

// listRuns returns an answer with all current runs and all ends that are not acknowledged.
func (e *Executor) listRuns() executorapi.Answer {
	answer := executorapi.Answer{ClockMs: e.ClockMs(), Ends: slices.Clone(e.ends)}
	for _, active := range e.active {
		percent := 0
		if active.length > 0 && !active.isStuck {
			percent = int(100 - 100*(active.endsAt-e.cluster.Events.Now())/active.length)
		}
		answer.Running = append(answer.Running, executorapi.RunningRow{Task: active.task, Run: active.number, Percent: percent})
	}
	return answer
}

// countRunsOf counts the current runs of one occurrence of a step on this executor.
func (e *Executor) countRunsOf(step jobs.TaskPosition) (count int) {
	for _, active := range e.active {
		if _, position := e.cluster.Checker.step(active.task); position.ID == step.ID && position.Occurrence == step.Occurrence && position.Step == step.Step {
			count++
		}
	}
	return count
}

// CountRunning returns the number of current runs on this executor.
func (e *Executor) CountRunning() int { return len(e.active) }
