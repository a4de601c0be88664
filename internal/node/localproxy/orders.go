package localproxy

import (
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxUncertainRuns is how many uncertain runs are remembered individually.
	maxUncertainRuns = 10000
	// launchMarginMs is the least remaining lease with which a launch order is sent, in milliseconds.
	launchMarginMs = 400
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

// inFlightOrder is an order that is being delivered to the executor.
type inFlightOrder struct {
	// fence is the fence of the last leader that gave the order.
	fence uint64
	// grantExpiryMs limits the lease with which a run is started. It is when the grant that came with the order expires, in milliseconds of
	// the executor's clock.
	grantExpiryMs int64
}

// accept records the orders of an answer as in flight and returns those that were not in flight before. The others keep their grant and
// get the fence of the leader that repeated them.
func (t *Table) accept(current *executorState, orders []wire.Order, grantExpiryMs int64) []wire.Order {
	accepted := orders[:0]
	for _, order := range orders {
		key := keyOf(order)
		inFlight, isInFlight := current.ordersInFlight[key]
		inFlight.fence = current.fence
		if !isInFlight {
			current.lastBusyAt = t.now()
			inFlight.grantExpiryMs = grantExpiryMs
			accepted = append(accepted, order)
		}
		current.ordersInFlight[key] = inFlight
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

// Ready returns the work for an order, or false if the order must not be sent now. It is called right before each attempt and checks the
// incarnation, the leader, draining, evacuation, responsiveness and the lease. An order of a former leader is sent only if the current
// leader has given it as well.
func (t *Table) Ready(executorID string, order wire.Order) (OrderWork, bool) {
	current := t.currentWithID(executorID)
	if current == nil {
		if other := t.find(executorID); other != nil {
			delete(other.ordersInFlight, keyOf(order))
		}
		return OrderWork{}, false
	}
	inFlight, isInFlight := current.ordersInFlight[keyOf(order)]
	if isInFlight && inFlight.fence != current.fence {
		delete(current.ordersInFlight, keyOf(order))
		return OrderWork{}, false
	}
	work := OrderWork{Executor: executorID, Order: order, Fence: current.fence, ExpiryMs: current.leaseExpiryMs}
	if order.Kind != wire.OrderLaunch {
		return work, t.isStopReady(current, order)
	}
	if isInFlight {
		work.ExpiryMs = min(work.ExpiryMs, inFlight.grantExpiryMs)
	}
	return work, t.isLaunchReady(current, work)
}

// isStopReady reports whether a stop order may be sent. It is dropped while the executor is unresponsive, and the leader repeats it.
func (t *Table) isStopReady(current *executorState, order wire.Order) bool {
	if t.isUnresponsive(current) {
		delete(current.ordersInFlight, keyOf(order))
		return false
	}
	return true
}

// isLaunchReady reports whether a launch order may be sent. With too little remaining lease it is dropped, and the leader repeats it. If it
// may not be sent for another reason, a result is queued for the leader.
func (t *Table) isLaunchReady(current *executorState, work OrderWork) bool {
	switch {
	case current.isDraining || t.isEvacuated():
		t.HandleOrderResult(work, wire.ResultNotRun)
	case t.isUnresponsive(current):
		t.HandleOrderResult(work, current.resultWhileUnresponsive(work.Order))
	case work.ExpiryMs < current.clock.minReadingAt(t.now())+launchMarginMs:
		delete(current.ordersInFlight, keyOf(work.Order))
	default:
		return true
	}
	return false
}

// HandleOrderRefusal records that no connection to the executor could be made, so the order was certainly not carried out. The executor
// counts as unresponsive at once.
func (t *Table) HandleOrderRefusal(work OrderWork) {
	if current := t.currentWithID(work.Executor); current != nil {
		t.recordMisses(current, unresponsiveAfter)
		t.HandleOrderResult(work, wire.ResultUnhealthy)
	}
}

// resultWhileUnresponsive returns the result of a launch order while the executor is unresponsive. An order that may have reached the
// executor is reported as timed out, so that the leader repeats it: an answer to the repeated launch order settles the outcome sooner than
// a stop order.
func (e *executorState) resultWhileUnresponsive(order wire.Order) wire.OrderResult {
	if e.isUncertain(runOf(order)) {
		return wire.ResultTimeout
	}
	return wire.ResultUnhealthy
}

// isUncertain reports whether an unanswered launch order of the run may still be carried out. An answer that a launch or stop order was
// carried out ends the uncertainty, unless areAllUncertain is set: after a stop order the executor refuses to launch the run.
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

// HandleOrderResult queues the result of an order for the leader. A refused launch order of an uncertain run is reported as uncertain, as
// an earlier attempt may still be carried out.
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
