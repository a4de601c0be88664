package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/recording"
)

// Results a local-proxy gives for an order.
const (
	ResultOK         = "ok"
	ResultNotRun     = "not-run"
	ResultNoCapacity = "room"
	ResultUnhealthy  = "sick"
	ResultUncertain  = "unsure"
	ResultTimeout    = "timeout"
)

// Exchange takes what a local-proxy says of its executor, and answers with orders, grant and acks.
func (p *Pool) Exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer)) {
	now := p.clock.Monotonic()
	executor := p.executorOf(call.Executor)
	call, isTaken := executor.exchange.merge(call)
	p.updateContact(executor, call, now)
	if !isTaken {
		refusal := p.answerFor(executor)
		refusal.HeldNumber, refusal.NeedsFullState, refusal.Session = 0, true, executor.exchange.session
		answer(refusal)
		return
	}
	if call.Fence != p.leadership.Epoch() {
		call.ListNumber = 0
	}
	for _, gone := range call.Gone {
		if former := p.executors[gone]; former != nil && gone != call.Executor {
			if !former.isDraining {
				p.suspectMachine(former)
			}
			p.executorGone(former)
		}
	}
	p.updateFacts(executor, call, now)
	for _, orderAnswer := range call.Answers {
		p.handleOrderAnswer(executor, orderAnswer)
	}
	hasNews := p.handleEnds(executor, call.Ends)
	p.handleChangedRuns(executor, call.Changed)
	p.handleRunList(executor, call)
	if call.WaitMs > 0 {
		p.answerPoll(executor)
		executor.poll = &pendingPoll{until: now + clock.Milliseconds(call.WaitMs), answer: answer}
		p.sendOrders(executor)
		return
	}
	if hasNews {
		p.afterCommit(func(err error) { p.answerAck(executor, err, answer) })
		return
	}
	answer(p.answerFor(executor))
}

// answerAck tells the proxy at once, with the commit, how far its ends are taken note of.
func (p *Pool) answerAck(executor *executorState, err error, answer func(wire.ExchangeAnswer)) {
	if err != nil || p.leadership == nil {
		answer(wire.ExchangeAnswer{NotLeader: true})
		return
	}
	answer(p.answerFor(executor))
}

// updateContact takes what every exchange tells, also one whose base is not known here.
func (p *Pool) updateContact(executor *executorState, call *wire.ExchangeCall, now time.Duration) {
	p.table.markChanged(executor)
	isBlocked := clock.Milliseconds(call.HoldAgeMs) > p.timing.HoldStale
	if executor.isUnschedulable && !isBlocked {
		p.needsPlacing = true
	}
	if isBlocked != executor.isUnschedulable || now-executor.contactAt > silenceBeforeSpeculation {
		p.refreshSpeculation(executor)
	}
	executor.isUnschedulable, executor.contactAt = isBlocked, now
	if !isBlocked && p.leadership.HasLease() {
		executor.leaseExpiry = max(executor.leaseExpiry, now+p.leaseWithMargin(p.timing.Grant))
	}
}

func (p *Pool) updateFacts(executor *executorState, call *wire.ExchangeCall, now time.Duration) {
	if !executor.isKnown || executor.isDraining != call.Draining {
		p.needsPlacing = true
	}
	isNewDrain := call.Draining && !executor.isDraining
	if !executor.isKnown || isNewDrain {
		p.recorder.Record(recording.Event{Kind: recording.KindExecutor, AtMs: p.leadership.WallMs(), Machine: call.Proxy, Room: call.Capacity,
			Labels: call.Labels, IsDraining: call.Draining})
	}
	if executor.runLimit > 0 {
		p.needsPlacing = true
	}
	executor.learnPenalty(p.machinePenalty(call.Proxy, now))
	if p.rules != nil && (executor.capacity != resourcesOf(call.Capacity) || !slices.Equal(executor.labels, call.Labels)) {
		p.table.version++
	}
	executor.isKnown, executor.proxy, executor.domain, executor.labels = true, call.Proxy, call.Domain, call.Labels
	// A proxy that was restarted may not have heard yet that its executor leaves; no executor takes that back.
	executor.capacity, executor.isDraining = resourcesOf(call.Capacity), executor.isDraining || call.Draining
	if call.DepartureMs > 0 {
		executor.departureAt = now + clock.Milliseconds(call.DepartureMs)
	}
	if !executor.isFenced && call.Fence == p.leadership.Epoch() && call.ListNumber >= executor.firstList {
		executor.isFenced = true
		p.newestOnMachine[executor.proxy] = executor
		p.needsPlacing = true
	}
	if isNewDrain {
		p.evacuate(executor)
	}
}

func (p *Pool) answerFor(executor *executorState) wire.ExchangeAnswer {
	now := p.clock.Monotonic()
	answer := wire.ExchangeAnswer{Fence: p.leadership.Epoch(), LastSeen: executor.lastSeen, WantedList: executor.listWanted, HeldNumber: executor.exchange.number}
	if !executor.isUnschedulable && p.leadership.HasLease() {
		answer.GrantMs = p.timing.Grant.Milliseconds()
		executor.leaseExpiry = max(executor.leaseExpiry, now+p.leaseWithMargin(p.timing.Grant))
	}
	answer.Orders = executor.orphanStops
	executor.orphanStops = nil
	if !executor.isFenced {
		return answer
	}
	for _, run := range executor.outbox {
		run.isQueued = false
		if executor.runs[run.key()] != run || run.state == runRunning {
			continue
		}
		p.meters.sent(run)
		run.sendCount++
		run.sentAt = now
		p.markChanged(run.task)
		answer.Orders = append(answer.Orders, p.order(run))
	}
	executor.outbox = nil
	return answer
}

func (p *Pool) order(run *runState) wire.Order {
	order := wire.Order{Kind: kindStop, Task: run.task.name, Run: run.number}
	if run.state == runLaunching {
		order.Kind, order.Descriptor, order.Checkpoint = kindLaunch, run.task.owner().spec.Descriptor, run.task.latestCheckpoint()
	}
	return order
}

func (p *Pool) sendOrders(executor *executorState) {
	if executor.isFenced && len(executor.outbox) > 0 || len(executor.orphanStops) > 0 {
		p.answerPoll(executor)
	}
}

func (p *Pool) answerPoll(executor *executorState) {
	if executor.poll != nil {
		p.endPoll(executor, p.answerFor(executor))
	}
}

func (p *Pool) endPoll(executor *executorState, answer wire.ExchangeAnswer) {
	if executor.poll != nil {
		reply := executor.poll.answer
		executor.poll = nil
		reply(answer)
	}
}

func (p *Pool) requestRunList(executor *executorState, run *runState) {
	p.lastListNumber++
	executor.listWanted, executor.listWantedAt = p.lastListNumber, p.clock.Monotonic()
	run.awaitedList = p.lastListNumber
	p.answerPoll(executor)
}

func (p *Pool) handleOrderAnswer(executor *executorState, answer wire.OrderAnswer) {
	run := executor.runs[runKey{answer.Task, answer.Run}]
	if run == nil {
		return
	}
	now := p.clock.Monotonic()
	if answer.Kind == kindStop {
		if run.state == runStopping && answer.Result == ResultOK && !run.isAnswered {
			run.isAnswered, run.answeredAt = true, now
			p.dropRecord(orderName(run.task, run.number, kindStop))
			p.putTask(run.task)
		}
		return
	}
	if run.state != runLaunching {
		return
	}
	isCertain := run.sendCount <= 1 && run.awaitedList == 0
	switch answer.Result {
	case ResultOK:
		p.runStarted(run)
		run.startedAt -= min(clock.Milliseconds(answer.AgeMs), now-run.orderedAt)
	case ResultNotRun, ResultNoCapacity, ResultUnhealthy:
		if answer.Result == ResultUnhealthy {
			p.penalizeUnlessEjected(executor)
			executor.failures++
		}
		if answer.Result != ResultNotRun {
			executor.ejectedUntil = now + ejectionPause
		}
		run.task.avoid = executor.id
		if isCertain {
			p.closeRun(run)
			return
		}
		p.stopRun(run)
	case ResultUncertain:
		p.stopRun(run)
	case ResultTimeout:
		executor.failures += 0.3
	}
}

func (p *Pool) handleEnds(executor *executorState, ends []wire.EndReport) (hasNews bool) {
	if !executor.isFenced || len(ends) == 0 || ends[len(ends)-1].Number <= executor.takenEnd {
		return false
	}
	for _, end := range ends {
		if end.Number > executor.takenEnd {
			executor.takenEnd = end.Number
			p.handleEnd(executor, end)
		}
	}
	taken := executor.takenEnd
	p.afterCommit(func(err error) {
		if err == nil && taken > executor.lastSeen {
			executor.lastSeen = taken
		}
	})
	return true
}

func (p *Pool) handleChangedRuns(executor *executorState, changed []wire.RunReport) {
	for _, report := range changed {
		run := executor.runs[runKey{report.Task, report.Run}]
		if run == nil {
			continue
		}
		if report.Checkpoint != "" {
			p.recordCheckpoint(run.task, report.Checkpoint)
		}
		run.isStuck = report.Stuck
		p.moveStalled(run)
	}
}

func (p *Pool) handleRunList(executor *executorState, call *wire.ExchangeCall) {
	if call.ListNumber == 0 || !executor.isFenced {
		return
	}
	running := map[runKey]bool{}
	for _, report := range call.Running {
		key := runKey{report.Task, report.Run}
		running[key] = true
		hasEnded := slices.ContainsFunc(call.Ends, func(end wire.EndReport) bool { return end.Task == report.Task && end.Run == report.Run })
		if executor.runs[key] == nil && !hasEnded {
			p.stopOrphan(executor, report)
		}
	}
	for _, run := range executor.sortedRuns() {
		if run.awaitedList == 0 || run.awaitedList > call.ListNumber {
			continue
		}
		run.awaitedList = 0
		p.resolve(run, running[run.key()])
	}
}

// resolve settles a doubtful run by a look that was taken after the doubt arose.
func (p *Pool) resolve(run *runState, isRunning bool) {
	switch {
	case run.state == runLaunching && isRunning:
		p.runStarted(run)
	case run.state == runLaunching:
		run.sendCount = 0
		p.queueOrder(run)
	case run.state == runRunning && !isRunning:
		p.closeRun(run)
	case run.state == runStopping && run.isAnswered && !isRunning:
		p.closeRun(run)
	case run.state == runStopping && !run.isAnswered:
		p.queueOrder(run)
	}
}

// stopOrphan stops a run that no record knows, such as one carried out long after its order was given up.
func (p *Pool) stopOrphan(executor *executorState, report wire.RunReport) {
	order := wire.Order{Kind: kindStop, Task: report.Task, Run: report.Run}
	if !slices.Contains(executor.orphanStops, order) {
		p.log.Info("stopping orphaned run", "task", report.Task, "run", report.Run, "executor", executor.id)
		executor.orphanStops = append(executor.orphanStops, order)
	}
}

// executorGone closes all that ran on a life that certainly runs nothing any more.
func (p *Pool) executorGone(executor *executorState) {
	executor.isKnown = false
	p.endPoll(executor, wire.ExchangeAnswer{})
	for _, run := range executor.sortedRuns() {
		p.closeRun(run)
	}
	p.forgetExecutor(executor)
	p.needsPlacing = true
}
