package scheduler

import "gannetline/internal/cluster/peerapi/wire"

// exchangeState is what a local-proxy has reported of an executor, up to a number of its session.
type exchangeState struct {
	session uint64
	number  uint64
	facts   wire.ExchangeCall
}

// merge gives the call with all that it left out put back; it is false where the base is not known here.
func (h *exchangeState) merge(call *wire.ExchangeCall) (*wire.ExchangeCall, bool) {
	full := *call
	if call.Session == 0 {
		full.Changed = call.Running
		return &full, true
	}
	if !h.follows(call) {
		return &full, false
	}
	if call.Number <= h.number {
		full.Changed = nil
	} else if call.Proxy != "" {
		putFacts(&h.facts, call)
	}
	h.number = max(h.number, call.Number)
	putFacts(&full, &h.facts)
	return &full, true
}

func putFacts(to, from *wire.ExchangeCall) {
	to.Proxy, to.Domain, to.Labels, to.Capacity, to.Draining, to.Gone = from.Proxy, from.Domain, from.Labels, from.Capacity, from.Draining, from.Gone
}

// follows begins a later session with a full report.
func (h *exchangeState) follows(call *wire.ExchangeCall) bool {
	if call.Session == h.session {
		return call.Base <= h.number
	}
	if call.Base > 0 || call.Session < h.session {
		return false
	}
	h.session, h.number = call.Session, 0
	return true
}
