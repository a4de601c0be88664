package ordermodel

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

// receive takes a call of the proxy; reply may never be called.
func (e *executor) receive(life string, request executorRequest, planted plant, reply func(wait time.Duration, reply executorReply)) {
	if !e.isUp || e.isRefusing {
		reply(localHop, executorReply{err: errNoAnswer, isRefused: true})
		return
	}
	wait, isMute := localHop, e.isMute && e.world.queue.chance(percentLate)
	if e.isLate && e.world.queue.chance(percentLate) {
		e.world.count("executor_late")
		wait, isMute = e.world.queue.between(leastLate, mostLate), true
	}
	isFresh := !isMute || wait == localHop
	isBusy := e.isBusy && isFresh && e.world.queue.chance(percentBusy)
	answer := func(told executorReply) {
		if !isMute {
			reply(localHop, told)
			return
		}
		e.world.count("executor_answer_lost")
	}
	e.later(wait, func() {
		switch {
		case life != e.id && !planted.ignoresLife():
			answer(executorReply{status: http.StatusMisdirectedRequest})
		case isBusy:
			e.world.count("executor_busy")
			answer(executorReply{status: http.StatusServiceUnavailable})
		default:
			e.serve(request, !isFresh, answer)
		}
	})
}

func (e *executor) serve(request executorRequest, isLate bool, answer func(executorReply)) {
	switch {
	case request.start != nil:
		e.runStart(*request.start, isLate, answer)
	case request.stop != nil:
		e.runStop(*request.stop, answer)
	default:
		e.hold(*request.hold, answer)
	}
}

func (e *executor) told(status int, reason string) executorReply {
	return executorReply{status: status, answer: executorapi.Answer{ClockMs: e.clockMs(), Reason: reason}}
}

func (e *executor) raiseFence(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

func (e *executor) runStart(order executorapi.RunStart, isLate bool, answer func(executorReply)) {
	if !e.raiseFence(order.Fence) {
		e.world.count("start_fenced")
		answer(e.told(http.StatusConflict, "fence"))
		return
	}
	if e.find(order.Task, order.Run) != nil {
		e.extend(order.ExpiryMs)
		answer(e.told(http.StatusOK, ""))
		return
	}
	if order.Run <= e.highest[order.Task] {
		e.world.count("start_old")
		e.extend(order.ExpiryMs)
		answer(e.told(http.StatusConflict, "old"))
		return
	}
	if order.ExpiryMs <= e.clockMs() {
		e.world.count("start_after_expiry")
		answer(e.told(http.StatusConflict, "late"))
		return
	}
	e.extend(order.ExpiryMs)
	if e.isGuarding && !e.hasRoomFor(order.Task) {
		e.world.count("start_without_room")
		answer(e.told(http.StatusConflict, "room"))
		return
	}
	e.begin(order, isLate)
	answer(e.told(http.StatusOK, ""))
}

func (e *executor) runStop(order executorapi.RunStop, answer func(executorReply)) {
	if !e.raiseFence(order.Fence) {
		answer(e.told(http.StatusConflict, "fence"))
		return
	}
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	if one := e.find(order.Task, order.Run); one != nil && !e.stopping[one] {
		e.stopping[one] = true
		e.later(e.world.queue.between(0, e.world.timing.StopTimeout), func() {
			if one.step.Checkpointing && slices.Contains(e.active, one) {
				one.saved = e.world.oracles.save(one.task, one.run)
			}
			e.end(one, howStopped)
		})
	}
	e.world.oracles.stopTaken(e, order.Task, order.Run)
	answer(e.told(http.StatusOK, ""))
}

func (e *executor) hold(request executorapi.Hold, answer func(executorReply)) {
	if !e.raiseFence(request.Fence) {
		answer(e.told(http.StatusConflict, "fence"))
		return
	}
	e.forgetEnds(request.LastSeen)
	if request.ExpiryMs > 0 {
		e.extend(request.ExpiryMs)
	}
	if len(e.ends) > 0 || request.WaitMs == 0 {
		answer(e.lists())
		return
	}
	isOver := false
	tell := func() {
		if !isOver {
			isOver = true
			answer(e.lists())
		}
	}
	e.pollers = append(e.pollers, tell)
	e.later(clock.Milliseconds(request.WaitMs), tell)
}

func (e *executor) forgetEnds(lastSeen int64) {
	e.ends = slices.DeleteFunc(e.ends, func(end executorapi.EndRow) bool {
		if end.Number > lastSeen {
			return false
		}
		if e.endedAt[end.Number] == e.lapses {
			e.world.oracles.noted(e, end)
		}
		return true
	})
}

func (e *executor) lists() executorReply {
	reply := e.told(http.StatusOK, "")
	reply.answer.Ends = slices.Clone(e.ends[:min(mostEndsTold, len(e.ends))])
	for _, one := range e.active {
		percent := 0
		if one.isGoing && !one.isStuck && one.length > 0 {
			percent = int(100 * (e.world.queue.now() - one.begunAt) / one.length)
		}
		if one.step.LongRunning {
			percent = int(e.world.queue.now()/(100*time.Millisecond)) % 100
		}
		reply.answer.Running = append(reply.answer.Running, executorapi.RunningRow{Task: one.task, Run: one.run, Checkpoint: one.saved, Percent: percent})
	}
	return reply
}

// extend lets all that runs go on until a time on the executor's own clock.
func (e *executor) extend(expiryMs int64) {
	most := e.clockMs() + e.world.timing.MaxHold.Milliseconds()
	if expiryMs = min(expiryMs, most); expiryMs <= e.expiryMs {
		return
	}
	e.expiryMs = expiryMs
	wait := clock.Milliseconds(expiryMs-e.clockMs())*10000/time.Duration(10000-e.slowness) + time.Millisecond
	// A run lapses by itself, also on an executor that answers nobody.
	incarnation := e.incarnation
	e.world.queue.after(wait, func() {
		if e.isUp && e.incarnation == incarnation && e.clockMs() >= e.expiryMs && e.expiryMs == expiryMs {
			e.lapse()
		}
	})
}

func (e *executor) lapse() {
	e.lapses++
	for _, one := range slices.Clone(e.active) {
		e.world.count("lapsed")
		e.end(one, howLapsed)
	}
}

func (e *executor) hasRoomFor(task string) bool {
	place, _ := jobs.ParseTask(task)
	used, step := e.used(), e.world.oracles.stepOf(place)
	return used.CPU+step.CPU <= e.room.CPU && used.Memory+step.Memory <= e.room.Memory
}

// used is the room of all that runs, also of what is being stopped.
func (e *executor) used() (used wire.Capacity) {
	for _, one := range e.active {
		used.CPU, used.Memory = used.CPU+one.step.CPU, used.Memory+one.step.Memory
	}
	return used
}
