package executorlist

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// followWait is how long a steward may hold a call until there is a newer list.
	followWait = 3 * time.Second
	// followSlack is how much longer the answer may take.
	followSlack = time.Second
	// followPause lies between two calls of which the first failed.
	followPause = 200 * time.Millisecond
)

// Handle serves the list to other processes.
func (h *Holder) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedureExecutors, func(ctx context.Context, call *wire.ExecutorsCall) (*wire.ExecutorsAnswer, error) {
		list := h.After(ctx, call.Held, min(clock.Milliseconds(call.WaitMs), followWait))
		if !call.Held.Below(list.Version) {
			return &wire.ExecutorsAnswer{Version: list.Version}, nil
		}
		return &wire.ExecutorsAnswer{HasList: true, Version: list.Version, Executors: list.Executors}, nil
	})
}

// Follower waits at stewards for newer lists.
type Follower struct {
	holder *Holder
	caller *peerapi.Caller
	clock  clock.Clock
	view   func() *membership.View
	// source chooses the steward that is asked; it is empty if none is known.
	source func(view *membership.View) string
}

// NewFollower makes a follower that asks the stewards which source chooses.
func NewFollower(holder *Holder, caller *peerapi.Caller, clock clock.Clock, view func() *membership.View,
	source func(view *membership.View) string) *Follower {
	return &Follower{holder: holder, caller: caller, clock: clock, view: view, source: source}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := f.source(f.view())
		if address != "" && f.askOnce(ctx, address) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(followPause):
		}
	}
	return nil
}

// askOnce waits at one steward, and tells whether it answered.
func (f *Follower) askOnce(ctx context.Context, address string) bool {
	known := f.holder.Current().Version
	answer, err := peerapi.Call[wire.ExecutorsCall, wire.ExecutorsAnswer](ctx, f.caller, address, peerapi.ProcedureExecutors,
		followWait+followSlack, &wire.ExecutorsCall{Held: known, WaitMs: followWait.Milliseconds()})
	if err != nil {
		return false
	}
	if answer.HasList {
		f.holder.Update(answer.Version, answer.Executors)
		f.holder.After(ctx, known, followPause)
	}
	return true
}

// NearSteward chooses a live steward that serves operators, in the own zone if there is one.
func NearSteward(view *membership.View) string {
	var near, all []string
	for _, steward := range view.Stewards {
		if steward.State != wire.StateAlive || steward.Control == "" || membership.Name(steward) == membership.Name(view.Self) {
			continue
		}
		all = append(all, steward.Address)
		if steward.Domain == view.Self.Domain {
			near = append(near, steward.Address)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return all[rand.IntN(len(all))]
}

// LeaderOf chooses the leader of a key, unless that is this process.
func LeaderOf(key string) func(view *membership.View) string {
	return func(view *membership.View) string {
		leader, isKnown := view.Steward(view.Leaders[key].Name)
		if !isKnown || membership.Name(leader) == membership.Name(view.Self) {
			return ""
		}
		return leader.Address
	}
}
