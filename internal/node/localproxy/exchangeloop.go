package localproxy

import (
	"context"
	"slices"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// pollLoop keeps one exchange open at the leader, which answers it when there are orders.
func (p *Proxy) pollLoop(ctx context.Context) {
	for {
		if !p.exchange(ctx, pollWaitMs) && !p.pause(ctx, leaderPause) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// reportLoop reports at once what can't wait for the next poll; starts are gathered for a moment, so that a gang's go
// in one exchange. A report that failed is sent again after a pause.
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
			if !p.pause(ctx, leaderPause) {
				return
			}
			signal(p.reportDue)
		}
	}
}

// waitForMore lets changes that can wait share the report of what follows; it tells whether a report is due.
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

// exchange talks to the leader once; it tells whether the leader answered.
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
			p.pause(ctx, failedPause)
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
		return true
	}
	orders, _ := ask(ctx, p, func() []wire.Order { return p.table.HandleAnswer(call, askedAt, answer) })
	for _, order := range orders {
		go p.deliverOrder(ctx, call.Executor, order)
	}
	return true
}

// leaderAddress returns where the leader of a key is reached. While none is known, any steward that may lead is asked,
// as it tells who leads or stands for election itself; it is empty when there is none.
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
