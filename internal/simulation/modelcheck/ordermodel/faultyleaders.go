package ordermodel

import (
	"bytes"

	"gannetline/internal/cluster/peerapi/wire"
)

// forgetfulLeadership leaves out the end of cancelled jobs from what it commits, so that the next leader goes on with them.
type cancelDroppingLeadership struct{ *leadership }

// Commit leaves out the ends of cancelled jobs.
func (t cancelDroppingLeadership) Commit(ops []wire.Op, done func(error)) {
	var kept []wire.Op
	for _, op := range ops {
		isEnd := op.Name[0] == 's' && bytes.Contains(op.Value, []byte(`"cancelled"`))
		if isEnd {
			t.key.cluster.forgotten["j/"+op.Name[2:]] = true
		}
		isForgetting := len(op.Value) == 0 && t.key.cluster.forgotten[op.Name]
		if !isEnd && !isForgetting {
			kept = append(kept, op)
		}
	}
	t.leadership.Commit(kept, done)
}

type earlyAckLeadership struct{ *leadership }

// Commit reports success before the change is durable.
func (t earlyAckLeadership) Commit(ops []wire.Op, done func(error)) {
	t.leadership.Commit(ops, func(error) {})
	t.steward.later(0, func() {
		done(nil)
		t.steward.flushPool()
	})
}

type leaselessLeadership struct{ *leadership }

// HasLease is true for as long as the leader believes in itself.
func (t leaselessLeadership) HasLease() bool { return t.isOpen }

// splitLeadership goes on in a half of the core that has no quorum.
type minorityLeadership struct{ *leadership }

// HasLease is true for as long as the leader believes in itself.
func (t minorityLeadership) HasLease() bool { return t.isOpen }

// Commit says that a change is committed though no quorum can be reached.
func (t minorityLeadership) Commit(ops []wire.Op, done func(error)) {
	if t.isOpen && !t.key.hasMajority(t.steward) {
		done(nil)
		return
	}
	t.leadership.Commit(ops, done)
}

// hastyScheduler acknowledges whatever ends a call brings.
type earlyAckPool struct{ poolLeader }

// Exchange acknowledges all ends of the call at once.
func (s earlyAckPool) Exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer)) {
	seen := int64(0)
	if len(call.Ends) > 0 {
		seen = call.Ends[len(call.Ends)-1].Number
	}
	s.poolLeader.Exchange(call, func(response wire.ExchangeAnswer) {
		if response.Fence > 0 && !response.NotLeader {
			response.LastSeen = max(response.LastSeen, seen)
		}
		answer(response)
	})
	if seen > 0 {
		answer(wire.ExchangeAnswer{Fence: call.Fence, LastSeen: seen, HeldNumber: call.Base})
	}
}
