// Package configleader decides on the operator's configuration while this steward leads its key. It is a state machine without
// goroutines and sockets: controlkeys calls it on the goroutine of the key's engine, and a Leadership commits for it.
//
// A configuration is confirmed to the operator only once it is committed. Each confirmed version has a record with the digest of
// its body, so that an operator who sends the same change again after a lost answer is confirmed again, and never shown a
// conflict with the own change.
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
	// Key is that of the configuration among the replicated keys.
	Key = "plan"
	// recordConfiguration is the name of the record with the configuration in force.
	recordConfiguration = "fact"
	// maxQueued calls wait for a commit that is under way.
	maxQueued = 32
)

// Leadership is what the configuration needs of the leadership of its key; replication.Leadership is the real one.
type Leadership interface {
	// Commit makes a change durable on a quorum; done gets an error if the leadership is lost first.
	Commit(ops []wire.Op, done func(error))
	// HasLease tells whether no other process can lead the key now.
	HasLease() bool
	// Voters are the disks that vote on the key now.
	Voters() []string
	// WallMs is the time of day that the voters agree on, in milliseconds since 1970.
	WallMs() int64
}

// Leader decides on the operator's calls, one after the other in the order in which they come.
type Leader struct {
	// leadership is nil while the key is led elsewhere.
	leadership Leadership
	// committed is the configuration in force, nil before the first; decodedCommitted is its body, once it was read.
	committed        *wire.Configuration
	decodedCommitted *configuration.Configuration
	confirmed        *confirmedVersions
	// evacuations are the zones that operators have ordered to be emptied, nil before the first order.
	evacuations *wire.Evacuations
	// queued are the calls that came while a commit was under way; there are none unless isCommitting.
	isCommitting bool
	queued       []queuedCall
	publish      func(*wire.Configuration)
	log          logging.Logger
	// storageDisks are the disks on which lots may be kept; the first lotVoters of them begin.
	storageDisks       func() []string
	lotVoters          int
	publishEvacuations func(*wire.Evacuations)
	// standingKeys are keys that there are with every configuration, whatever it says.
	standingKeys []string
}

// Option changes how a leader is made.
type Option func(*Leader)

// WithStorageDisks tells on which disks lots may be kept, and on how many of them they begin.
func WithStorageDisks(disks func() []string, voters int) Option {
	return func(l *Leader) { l.storageDisks, l.lotVoters = disks, voters }
}

// WithFixedKeys names keys that get their first voters with the next configuration, whatever it says.
func WithFixedKeys(keys []string) Option {
	return func(l *Leader) { l.standingKeys = keys }
}

// WithEvacuations names the function that gets each committed list of evacuations.
func WithEvacuations(publish func(*wire.Evacuations)) Option {
	return func(l *Leader) { l.publishEvacuations = publish }
}

// queuedCall came while a commit was under way; decide answers it or commits.
type queuedCall struct {
	decide func()
	answer answerClient
}

// answerClient takes the answer to a client's call, once.
type answerClient = func(wire.ClientAnswer)

// New makes a leader without a leadership; publish gets each committed configuration.
func New(log logging.Logger, publish func(*wire.Configuration), options ...Option) *Leader {
	leader := &Leader{publish: publish, log: log, storageDisks: func() []string { return nil }, publishEvacuations: func(*wire.Evacuations) {}}
	for _, option := range options {
		option(leader)
	}
	return leader
}

// Open takes over the key with what is committed of it; an error names the record that can't be read.
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
		l.publish(published(committed))
	}
	return nil
}

// readCommitted gives the configuration in force, or nil if there is none yet.
func readCommitted(pairs []wire.Op) (*wire.Configuration, error) {
	for _, pair := range pairs {
		if pair.Name != recordConfiguration {
			continue
		}
		committed := &wire.Configuration{}
		err := easyjson.Unmarshal(bytes.Clone(pair.Value), committed)
		return committed, errors.Annotate(err, "reading the configuration from disk")
	}
	return nil, nil
}

// published leaves out what only the key's leader needs, and the space around the body, which no message carries.
func published(committed *wire.Configuration) *wire.Configuration {
	return &wire.Configuration{Version: committed.Version, Body: bytes.TrimSpace(committed.Body), InitialVoters: committed.InitialVoters,
		Moved: committed.Moved}
}

// Close gives up the key; calls that are queued were not taken.
func (l *Leader) Close() {
	queued := l.queued
	l.leadership, l.committed, l.decodedCommitted, l.confirmed, l.evacuations = nil, nil, nil, nil, nil
	l.isCommitting, l.queued = false, nil
	for _, next := range queued {
		next.answer(wire.ClientAnswer{NotLeader: true})
	}
}

// IsOpen tells whether the key is led here.
func (l *Leader) IsOpen() bool { return l.leadership != nil }

// Replace decides on an operator's change: confirmed before, on the wrong base, invalid, or committed. While a commit is
// under way it waits for its turn.
func (l *Leader) Replace(call *wire.ClientCall, answer answerClient) {
	l.inTurn(answer, func() { l.decide(call, answer) })
}

// inTurn decides on a call at once, or after the commit that is under way.
func (l *Leader) inTurn(answer answerClient, decide func()) {
	switch {
	case !l.isCommitting:
		decide()
	case len(l.queued) < maxQueued:
		l.queued = append(l.queued, queuedCall{decide, answer})
	default:
		answer(wire.ClientAnswer{NotLeader: true})
	}
}

// decide answers at once, or commits.
func (l *Leader) decide(call *wire.ClientCall, answer answerClient) {
	proposed, invalid := configuration.Read(call.Body)
	if proposed != nil && l.confirmed.has(proposed.Version, call.Body) {
		l.answerUnderLease(answer, confirmationOf(proposed.Version))
		return
	}
	err := l.check(proposed, invalid, call.Base)
	switch {
	case err == nil:
		l.commit(proposed, call.Body, answer)
	case needsLease(err):
		l.answerUnderLease(answer, refusalOf(err))
	default:
		answer(refusalOf(err))
	}
}

// check tells why a change can't be committed: an *InvalidError, *ForgottenVersionError, *VersionConflictError or
// *VersionNotAboveError. A refusal for the base is final: versions only rise, so a call whose base was passed can't be taken
// later, and the records tell whether it was taken before. Where they no longer can, the operator has to ask.
func (l *Leader) check(proposed *configuration.Configuration, invalid error, base int64) error {
	var current int64
	if l.committed != nil {
		current = l.committed.Version
	}
	switch {
	case invalid != nil:
		return &InvalidError{invalid}
	case base != current && l.confirmed.isForgotten(proposed.Version):
		return &ForgottenVersionError{proposed.Version}
	case base != current:
		return &VersionConflictError{current}
	case proposed.Version <= current:
		return &VersionNotAboveError{current}
	}
	return nil
}

// decideQueued goes on with the calls that came during a commit, until one of them is committed in turn.
func (l *Leader) decideQueued() {
	for len(l.queued) > 0 && !l.isCommitting && l.IsOpen() {
		next := l.queued[0]
		l.queued = l.queued[1:]
		next.decide()
	}
}

// confirmationOf is the answer that confirms a version.
func confirmationOf(version int64) wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"config-version":` + strconv.FormatInt(version, 10) + `}`)}
}

// answerUnderLease gives an answer that is only true while no other process leads the key. The lease is asked for after the
// answer was worked out, since the process may have been frozen in between.
func (l *Leader) answerUnderLease(answer answerClient, response wire.ClientAnswer) {
	if !l.leadership.HasLease() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	answer(response)
}

// commit writes a configuration and the record of its confirmation, and answers once both are durable.
func (l *Leader) commit(proposed *configuration.Configuration, body []byte, answer answerClient) {
	next := l.next(proposed, body)
	confirmation, err := l.confirmed.prepare(proposed.Version, body)
	if err != nil {
		l.refuseUnwritten(err, proposed.Version, answer)
		return
	}
	next.Forgotten = confirmation.forgotten
	value, err := easyjson.Marshal(next)
	if err != nil {
		l.refuseUnwritten(err, proposed.Version, answer)
		return
	}
	ops := append([]wire.Op{{Name: recordConfiguration, Value: value}}, confirmation.ops...)
	l.commitOps(ops, answer, func() wire.ClientAnswer {
		l.committed, l.decodedCommitted = next, proposed
		l.confirmed.apply(confirmation)
		l.log.Info("configuration committed", "version", next.Version)
		l.publish(published(next))
		return confirmationOf(next.Version)
	})
}

// commitOps commits records while further calls wait for their turn. Once they are durable it takes them over by apply, which gives the
// answer. It must not be called during a commit.
func (l *Leader) commitOps(ops []wire.Op, answer answerClient, apply func() wire.ClientAnswer) {
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

func (l *Leader) refuseUnwritten(err error, version int64, answer answerClient) {
	l.log.Error(err, "the configuration can't be written", "version", version)
	answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the configuration could not be written"})
}

// next is the record of a configuration that is to be committed: with the initial voters of new services' pools, of the
// parts of the tenants' count and of standing keys, and the routes that lead to another service than before.
func (l *Leader) next(proposed *configuration.Configuration, body []byte) *wire.Configuration {
	next := &wire.Configuration{Version: proposed.Version, Body: body}
	if l.committed != nil {
		next.InitialVoters, next.Moved = slices.Clone(l.committed.InitialVoters), slices.Clone(l.committed.Moved)
		if before := l.inForce(); before != nil {
			next.Moved = movedRoutes(next.Moved, before, proposed)
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
	for _, key := range l.standingKeys {
		l.addInitialVoters(next, wire.InitialVoters{Key: key})
	}
	return next
}

// runsJobs tells whether a service may be sent jobs: unless all routes that lead to it pass requests on.
func runsJobs(proposed *configuration.Configuration, service string) bool {
	passesOn := false
	for _, route := range proposed.Routes {
		leadsThere := route.Service == service || slices.ContainsFunc(route.Split, func(share configuration.WeightedService) bool { return share.Service == service })
		switch {
		case leadsThere && route.RunsJobs():
			return true
		case leadsThere:
			passesOn = true
		}
	}
	return !passesOn
}

func hasLots(proposed *configuration.Configuration) bool {
	return slices.ContainsFunc(proposed.Routes, func(route configuration.Route) bool { return route.Type == configuration.RouteBatch })
}

// addLotVoters gives the key of lots its first voters once there are disks to keep them on. Until then lots are refused.
func (l *Leader) addLotVoters(next *wire.Configuration) {
	disks := l.storageDisks()
	if len(disks) == 0 {
		l.log.Info("no disks to keep lots on", "version", next.Version)
		return
	}
	addVoters(next, wire.InitialVoters{Key: wire.LotsKey, Voters: disks[:min(l.lotVoters, len(disks))]})
}

// addInitialVoters gives a key the voters of the configuration's key as its first ones, unless it has voters already.
func (l *Leader) addInitialVoters(next *wire.Configuration, wanted wire.InitialVoters) {
	wanted.Voters = l.leadership.Voters()
	addVoters(next, wanted)
}

// addVoters gives a key its first voters, unless it has them already.
func addVoters(next *wire.Configuration, wanted wire.InitialVoters) {
	hasVoters := slices.ContainsFunc(next.InitialVoters, func(voters wire.InitialVoters) bool {
		return voters.Service == wanted.Service && voters.Key == wanted.Key
	})
	if !hasVoters {
		next.InitialVoters = append(next.InitialVoters, wanted)
	}
}

// inForce decodes the committed configuration once; it is nil if that can't be read.
func (l *Leader) inForce() *configuration.Configuration {
	if l.decodedCommitted == nil {
		decoded, err := configuration.Read(l.committed.Body)
		if err != nil {
			l.log.Error(err, "the committed configuration can't be read", "version", l.committed.Version)
			return nil
		}
		l.decodedCommitted = decoded
	}
	return l.decodedCommitted
}

// Version tells the number of the newest configuration, as the answer to a change that confirms it does.
func (l *Leader) Version(answer answerClient) {
	if l.committed == nil {
		l.answerUnderLease(answer, refusalOf(ErrNoConfiguration))
		return
	}
	l.answerUnderLease(answer, confirmationOf(l.committed.Version))
}

// Retrieve gives back the newest configuration, as the operator sent it.
func (l *Leader) Retrieve(answer answerClient) {
	if l.committed == nil {
		l.answerUnderLease(answer, refusalOf(ErrNoConfiguration))
		return
	}
	l.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: l.committed.Body, WallMs: l.leadership.WallMs()})
}
