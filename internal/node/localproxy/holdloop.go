package localproxy

import (
	"context"
	"net/http"
	"time"
)

// nextHold is the result of Table.NextHold.
type nextHold struct {
	work  HoldWork
	isDue bool
}

// nextHold gets the next hold from the table; isOpen is false once the proxy shuts down.
func (p *Proxy) nextHold(ctx context.Context, isForList bool) (next nextHold, isOpen bool) {
	return ask(ctx, p, func() nextHold {
		work, isDue := p.table.NextHold(isForList)
		return nextHold{work, isDue}
	})
}

// holdLoop sends holds, which renew the lease of the executor's runs and acknowledge ends. After a failed hold with the short wait,
// PauseAfterMiss gives the pause. After any other failed hold, or if no hold is due, it waits for retryDelay or until a hold is due at once.
func (p *Proxy) holdLoop(ctx context.Context) {
	for {
		next, isOpen := p.nextHold(ctx, false)
		if !isOpen {
			return
		}
		startedAt := p.clock.Monotonic()
		if next.isDue && p.hold(ctx, next.work) {
			p.pause(ctx, holdPause)
			continue
		}
		if next.isDue && next.work.Hold.WaitMs == shortWaitMs {
			p.pause(ctx, PauseAfterMiss(p.clock.Monotonic()-startedAt))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.ackDue:
		case <-p.clock.After(retryDelay):
		}
	}
}

// PauseAfterMiss returns the pause after a failed hold that took the given time. It is longer if the connection was refused or closed at
// once, as each attempt then opens a new connection.
func PauseAfterMiss(took time.Duration) time.Duration {
	return max(holdPause, failedHoldInterval-took)
}

// listLoop sends a hold at once when the leader wants a complete list of runs. That hold renews the lease as well.
func (p *Proxy) listLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.listDue:
		}
		next, isOpen := p.nextHold(ctx, true)
		if !isOpen {
			return
		}
		if next.isDue && !p.hold(ctx, next.work) {
			if !p.pause(ctx, retryDelay) {
				return
			}
			signal(p.listDue)
		}
	}
}

// hold sends a hold to the executor, gives the result to the table, and reports whether the lease was renewed.
func (p *Proxy) hold(ctx context.Context, work HoldWork) bool {
	timeout := HoldTimeout(work.Hold)
	status, answer, err := p.executor.Call(ctx, "/v1/hold", work.Executor, timeout, work.Hold)
	hasRenewed := err == nil && status == http.StatusOK
	p.mailbox.Post(func() {
		if hasRenewed {
			p.table.HandleHold(work, answer)
			return
		}
		p.table.HandleHoldFailure(work, err == nil && status == http.StatusMisdirectedRequest)
	})
	if !hasRenewed {
		p.log.V(1).Info("lease renewal failed", "executor", work.Executor, "status", status, "reason", errorText(err))
	}
	return hasRenewed
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
