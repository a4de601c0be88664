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

// receive handles a call of the proxy. The present faults may delay the call, refuse it, or lose its answer. If the answer is lost,
// reply is never called.
func (e *modelExecutor) receive(executorID string, request executorRequest, fault injectedFault, reply func(wait time.Duration, reply executorReply)) {
	if !e.isUp || e.isRefusing {
		reply(localLatency, executorReply{err: errNoAnswer, isRefused: true})
		return
	}
	wait, losesAnswers := localLatency, e.losesAnswers && e.cluster.queue.chance(percentLate)
	if e.isLate && e.cluster.queue.chance(percentLate) {
		e.cluster.count("executor_late")
		wait, losesAnswers = e.cluster.queue.between(minCallDelay, maxCallDelay), true
	}
	isOnTime := !losesAnswers || wait == localLatency
	isBusy := e.isBusy && isOnTime && e.cluster.queue.chance(percentBusy)
	answer := func(response executorReply) {
		if !losesAnswers {
			reply(localLatency, response)
			return
		}
		e.cluster.count("executor_answer_lost")
	}
	e.later(wait, func() {
		switch {
		case executorID != e.id && !fault.ignoresIncarnation():
			answer(executorReply{status: http.StatusMisdirectedRequest})
		case isBusy:
			e.cluster.count("executor_busy")
			answer(executorReply{status: http.StatusServiceUnavailable})
		default:
			e.serve(request, !isOnTime, answer)
		}
	})
}

func (e *modelExecutor) serve(request executorRequest, isLate bool, answer func(executorReply)) {
	switch {
	case request.start != nil:
		e.runStart(*request.start, isLate, answer)
	case request.stop != nil:
		e.runStop(*request.stop, answer)
	default:
		e.hold(*request.hold, answer)
	}
}

// newReply returns an answer with the executor's present clock.
func (e *modelExecutor) newReply(status int, reason string) executorReply {
	return executorReply{status: status, answer: executorapi.Answer{ClockMs: e.clockMs(), Reason: reason}}
}

// raiseFence reports whether a fence is accepted, and records it if so. A fence below the highest one so far is not accepted.
func (e *modelExecutor) raiseFence(fence uint64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// runStart starts a run. It refuses an order with an old fence, with a run number not above highestRuns, or after its expiry, and
// also one without room if the executor is guarding. The order for a run that is active already succeeds.
func (e *modelExecutor) runStart(order executorapi.RunStart, isLate bool, answer func(executorReply)) {
	if !e.raiseFence(order.Fence) {
		e.cluster.count("start_fenced")
		answer(e.newReply(http.StatusConflict, "fence"))
		return
	}
	if e.findRun(order.Task, order.Run) != nil {
		e.extend(order.ExpiryMs)
		answer(e.newReply(http.StatusOK, ""))
		return
	}
	if order.Run <= e.highestRuns[order.Task] {
		e.cluster.count("start_old")
		e.extend(order.ExpiryMs)
		answer(e.newReply(http.StatusConflict, "old"))
		return
	}
	if order.ExpiryMs <= e.clockMs() {
		e.cluster.count("start_after_expiry")
		answer(e.newReply(http.StatusConflict, "late"))
		return
	}
	e.extend(order.ExpiryMs)
	if e.isGuarding && !e.hasCapacityFor(order.Task) {
		e.cluster.count("start_without_room")
		answer(e.newReply(http.StatusConflict, "room"))
		return
	}
	e.beginRun(order, isLate)
	answer(e.newReply(http.StatusOK, ""))
}

// runStop stops a run within StopTimeout. From then on, starts of the task's runs up to this one are refused.
func (e *modelExecutor) runStop(order executorapi.RunStop, answer func(executorReply)) {
	if !e.raiseFence(order.Fence) {
		answer(e.newReply(http.StatusConflict, "fence"))
		return
	}
	e.highestRuns[order.Task] = max(e.highestRuns[order.Task], order.Run)
	if execution := e.findRun(order.Task, order.Run); execution != nil && !e.stopping[execution] {
		e.stopping[execution] = true
		e.later(e.cluster.queue.between(0, e.cluster.timing.StopTimeout), func() {
			if execution.step.Checkpointing && slices.Contains(e.active, execution) {
				execution.checkpoint = e.cluster.oracles.saveCheckpoint(execution.task, execution.run)
			}
			e.endRun(execution, outcomeStopped)
		})
	}
	e.cluster.oracles.recordStop(e, order.Task, order.Run)
	answer(e.newReply(http.StatusOK, ""))
}

// hold extends the lease of all runs and answers with the lists of runs and ends. If there is no end, it waits for one, for WaitMs
// at most.
func (e *modelExecutor) hold(request executorapi.Hold, answer func(executorReply)) {
	if !e.raiseFence(request.Fence) {
		answer(e.newReply(http.StatusConflict, "fence"))
		return
	}
	e.forgetEnds(request.LastSeen)
	if request.ExpiryMs > 0 {
		e.extend(request.ExpiryMs)
	}
	if len(e.ends) > 0 || request.WaitMs == 0 {
		answer(e.newListReply())
		return
	}
	isOver := false
	answerOnce := func() {
		if !isOver {
			isOver = true
			answer(e.newListReply())
		}
	}
	e.pollers = append(e.pollers, answerOnce)
	e.later(clock.Milliseconds(request.WaitMs), answerOnce)
}

// forgetEnds drops the ends that are acknowledged, and informs the oracles of those that came after the last lapse of the lease.
func (e *modelExecutor) forgetEnds(lastSeen int64) {
	e.ends = slices.DeleteFunc(e.ends, func(end executorapi.EndRow) bool {
		if end.Number > lastSeen {
			return false
		}
		if e.lapsesAtEnd[end.Number] == e.lapses {
			e.cluster.oracles.recordAcknowledgedEnd(e, end)
		}
		return true
	})
}

// newListReply returns an answer with all active runs and the first maxEndsReported ends that are not acknowledged.
func (e *modelExecutor) newListReply() executorReply {
	reply := e.newReply(http.StatusOK, "")
	reply.answer.Ends = slices.Clone(e.ends[:min(maxEndsReported, len(e.ends))])
	for _, execution := range e.active {
		percent := 0
		if execution.isWorking && !execution.isStuck && execution.length > 0 {
			percent = int(100 * (e.cluster.queue.now() - execution.begunAt) / execution.length)
		}
		if execution.step.LongRunning {
			percent = int(e.cluster.queue.now()/(100*time.Millisecond)) % 100
		}
		reply.answer.Running = append(reply.answer.Running, executorapi.RunningRow{Task: execution.task, Run: execution.run, Checkpoint: execution.checkpoint, Percent: percent})
	}
	return reply
}

// extend prolongs the lease of all runs until a time on the executor's own clock, but at most until MaxHold from now.
func (e *modelExecutor) extend(expiryMs int64) {
	latest := e.clockMs() + e.cluster.timing.MaxHold.Milliseconds()
	if expiryMs = min(expiryMs, latest); expiryMs <= e.expiryMs {
		return
	}
	e.expiryMs = expiryMs
	wait := clock.Milliseconds(expiryMs-e.clockMs())*10000/time.Duration(10000-e.slowPermyriad) + time.Millisecond
	// Runs lapse without any call, also while the executor is frozen.
	incarnation := e.incarnation
	e.cluster.queue.after(wait, func() {
		if e.isUp && e.incarnation == incarnation && e.clockMs() >= e.expiryMs && e.expiryMs == expiryMs {
			e.lapse()
		}
	})
}

// lapse ends all runs, as their lease has expired.
func (e *modelExecutor) lapse() {
	e.lapses++
	for _, execution := range slices.Clone(e.active) {
		e.cluster.count("lapsed")
		e.endRun(execution, outcomeLapsed)
	}
}

// hasCapacityFor reports whether there is room for another run of a task.
func (e *modelExecutor) hasCapacityFor(task string) bool {
	position, _ := jobs.ParseTask(task)
	used, step := e.used(), e.cluster.oracles.stepOf(position)
	return used.CPU+step.CPU <= e.capacity.CPU && used.Memory+step.Memory <= e.capacity.Memory
}

// used returns the resources of all active runs, also of those that are being stopped.
func (e *modelExecutor) used() (used wire.Capacity) {
	for _, execution := range e.active {
		used.CPU, used.Memory = used.CPU+execution.step.CPU, used.Memory+execution.step.Memory
	}
	return used
}
