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
	ends    time.Duration
	length  time.Duration
	how     string
	isStuck bool
}

// Executor is a model of one: it keeps to the protocol, guards its room and forgets all when it crashes.
type Executor struct {
	stage      *Stage
	Machine    string
	Domain     string
	Labels     []string
	ID         string
	Room       wire.Capacity
	Speed      float64
	Starts     int
	isUp       bool
	isLate     bool
	isRefusing bool
	isDrain    bool
	isLossy    bool
	birth      int
	begunAt    time.Duration
	fence      uint64
	expiry     int64
	active     []*activeRun
	ends       []executorapi.EndRow
	lastEnd    int64
	highest    map[string]int64
	waiting    []func()
	lapses     int
	endedIn    map[int64]int
}

func (e *Executor) restart() {
	e.stage.Judge.crashed(e)
	e.birth++
	e.ID = e.Machine + "-life-" + string(rune('a'+(e.birth-1)%26))
	e.isUp, e.begunAt, e.fence, e.expiry, e.active, e.ends, e.lastEnd = true, e.stage.Line.Now(), 0, 0, nil, nil, 0
	e.highest, e.waiting, e.isDrain, e.endedIn = map[string]int64{}, nil, false, map[int64]int{}
}

// ClockMs is the executor's own clock, 1% slow.
func (e *Executor) ClockMs() int64 {
	return 100_000 + ((e.stage.Line.Now() - e.begunAt) * 99 / 100).Milliseconds()
}

func (e *Executor) raise(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (e *Executor) extend(expiryMs int64) {
	e.expiry = max(e.expiry, min(expiryMs, e.ClockMs()+e.stage.timing.MaxHold.Milliseconds()))
	birth := e.birth
	e.stage.Line.After(clock.Milliseconds((e.expiry-e.ClockMs())*102/100+2), func() {
		if e.birth == birth && e.ClockMs() >= e.expiry {
			e.lapse()
		}
	})
}

func (e *Executor) lapse() {
	e.lapses++
	for _, one := range slices.Clone(e.active) {
		e.end(one, "lapsed")
	}
}

func (e *Executor) used() wire.Capacity {
	var used wire.Capacity
	for _, one := range e.active {
		need := e.stage.Judge.need(one.task)
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
	for _, one := range e.active {
		if one.task == order.Task && one.number == order.Run {
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
	need, used := e.stage.Judge.need(order.Task), e.used()
	if used.CPU+need.CPU > e.Room.CPU || used.Memory+need.Memory > e.Room.Memory {
		return refuse("room")
	}
	e.begin(order)
	return 200, answer
}

func (e *Executor) begin(order executorapi.RunStart) {
	length, how := e.stage.Work(order.Task, order.Run, e)
	length = time.Duration(float64(length) * e.Speed)
	one := &activeRun{task: order.Task, number: order.Run, ends: e.stage.Line.Now() + length, length: length, how: how}
	e.active = append(e.active, one)
	e.Starts++
	e.stage.Judge.started(e, order.Task, order.Run)
	birth := e.birth
	e.stage.Line.After(length, func() {
		if e.birth == birth && e.isUp && slices.Contains(e.active, one) && !one.isStuck {
			e.end(one, one.how)
		}
	})
}

func (e *Executor) end(one *activeRun, how string) {
	e.active = slices.DeleteFunc(e.active, func(other *activeRun) bool { return other == one })
	e.highest[one.task] = max(e.highest[one.task], one.number)
	e.lastEnd++
	e.endedIn[e.lastEnd] = e.lapses
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: one.task, Run: one.number, Outcome: wire.RunOutcome(how)})
	e.stage.Judge.ended(e, one.task, one.number, how)
	waiting := e.waiting
	e.waiting = nil
	for _, wake := range waiting {
		wake()
	}
	if how != "done" && how != "broken" && e.stage.Judge.isGang(one.task) {
		e.stage.breakGang(one.task, one.number)
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
	birth := e.birth
	for _, one := range e.active {
		if one.task == order.Task && one.number == order.Run {
			e.stage.Line.After(e.stage.timing.StopTimeout/2, func() {
				if e.birth == birth && slices.Contains(e.active, one) {
					e.end(one, "stopped")
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
		if end.Number <= hold.LastSeen && e.endedIn[end.Number] == e.lapses {
			e.stage.Judge.noted(end)
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
	isOver, birth := false, e.birth
	reply := func() {
		if !isOver && e.birth == birth && e.isUp {
			isOver = true
			answer(200, e.lists())
		}
	}
	e.waiting = append(e.waiting, reply)
	e.stage.Line.After(clock.Milliseconds(hold.WaitMs), reply)
}

func (e *Executor) lists() executorapi.Answer {
	answer := executorapi.Answer{ClockMs: e.ClockMs(), Ends: slices.Clone(e.ends)}
	for _, one := range e.active {
		percent := 0
		if one.length > 0 && !one.isStuck {
			percent = int(100 - 100*(one.ends-e.stage.Line.Now())/one.length)
		}
		answer.Running = append(answer.Running, executorapi.RunningRow{Task: one.task, Run: one.number, Percent: percent})
	}
	return answer
}

// runsOf counts the runs of one step.
func (e *Executor) runsOf(step jobs.Place) (count int) {
	for _, one := range e.active {
		if _, place := e.stage.Judge.step(one.task); place.ID == step.ID && place.Time == step.Time && place.Step == step.Step {
			count++
		}
	}
	return count
}

// Active counts what runs here now.
func (e *Executor) Active() int { return len(e.active) }
