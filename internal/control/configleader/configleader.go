// Package configleader handles the operators' calls about the configuration while this steward leads the configuration's key. It is a state
// machine without goroutines or sockets. Package controlkeys calls it on the goroutine of the key's engine, and a Leadership commits its
// changes.
//
// A configuration is confirmed to the operator only after it is committed. Each confirmed version has a record with the digest of its body.
// If an operator repeats a change because the answer was lost, the leader finds the record and confirms the change again, instead of
// reporting a conflict with the operator's own change.
package configleader

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/tenantcount"
)

const (
	// Key is the replicated key of the configuration.
	Key = "plan"
	// recordConfiguration is the name of the record with the configuration in force.
	recordConfiguration = "fact"
	// maxQueued is the maximum number of calls that wait for a commit in progress.
	maxQueued = 32
)

// Leadership is the part of a replication.Leadership that a Leader uses.
type Leadership interface {
	// Commit makes a change durable on a quorum. The function done gets an error if the leadership is lost first.
	Commit(ops []wire.Op, done func(error))
	// HasLease reports whether this process holds a lease from a quorum now, so that no other process leads the key.
	HasLease() bool
	// Voters returns the disks that currently vote on the key.
	Voters() []string
	// WallMs returns the time of day in milliseconds since 1970: the median of the clocks of the followers and of this process.
	WallMs() int64
}

// Leader handles the operators' calls one after the other in the order of their arrival.
type Leader struct {
	// leadership is nil while this process does not lead the key. Then committed, decodedCommitted, confirmed and evacuations are nil, too.
	leadership Leadership
	// committed is the configuration in force, nil before the first. decodedCommitted caches its decoded body, nil until it is needed.
	committed        *wire.Configuration
	decodedCommitted *configuration.Configuration
	confirmed        *confirmedVersions
	// evacuations are the zones that operators have ordered to be emptied, nil before the first order.
	evacuations *wire.Evacuations
	// isCommitting is set during a commit. queued holds the calls that arrive meanwhile.
	isCommitting bool
	queued       []queuedCall
	publish      func(*wire.Configuration)
	log          logging.Logger
	// listStorageDisks returns the disks on which lots may be kept. The first lotVoterCount of them become the initial voters of the lots.
	listStorageDisks   func() []string
	lotVoterCount      int
	publishEvacuations func(*wire.Evacuations)
	// fixedKeys exist regardless of what the configuration says.
	fixedKeys []string
}

// Option configures a Leader when New creates it.
type Option func(*Leader)

// WithStorageDisks sets the function that returns the disks on which lots may be kept, and the number of initial voters of the lots.
func WithStorageDisks(listDisks func() []string, voterCount int) Option {
	return func(l *Leader) { l.listStorageDisks, l.lotVoterCount = listDisks, voterCount }
}

// WithFixedKeys sets the keys that get initial voters with the next configuration regardless of what it says.
func WithFixedKeys(keys []string) Option {
	return func(l *Leader) { l.fixedKeys = keys }
}

// WithEvacuations sets the function that receives each committed list of evacuations.
func WithEvacuations(publish func(*wire.Evacuations)) Option {
	return func(l *Leader) { l.publishEvacuations = publish }
}

// queuedCall is a call that waits for a commit in progress. The function decide answers it or starts its commit.
type queuedCall struct {
	decide func()
	answer answerFunc
}

// answerFunc sends the answer to a call. It must be called exactly once.
type answerFunc = func(wire.ClientAnswer)

// New creates a leader without a leadership. The function publish receives each committed configuration.
func New(log logging.Logger, publish func(*wire.Configuration), options ...Option) *Leader {
	leader := &Leader{publish: publish, log: log, listStorageDisks: func() []string { return nil }, publishEvacuations: func(*wire.Evacuations) {}}
	for _, option := range options {
		option(leader)
	}
	return leader
}

// Open starts a leadership of the key with its committed records. An error names the record that can't be decoded.
func (l *Leader) Open(leadership Leadership, pairs []wire.Op) error {
	l.Close()
	committed, err := readCommitted(pairs)
	if err != nil {
		return err
	}
	confirmed, err := readConfirmed(pairs, committed)
	if err != nil {
		return err
	}
	evacuations, err := readEvacuations(pairs)
	if err != nil {
		return err
	}
	l.leadership, l.committed, l.confirmed, l.evacuations = leadership, committed, confirmed, evacuations
	if evacuations != nil {
		l.publishEvacuations(evacuations)
	}
	if committed != nil {
		committed.Confirmed = nil
		l.publish(toPublished(committed))
	}
	return nil
}

// readCommitted returns the configuration in force, nil if there is none yet.
func readCommitted(pairs []wire.Op) (*wire.Configuration, error) {
	for _, pair := range pairs {
		if pair.Name != recordConfiguration {
			continue
		}
		committed := &wire.Configuration{}
		err := easyjson.Unmarshal(bytes.Clone(pair.Value), committed)
		return committed, errors.Annotate(err, "decoding the stored configuration")
	}
	return nil, nil
}

// toPublished returns a configuration without the fields that only the key's leader needs. It trims the white space around the body, because
// messages do not carry it.
func toPublished(committed *wire.Configuration) *wire.Configuration {
	return &wire.Configuration{Version: committed.Version, Body: bytes.TrimSpace(committed.Body), InitialVoters: committed.InitialVoters,
		Moved: committed.Moved}
}

// Close ends the leadership. It answers the queued calls with NotLeader, because none of them was carried out.
func (l *Leader) Close() {
	queued := l.queued
	l.leadership, l.committed, l.decodedCommitted, l.confirmed, l.evacuations = nil, nil, nil, nil, nil
	l.isCommitting, l.queued = false, nil
	for _, next := range queued {
		next.answer(wire.ClientAnswer{NotLeader: true})
	}
}

// IsOpen reports whether this process leads the key.
func (l *Leader) IsOpen() bool { return l.leadership != nil }

// Replace handles an operator's new configuration. It confirms a version that was committed with the same body before, refuses an invalid
// body or a wrong base, and otherwise commits. During a commit the call is queued.
func (l *Leader) Replace(call *wire.ClientCall, answer answerFunc) {
	l.runOrQueue(answer, func() { l.decide(call, answer) })
}

// runOrQueue runs decide at once, or queues it during a commit. If the queue is full, it answers NotLeader.
func (l *Leader) runOrQueue(answer answerFunc, decide func()) {
	switch {
	case !l.isCommitting:
		decide()
	case len(l.queued) < maxQueued:
		l.queued = append(l.queued, queuedCall{decide, answer})
	default:
		answer(wire.ClientAnswer{NotLeader: true})
	}
}

// decide answers a Replace call at once or starts its commit.
func (l *Leader) decide(call *wire.ClientCall, answer answerFunc) {
	proposed, readErr := configuration.Read(call.Body)
	if proposed != nil && l.confirmed.has(proposed.Version, call.Body) {
		l.answerUnderLease(answer, newConfirmedAnswer(proposed.Version))
		return
	}
	err := l.check(proposed, readErr, call.Base)
	switch {
	case err == nil:
		l.commit(proposed, call.Body, answer)
	case needsLease(err):
		l.answerUnderLease(answer, newRefusedAnswer(err))
	default:
		answer(newRefusedAnswer(err))
	}
}

// check returns nil if a change can be committed, otherwise the reason: an *InvalidError, *ForgottenVersionError, *VersionConflictError or
// *VersionNotAboveError. A refusal because the base is below the current version is final. Versions only rise, so the change can't be
// committed later, and the records show that it was not committed before. If its record may have been dropped, the error is a
// *ForgottenVersionError, and the operator has to read the configuration to find out whether the change was committed.
func (l *Leader) check(proposed *configuration.Configuration, readErr error, base int64) error {
	var current int64
	if l.committed != nil {
		current = l.committed.Version
	}
	switch {
	case readErr != nil:
		return &InvalidError{readErr}
	case base != current && l.confirmed.isForgotten(proposed.Version):
		return &ForgottenVersionError{proposed.Version}
	case base != current:
		return &VersionConflictError{current}
	case proposed.Version <= current:
		return &VersionNotAboveError{current}
	}
	return nil
}

// decideQueued handles the calls that were queued during a commit, until one of them starts a commit itself.
func (l *Leader) decideQueued() {
	for len(l.queued) > 0 && !l.isCommitting && l.IsOpen() {
		next := l.queued[0]
		l.queued = l.queued[1:]
		next.decide()
	}
}

// newConfirmedAnswer returns the answer that confirms a version.
func newConfirmedAnswer(version int64) wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"config-version":` + strconv.FormatInt(version, 10) + `}`)}
}

// answerUnderLease sends an answer that is only valid while no other process leads the key. It checks the lease after the answer was
// computed, because the process may have been suspended in between. Without a lease it answers NotLeader.
func (l *Leader) answerUnderLease(answer answerFunc, response wire.ClientAnswer) {
	if !l.leadership.HasLease() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	answer(response)
}

// commit commits a configuration together with the record of its confirmation, and answers once both are durable.
func (l *Leader) commit(proposed *configuration.Configuration, body []byte, answer answerFunc) {
	next := l.newConfiguration(proposed, body)
	changes, err := l.confirmed.prepare(proposed.Version, body)
	if err != nil {
		l.answerEncodingError(err, proposed.Version, answer)
		return
	}
	next.Forgotten = changes.forgotten
	value, err := easyjson.Marshal(next)
	if err != nil {
		l.answerEncodingError(err, proposed.Version, answer)
		return
	}
	ops := append([]wire.Op{{Name: recordConfiguration, Value: value}}, changes.ops...)
	l.commitOps(ops, answer, func() wire.ClientAnswer {
		l.committed, l.decodedCommitted = next, proposed
		l.confirmed.apply(changes)
		l.log.Info("configuration committed", "version", next.Version)
		l.publish(toPublished(next))
		return newConfirmedAnswer(next.Version)
	})
}

// commitOps commits records. Calls that arrive meanwhile are queued. Once the records are durable, commitOps calls apply, which updates the
// leader's state and returns the answer. commitOps must not be called during a commit.
func (l *Leader) commitOps(ops []wire.Op, answer answerFunc, apply func() wire.ClientAnswer) {
	l.isCommitting = true
	leadership := l.leadership
	leadership.Commit(ops, func(err error) {
		if err != nil || l.leadership != leadership {
			answer(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true})
			return
		}
		l.isCommitting = false
		answer(apply())
		l.decideQueued()
	})
}

// answerEncodingError answers a call whose configuration can't be encoded. That is a fault of this process and not of the call.
func (l *Leader) answerEncodingError(err error, version int64, answer answerFunc) {
	l.log.Error(err, "encoding the configuration failed", "version", version)
	answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the configuration could not be written"})
}

// newConfiguration returns the record of the next configuration. It adds the initial voters of new keys: the pools of new services, the
// lots, the partitions of the tenant count and the fixed keys. It also adds the moved routes, see addMovedRoutes.
func (l *Leader) newConfiguration(proposed *configuration.Configuration, body []byte) *wire.Configuration {
	next := &wire.Configuration{Version: proposed.Version, Body: body}
	if l.committed != nil {
		next.InitialVoters, next.Moved = slices.Clone(l.committed.InitialVoters), slices.Clone(l.committed.Moved)
		if before := l.decodeCommitted(); before != nil {
			next.Moved = addMovedRoutes(next.Moved, before, proposed)
		}
	}
	for _, service := range proposed.Services {
		if runsJobs(proposed, service.Name) {
			l.addInitialVoters(next, wire.InitialVoters{Service: service.Name})
		}
	}
	if hasLots(proposed) {
		l.addLotVoters(next)
	}
	if len(proposed.Tenants) > 0 {
		for part := range tenantcount.Parts {
			l.addInitialVoters(next, wire.InitialVoters{Key: tenantcount.KeyOf(part)})
		}
	}
	for _, key := range l.fixedKeys {
		l.addInitialVoters(next, wire.InitialVoters{Key: key})
	}
	return next
}

// runsJobs reports whether a service may receive jobs. It is false only if the service has routes and all of them forward requests.
func runsJobs(proposed *configuration.Configuration, service string) bool {
	hasForwardingRoute := false
	for _, route := range proposed.Routes {
		leadsThere := route.Service == service || slices.ContainsFunc(route.Split, func(share configuration.WeightedService) bool { return share.Service == service })
		switch {
		case leadsThere && route.RunsJobs():
			return true
		case leadsThere:
			hasForwardingRoute = true
		}
	}
	return !hasForwardingRoute
}

// hasLots reports whether the configuration has a route that accepts lots.
func hasLots(proposed *configuration.Configuration) bool {
	return slices.ContainsFunc(proposed.Routes, func(route configuration.Route) bool { return route.Type == configuration.RouteBatch })
}

// addLotVoters adds the initial voters of the lots key, unless there are no storage disks yet. Lots are refused until a later configuration
// adds these voters.
func (l *Leader) addLotVoters(next *wire.Configuration) {
	disks := l.listStorageDisks()
	if len(disks) == 0 {
		l.log.Info("no disks to keep lots on", "version", next.Version)
		return
	}
	addVoters(next, wire.InitialVoters{Key: wire.LotsKey, Voters: disks[:min(l.lotVoterCount, len(disks))]})
}

// addInitialVoters makes the voters of the configuration's key the initial voters of another key, unless that has initial voters already.
func (l *Leader) addInitialVoters(next *wire.Configuration, entry wire.InitialVoters) {
	entry.Voters = l.leadership.Voters()
	addVoters(next, entry)
}

// addVoters adds the initial voters of a key, unless it has initial voters already.
func addVoters(next *wire.Configuration, entry wire.InitialVoters) {
	hasVoters := slices.ContainsFunc(next.InitialVoters, func(existing wire.InitialVoters) bool {
		return existing.Service == entry.Service && existing.Key == entry.Key
	})
	if !hasVoters {
		next.InitialVoters = append(next.InitialVoters, entry)
	}
}

// decodeCommitted returns the decoded configuration in force, nil if it can't be decoded. It keeps the result for the next call.
func (l *Leader) decodeCommitted() *configuration.Configuration {
	if l.decodedCommitted == nil {
		decoded, err := configuration.Read(l.committed.Body)
		if err != nil {
			l.log.Error(err, "decoding the committed configuration failed", "version", l.committed.Version)
			return nil
		}
		l.decodedCommitted = decoded
	}
	return l.decodedCommitted
}

// RetrieveVersion answers with the version of the configuration in force, in the form of the answer that confirms a change.
func (l *Leader) RetrieveVersion(answer answerFunc) {
	if l.committed == nil {
		l.answerUnderLease(answer, newRefusedAnswer(ErrNoConfiguration))
		return
	}
	l.answerUnderLease(answer, newConfirmedAnswer(l.committed.Version))
}

// Retrieve answers with the configuration in force, byte for byte as the operator sent it, except that white space around it may be lost.
func (l *Leader) Retrieve(answer answerFunc) {
	if l.committed == nil {
		l.answerUnderLease(answer, newRefusedAnswer(ErrNoConfiguration))
		return
	}
	l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: l.committed.Body, WallMs: l.leadership.WallMs()})
}
