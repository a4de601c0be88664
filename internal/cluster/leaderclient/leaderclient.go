// Package leaderclient finds a key's leader and asks it, again and elsewhere until there is no time left.
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
	attemptTimeout       = 450 * time.Millisecond
	pauseAfterRedirect   = 30 * time.Millisecond
	pauseBetweenAttempts = 120 * time.Millisecond
	maxPause             = 240 * time.Millisecond
	quickAttempts        = 3
	// confirmations is how many answers must name a leader that was silent before it is asked again.
	confirmations = 2
)

// Client sends calls to the leaders of keys.
type Client struct {
	caller *peerapi.Caller
	clock  clock.Clock
	view   func() *membership.View
}

// New makes an asker that finds leaders by the view it is given at each try.
func New(caller *peerapi.Caller, clock clock.Clock, view func() *membership.View) *Client {
	return &Client{caller: caller, clock: clock, view: view}
}

// Ask gives an answer of the leader, or none once the limit is over or ctx is done.
func (c *Client) Ask(ctx context.Context, call *wire.ClientCall, limit time.Duration) Outcome {
	return c.AskWaiting(ctx, call, limit, 0)
}

// AskWaiting is Ask for a call whose answer the leader may keep back for a wait, within the limit.
func (c *Client) AskWaiting(ctx context.Context, call *wire.ClientCall, limit, wait time.Duration) Outcome {
	attempts := NewAttempts(call.Key, c.clock.Monotonic()+limit, rand.IntN)
	attempts.AllowWait(wait)
	for {
		view := c.view()
		attempt, isTimeLeft := attempts.Next(view, c.clock.Monotonic())
		if !isTimeLeft || ctx.Err() != nil {
			return attempts.Outcome()
		}
		if attempt.Address != "" && c.tryOnce(ctx, view, attempts, attempt, call) {
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

// tryOnce makes one try and tells whether its answer is the last word.
func (c *Client) tryOnce(ctx context.Context, view *membership.View, attempts *Attempts, attempt Attempt, call *wire.ClientCall) bool {
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

// hasLeaderMoved tells whether any key is heard to have another leader than the view says.
func hasLeaderMoved(view *membership.View) bool {
	select {
	case <-view.LeaderMoved:
		return true
	default:
		return false
	}
}

// callOnce gives up early if the key is heard to have another leader.
func (c *Client) callOnce(ctx context.Context, view *membership.View, attempt Attempt, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	attemptCtx, release := membership.UntilLeaderMoved(ctx, view)
	defer release()
	return peerapi.Call[wire.ClientCall, wire.ClientAnswer](attemptCtx, c.caller, attempt.Address, peerapi.ProcedureClient, attempt.Limit, call)
}
