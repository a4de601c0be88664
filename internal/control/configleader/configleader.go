// Package configleader decides on the operator's configuration while this steward leads its key.
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
)

const (
	// Key is that of the configuration among the replicated keys.
	Key      = "plan"
	factName = "fact"
	// mostWaiting calls wait for a commit that is under way.
	mostWaiting = 32
)

// Tenure is what the configuration needs of the leadership of its key.
type Tenure interface {
	// Commit makes a change durable on a majority; done gets an error if the leadership is lost first.
	Commit(ops []wire.Op, done func(error))
	// HasLease says whether no other process can lead the key now.
	HasLease() bool
	// Voters are the disks that vote on the key now.
	Voters() []string
}

// Leader decides on the operator's calls, one after the other in the order in which they come.
type Leader struct {
	tenure Tenure
	// fact is what is committed, nil before the first; decoded is its body, once it was read.
	fact      *wire.Configuration
	decoded   *configuration.Configuration
	confirmed *confirmed
	isBusy    bool
	waiting   []waitingCall
	publish   func(*wire.Configuration)
	log       logging.Logger
}

// waitingCall came while a commit was under way.
type waitingCall struct {
	call   *wire.ClientCall
	answer answerClient
}

// New makes a leader without a tenure; publish is told of each committed configuration.
func New(log logging.Logger, publish func(*wire.Configuration)) *Leader {
	return &Leader{publish: publish, log: log}
}

// Open takes over the key with what is committed of it; an error says that it can't be read.
func (l *Leader) Open(tenure Tenure, pairs []wire.Op) error {
	l.Close()
	var fact *wire.Configuration
	for _, pair := range pairs {
		if pair.Name == factName {
			fact = &wire.Configuration{}
			if err := easyjson.Unmarshal(bytes.Clone(pair.Value), fact); err != nil {
				return errors.Annotate(err, "reading the plan from disk")
			}
		}
	}
	confirmed, err := readConfirmed(pairs, fact)
	if err != nil {
		return err
	}
	l.tenure, l.fact, l.confirmed = tenure, fact, confirmed
	if fact != nil {
		fact.Confirmed = nil
		l.publish(passedOn(fact))
	}
	return nil
}

// passedOn leaves out what only the key's leader needs, and the space around the body, which no message carries.
func passedOn(fact *wire.Configuration) *wire.Configuration {
	return &wire.Configuration{Version: fact.Version, Body: bytes.TrimSpace(fact.Body), InitialVoters: fact.InitialVoters, Moved: fact.Moved}
}

// Close gives up the key; calls that wait were not taken.
func (l *Leader) Close() {
	waiting := l.waiting
	l.tenure, l.fact, l.decoded, l.confirmed, l.isBusy, l.waiting = nil, nil, nil, nil, false, nil
	for _, next := range waiting {
		next.answer(wire.ClientAnswer{Elsewhere: true})
	}
}

// IsOpen tells whether the key is led here.
func (l *Leader) IsOpen() bool { return l.tenure != nil }

// answerClient takes the answer to a client's call, once.
type answerClient = func(wire.ClientAnswer)

// Replace decides on an operator's change: taken before, on the wrong base, invalid, or committed. While a commit is
// under way it waits for its turn.
func (l *Leader) Replace(call *wire.ClientCall, answer answerClient) {
	switch {
	case !l.isBusy:
		l.decide(call, answer)
	case len(l.waiting) < mostWaiting:
		l.waiting = append(l.waiting, waitingCall{call, answer})
	default:
		answer(wire.ClientAnswer{Elsewhere: true})
	}
}

// decide answers at once, or commits. A refusal for the base is final: versions only rise, so a call whose base was
// passed can't be taken later, and the records tell whether it was taken before. Where they no longer can, the answer
// is none.
func (l *Leader) decide(call *wire.ClientCall, answer answerClient) {
	var current int64
	if l.fact != nil {
		current = l.fact.Version
	}
	proposed, err := configuration.Read(call.Body)
	switch {
	case proposed != nil && l.confirmed.has(proposed.Version, call.Body):
		l.underLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: versionBody(proposed.Version)})
	case err != nil:
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Why: err.Error()})
	case call.Base != current && l.confirmed.isForgotten(proposed.Version):
		l.underLease(answer, wire.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfter: 1,
			Why: "version " + strconv.FormatInt(proposed.Version, 10) + " may have been taken too long ago to tell"})
	case call.Base != current:
		l.underLease(answer, wire.ClientAnswer{Status: http.StatusPreconditionFailed, Current: current,
			Why: "the current version is " + strconv.FormatInt(current, 10)})
	case proposed.Version <= current:
		answer(wire.ClientAnswer{Status: http.StatusBadRequest,
			Why: "field config-version is not above the current one, " + strconv.FormatInt(current, 10)})
	default:
		l.commit(proposed, call.Body, answer)
	}
}

// decideWaiting goes on with the calls that came during a commit, until one of them is committed in turn.
func (l *Leader) decideWaiting() {
	for len(l.waiting) > 0 && !l.isBusy && l.IsOpen() {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.decide(next.call, next.answer)
	}
}

func versionBody(version int64) []byte {
	return []byte(`{"config-version":` + strconv.FormatInt(version, 10) + `}`)
}

// underLease gives an answer that is only true while no other process leads the key.
func (l *Leader) underLease(answer answerClient, what wire.ClientAnswer) {
	if !l.tenure.HasLease() {
		answer(wire.ClientAnswer{Elsewhere: true})
		return
	}
	answer(what)
}

// commit writes a configuration and the record of its confirmation, and answers once both are durable.
func (l *Leader) commit(proposed *configuration.Configuration, body []byte, answer answerClient) {
	records, err := l.confirmed.with(proposed.Version, body)
	if err != nil {
		l.refuseUnwritten(err, proposed.Version, answer)
		return
	}
	next := l.next(proposed, body)
	next.Forgotten = records.forgotten
	value, err := easyjson.Marshal(next)
	if err != nil {
		l.refuseUnwritten(err, proposed.Version, answer)
		return
	}
	l.isBusy = true
	tenure := l.tenure
	tenure.Commit(append([]wire.Op{{Name: factName, Value: value}}, records.ops...), func(err error) {
		if err != nil || l.tenure != tenure {
			answer(wire.ClientAnswer{Elsewhere: true, Unclear: true})
			return
		}
		l.isBusy = false
		l.fact, l.decoded = next, proposed
		l.confirmed.take(records)
		l.log.Info("plan committed", "version", next.Version)
		l.publish(passedOn(next))
		answer(wire.ClientAnswer{Status: http.StatusOK, Body: versionBody(next.Version)})
		l.decideWaiting()
	})
}

func (l *Leader) refuseUnwritten(err error, version int64, answer answerClient) {
	l.log.Error(err, "the plan could not be written", "version", version)
	answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Why: "the plan could not be written"})
}

// next is the record of a configuration that is to be committed: with the first voters of new services, and the routes
// that lead elsewhere than before.
func (l *Leader) next(proposed *configuration.Configuration, body []byte) *wire.Configuration {
	next := &wire.Configuration{Version: proposed.Version, Body: body}
	if l.fact != nil {
		next.InitialVoters, next.Moved = slices.Clone(l.fact.InitialVoters), slices.Clone(l.fact.Moved)
		if before := l.inForce(); before != nil {
			next.Moved = movedRoutes(next.Moved, before, proposed)
		}
	}
	for _, service := range proposed.Services {
		hasVoters := slices.ContainsFunc(next.InitialVoters, func(voters wire.InitialVoters) bool { return voters.Service == service.Name })
		if !hasVoters {
			next.InitialVoters = append(next.InitialVoters, wire.InitialVoters{Service: service.Name, Voters: l.tenure.Voters()})
		}
	}
	return next
}

// inForce decodes the committed configuration once.
func (l *Leader) inForce() *configuration.Configuration {
	if l.decoded == nil {
		decoded, err := configuration.Read(l.fact.Body)
		if err != nil {
			l.log.Error(err, "the committed plan can't be read", "version", l.fact.Version)
			return nil
		}
		l.decoded = decoded
	}
	return l.decoded
}

// Retrieve gives back the newest configuration, whole.
func (l *Leader) Retrieve(answer answerClient) {
	if l.fact == nil {
		l.underLease(answer, wire.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfter: 1, Why: "there is no plan yet"})
		return
	}
	l.underLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: l.fact.Body})
}
