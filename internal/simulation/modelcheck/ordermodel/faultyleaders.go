package ordermodel

import (
	"bytes"

	"gannetline/internal/cluster/peerapi/wire"
)

// cancelDroppingLeadership doesn't commit that jobs are cancelled, so that the next leader continues these jobs.
type cancelDroppingLeadership struct{ *leadership }

// Commit leaves out the records that jobs are cancelled, and the deletion of the records of these jobs.
func (t cancelDroppingLeadership) Commit(ops []wire.Op, done func(error)) {
	var kept []wire.Op
	for _, op := range ops {
		isEnd := op.Name[0] == 's' && bytes.Contains(op.Value, []byte(`"cancelled"`))
		if isEnd {
			t.key.cluster.retainedRecords["j/"+op.Name[2:]] = true
		}
		isDeletion := len(op.Value) == 0 && t.key.cluster.retainedRecords[op.Name]
		if !isEnd && !isDeletion {
			kept = append(kept, op)
		}
	}
	t.leadership.Commit(kept, done)
}

// earlyAckLeadership acknowledges changes before they are durable.
type earlyAckLeadership struct{ *leadership }

// Commit reports success before the change is durable.
func (t earlyAckLeadership) Commit(ops []wire.Op, done func(error)) {
	t.leadership.Commit(ops, func(error) {})
	t.steward.later(0, func() {
		done(nil)
		t.steward.flushPool()
	})
}

// leaselessLeadership reports that it has a lease for as long as it is open.
type leaselessLeadership struct{ *leadership }

// HasLease reports true until the leadership is closed, also without a lease.
func (t leaselessLeadership) HasLease() bool { return t.isOpen }

// minorityLeadership continues as leader while its steward reaches no majority of the stewards.
type minorityLeadership struct{ *leadership }

// HasLease reports true until the leadership is closed, also without a lease.
func (t minorityLeadership) HasLease() bool { return t.isOpen }

// Commit acknowledges a change at once, without proposing it, while no majority can be reached.
func (t minorityLeadership) Commit(ops []wire.Op, done func(error)) {
	if t.isOpen && !t.key.hasMajority(t.steward) {
		done(nil)
		return
	}
	t.leadership.Commit(ops, done)
}

// earlyAckPool acknowledges the ends of a call before they are committed.
type earlyAckPool struct{ poolLeader }

// Exchange acknowledges all ends of the call, both in the pool's answer and, if there are ends, in an answer without orders at once.
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
