package simcluster

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

// Work says how a run goes on an executor: how long it takes, and how it ends.
type Work func(task string, run int64, executor *Executor) (time.Duration, string)

type activeRun struct {
	task    string
	number  int64
	endsAt  time.Duration
	length  time.Duration
	outcome string
	isStuck bool
}

// Executor is a model of an executor: it keeps to the protocol, refuses runs beyond its capacity, and forgets all when it
// crashes.
type Executor struct {
	cluster  *Cluster
	Machine  string
	Domain   string
	Labels   []string
	Capacity wire.Capacity
	Speed    float64
	Starts   int
	// ID names the present incarnation.
	ID          string
	incarnation int
	begunAt     time.Duration
	executorState
	executorLease
	executorRuns
}

// executorState is what the executor is able to do now.
type executorState struct {
	isUp       bool
	isLate     bool
	isRefusing bool
	isDraining bool
	isLossy    bool
}

// executorLease is until when runs may go on, by the executor's own clock, and for which leader's fence.
type executorLease struct {
	fence    uint64
	expiryMs int64
	// lapses counts how often the lease has expired.
	lapses int
	// pollers are woken when there are ends to report.
	pollers []func()
}

// executorRuns are the runs of this incarnation and their ends, which are numbered and reported until acknowledged.
type executorRuns struct {
	active  []*activeRun
	ends    []executorapi.EndRow
	lastEnd int64
	// highest is the highest run of each task that was started or stopped here.
	highest map[string]int64
	// lapsesAtEnd is the number of lapses at the time of an end, by the end's number.
	lapsesAtEnd map[int64]int
}

func (e *Executor) restart() {
	e.cluster.Judge.crashed(e)
	e.incarnation++
	e.ID = e.Machine + "-life-" + string(rune('a'+(e.incarnation-1)%26))
	e.isUp, e.begunAt, e.fence, e.expiryMs, e.active, e.ends, e.lastEnd = true, e.cluster.Events.Now(), 0, 0, nil, nil, 0
	e.highest, e.pollers, e.isDraining, e.lapsesAtEnd = map[string]int64{}, nil, false, map[int64]int{}
}

// ClockMs is the executor's own clock, 1% slow.
func (e *Executor) ClockMs() int64 {
	return 100_000 + ((e.cluster.Events.Now() - e.begunAt) * 99 / 100).Milliseconds()
}

func (e *Executor) raise(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// extend renews the lease, at most for the longest time that one is granted, and plans its expiry.
func (e *Executor) extend(expiryMs int64) {
	e.expiryMs = max(e.expiryMs, min(expiryMs, e.ClockMs()+e.cluster.timing.MaxHold.Milliseconds()))
	incarnation := e.incarnation
	e.cluster.Events.After(clock.Milliseconds((e.expiryMs-e.ClockMs())*102/100+2), func() {
		if e.incarnation == incarnation && e.ClockMs() >= e.expiryMs {
			e.lapse()
		}
	})
}

func (e *Executor) lapse() {
	e.lapses++
	for _, active := range slices.Clone(e.active) {
		e.end(active, "lapsed")
	}
}

func (e *Executor) used() wire.Capacity {
	var used wire.Capacity
	for _, active := range e.active {
		need := e.cluster.Judge.need(active.task)
		used.CPU, used.Memory = used.CPU+need.CPU, used.Memory+need.Memory
	}
	return used
}

// Start is POST /v1/run-start.
func (e *Executor) Start(order executorapi.RunStart) (int, executorapi.Answer) {
	answer := executorapi.Answer{ClockMs: e.ClockMs()}
	refuse := func(why string) (int, executorapi.Answer) { answer.Reason = why; return 409, answer }
	if !e.raise(order.Fence) {
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
	need, used := e.cluster.Judge.need(order.Task), e.used()
	if used.CPU+need.CPU > e.Capacity.CPU || used.Memory+need.Memory > e.Capacity.Memory {
		return refuse("room")
	}
	e.begin(order)
	return 200, answer
}

// begin starts a run and plans its end.
func (e *Executor) begin(order executorapi.RunStart) {
	length, outcome := e.cluster.Work(order.Task, order.Run, e)
	length = time.Duration(float64(length) * e.Speed)
	active := &activeRun{task: order.Task, number: order.Run, endsAt: e.cluster.Events.Now() + length, length: length, outcome: outcome}
	e.active = append(e.active, active)
	e.Starts++
	e.cluster.Judge.started(e, order.Task, order.Run)
	incarnation := e.incarnation
	e.cluster.Events.After(length, func() {
		if e.incarnation == incarnation && e.isUp && slices.Contains(e.active, active) && !active.isStuck {
			e.end(active, active.outcome)
		}
	})
}

// end ends a run, reports it, and breaks the other runs of its gang.
func (e *Executor) end(active *activeRun, outcome string) {
	e.active = slices.DeleteFunc(e.active, func(other *activeRun) bool { return other == active })
	e.highest[active.task] = max(e.highest[active.task], active.number)
	e.lastEnd++
	e.lapsesAtEnd[e.lastEnd] = e.lapses
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: active.task, Run: active.number, Outcome: wire.RunOutcome(outcome)})
	e.cluster.Judge.ended(e, active.task, active.number, outcome)
	pollers := e.pollers
	e.pollers = nil
	for _, wake := range pollers {
		wake()
	}
	if outcome != "done" && outcome != "broken" && e.cluster.Judge.isGang(active.task) {
		e.cluster.breakGang(active.task, active.number)
	}
}

// Stop is POST /v1/run-stop.
func (e *Executor) Stop(order executorapi.RunStop) (int, executorapi.Answer) {
	answer := executorapi.Answer{ClockMs: e.ClockMs()}
	if !e.raise(order.Fence) {
		answer.Reason = "fence"
		return 409, answer
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	incarnation := e.incarnation
	for _, active := range e.active {
		if active.task == order.Task && active.number == order.Run {
			e.cluster.Events.After(e.cluster.timing.StopTimeout/2, func() {
				if e.incarnation == incarnation && slices.Contains(e.active, active) {
					e.end(active, "stopped")
				}
			})
		}
	}
	return 200, answer
}

// Hold is POST /v1/hold; the answer may wait for an end.
func (e *Executor) Hold(hold executorapi.Hold, answer func(int, executorapi.Answer)) {
	if !e.raise(hold.Fence) {
		answer(409, executorapi.Answer{ClockMs: e.ClockMs(), Reason: "fence"})
		return
	}
	e.ends = slices.DeleteFunc(e.ends, func(end executorapi.EndRow) bool {
		if end.Number <= hold.LastSeen && e.lapsesAtEnd[end.Number] == e.lapses {
			e.cluster.Judge.noted(end)
		}
		return end.Number <= hold.LastSeen
	})
	if hold.ExpiryMs > 0 {
		e.extend(hold.ExpiryMs)
	}
	if len(e.ends) > 0 || hold.WaitMs == 0 {
		answer(200, e.lists())
		return
	}
	isOver, incarnation := false, e.incarnation
	reply := func() {
		if !isOver && e.incarnation == incarnation && e.isUp {
			isOver = true
			answer(200, e.lists())
		}
	}
	e.pollers = append(e.pollers, reply)
	e.cluster.Events.After(clock.Milliseconds(hold.WaitMs), reply)
}

// lists returns all runs and all ends that are not acknowledged.
func (e *Executor) lists() executorapi.Answer {
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

// runsOf counts the runs of one step.
func (e *Executor) runsOf(step jobs.TaskPosition) (count int) {
	for _, active := range e.active {
		if _, position := e.cluster.Judge.step(active.task); position.ID == step.ID && position.Occurrence == step.Occurrence && position.Step == step.Step {
			count++
		}
	}
	return count
}

// Active counts what runs here now.
func (e *Executor) Active() int { return len(e.active) }
