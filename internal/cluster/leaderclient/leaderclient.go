// Package leaderclient sends calls to the leader of a key. It finds the leader, follows redirections, and retries until a deadline.
package leaderclient

import (
	"context"
	"math/rand/v2"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// attemptTimeout is the timeout of an attempt at a steward that has not been silent.
	attemptTimeout = 450 * time.Millisecond
	// shortPause is the pause after each of the first quickAttempts attempts, mediumPause that after each of the next quickAttempts, and
	// maxPause that after all later ones.
	shortPause    = 30 * time.Millisecond
	mediumPause   = 120 * time.Millisecond
	maxPause      = 240 * time.Millisecond
	quickAttempts = 3
	// confirmations is the number of answers that must name a silent leader before it is asked again.
	confirmations = 2
)

// Client sends calls to the leaders of keys.
type Client struct {
	caller *peerapi.Caller
	clock  clock.Clock
	view   func() *membership.View
}

// New creates a client. It calls view before each attempt to find the leader.
func New(caller *peerapi.Caller, clock clock.Clock, view func() *membership.View) *Client {
	return &Client{caller: caller, clock: clock, view: view}
}

// Ask sends a call to the leader of its key. If there is no answer within the timeout or before ctx is done, the outcome has none.
func (c *Client) Ask(ctx context.Context, call *wire.ClientCall, timeout time.Duration) Outcome {
	return c.AskWaiting(ctx, call, timeout, 0)
}

// AskWaiting is Ask for a call whose answer the leader may delay by up to the wait. The wait counts towards the timeout.
func (c *Client) AskWaiting(ctx context.Context, call *wire.ClientCall, timeout, wait time.Duration) Outcome {
	attempts := NewAttempts(call.Key, c.clock.Monotonic()+timeout, rand.IntN)
	attempts.AllowWait(wait)
	for {
		view := c.view()
		attempt, isTimeLeft := attempts.Next(view, c.clock.Monotonic())
		if !isTimeLeft || ctx.Err() != nil {
			return attempts.Outcome()
		}
		if attempt.Address != "" && c.attemptOnce(ctx, view, attempts, attempt, call) {
			return attempts.Outcome()
		}
		select {
		case <-ctx.Done():
			return attempts.Outcome()
		case <-view.LeaderMoved:
		case <-c.clock.After(attempts.Pause(c.clock.Monotonic())):
		}
	}
}

// attemptOnce makes one attempt and reports whether its answer is final.
func (c *Client) attemptOnce(ctx context.Context, view *membership.View, attempts *Attempts, attempt Attempt, call *wire.ClientCall) bool {
	answer, err := c.callOnce(ctx, view, attempt, call)
	switch {
	case err == nil:
		return attempts.HandleAnswer(answer)
	case hasLeaderMoved(view):
		attempts.HandleInterruption(peerapi.NeverSent(err))
	default:
		attempts.HandleFailure(peerapi.NeverSent(err))
	}
	return false
}

// hasLeaderMoved reports whether any key has got another leader since the view was published.
func hasLeaderMoved(view *membership.View) bool {
	select {
	case <-view.LeaderMoved:
		return true
	default:
		return false
	}
}

// callOnce calls the steward of an attempt. It cancels the call as soon as any key has another leader than in the view.
func (c *Client) callOnce(ctx context.Context, view *membership.View, attempt Attempt, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	attemptCtx, release := membership.UntilLeaderMoved(ctx, view)
	defer release()
	return peerapi.Call[wire.ClientCall, wire.ClientAnswer](attemptCtx, c.caller, attempt.Address, peerapi.ProcedureClient, attempt.Timeout, call)
}
