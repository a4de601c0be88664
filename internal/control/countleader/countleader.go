// Package countleader runs a part of the tenants' count while this steward leads the part's key. It is a state machine without
// goroutines and sockets: controlkeys calls it on the goroutine of the key's engine. What a part decides is package tenantcount.
package countleader

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/tenantcount"
)

// Leadership is what a part needs of the leadership of its key; replication.Leadership is the real one.
type Leadership interface {
	// Epoch is that of the leadership.
	Epoch() uint64
	// Commit makes a change durable on a quorum; done gets an error if the leadership is lost first.
	Commit(ops []wire.Op, done func(error))
	// HasLease tells whether no other process can lead the key now.
	HasLease() bool
}

// Policy is what the configuration in force says: its version, and what tenants may have running.
type Policy struct {
	Version int64
	Limits  tenantcount.Limits
}

// Leader decides on the calls of pools.
type Leader struct {
	key    string
	clock  clock.Clock
	log    logging.Logger
	policy func() Policy
	// leadership and part are nil while the key is led elsewhere.
	leadership Leadership
	part       *tenantcount.Part
}

// New makes a leader without a leadership; policy gives the configuration in force at each call.
func New(key string, clock clock.Clock, log logging.Logger, policy func() Policy) *Leader {
	return &Leader{key: key, clock: clock, log: log, policy: policy}
}

// Open takes over the key with what is committed of it; an error names the record that can't be read.
func (l *Leader) Open(leadership Leadership, pairs []wire.Op) error {
	part, err := tenantcount.NewPart(pairs, l.clock.Monotonic())
	if err != nil {
		return err
	}
	l.leadership, l.part = leadership, part
	l.log.Info("tenant count taken over", "key", l.key, "epoch", leadership.Epoch(), "grants", len(pairs))
	return nil
}

// Close gives up the key; calls whose changes are not committed fail by their commits.
func (l *Leader) Close() { l.leadership, l.part = nil, nil }

// IsOpen tells whether the key is led here.
func (l *Leader) IsOpen() bool { return l.part != nil }

// Grant decides on a pool's call and answers once that is committed. Calls that come while a change is being synced share the next
// one. An answer after the leadership has ended tells the pool nothing, and it asks again.
func (l *Leader) Grant(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	var asked wire.GrantCall
	if err := easyjson.Unmarshal(call.Body, &asked); err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: "the call can't be read"})
		return
	}
	policy := l.policy()
	given, ops, err := l.part.HandleCall(&asked, policy.Limits, l.clock.Monotonic())
	if errors.Is(err, tenantcount.ErrStale) {
		answer(wire.ClientAnswer{Status: http.StatusConflict, Reason: err.Error()})
		return
	}
	given.Version = policy.Version
	grantCalls.With(l.key).Inc()
	if len(ops) == 0 {
		l.answerUnderLease(&given, answer)
		return
	}
	grantChanges.With(l.key).Add(len(ops))
	l.leadership.Commit(ops, func(err error) {
		if err != nil {
			answer(wire.ClientAnswer{NotLeader: true})
			return
		}
		l.answerUnderLease(&given, answer)
	})
}

// answerUnderLease gives an answer that is only true while no other process leads the key.
func (l *Leader) answerUnderLease(given easyjson.Marshaler, answer func(wire.ClientAnswer)) {
	body, err := easyjson.Marshal(given)
	if err != nil {
		l.log.Error(err, "answer not written", "key", l.key)
		answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"})
		return
	}
	if l.leadership == nil || !l.leadership.HasLease() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	answer(wire.ClientAnswer{Status: http.StatusOK, Body: body})
}

// Tenants answers an operator with the limits and grants of the part's tenants.
func (l *Leader) Tenants(_ *wire.ClientCall, answer func(wire.ClientAnswer)) {
	policy := l.policy()
	l.answerUnderLease(&wire.TenantCountReport{Key: l.key, Version: policy.Version, Tenants: l.part.Report(policy.Limits)}, answer)
}
