package localproxy

import (
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// mostUnsure is how many runs in doubt are remembered by name.
	mostUnsure = 10000
	// startMargin is how much longer than now a start must be held, in milliseconds, to be carried out.
	startMargin = 400
	// kindLaunch is the kind of an order that starts a run; all others may be carried out twice.
	kindLaunch = "launch"
)

// What came of an order, as the leader is told.
const (
	resultOK      = "ok"
	resultNotRun  = "not-run"
	resultSick    = "sick"
	resultTimeout = "timeout"
	resultUnsure  = "unsure"
)

type orderKey struct {
	task string
	run  int64
	kind string
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
func (t *Table) accept(current *incarnation, orders []wire.Order, limitMs int64) []wire.Order {
	accepted := orders[:0]
	for _, order := range orders {
		key := keyOf(order)
		given, isUnderWay := current.underWay[key]
		given.fence = current.fence
		if !isUnderWay {
			current.lastBusyAt = t.now()
			given.limitMs = limitMs
			accepted = append(accepted, order)
		}
		current.underWay[key] = given
	}
	return accepted
}

// OrderWork is one order made ready for the executor. ExpiryMs is up to when the run may go on, by the executor's clock.
type OrderWork struct {
	Life     string
	Order    wire.Order
	Fence    uint64
	ExpiryMs int64
}

// Ready is the last check before an executor: incarnation, leader, drain and grant. An order that waited here while the
// pool changed its leader is carried out only if the new one gave it, too.
func (t *Table) Ready(lifeID string, order wire.Order) (OrderWork, bool) {
	current := t.currentIs(lifeID)
	if current == nil {
		if other := t.known(lifeID); other != nil {
			delete(other.underWay, keyOf(order))
		}
		return OrderWork{}, false
	}
	given, isUnderWay := current.underWay[keyOf(order)]
	if isUnderWay && given.fence != current.fence {
		delete(current.underWay, keyOf(order))
		return OrderWork{}, false
	}
	work := OrderWork{Life: lifeID, Order: order, Fence: current.fence, ExpiryMs: current.expiryMs}
	if order.Kind != kindLaunch {
		return work, t.isStopReady(current, order)
	}
	if isUnderWay {
		work.ExpiryMs = min(work.ExpiryMs, given.limitMs)
	}
	return work, t.isStartReady(current, work)
}

// isStopReady drops a stop while the executor answers nothing; the leader gives it again.
func (t *Table) isStopReady(current *incarnation, order wire.Order) bool {
	if t.isUnresponsive(current) {
		delete(current.underWay, keyOf(order))
		return false
	}
	return true
}

// isStartReady tells whether a start may be sent; if not, the leader is told why, or gives it again.
func (t *Table) isStartReady(current *incarnation, work OrderWork) bool {
	switch {
	case current.isDraining:
		t.Carried(work, resultNotRun)
	case t.isUnresponsive(current):
		t.Carried(work, current.resultWhileUnresponsive(work.Order))
	case work.ExpiryMs < current.clock.clockAt(t.now())+startMargin:
		delete(current.underWay, keyOf(work.Order))
	default:
		return true
	}
	return false
}

// Refused notes that nobody listens at the executor's address: the order was certainly not carried out.
func (t *Table) Refused(work OrderWork) {
	if current := t.currentIs(work.Life); current != nil {
		t.noteMisses(current, unresponsiveAfter)
		t.Carried(work, resultSick)
	}
}

// resultWhileUnresponsive leaves a start that may have reached the executor to be sent again, as that is sooner over
// than a stop.
func (i *incarnation) resultWhileUnresponsive(order wire.Order) string {
	if i.isUnsureOf(runOf(order)) {
		return resultTimeout
	}
	return resultSick
}

// isUnsureOf tells whether a start of the run may yet be carried out. A stop that was answered ends the doubt, as the
// executor turns the run away from then on.
func (i *incarnation) isUnsureOf(run runKey) bool { return i.unsure[run] || i.isUnsureOfAll }

// Unanswered notes that an order may yet be carried out.
func (t *Table) Unanswered(work OrderWork) {
	known := t.known(work.Life)
	if known == nil {
		return
	}
	if len(known.unsure) < mostUnsure {
		known.unsure[runOf(work.Order)] = true
	} else {
		known.isUnsureOfAll = true
	}
	t.noteMisses(known, 1)
	t.noteLost(known)
}

// Carried notes an order's answer for the leader.
func (t *Table) Carried(work OrderWork, result string) {
	known := t.known(work.Life)
	if known == nil {
		return
	}
	order, run := work.Order, runOf(work.Order)
	delete(known.underWay, keyOf(order))
	if order.Kind == kindLaunch && known.isUnsureOf(run) && result != resultOK && result != resultTimeout {
		result = resultUnsure
	}
	if result == resultOK {
		delete(known.unsure, run)
	}
	known.answers = append(known.answers, givenAnswer{at: t.now(),
		OrderAnswer: wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result}})
	if order.Kind == kindLaunch && result == resultOK {
		t.onStart()
		return
	}
	t.onWork()
}
