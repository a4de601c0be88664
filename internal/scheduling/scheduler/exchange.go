package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/recording"
)

// Exchange processes a local proxy's report on its executor. The answer carries orders, the lease grant and acknowledgements. A call with
// WaitMs is a long poll, which is answered when there are orders, when a list of runs is requested, or when the time is over.
func (p *Pool) Exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer)) {
	now := p.clock.Monotonic()
	executor := p.executorOf(call.Executor)
	call, isAccepted := executor.exchange.merge(call)
	p.updateContact(executor, call, now)
	if !isAccepted {
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
	hasNewEnds := p.handleEnds(executor, call.Ends)
	p.handleChangedRuns(executor, call.Changed)
	p.handleRunList(executor, call)
	if call.WaitMs > 0 {
		p.answerPoll(executor)
		executor.poll = &pendingPoll{until: now + clock.Milliseconds(call.WaitMs), answer: answer}
		p.sendOrders(executor)
		return
	}
	if hasNewEnds {
		p.afterCommit(func(err error) { p.answerAck(executor, err, answer) })
		return
	}
	answer(p.answerFor(executor))
}

// answerAck answers an exchange with end reports as soon as their commit has ended, so that they are acknowledged without delay.
func (p *Pool) answerAck(executor *executorState, err error, answer func(wire.ExchangeAnswer)) {
	if err != nil || p.leadership == nil {
		answer(wire.ExchangeAnswer{NotLeader: true})
		return
	}
	answer(p.answerFor(executor))
}

// updateContact processes the part of a report that is valid even if the report is based on an earlier one that the pool doesn't have: the
// contact itself and the age of the executor's last lease renewal.
func (p *Pool) updateContact(executor *executorState, call *wire.ExchangeCall, now time.Duration) {
	p.table.markChanged(executor)
	isUnreachable := clock.Milliseconds(call.HoldAgeMs) > p.timing.HoldStale
	if executor.isUnreachable && !isUnreachable {
		p.needsPlacing = true
	}
	if isUnreachable != executor.isUnreachable || now-executor.contactAt > silenceBeforeSpeculation {
		p.refreshSpeculation(executor)
	}
	executor.isUnreachable, executor.contactAt = isUnreachable, now
	p.extendLease(executor, now)
}

// updateFacts stores the reported facts of an executor: capacity, labels, zone, draining and fence.
func (p *Pool) updateFacts(executor *executorState, call *wire.ExchangeCall, now time.Duration) {
	if !executor.isKnown || executor.isDraining != call.Draining {
		p.needsPlacing = true
	}
	isNewDrain := call.Draining && !executor.isDraining
	if !executor.isKnown || isNewDrain {
		p.recorder.Record(recording.Event{Kind: recording.KindExecutor, AtMs: p.leadership.WallMs(), Machine: call.Proxy, Capacity: call.Capacity,
			Labels: call.Labels, IsDraining: call.Draining})
	}
	if executor.runLimit > 0 {
		p.needsPlacing = true
	}
	executor.applyPenalty(p.machinePenalty(call.Proxy, now))
	if p.rules != nil && (executor.capacity != resourcesOf(call.Capacity) || !slices.Equal(executor.labels, call.Labels)) {
		p.table.version++
	}
	executor.isKnown, executor.proxy, executor.domain, executor.labels = true, call.Proxy, call.Domain, call.Labels
	// A restarted proxy may not know yet that its executor is draining. An executor never stops draining.
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
		p.stopUnfinishableRuns(executor)
	}
}

// executorGone closes all runs of an executor that certainly runs nothing any more, and removes it.
func (p *Pool) executorGone(executor *executorState) {
	executor.isKnown = false
	p.endPoll(executor, wire.ExchangeAnswer{})
	for _, run := range executor.sortedRuns() {
		p.closeRun(run)
	}
	p.forgetExecutor(executor)
	p.needsPlacing = true
}
