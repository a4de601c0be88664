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
	perTry       = 450 * time.Millisecond
	pauseShort   = 30 * time.Millisecond
	pauseLong    = 120 * time.Millisecond
	pauseLongest = 240 * time.Millisecond
	quickTries   = 3
	// confirmations is how many answers must name a leader that was silent before it is asked again.
	confirmations = 2
)

// Asker sends calls to the leaders of keys.
type Asker struct {
	caller *peerapi.Caller
	clock  clock.Clock
	view   func() *membership.View
}

// New makes an asker that finds leaders by the view it is given at each try.
func New(caller *peerapi.Caller, clock clock.Clock, view func() *membership.View) *Asker {
	return &Asker{caller: caller, clock: clock, view: view}
}

// Ask gives an answer of the leader, or none once the limit is over or ctx is done.
func (a *Asker) Ask(ctx context.Context, call *wire.ClientCall, limit time.Duration) Outcome {
	attempts := NewAttempts(call.Key, a.clock.Monotonic()+limit, rand.IntN)
	for {
		view := a.view()
		try, isLeft := attempts.Next(view, a.clock.Monotonic())
		if !isLeft || ctx.Err() != nil {
			return attempts.Outcome()
		}
		if try.Address != "" && a.send(ctx, view, attempts, try, call) {
			return attempts.Outcome()
		}
		select {
		case <-ctx.Done():
			return attempts.Outcome()
		case <-view.Moved:
		case <-a.clock.After(attempts.Pause(a.clock.Monotonic())):
		}
	}
}

// send makes one try and tells whether its answer is the last word.
func (a *Asker) send(ctx context.Context, view *membership.View, attempts *Attempts, try Try, call *wire.ClientCall) bool {
	answer, err := a.askOnce(ctx, view, try, call)
	switch {
	case err == nil:
		return attempts.Answered(answer)
	case hasMoved(view):
		attempts.Interrupted(peerapi.NeverSent(err))
	default:
		attempts.Failed(peerapi.NeverSent(err))
	}
	return false
}

// hasMoved tells whether any key is heard to have another leader than the view says.
func hasMoved(view *membership.View) bool {
	select {
	case <-view.Moved:
		return true
	default:
		return false
	}
}

// askOnce gives up early if the key is heard to have another leader.
func (a *Asker) askOnce(ctx context.Context, view *membership.View, try Try, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	patience, release := membership.UntilMoved(ctx, view)
	defer release()
	return peerapi.Call[wire.ClientCall, wire.ClientAnswer](a.caller, patience, try.Address, peerapi.ProcedureClient, try.Limit, call)
}
