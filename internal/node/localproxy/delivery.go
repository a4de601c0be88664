package localproxy

import (
	"context"
	stderrors "errors"
	"net/http"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
)

// nextOrder is the result of Table.Ready.
type nextOrder struct {
	work  OrderWork
	isDue bool
}

// deliverOrder sends one order to the executor and retries it if it is not answered, with maxOrderAttempts attempts in total. A
// launch order whose connection was refused is not retried.
func (p *Proxy) deliverOrder(ctx context.Context, executor string, order wire.Order) {
	p.orderSlots <- struct{}{}
	defer func() { <-p.orderSlots }()
	for attempt := range maxOrderAttempts {
		next, isOpen := ask(ctx, p, func() nextOrder {
			work, isDue := p.table.Ready(executor, order)
			return nextOrder{work, isDue}
		})
		if !isOpen || !next.isDue {
			return
		}
		status, answer, err := p.send(ctx, next.work)
		if err == nil {
			result := ResultOf(status, answer.Reason)
			p.mailbox.Post(func() {
				p.table.ReadClock(executor, answer.ClockMs)
				p.table.HandleOrderResult(next.work, result)
			})
			return
		}
		if order.Kind == wire.OrderLaunch && isRefused(err) {
			p.mailbox.Post(func() { p.table.HandleOrderRefusal(next.work) })
			return
		}
		isLast := attempt == maxOrderAttempts-1
		p.mailbox.Post(func() {
			if !isRefused(err) {
				p.table.HandleOrderTimeout(next.work)
			}
			if isLast {
				p.table.HandleOrderResult(next.work, wire.ResultTimeout)
			}
		})
	}
}

// isRefused reports whether no connection to the executor could be made, for a reason other than a timeout.
func isRefused(err error) bool {
	var timeout interface{ Timeout() bool }
	return peerapi.NeverSent(err) && !(stderrors.As(err, &timeout) && timeout.Timeout())
}

// send sends a launch or stop order to the executor.
func (p *Proxy) send(ctx context.Context, work OrderWork) (int, executorapi.Answer, error) {
	order := work.Order
	if order.Kind == wire.OrderLaunch {
		return p.executor.Call(ctx, "/v1/run-start", work.Executor, orderTimeout, executorapi.RunStart{Task: order.Task, Run: order.Run,
			Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs, Fence: work.Fence, Checkpoint: order.Checkpoint})
	}
	return p.executor.Call(ctx, "/v1/run-stop", work.Executor, orderTimeout,
		executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence})
}

// ResultOf returns the result of an order for the status and the reason in the executor's answer.
func ResultOf(status int, reason string) wire.OrderResult {
	switch {
	case status == http.StatusOK:
		return wire.ResultOK
	case status == http.StatusConflict && reason == "room":
		return wire.ResultNoCapacity
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return wire.ResultUnhealthy
	case status == http.StatusBadRequest || status == http.StatusMisdirectedRequest:
		return wire.ResultNotRun
	}
	return wire.ResultUncertain
}
