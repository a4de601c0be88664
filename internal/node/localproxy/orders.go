package localproxy

import (
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxUncertainRuns is how many uncertain runs are remembered individually.
	maxUncertainRuns = 10000
	// startMarginMs is the least remaining lease of a run that is started, in milliseconds.
	startMarginMs = 400
)

type orderKey struct {
	task string
	run  int64
	kind wire.OrderKind
}

func keyOf(order wire.Order) orderKey { return orderKey{order.Task, order.Run, order.Kind} }

type runKey struct {
	task string
	run  int64
}

func runOf(order wire.Order) runKey { return runKey{order.Task, order.Run} }

// inFlightOrder is an order in flight to the executor: the fence of the leader that gave it last, and the reading of the executor's
// clock, in milliseconds, up to which a start is covered by the grant that came with it.
type inFlightOrder struct {
	fence         uint64
	grantExpiryMs int64
}

// accept returns the orders that are not in flight yet. The others stay in flight, under the fence of the leader that repeated them.
func (t *Table) accept(current *executorState, orders []wire.Order, grantExpiryMs int64) []wire.Order {
	accepted := orders[:0]
	for _, order := range orders {
		key := keyOf(order)
		given, isInFlight := current.ordersInFlight[key]
		given.fence = current.fence
		if !isInFlight {
			current.lastBusyAt = t.now()
			given.grantExpiryMs = grantExpiryMs
			accepted = append(accepted, order)
		}
		current.ordersInFlight[key] = given
	}
	return accepted
}

// OrderWork is an order that is ready for the executor. ExpiryMs is when the run's lease expires, on the executor's clock.
type OrderWork struct {
	Executor string
	Order    wire.Order
	Fence    uint64
	ExpiryMs int64
}

// Ready checks an order right before it is sent: incarnation, leader, drain, evacuation and lease. An order that waited here while
// the pool changed its leader is carried out only if the new leader gave it as well.
func (t *Table) Ready(executorID string, order wire.Order) (OrderWork, bool) {
	current := t.currentWithID(executorID)
	if current == nil {
		if other := t.find(executorID); other != nil {
			delete(other.ordersInFlight, keyOf(order))
		}
		return OrderWork{}, false
	}
	given, isInFlight := current.ordersInFlight[keyOf(order)]
	if isInFlight && given.fence != current.fence {
		delete(current.ordersInFlight, keyOf(order))
		return OrderWork{}, false
	}
	work := OrderWork{Executor: executorID, Order: order, Fence: current.fence, ExpiryMs: current.leaseExpiryMs}
	if order.Kind != wire.OrderLaunch {
		return work, t.isStopReady(current, order)
	}
	if isInFlight {
		work.ExpiryMs = min(work.ExpiryMs, given.grantExpiryMs)
	}
	return work, t.isStartReady(current, work)
}

// isStopReady reports whether a stop may be sent. It is dropped while the executor is unresponsive; the leader repeats it.
func (t *Table) isStopReady(current *executorState, order wire.Order) bool {
	if t.isUnresponsive(current) {
		delete(current.ordersInFlight, keyOf(order))
		return false
	}
	return true
}

// isStartReady reports whether a start may be sent. If not, the leader gets the reason; a start without enough lease is dropped, and
// the leader repeats it.
func (t *Table) isStartReady(current *executorState, work OrderWork) bool {
	switch {
	case current.isDraining || t.isEvacuated():
		t.HandleOrderResult(work, wire.ResultNotRun)
	case t.isUnresponsive(current):
		t.HandleOrderResult(work, current.resultWhileUnresponsive(work.Order))
	case work.ExpiryMs < current.clock.minReadingAt(t.now())+startMarginMs:
		delete(current.ordersInFlight, keyOf(work.Order))
	default:
		return true
	}
	return false
}

// HandleOrderRefusal records that nothing listens at the executor's address, so the order was certainly not carried out.
func (t *Table) HandleOrderRefusal(work OrderWork) {
	if current := t.currentWithID(work.Executor); current != nil {
		t.recordMisses(current, unresponsiveAfter)
		t.HandleOrderResult(work, wire.ResultUnhealthy)
	}
}

// resultWhileUnresponsive returns the result of a start while the executor is unresponsive. A start that may have reached the
// executor is reported as timed out: the leader repeats it, which settles it sooner than a stop.
func (e *executorState) resultWhileUnresponsive(order wire.Order) wire.OrderResult {
	if e.isUncertain(runOf(order)) {
		return wire.ResultTimeout
	}
	return wire.ResultUnhealthy
}

// isUncertain reports whether a start of the run may still be carried out. An answered stop ends the uncertainty, as the executor
// refuses the run from then on.
func (e *executorState) isUncertain(run runKey) bool {
	return e.uncertainRuns[run] || e.areAllUncertain
}

// HandleOrderTimeout records that an order was not answered and may still be carried out.
func (t *Table) HandleOrderTimeout(work OrderWork) {
	known := t.find(work.Executor)
	if known == nil {
		return
	}
	if len(known.uncertainRuns) < maxUncertainRuns {
		known.uncertainRuns[runOf(work.Order)] = true
	} else {
		known.areAllUncertain = true
	}
	t.recordMisses(known, 1)
	t.recordLostAnswer(known)
}

// HandleOrderResult queues the result of an order for the leader. A refusal of an uncertain run is reported as uncertain.
func (t *Table) HandleOrderResult(work OrderWork, result wire.OrderResult) {
	known := t.find(work.Executor)
	if known == nil {
		return
	}
	order, run := work.Order, runOf(work.Order)
	delete(known.ordersInFlight, keyOf(order))
	if order.Kind == wire.OrderLaunch && known.isUncertain(run) && result != wire.ResultOK && result != wire.ResultTimeout {
		result = wire.ResultUncertain
	}
	if result == wire.ResultOK {
		delete(known.uncertainRuns, run)
	}
	known.answers = append(known.answers, pendingAnswer{at: t.now(),
		OrderAnswer: wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result}})
	if order.Kind == wire.OrderLaunch && result == wire.ResultOK {
		t.onRunStarted()
		return
	}
	t.onReportDue()
}
