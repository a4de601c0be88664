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
	// followWait is the maximum time that a steward delays its answer until there is a newer list.
	followWait = 3 * time.Second
	// followSlack is the time that a call may take in addition to followWait.
	followSlack = time.Second
	// followPause is the pause after a failed call, or while no steward is known.
	followPause = 200 * time.Millisecond
)

// Handle registers the procedure by which other processes wait for a newer list.
func (h *Holder) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedureExecutors, func(ctx context.Context, call *wire.ExecutorsCall) (*wire.ExecutorsAnswer, error) {
		list := h.WaitForNewer(ctx, call.Held, min(clock.Milliseconds(call.WaitMs), followWait))
		if !call.Held.Below(list.Version) {
			return &wire.ExecutorsAnswer{Version: list.Version}, nil
		}
		return &wire.ExecutorsAnswer{HasList: true, Version: list.Version, Executors: list.Executors}, nil
	})
}

// Follower updates a holder with the lists of stewards.
type Follower struct {
	holder *Holder
	caller *peerapi.Caller
	clock  clock.Clock
	view   func() *membership.View
	// source returns the address of the steward to call, or an empty string if there is none.
	source func(view *membership.View) string
}

// NewFollower creates a follower. Before each call the follower gets the address of the steward from source.
func NewFollower(holder *Holder, caller *peerapi.Caller, clock clock.Clock, view func() *membership.View,
	source func(view *membership.View) string) *Follower {
	return &Follower{holder: holder, caller: caller, clock: clock, view: view, source: source}
}

// Run calls stewards until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address := f.source(f.view())
		if address != "" && f.fetchOnce(ctx, address) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(followPause):
		}
	}
	return nil
}

// fetchOnce waits for a newer list from one steward, and reports whether the steward answered. After an answer with a list it returns once
// the holder has that list, or after followPause at the latest.
func (f *Follower) fetchOnce(ctx context.Context, address string) bool {
	known := f.holder.Current().Version
	answer, err := peerapi.Call[wire.ExecutorsCall, wire.ExecutorsAnswer](ctx, f.caller, address, peerapi.ProcedureExecutors,
		followWait+followSlack, &wire.ExecutorsCall{Held: known, WaitMs: followWait.Milliseconds()})
	if err != nil {
		return false
	}
	if answer.HasList {
		f.holder.Update(answer.Version, answer.Executors)
		f.holder.WaitForNewer(ctx, known, followPause)
	}
	return true
}

// NearSteward returns the address of a random other steward that is alive and serves operators. Stewards in the zone of this process are
// preferred. The address is empty if there is none at all.
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

// LeaderOf returns a source that returns the address of the leader of a key. The address is empty if the leader is unknown or is this
// process.
func LeaderOf(key string) func(view *membership.View) string {
	return func(view *membership.View) string {
		leader, isKnown := view.Steward(view.Leaders[key].Name)
		if !isKnown || membership.Name(leader) == membership.Name(view.Self) {
			return ""
		}
		return leader.Address
	}
}
