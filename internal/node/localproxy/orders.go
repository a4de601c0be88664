package localproxy

import (
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxUncertainRuns is how many uncertain runs are remembered by name.
	maxUncertainRuns = 10000
	// startMargin is how much longer than now a start must be held, in milliseconds, to be carried out.
	startMargin = 400
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

// givenOrder is an order on its way to the executor: the fence of the leader that gave it last, and the reading of the
// executor's clock, in milliseconds, up to which a start may be carried out by the grant that came with it.
type givenOrder struct {
	fence   uint64
	limitMs int64
}

// accept gives the orders that are not under way yet; the others go on under the fence of the leader that repeats them.
func (t *Table) accept(current *executorState, orders []wire.Order, limitMs int64) []wire.Order {
	accepted := orders[:0]
	for _, order := range orders {
		key := keyOf(order)
		given, isInFlight := current.ordersInFlight[key]
		given.fence = current.fence
		if !isInFlight {
			current.lastBusyAt = t.now()
			given.limitMs = limitMs
			accepted = append(accepted, order)
		}
		current.ordersInFlight[key] = given
	}
	return accepted
}

// OrderWork is one order made ready for the executor. ExpiryMs is up to when the run may go on, by the executor's clock.
type OrderWork struct {
	Executor string
	Order    wire.Order
	Fence    uint64
	ExpiryMs int64
}

// Ready is the last check before an executor: incarnation, leader, drain, evacuation and grant. An order that waited here while the
// pool changed its leader is carried out only if the new one gave it, too.
func (t *Table) Ready(executorID string, order wire.Order) (OrderWork, bool) {
	current := t.currentIs(executorID)
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
		work.ExpiryMs = min(work.ExpiryMs, given.limitMs)
	}
	return work, t.isStartReady(current, work)
}

// isStopReady drops a stop while the executor answers nothing; the leader gives it again.
func (t *Table) isStopReady(current *executorState, order wire.Order) bool {
	if t.isUnresponsive(current) {
		delete(current.ordersInFlight, keyOf(order))
		return false
	}
	return true
}

// isStartReady tells whether a start may be sent; if not, the leader gets the reason, or gives it again.
func (t *Table) isStartReady(current *executorState, work OrderWork) bool {
	switch {
	case current.isDraining || t.isEvacuated():
		t.HandleOrderResult(work, wire.ResultNotRun)
	case t.isUnresponsive(current):
		t.HandleOrderResult(work, current.resultWhileUnresponsive(work.Order))
	case work.ExpiryMs < current.clock.clockAt(t.now())+startMargin:
		delete(current.ordersInFlight, keyOf(work.Order))
	default:
		return true
	}
	return false
}

// HandleOrderRefusal notes that nobody listens at the executor's address: the order was certainly not carried out.
func (t *Table) HandleOrderRefusal(work OrderWork) {
	if current := t.currentIs(work.Executor); current != nil {
		t.recordMisses(current, unresponsiveAfter)
		t.HandleOrderResult(work, wire.ResultUnhealthy)
	}
}

// resultWhileUnresponsive leaves a start that may have reached the executor to be sent again, as that is sooner over
// than a stop.
func (e *executorState) resultWhileUnresponsive(order wire.Order) wire.OrderResult {
	if e.isUncertain(runOf(order)) {
		return wire.ResultTimeout
	}
	return wire.ResultUnhealthy
}

// isUncertain tells whether a start of the run may yet be carried out. A stop that was answered ends the uncertainty, as the
// executor turns the run away from then on.
func (e *executorState) isUncertain(run runKey) bool {
	return e.uncertainRuns[run] || e.areAllUncertain
}

// HandleOrderTimeout notes that an order may yet be carried out.
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

// HandleOrderResult notes an order's answer for the leader.
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
	known.answers = append(known.answers, givenAnswer{at: t.now(),
		OrderAnswer: wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result}})
	if order.Kind == wire.OrderLaunch && result == wire.ResultOK {
		t.onRunStarted()
		return
	}
	t.onReportDue()
}
