// Package configowner decides on the operator's configuration while this steward leads its key.
package configowner

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/configuration"
	"gannetline/internal/logging"
	"gannetline/internal/peerapi"
)

const (
	// Key is that of the configuration among the replicated keys.
	Key      = "plan"
	factName = "fact"
	// mostWaiting calls wait for a commit that is under way.
	mostWaiting = 32
)

// Tenure is what the plan needs of the ownership of its key.
type Tenure interface {
	// Commit makes a change durable on a majority; done gets an error if the leadership is lost first.
	Commit(ops []peerapi.Op, done func(error))
	// HasLease says whether no other process can lead the key now.
	HasLease() bool
	// Voters are the disks that vote on the key now.
	Voters() []string
}

// Leader decides on the operator's calls, one after the other in the order in which they come.
type Leader struct {
	tenure    Tenure
	fact      *peerapi.Configuration
	plan      *configuration.Configuration
	confirmed *confirmed
	isBusy    bool
	waiting   []waitingCall
	publish   func(*peerapi.Configuration)
	log       logging.Logger
}

// waitingCall came while a commit was under way.
type waitingCall struct {
	call   *peerapi.ClientCall
	answer answerClient
}

// New makes a leader without a tenure; publish is told of each committed configuration.
func New(log logging.Logger, publish func(*peerapi.Configuration)) *Leader {
	return &Leader{publish: publish, log: log}
}

// Open takes over the key with what is committed of it; an error says that it can't be read.
func (p *Leader) Open(tenure Tenure, pairs []peerapi.Op) error {
	p.Close()
	var fact *peerapi.Configuration
	for _, pair := range pairs {
		if pair.Name == factName {
			fact = &peerapi.Configuration{}
			if err := easyjson.Unmarshal(bytes.Clone(pair.Value), fact); err != nil {
				return errors.Annotate(err, "reading the plan from disk")
			}
		}
	}
	confirmed, err := readConfirmed(pairs, fact)
	if err != nil {
		return err
	}
	p.tenure, p.fact, p.confirmed = tenure, fact, confirmed
	if fact != nil {
		fact.Confirmed = nil
		p.publish(passedOn(fact))
	}
	return nil
}

// passedOn leaves out what only the key's owner needs, and the space around the body, which no message carries.
func passedOn(fact *peerapi.Configuration) *peerapi.Configuration {
	return &peerapi.Configuration{Version: fact.Version, Body: bytes.TrimSpace(fact.Body), InitialVoters: fact.InitialVoters, Moved: fact.Moved}
}

// Close gives up the key; calls that wait were not taken.
func (p *Leader) Close() {
	waiting := p.waiting
	p.tenure, p.fact, p.plan, p.confirmed, p.isBusy, p.waiting = nil, nil, nil, nil, false, nil
	for _, one := range waiting {
		one.answer(peerapi.ClientAnswer{Elsewhere: true})
	}
}

// IsOpen tells whether the key is led here.
func (p *Leader) IsOpen() bool { return p.tenure != nil }

type answerClient = func(peerapi.ClientAnswer)

// Replace decides on an operator's change: taken before, on the wrong base, invalid, or committed. While a commit is
// under way it waits for its turn.
func (p *Leader) Replace(call *peerapi.ClientCall, answer answerClient) {
	switch {
	case !p.isBusy:
		p.decide(call, answer)
	case len(p.waiting) < mostWaiting:
		p.waiting = append(p.waiting, waitingCall{call, answer})
	default:
		answer(peerapi.ClientAnswer{Elsewhere: true})
	}
}

// decide answers at once, or commits. A refusal for the base is final: versions only rise, so a call whose base was
// passed can't be taken later, and the records tell whether it was taken before. Where they no longer can, the answer
// is none.
func (p *Leader) decide(call *peerapi.ClientCall, answer answerClient) {
	var current int64
	if p.fact != nil {
		current = p.fact.Version
	}
	plan, err := configuration.Read(call.Body)
	switch {
	case plan != nil && p.confirmed.has(plan.Version, call.Body):
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusOK, Body: versionBody(plan.Version)})
	case err != nil:
		answer(peerapi.ClientAnswer{Status: http.StatusBadRequest, Why: err.Error()})
	case call.Base != current && p.confirmed.isForgotten(plan.Version):
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfter: 1,
			Why: "version " + strconv.FormatInt(plan.Version, 10) + " may have been taken too long ago to tell"})
	case call.Base != current:
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusPreconditionFailed, Current: current,
			Why: "the current version is " + strconv.FormatInt(current, 10)})
	case plan.Version <= current:
		answer(peerapi.ClientAnswer{Status: http.StatusBadRequest,
			Why: "field config-version is not above the current one, " + strconv.FormatInt(current, 10)})
	default:
		p.commit(plan, call.Body, answer)
	}
}

// decideWaiting goes on with the calls that came during a commit, until one of them is committed in turn.
func (p *Leader) decideWaiting() {
	for len(p.waiting) > 0 && !p.isBusy && p.IsOpen() {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.decide(next.call, next.answer)
	}
}

func versionBody(version int64) []byte {
	return []byte(`{"config-version":` + strconv.FormatInt(version, 10) + `}`)
}

func (p *Leader) underLease(answer answerClient, what peerapi.ClientAnswer) {
	if !p.tenure.HasLease() {
		answer(peerapi.ClientAnswer{Elsewhere: true})
		return
	}
	answer(what)
}

func (p *Leader) commit(plan *configuration.Configuration, body []byte, answer answerClient) {
	records, err := p.confirmed.with(plan.Version, body)
	if err != nil {
		p.refuseUnwritten(err, plan.Version, answer)
		return
	}
	next := p.next(plan, body)
	next.Forgotten = records.forgotten
	value, err := easyjson.Marshal(next)
	if err != nil {
		p.refuseUnwritten(err, plan.Version, answer)
		return
	}
	p.isBusy = true
	tenure := p.tenure
	tenure.Commit(append([]peerapi.Op{{Name: factName, Value: value}}, records.ops...), func(err error) {
		if err != nil || p.tenure != tenure {
			answer(peerapi.ClientAnswer{Elsewhere: true, Unclear: true})
			return
		}
		p.isBusy = false
		p.fact, p.plan = next, plan
		p.confirmed.take(records)
		p.log.Info("plan committed", "version", next.Version)
		p.publish(passedOn(next))
		answer(peerapi.ClientAnswer{Status: http.StatusOK, Body: versionBody(next.Version)})
		p.decideWaiting()
	})
}

func (p *Leader) refuseUnwritten(err error, version int64, answer answerClient) {
	p.log.Error(err, "the plan could not be written", "version", version)
	answer(peerapi.ClientAnswer{Status: http.StatusInternalServerError, Why: "the plan could not be written"})
}

func (p *Leader) next(plan *configuration.Configuration, body []byte) *peerapi.Configuration {
	next := &peerapi.Configuration{Version: plan.Version, Body: body}
	if p.fact != nil {
		next.InitialVoters, next.Moved = slices.Clone(p.fact.InitialVoters), slices.Clone(p.fact.Moved)
		if before := p.planInForce(); before != nil {
			next.Moved = movedRoutes(next.Moved, before, plan)
		}
	}
	for _, service := range plan.Services {
		isBorn := slices.ContainsFunc(next.InitialVoters, func(birth peerapi.InitialVoters) bool { return birth.Service == service.Name })
		if !isBorn {
			next.InitialVoters = append(next.InitialVoters, peerapi.InitialVoters{Service: service.Name, Voters: p.tenure.Voters()})
		}
	}
	return next
}

// planInForce reads the committed configuration once.
func (p *Leader) planInForce() *configuration.Configuration {
	if p.plan == nil {
		plan, err := configuration.Read(p.fact.Body)
		if err != nil {
			p.log.Error(err, "the committed plan can't be read", "version", p.fact.Version)
			return nil
		}
		p.plan = plan
	}
	return p.plan
}

// Retrieve gives back the newest plan, whole.
func (p *Leader) Retrieve(answer answerClient) {
	if p.fact == nil {
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfter: 1, Why: "there is no plan yet"})
		return
	}
	p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusOK, Body: p.fact.Body})
}
