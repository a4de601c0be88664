package localproxy

import (
	"context"
	"slices"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// pollLoop keeps one exchange open at the leader, which answers when there are orders or the wait is over.
func (p *Proxy) pollLoop(ctx context.Context) {
	for {
		if !p.exchange(ctx, pollWaitMs) && !p.pause(ctx, leaderRetryDelay) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// reportLoop sends reports that can't wait for the next poll. The report of a started run is delayed a little, so that the starts
// of a gang share one exchange. A failed report is retried after leaderRetryDelay.
func (p *Proxy) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reportDue:
		case <-p.runStarted:
			if !p.waitForMore(ctx) {
				continue
			}
		}
		if !p.exchange(ctx, 0) {
			if !p.pause(ctx, leaderRetryDelay) {
				return
			}
			signal(p.reportDue)
		}
	}
}

// waitForMore delays the report of a started run, so that it shares an exchange with later changes. It reports whether an exchange
// is still due.
func (p *Proxy) waitForMore(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.reportDue:
		return true
	case <-p.clock.After(startReportDelay):
	}
	hasUnsent, _ := ask(ctx, p, p.table.HasUnsent)
	return hasUnsent
}

// exchange makes one exchange with the leader and reports whether the leader answered. Without an executor it makes no exchange, pauses for
// retryDelay if waitMs is set, and returns true.
func (p *Proxy) exchange(ctx context.Context, waitMs int64) bool {
	call, isOpen := ask(ctx, p, func() *wire.ExchangeCall {
		call, _ := p.table.Compose(waitMs)
		return call
	})
	if !isOpen {
		return false
	}
	if call == nil {
		if waitMs > 0 {
			p.pause(ctx, retryDelay)
		}
		return true
	}
	view := p.view()
	leader := leaderAddress(view, call.Key)
	if leader == "" {
		return false
	}
	askedAt := p.clock.Monotonic()
	callCtx, release := membership.UntilLeaderMoved(ctx, view)
	defer release()
	answer, err := peerapi.Call[wire.ExchangeCall, wire.ExchangeAnswer](callCtx, p.caller, leader,
		peerapi.ProcedureExchange, clock.Milliseconds(call.WaitMs)+exchangeTimeout, call)
	if err != nil {
		p.log.V(1).Info("exchange failed", "reason", err.Error())
		return false
	}
	if answer.NotLeader {
		return false
	}
	if answer.Fence == 0 {
		// A pool that removes the executor while a call waits there sends an empty answer.
		return true
	}
	orders, _ := ask(ctx, p, func() []wire.Order { return p.table.HandleAnswer(call, askedAt, answer) })
	for _, order := range orders {
		go p.deliverOrder(ctx, call.Executor, order)
	}
	return true
}

// leaderAddress returns the address of a key's leader. If the leader is unknown, it returns the address of a steward that may lead; that
// steward names the leader in its answer or campaigns itself. The address is empty if there is no such steward.
func leaderAddress(view *membership.View, key string) string {
	if leader, isKnown := view.Steward(view.Leaders[key].Name); isKnown {
		return leader.Address
	}
	for _, steward := range slices.Backward(view.Stewards) {
		if steward.MayLead() {
			return steward.Address
		}
	}
	return ""
}
