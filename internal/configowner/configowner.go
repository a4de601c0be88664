// Package configowner is the operator's plan while this steward owns its key.
package configowner

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
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
	Key       = "plan"
	factName  = "fact"
	mostTaken = 64
)

// Tenure is what the plan needs of the ownership of its key.
type Tenure interface {
	Commit(ops []peerapi.Op, done func(error))
	HasLease() bool
	Voters() []string
}

type Leader struct {
	tenure  Tenure
	fact    *peerapi.Configuration
	isBusy  bool
	publish func(*peerapi.Configuration)
	log     logging.Logger
}

func New(log logging.Logger, publish func(*peerapi.Configuration)) *Leader {
	return &Leader{publish: publish, log: log}
}

func (p *Leader) Open(tenure Tenure, pairs []peerapi.Op) error {
	p.fact, p.isBusy = nil, false
	for _, pair := range pairs {
		if pair.Name == factName {
			p.fact = &peerapi.Configuration{}
			if err := easyjson.Unmarshal(bytes.Clone(pair.Value), p.fact); err != nil {
				return errors.Annotate(err, "reading the plan from disk")
			}
		}
	}
	p.tenure = tenure
	if p.fact != nil {
		p.publish(passedOn(p.fact))
	}
	return nil
}

// passedOn leaves out what only the key's owner needs, and the space around the body, which no message carries.
func passedOn(fact *peerapi.Configuration) *peerapi.Configuration {
	return &peerapi.Configuration{Version: fact.Version, Body: bytes.TrimSpace(fact.Body), InitialVoters: fact.InitialVoters, Moved: fact.Moved}
}

func (p *Leader) Close() { p.tenure, p.fact = nil, nil }

func (p *Leader) IsOpen() bool { return p.tenure != nil }

type answerClient = func(peerapi.ClientAnswer)

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// Replace decides on an operator's change: taken before, on the wrong base, invalid, or committed.
func (p *Leader) Replace(call *peerapi.ClientCall, answer answerClient) {
	if p.isBusy {
		answer(peerapi.ClientAnswer{Elsewhere: true})
		return
	}
	var current int64
	if p.fact != nil {
		current = p.fact.Version
	}
	plan, err := configuration.Read(call.Body)
	if plan != nil && p.wasTaken(plan.Version, digestOf(call.Body)) {
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusOK, Body: versionBody(plan.Version)})
		return
	}
	switch {
	case err != nil:
		answer(peerapi.ClientAnswer{Status: http.StatusBadRequest, Why: err.Error()})
		return
	case call.Base != current:
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusPreconditionFailed,
			Why: "the current version is " + strconv.FormatInt(current, 10)})
		return
	case plan.Version <= current:
		answer(peerapi.ClientAnswer{Status: http.StatusBadRequest,
			Why: "field config-version is not above the current one, " + strconv.FormatInt(current, 10)})
		return
	}
	p.commit(plan, call.Body, answer)
}

func versionBody(version int64) []byte {
	return []byte(`{"config-version":` + strconv.FormatInt(version, 10) + `}`)
}

func (p *Leader) wasTaken(version int64, digest string) bool {
	return p.fact != nil && slices.Contains(p.fact.Confirmed, peerapi.ConfirmedVersion{Version: version, Digest: digest})
}

func (p *Leader) underLease(answer answerClient, what peerapi.ClientAnswer) {
	if !p.tenure.HasLease() {
		answer(peerapi.ClientAnswer{Elsewhere: true})
		return
	}
	answer(what)
}

func (p *Leader) commit(plan *configuration.Configuration, body []byte, answer answerClient) {
	next := p.next(plan, body)
	value, err := easyjson.Marshal(next)
	if err != nil {
		answer(peerapi.ClientAnswer{Status: http.StatusInternalServerError, Why: "the plan could not be written"})
		return
	}
	p.isBusy = true
	p.tenure.Commit([]peerapi.Op{{Name: factName, Value: value}}, func(err error) {
		if err != nil {
			answer(peerapi.ClientAnswer{Elsewhere: true, Unclear: true})
			return
		}
		p.isBusy = false
		p.fact = next
		p.log.Info("plan committed", "version", next.Version)
		p.publish(passedOn(next))
		answer(peerapi.ClientAnswer{Status: http.StatusOK, Body: versionBody(next.Version)})
	})
}

func (p *Leader) next(plan *configuration.Configuration, body []byte) *peerapi.Configuration {
	next := &peerapi.Configuration{Version: plan.Version, Body: body}
	if p.fact != nil {
		next.InitialVoters, next.Confirmed, next.Moved = slices.Clone(p.fact.InitialVoters), slices.Clone(p.fact.Confirmed), slices.Clone(p.fact.Moved)
		next.Moved = p.moved(plan, next.Moved)
	}
	next.Confirmed = append(next.Confirmed, peerapi.ConfirmedVersion{Version: plan.Version, Digest: digestOf(body)})
	next.Confirmed = next.Confirmed[max(0, len(next.Confirmed)-mostTaken):]
	for _, service := range plan.Services {
		isBorn := slices.ContainsFunc(next.InitialVoters, func(birth peerapi.InitialVoters) bool { return birth.Service == service.Name })
		if !isBorn {
			next.InitialVoters = append(next.InitialVoters, peerapi.InitialVoters{Service: service.Name, Voters: p.tenure.Voters()})
		}
	}
	return next
}

func (p *Leader) moved(plan *configuration.Configuration, moved []peerapi.MovedRoute) []peerapi.MovedRoute {
	old, err := configuration.Read(p.fact.Body)
	if err != nil {
		return moved
	}
	before := configuration.NewMatcher(old)
	for _, entry := range plan.Entries {
		was := before.ByName(entry.Name)
		if was == nil || was.Service == entry.Service {
			continue
		}
		place := slices.IndexFunc(moved, func(one peerapi.MovedRoute) bool { return one.Entry == entry.Name })
		if place < 0 {
			moved = append(moved, peerapi.MovedRoute{Entry: entry.Name, Services: []string{was.Service}})
			continue
		}
		if !slices.Contains(moved[place].Services, was.Service) {
			moved[place].Services = append(slices.Clone(moved[place].Services), was.Service)
		}
	}
	return moved
}

// Retrieve gives back the newest plan, whole.
func (p *Leader) Retrieve(answer answerClient) {
	if p.fact == nil {
		p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfter: 1, Why: "there is no plan yet"})
		return
	}
	p.underLease(answer, peerapi.ClientAnswer{Status: http.StatusOK, Body: p.fact.Body})
}
