// Package countleader serves a partition of the tenant count while this steward leads the partition's key. It is a state machine without
// goroutines or sockets: package controlkeys calls it on the goroutine of the key's replication engine. Package tenantcount makes the
// decisions.
package countleader

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/commitqueue"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/tenantcount"
)

// Leadership is the subset of replication.Leadership that a partition needs for its key.
type Leadership interface {
	// Epoch returns the epoch of the leadership.
	Epoch() uint64
	// Commit replicates a change to a quorum and then calls done, with an error if the leadership is lost first.
	Commit(ops []wire.Op, done func(error))
	// HasLease reports whether the leader's lease is valid, so that no other process can lead the key now.
	HasLease() bool
}

// Policy holds the version of the current configuration and the limits of tenants in it.
type Policy struct {
	Version int64
	Limits  tenantcount.Limits
}

// Leader handles the calls of pools and operators to one partition.
type Leader struct {
	key    string
	clock  clock.Clock
	log    logging.Logger
	policy func() Policy
	// leadership and part are nil while another process leads the key.
	leadership Leadership
	part       *tenantcount.Part
	commits    commitqueue.Queue
}

// New creates a leader without a leadership. policy returns the policy of the current configuration; Grant and Tenants call it each time.
func New(key string, clock clock.Clock, log logging.Logger, policy func() Policy) *Leader {
	return &Leader{key: key, clock: clock, log: log, policy: policy}
}

// Open begins a leadership with the committed records of the key. An error names the record that can't be read.
func (l *Leader) Open(leadership Leadership, pairs []wire.Op) error {
	part, err := tenantcount.NewPart(pairs, l.clock.Monotonic())
	if err != nil {
		return err
	}
	l.Close()
	l.leadership, l.part = leadership, part
	l.log.Info("tenant count taken over", "key", l.key, "epoch", leadership.Epoch(), "grants", len(pairs))
	return nil
}

// errClosed is passed to the callbacks that are waiting for a commit when the leadership ends.
const errClosed = errors.ConstError("the leadership of the partition has ended")

// Close ends the leadership. Calls that wait for a commit are answered with NotLeader.
func (l *Leader) Close() {
	l.leadership, l.part = nil, nil
	for _, callback := range l.commits.TakeCallbacks() {
		callback(errClosed)
	}
}

// IsOpen reports whether this process leads the key.
func (l *Leader) IsOpen() bool { return l.part != nil }

// Grant decides on a pool's call and answers when the decision is committed. It may be called only while IsOpen returns true. The changes of
// calls that arrive during a sync of the disk are committed together by the next sync. If the leadership ends before the commit, the answer
// is NotLeader, and the pool tries again.
func (l *Leader) Grant(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	var grantCall wire.GrantCall
	if err := easyjson.Unmarshal(call.Body, &grantCall); err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: "the call can't be read"})
		return
	}
	policy := l.policy()
	turnsBefore := l.part.TurnsBegun()
	given, ops, err := l.part.HandleCall(&grantCall, policy.Limits, l.clock.Monotonic())
	if errors.Is(err, tenantcount.ErrStale) {
		answer(wire.ClientAnswer{Status: http.StatusConflict, Reason: err.Error()})
		return
	}
	given.Version = policy.Version
	grantCalls.With(l.key).Inc()
	grantTurns.With(l.key).Add(l.part.TurnsBegun() - turnsBefore)
	if len(ops) > 0 {
		grantChanges.With(l.key).Add(len(ops))
		l.commit(ops)
	}
	l.answerUnderLease(&given, answer)
}

// commit proposes a change.
func (l *Leader) commit(ops []wire.Op) {
	commit := l.commits.Add()
	l.leadership.Commit(ops, func(err error) { l.commits.End(commit, err) })
}

// answerUnderLease answers with the content, which follows from the state as it is now, once all changes up to now are committed. If the
// lease is not valid then, it answers with NotLeader, because another leader may have decided differently.
func (l *Leader) answerUnderLease(content easyjson.Marshaler, answer func(wire.ClientAnswer)) {
	body, err := easyjson.Marshal(content)
	if err != nil {
		l.log.Error(err, "tenant count answer not encoded", "key", l.key)
		answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"})
		return
	}
	l.commits.AfterAll(func(err error) {
		if err != nil || l.leadership == nil || !l.leadership.HasLease() {
			answer(wire.ClientAnswer{NotLeader: true})
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusOK, Body: body})
	})
}

// Tenants answers an operator's call with the limits and grants of the partition's tenants. It may be called only while IsOpen returns true.
func (l *Leader) Tenants(_ *wire.ClientCall, answer func(wire.ClientAnswer)) {
	policy := l.policy()
	l.answerUnderLease(&wire.TenantCountReport{Key: l.key, Version: policy.Version, Tenants: l.part.Report(policy.Limits)}, answer)
}
