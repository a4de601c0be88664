package ordermodel

import (
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
)

type faultyTable struct {
	*localproxy.Table
	proxy *modelProxy
}

type renumberingTable struct {
	faultyTable
	attempts map[string]int64
}

// Ready gives a start that was tried before the next run-id.
func (t *renumberingTable) Ready(executorID string, order wire.Order) (localproxy.OrderWork, bool) {
	work, isDue := t.Table.Ready(executorID, order)
	if isDue && order.Kind == "launch" {
		work.Order.Run += t.attempts[order.Task]
	}
	return work, isDue
}

// HandleOrderTimeout counts the try.
func (t *renumberingTable) HandleOrderTimeout(work localproxy.OrderWork) {
	t.attempts[work.Order.Task]++
	t.Table.HandleOrderTimeout(work)
}

type ungrantedHoldTable struct{ faultyTable }

// NextHold extends the hold further than was granted.
func (t *ungrantedHoldTable) NextHold(isForList bool) (localproxy.HoldWork, bool) {
	work, isDue := t.Table.NextHold(isForList)
	if work.Hold.ExpiryMs > 0 {
		work.Hold.ExpiryMs += int64(t.proxy.cluster.timing.MaxHold / time.Millisecond)
	}
	return work, isDue
}

type lateGrantTable struct{ faultyTable }

// HandleAnswer counts a grant from now.
func (t *lateGrantTable) HandleAnswer(call *wire.ExchangeCall, _ time.Duration, answer *wire.ExchangeAnswer) []wire.Order {
	return t.Table.HandleAnswer(call, t.proxy.cluster.queue.now(), answer)
}

// unfencedTable carries out, under the fence of a new leader, what the former one ordered last.
type unfencedTable struct {
	faultyTable
	fence  uint64
	former []wire.Order
}

const formerOrders = 8

// HandleAnswer adds the orders of the former leader to the first of a new one.
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

type unansweredStopTable struct{ faultyTable }

// HandleOrderResult reports a stop without an answer as done.
func (t *unansweredStopTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "stop" && result == "timeout" {
		result = "ok"
	}
	t.Table.HandleOrderResult(work, result)
}

type unclearStartTable struct{ faultyTable }

// HandleOrderTimeout forgets that the start may yet be carried out.
func (t *unclearStartTable) HandleOrderTimeout(localproxy.OrderWork) {}

// HandleOrderResult reports a start without an answer as not carried out.
func (t *unclearStartTable) HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult) {
	if work.Order.Kind == "launch" && result == "timeout" {
		result = "not-run"
	}
	t.Table.HandleOrderResult(work, result)
}

// trustingTable takes each heartbeat for an answer of the life that it names.
type heartbeatHoldTable struct{ faultyTable }

// Heartbeat takes the heartbeat for the answer to a hold.
func (t *heartbeatHoldTable) Heartbeat(id string, heartbeat *executorapi.Heartbeat) (int, string) {
	status, why := t.Table.Heartbeat(id, heartbeat)
	if status == http.StatusOK {
		t.Table.HandleHold(localproxy.HoldWork{Executor: id, BegunAt: t.proxy.cluster.queue.now()}, executorapi.Answer{ClockMs: heartbeat.ClockMs})
	}
	return status, why
}

// mixingTable starts each task from the checkpoint that came last.
type wrongCheckpointTable struct {
	faultyTable
	lastCheckpoint string
}

// Ready puts the checkpoint of the order before into a start.
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

type doubledCapacityTable struct{ faultyTable }

// Compose doubles the room.
func (t *doubledCapacityTable) Compose(waitMs int64) (*wire.ExchangeCall, bool) {
	call, isDue := t.Table.Compose(waitMs)
	if isDue {
		call.Capacity.CPU *= 2
	}
	return call, isDue
}

// lyingTable tells of runs that ended in some ways that they ended in another.
type changedOutcomeTable struct {
	faultyTable
	outcomes []wire.RunOutcome
	reported wire.RunOutcome
}

// HandleHold changes how runs ended.
func (t *changedOutcomeTable) HandleHold(work localproxy.HoldWork, answer executorapi.Answer) {
	for index := range answer.Ends {
		if slices.Contains(t.outcomes, answer.Ends[index].Outcome) {
			answer.Ends[index].Outcome = t.reported
		}
	}
	t.Table.HandleHold(work, answer)
}

// oldListTable answers a hold with the list that the hold before it brought.
type previousListTable struct {
	faultyTable
	running []executorapi.RunningRow
}

// HandleHold replaces the list of runs by the one before.
func (t *previousListTable) HandleHold(work localproxy.HoldWork, answer executorapi.Answer) {
	answer.Running, t.running = t.running, answer.Running
	t.Table.HandleHold(work, answer)
}
