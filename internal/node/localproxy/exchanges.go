package localproxy

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// neverRenewed stands for the age of the last renewal while there is none.
	neverRenewed = time.Hour
	// idleAfter is how long after its last run an executor counts as idle.
	idleAfter = 2 * time.Second
	// runningListPause lies between two lists of running runs to a leader that has no numbered changes.
	runningListPause = time.Second
)

// givenAnswer is the executor's answer to an order, until the leader has it.
type givenAnswer struct {
	wire.OrderAnswer
	at     time.Duration
	isSent bool
}

// Compose makes the next exchange, which may wait at the leader for waitMs; HandleAnswer takes the answer to it.
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

func (t *Table) factsOf(executor *executorState) facts {
	return facts{proxy: t.name, domain: t.domain, labels: executor.heartbeat.Labels, capacity: executor.heartbeat.Capacity,
		isDraining: executor.isDraining, gone: slices.Clone(t.gone)}
}

// holdAge is the time since the executor answered a hold; an unresponsive one counts as never renewed.
func (t *Table) holdAge(executor *executorState) time.Duration {
	if !executor.hasRenewed || t.isUnresponsive(executor) {
		return neverRenewed
	}
	return t.now() - executor.renewedAt
}

func (e *executorState) writeAnswers(call *wire.ExchangeCall, now time.Duration) {
	for index := range e.answers {
		given := &e.answers[index]
		given.AgeMs, given.isSent = (now - given.at).Milliseconds(), true
		call.Answers = append(call.Answers, given.OrderAnswer)
	}
}

// writeRuns adds the complete list of runs that the leader waits for, or now and then the running ones where it has
// no numbered changes.
func (e *executorState) writeRuns(call *wire.ExchangeCall, now time.Duration) {
	if e.listTaken > e.listReported {
		call.ListNumber, call.Running = e.listTaken, e.listedRuns
	} else if e.feed.acknowledged == 0 && now-e.runningSentAt > runningListPause {
		call.Running = slices.Clone(e.running)
	}
}

// pollWait is longer while the executor is idle; it stays well below the silence after which a leader places nothing there.
func (t *Table) pollWait(executor *executorState, waitMs int64) int64 {
	if t.now()-executor.lastBusyAt > idleAfter {
		return 2 * waitMs
	}
	return waitMs
}

// HandleAnswer takes the leader's answer and gives the orders that are to be carried out. askedAt is when the exchange was
// sent, on the monotonic clock: a grant counts from then.
func (t *Table) HandleAnswer(call *wire.ExchangeCall, askedAt time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	current := t.currentIs(call.Executor)
	if current == nil || answer.Fence < current.fence {
		return nil
	}
	if answer.Fence > current.fence {
		current.beginFence(answer.Fence)
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
	return t.accept(current, answer.Orders, current.leaseLimit(askedAt, answer.GrantMs))
}

// beginFence forgets what the former leader has acknowledged and asked for.
func (e *executorState) beginFence(fence uint64) {
	e.fence, e.lastSeen = fence, 0
	e.listTaken, e.listReported, e.listWanted = 0, 0, 0
}

// dropDelivered drops the answers that the leader has taken, and notes the list of runs that it has.
func (e *executorState) dropDelivered(call *wire.ExchangeCall, fence uint64) {
	if len(call.Answers) > 0 {
		e.answers = slices.DeleteFunc(e.answers, func(given givenAnswer) bool { return given.isIn(call.Answers) })
	}
	if call.Fence == fence {
		e.listReported = max(e.listReported, call.ListNumber)
	}
}

// acknowledgeEnds drops the ends that the leader has seen.
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
		// The last answer may have been full of ends, and so no complete list.
		t.onListDue()
	}
}

// HasUnsent tells whether an answer of the executor was in no exchange yet.
func (t *Table) HasUnsent() bool {
	return t.current != nil && slices.ContainsFunc(t.current.answers, func(given givenAnswer) bool { return !given.isSent })
}

func (g givenAnswer) isIn(sent []wire.OrderAnswer) bool {
	return slices.ContainsFunc(sent, func(answer wire.OrderAnswer) bool {
		return answer.Task == g.Task && answer.Run == g.Run && answer.Kind == g.Kind && answer.Result == g.Result
	})
}
