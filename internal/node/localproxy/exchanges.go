package localproxy

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// neverRenewed is the reported age of the last lease renewal if there was none or the executor is unresponsive.
	neverRenewed = time.Hour
	// idleAfter is how long after its last activity an executor counts as idle.
	idleAfter = 2 * time.Second
	// runningListInterval is the least time between two lists of running runs to a leader that has not acknowledged numbered changes.
	runningListInterval = time.Second
)

// pendingAnswer is the result of an order that the leader does not have yet.
type pendingAnswer struct {
	wire.OrderAnswer
	// at is when the result was queued.
	at time.Duration
	// isSent is set once the result was in an exchange.
	isSent bool
}

// Compose returns the next exchange, or false if there is no executor. The leader may delay its answer for waitMs, or longer if the
// executor is idle. The answer is to be passed to HandleAnswer.
func (t *Table) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	current := t.current
	if current == nil {
		return nil, false
	}
	now := t.now()
	call := &wire.ExchangeCall{Key: wire.PoolKey(t.service), Executor: current.id, Fence: current.fenceAtExecutor,
		WaitMs: t.pollWait(current, waitMs), HoldAgeMs: t.holdAge(current).Milliseconds(), Ends: slices.Clone(current.ends)}
	current.feed.updateFacts(t.factsOf(current))
	current.feed.write(call)
	if current.departureAt > now {
		call.DepartureMs = (current.departureAt - now).Milliseconds()
	}
	current.writeAnswers(call, now)
	current.writeRuns(call, now)
	return call, true
}

// factsOf returns the current facts of an executor.
func (t *Table) factsOf(executor *executorState) facts {
	return facts{proxy: t.name, domain: t.domain, labels: executor.heartbeat.Labels, capacity: executor.heartbeat.Capacity,
		isDraining: executor.isDraining, gone: slices.Clone(t.gone)}
}

// holdAge returns the time since the executor last answered a hold. An unresponsive executor counts as never renewed.
func (t *Table) holdAge(executor *executorState) time.Duration {
	if !executor.hasRenewed || t.isUnresponsive(executor) {
		return neverRenewed
	}
	return t.now() - executor.renewedAt
}

// writeAnswers adds all results of orders that the leader does not have, with their ages, to an exchange.
func (e *executorState) writeAnswers(call *wire.ExchangeCall, now time.Duration) {
	for index := range e.answers {
		pending := &e.answers[index]
		pending.AgeMs, pending.isSent = (now - pending.at).Milliseconds(), true
		call.Answers = append(call.Answers, pending.OrderAnswer)
	}
}

// writeRuns adds the complete list of runs that the leader requested to an exchange. A leader that has not acknowledged numbered changes
// may not support them, and gets the running runs every runningListInterval instead.
func (e *executorState) writeRuns(call *wire.ExchangeCall, now time.Duration) {
	if e.listTaken > e.listReported {
		call.ListNumber, call.Running = e.listTaken, e.listedRuns
	} else if e.feed.acknowledged == 0 && now-e.runningSentAt > runningListInterval {
		call.Running = slices.Clone(e.running)
	}
}

// pollWait returns the wait of an exchange at the leader, which is doubled while the executor is idle. The leader places no jobs on an
// executor that is silent for too long; the doubled wait stays well below that time.
func (t *Table) pollWait(executor *executorState, waitMs int64) int64 {
	if t.now()-executor.lastBusyAt > idleAfter {
		return 2 * waitMs
	}
	return waitMs
}

// HandleAnswer handles the leader's answer to an exchange and returns the orders to deliver. askedAt is when the exchange was sent, on the
// monotonic clock; a grant counts from then. Answers of a former leader, and those for an incarnation that is not current, are ignored.
func (t *Table) HandleAnswer(call *wire.ExchangeCall, askedAt time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	current := t.currentWithID(call.Executor)
	if current == nil || answer.Fence < current.fence {
		return nil
	}
	if answer.Fence > current.fence {
		current.resetForLeader(answer.Fence)
	}
	current.feed.acknowledge(answer)
	if answer.NeedsFullState {
		t.onReportDue()
	} else {
		current.dropDelivered(call, answer.Fence)
	}
	if len(call.Running) > 0 {
		current.runningSentAt = t.now()
	}
	t.acknowledgeEnds(current, answer.LastSeen)
	current.extendLease(askedAt, answer.GrantMs)
	current.listWanted = max(current.listWanted, answer.WantedList)
	if current.listWanted > current.listTaken {
		t.onListDue()
	}
	return t.accept(current, answer.Orders, current.expiryForOrder(askedAt, answer.GrantMs))
}

// resetForLeader resets the acknowledgements and list requests of the former leader.
func (e *executorState) resetForLeader(fence uint64) {
	e.fence, e.lastSeen = fence, 0
	e.listTaken, e.listReported, e.listWanted = 0, 0, 0
}

// dropDelivered drops the results of orders that the leader got with an exchange, and records the list of runs that it got.
func (e *executorState) dropDelivered(call *wire.ExchangeCall, fence uint64) {
	if len(call.Answers) > 0 {
		e.answers = slices.DeleteFunc(e.answers, func(pending pendingAnswer) bool { return pending.isIn(call.Answers) })
	}
	if call.Fence == fence {
		e.listReported = max(e.listReported, call.ListNumber)
	}
}

// acknowledgeEnds drops the ends that the leader has acknowledged. Once the last known end is dropped, a hold is due at once to acknowledge
// the ends to the executor.
func (t *Table) acknowledgeEnds(current *executorState, lastSeen int64) {
	current.lastSeen = max(current.lastSeen, lastSeen)
	if len(current.ends) == 0 {
		return
	}
	current.ends = slices.DeleteFunc(current.ends, func(end wire.EndReport) bool { return end.Number <= current.lastSeen })
	if len(current.ends) > 0 {
		return
	}
	t.onAckDue()
	if current.listWanted > current.listTaken {
		// The last answer of the executor may have been full of ends, so it was no complete list.
		t.onListDue()
	}
}

// HasUnsent reports whether any result of an order was not in an exchange yet.
func (t *Table) HasUnsent() bool {
	return t.current != nil && slices.ContainsFunc(t.current.answers, func(pending pendingAnswer) bool { return !pending.isSent })
}

// isIn reports whether an exchange with the given answers contained this one.
func (p pendingAnswer) isIn(sent []wire.OrderAnswer) bool {
	return slices.ContainsFunc(sent, func(answer wire.OrderAnswer) bool {
		return answer.Task == p.Task && answer.Run == p.Run && answer.Kind == p.Kind && answer.Result == p.Result
	})
}
