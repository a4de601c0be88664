package scheduler

import "gannetline/internal/cluster/peerapi/wire"

// heard is what a local-proxy has told of an executor, up to a number of its session.
type heard struct {
	session uint64
	held    uint64
	facts   wire.ExchangeCall
}

// take gives the call with all that it left out put back; it is false where the base is not known here.
func (h *heard) take(call *wire.ExchangeCall) (*wire.ExchangeCall, bool) {
	whole := *call
	if call.Session == 0 {
		whole.Changed = call.Running
		return &whole, true
	}
	if !h.follows(call) {
		return &whole, false
	}
	if call.Number <= h.held {
		whole.Changed = nil
	} else if call.Proxy != "" {
		putFacts(&h.facts, call)
	}
	h.held = max(h.held, call.Number)
	putFacts(&whole, &h.facts)
	return &whole, true
}

func putFacts(to, from *wire.ExchangeCall) {
	to.Proxy, to.Domain, to.Labels, to.Capacity, to.Draining, to.Gone = from.Proxy, from.Domain, from.Labels, from.Capacity, from.Draining, from.Gone
}

// follows begins a later session with its whole.
func (h *heard) follows(call *wire.ExchangeCall) bool {
	if call.Session == h.session {
		return call.Base <= h.held
	}
	if call.Base > 0 || call.Session < h.session {
		return false
	}
	h.session, h.held = call.Session, 0
	return true
}
