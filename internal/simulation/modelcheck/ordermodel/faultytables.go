package ordermodel

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
)

// faultyTable is embedded in the tables with an injected fault; they replace some of its methods.
type faultyTable struct {
	*localproxy.Table
	proxy *modelProxy
}

// renumberingTable sends a start under the next run-id when it sends it again for lack of an answer. unanswered counts the orders
// that were not answered, by task.
type renumberingTable struct {
	faultyTable
	unanswered map[string]int64
}

// Ready adds the number of the task's unanswered orders to the run-id of a start.
func (t *renumberingTable) Ready(executorID string, order wire.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(executorID, order)
	if isDue && order.Kind == "launch" {
		work.Order.Run += t.unanswered[order.Task]
	}
	return work, isDue
}

// HandleOrderTimeout counts an order that was not answered.
func (t *renumberingTable) HandleOrderTimeout(work localproxy.OrderWork) {
	t.unanswered[work.Order.Task]++
	t.Table.HandleOrderTimeout(work)
}

// ungrantedHoldTable extends the executor's lease beyond the leader's grant.
type ungrantedHoldTable struct{ faultyTable }

// NextHold adds MaxHold to the expiry of a hold that extends the lease.
func (t *ungrantedHoldTable) NextHold(isForList bool) (localproxy.HoldWork, bool) {
	work, isDue := t.Table.NextHold(isForList)
	if work.Hold.ExpiryMs > 0 {
		work.Hold.ExpiryMs += int64(t.proxy.cluster.timing.MaxHold / time.Millisecond)
	}
	return work, isDue
}

// lateGrantTable counts a grant from its arrival instead of from the call that asked for it.
type lateGrantTable struct{ faultyTable }

// HandleAnswer passes on the present time as the time of the call.
func (t *lateGrantTable) HandleAnswer(call *wire.ExchangeCall, _ time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	return t.Table.HandleAnswer(call, t.proxy.cluster.queue.now(), answer)
}

// unfencedTable carries out the last starts that a former leader ordered under the fence of the new leader. former holds the last
// starts that were ordered, and fence the highest fence so far.
type unfencedTable struct {
	faultyTable
	fence  uint64
	former []wire.Order
}

// formerOrders is the number of starts that an unfencedTable repeats at most.
const formerOrders = 8

// HandleAnswer adds the last starts that the former leader ordered to the first orders of a new leader.
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

// unansweredStopTable reports a stop that was not answered as carried out.
type unansweredStopTable struct{ faultyTable }

// HandleOrderResult replaces the result of a stop that was not answered.
func (t *unansweredStopTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "stop" && result == "timeout" {
		result = "ok"
	}
	t.Table.HandleOrderResult(work, result)
}

// unclearStartTable reports a start that was not answered as certainly not carried out.
type unclearStartTable struct{ faultyTable }

// HandleOrderTimeout ignores that an order without an answer may still be carried out.
func (t *unclearStartTable) HandleOrderTimeout(localproxy.OrderWork) {}

// HandleOrderResult replaces the result of a start that was not answered.
func (t *unclearStartTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "launch" && result == "timeout" {
		result = "not-run"
	}
	t.Table.HandleOrderResult(work, result)
}

// heartbeatHoldTable treats each accepted heartbeat also as an answer to a hold, from the incarnation that the heartbeat names.
type heartbeatHoldTable struct{ faultyTable }

// Heartbeat handles an accepted heartbeat also as the answer to a hold.
func (t *heartbeatHoldTable) Heartbeat(id string, heartbeat *executorapi.Heartbeat) (int, string) {
	status, why := t.Table.Heartbeat(id, heartbeat)
	if status == http.StatusOK {
		t.Table.HandleHold(localproxy.HoldWork{Executor: id, BegunAt: t.proxy.cluster.queue.now()}, executorapi.Answer{ClockMs: heartbeat.ClockMs})
	}
	return status, why
}

// wrongCheckpointTable starts tasks from checkpoints of earlier orders, which may be for other tasks.
type wrongCheckpointTable struct {
	faultyTable
	lastCheckpoint string
}

// Ready replaces the checkpoint of an order by the last checkpoint of an earlier order, if there was one.
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

// doubledCapacityTable reports twice the CPU capacity that its executor has.
type doubledCapacityTable struct{ faultyTable }

// Compose doubles the CPU capacity in the call.
func (t *doubledCapacityTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Capacity.CPU *= 2
	}
	return call, isDue
}

// changedOutcomeTable reports runs that ended with certain outcomes as ended with another outcome.
type changedOutcomeTable struct {
	faultyTable
	// outcomes are the outcomes that are replaced by reported.
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

// previousListTable reports after each hold the list of runs from the answer to the hold before.
type previousListTable struct {
	faultyTable
	// running is the list of runs in the last answer.
	running []executorapi.RunningRow
}

// HandleHold replaces the list of runs in an answer by the list in the answer before.
func (t *previousListTable) HandleHold(work localproxy.HoldWork, answer executorapi.Answer) {
	answer.Running, t.running = t.running, answer.Running
	t.Table.HandleHold(work, answer)
}
