package ordermodel

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
)

// faultyTable is the base of tables with an injected fault.
type faultyTable struct {
	*localproxy.Table
	proxy *modelProxy
}

// renumberingTable sends a start that was not answered again under the next run-id.
type renumberingTable struct {
	faultyTable
	attempts map[string]int64
}

// Ready adds the count of earlier attempts to the run-id of a start.
func (t *renumberingTable) Ready(executorID string, order wire.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(executorID, order)
	if isDue && order.Kind == "launch" {
		work.Order.Run += t.attempts[order.Task]
	}
	return work, isDue
}

// HandleOrderTimeout counts the attempt.
func (t *renumberingTable) HandleOrderTimeout(work localproxy.OrderWork) {
	t.attempts[work.Order.Task]++
	t.Table.HandleOrderTimeout(work)
}

// ungrantedHoldTable extends holds without a grant.
type ungrantedHoldTable struct{ faultyTable }

// NextHold extends the hold by MaxHold beyond the grant.
func (t *ungrantedHoldTable) NextHold(isForList bool) (localproxy.HoldWork, bool) {
	work, isDue := t.Table.NextHold(isForList)
	if work.Hold.ExpiryMs > 0 {
		work.Hold.ExpiryMs += int64(t.proxy.cluster.timing.MaxHold / time.Millisecond)
	}
	return work, isDue
}

// lateGrantTable counts grants from their arrival.
type lateGrantTable struct{ faultyTable }

// HandleAnswer counts a grant from now instead of from the time of the call.
func (t *lateGrantTable) HandleAnswer(call *wire.ExchangeCall, _ time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	return t.Table.HandleAnswer(call, t.proxy.cluster.queue.now(), answer)
}

// unfencedTable carries out the last orders of a former leader under the fence of the new one.
type unfencedTable struct {
	faultyTable
	fence  uint64
	former []wire.Order
}

// formerOrders is how many of the last starts an unfencedTable repeats.
const formerOrders = 8

// HandleAnswer adds the last starts that the former leader ordered to the first orders of a new one.
func (t *unfencedTable) HandleAnswer(call *wire.ExchangeCall, askedAt time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	orders := t.Table.HandleAnswer(call, askedAt, answer)
	if answer.Fence > t.fence {
		t.fence = answer.Fence
		orders = append(orders, t.former...)
	}
	for _, order := range orders {
		if order.Kind == "launch" {
			t.former = append(t.former, order)
		}
	}
	t.former = t.former[max(0, len(t.former)-formerOrders):]
	return orders
}

// unansweredStopTable reports stops without an answer as carried out.
type unansweredStopTable struct{ faultyTable }

// HandleOrderResult reports a stop without an answer as carried out.
func (t *unansweredStopTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "stop" && result == "timeout" {
		result = "ok"
	}
	t.Table.HandleOrderResult(work, result)
}

// unclearStartTable reports starts without an answer as not carried out.
type unclearStartTable struct{ faultyTable }

// HandleOrderTimeout ignores that the start may still be carried out.
func (t *unclearStartTable) HandleOrderTimeout(localproxy.OrderWork) {}

// HandleOrderResult reports a start without an answer as not carried out.
func (t *unclearStartTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "launch" && result == "timeout" {
		result = "not-run"
	}
	t.Table.HandleOrderResult(work, result)
}

// heartbeatHoldTable treats each heartbeat as the answer of the incarnation that it names to a hold.
type heartbeatHoldTable struct{ faultyTable }

// Heartbeat handles the heartbeat also as the answer to a hold.
func (t *heartbeatHoldTable) Heartbeat(id string, heartbeat *executorapi.Heartbeat) (int, string) {
	status, why := t.Table.Heartbeat(id, heartbeat)
	if status == http.StatusOK {
		t.Table.HandleHold(localproxy.HoldWork{Executor: id, BegunAt: t.proxy.cluster.queue.now()}, executorapi.Answer{ClockMs: heartbeat.ClockMs})
	}
	return status, why
}

// wrongCheckpointTable starts each task from the checkpoint of an earlier order.
type wrongCheckpointTable struct {
	faultyTable
	lastCheckpoint string
}

// Ready replaces the checkpoint of a start by the last one that an earlier order had.
func (t *wrongCheckpointTable) Ready(executorID string, order wire.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(executorID, order)
	previous := t.lastCheckpoint
	if work.Order.Checkpoint != "" {
		t.lastCheckpoint = work.Order.Checkpoint
	}
	if previous != "" {
		work.Order.Checkpoint = previous
	}
	return work, isDue
}

// doubledCapacityTable reports twice the CPU capacity of its executor.
type doubledCapacityTable struct{ faultyTable }

// Compose doubles the CPU capacity in the call.
func (t *doubledCapacityTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Capacity.CPU *= 2
	}
	return call, isDue
}

// changedOutcomeTable reports another outcome for runs that ended with one of some outcomes.
type changedOutcomeTable struct {
	faultyTable
	outcomes []wire.RunOutcome
	reported wire.RunOutcome
}

// HandleHold replaces the outcomes in the executor's answer.
func (t *changedOutcomeTable) HandleHold(work localproxy.HoldWork, answer executorapi.Answer) {
	for index := range answer.Ends {
		if slices.Contains(t.outcomes, answer.Ends[index].Outcome) {
			answer.Ends[index].Outcome = t.reported
		}
	}
	t.Table.HandleHold(work, answer)
}

// previousListTable replaces the runs in the answer to each hold by those of the hold before.
type previousListTable struct {
	faultyTable
	running []executorapi.RunningRow
}

// HandleHold replaces the list of runs by that of the hold before.
func (t *previousListTable) HandleHold(work localproxy.HoldWork, answer executorapi.Answer) {
	answer.Running, t.running = t.running, answer.Running
	t.Table.HandleHold(work, answer)
}
