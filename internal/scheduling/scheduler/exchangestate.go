package scheduler

import "gannetline/internal/cluster/peerapi/wire"

// exchangeState holds the facts that a local proxy has reported of an executor. session is the proxy's session, and number the number of its
// last report that the pool has applied.
type exchangeState struct {
	session uint64
	number  uint64
	// facts has only the fields that copyFacts copies.
	facts wire.ExchangeCall
}

// merge returns the call completed with the facts that it left out as unchanged. It returns false if the pool doesn't have the report that
// the call is based on. A call without a session is a full report.
func (e *exchangeState) merge(call *wire.ExchangeCall) (*wire.ExchangeCall, bool) {
	full := *call
	if call.Session == 0 {
		full.Changed = call.Running
		return &full, true
	}
	if !e.acceptBase(call) {
		return &full, false
	}
	if call.Number <= e.number {
		full.Changed = nil
	} else if call.Proxy != "" {
		copyFacts(&e.facts, call)
	}
	e.number = max(e.number, call.Number)
	copyFacts(&full, &e.facts)
	return &full, true
}

// copyFacts copies the facts of an executor from one call to another.
func copyFacts(to, from *wire.ExchangeCall) {
	to.Proxy, to.Domain, to.Labels, to.Capacity, to.Draining, to.Gone = from.Proxy, from.Domain, from.Labels, from.Capacity, from.Draining, from.Gone
}

// acceptBase reports whether the pool has the base of a call. A full report of a later session is accepted, and starts that session here.
func (e *exchangeState) acceptBase(call *wire.ExchangeCall) bool {
	if call.Session == e.session {
		return call.Base <= e.number
	}
	if call.Base > 0 || call.Session < e.session {
		return false
	}
	e.session, e.number = call.Session, 0
	return true
}
