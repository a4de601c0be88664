package rolloutmodel

import (
	"net/http"
	"net/url"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/clientapi"
)

const (
	// attemptLimit is how long a gate waits for one answer, attemptPause the pause after one, and gateLimit how long it asks on.
	attemptLimit = 400 * time.Millisecond
	attemptPause = 60 * time.Millisecond
	gateLimit    = 1500 * time.Millisecond
)

// modelGate plays the loops of clientapi.Gate as events, round its real decisions and answers.
type modelGate struct {
	cluster  *simCluster
	number   int
	snapshot *configcache.Snapshot
}

// request is what a client asks.
type request struct {
	method string
	job    *modelJob
}

// serve answers a client; status 0 stands for a gate without a configuration.
func (g *modelGate) serve(asked request, answer func(status int, version int64)) {
	if g.snapshot == nil {
		answer(http.StatusServiceUnavailable, 0)
		return
	}
	snapshot := g.snapshot
	decision := clientapi.Decide(snapshot, &http.Request{Method: asked.method, Host: queueHost, URL: &url.URL{Path: queuePrefix + asked.job.id},
		Header: http.Header{}}, []byte(asked.job.body))
	if decision.Call == nil {
		answer(decision.Refusal.Status, snapshot.Committed.Version)
		return
	}
	g.cluster.disturbDecision(g, decision.Call)
	done := func(status int) { answer(status, snapshot.Committed.Version) }
	deadline := g.cluster.queue.Now() + gateLimit
	if asked.method == http.MethodPost {
		g.submit(decision.Call, decision.OtherServices, deadline, done)
		return
	}
	g.find(decision.Call, append([]string{decision.Call.Key[len(wire.PoolPrefix):]}, decision.OtherServices...), deadline, findState{}, done)
}

// submit has all former pools renounce a job, and then gives it to the one that runs it now.
func (g *modelGate) submit(call *wire.ClientCall, former []string, deadline time.Duration, done func(int)) {
	if len(former) == 0 || g.cluster.fault == faultRenounceSkipped {
		g.ask(call, deadline, func(outcome leaderclient.Outcome) { done(clientapi.ResponseOf(call, outcome).Status) })
		return
	}
	renounce := callTo(call, former[0], wire.VerbRenounce)
	g.ask(renounce, deadline, func(outcome leaderclient.Outcome) {
		switch {
		case outcome.Answer == nil:
			done(http.StatusServiceUnavailable)
		case outcome.Answer.Status != http.StatusGone:
			done(clientapi.ResponseOf(renounce, outcome).Status)
		default:
			g.submit(call, former[1:], deadline, done)
		}
	})
}

// findState is what a search for a job has come to so far.
type findState struct{ isUnanswered, hasMoved bool }

// find asks one pool after the other for a job.
func (g *modelGate) find(call *wire.ClientCall, services []string, deadline time.Duration, state findState, done func(int)) {
	if len(services) == 0 {
		switch {
		case state.hasMoved, state.isUnanswered:
			done(http.StatusServiceUnavailable)
		default:
			done(http.StatusGone)
		}
		return
	}
	asked := callTo(call, services[0], call.Verb)
	g.ask(asked, deadline, func(outcome leaderclient.Outcome) {
		rest := services[1:]
		switch {
		case outcome.Answer == nil:
			state.isUnanswered = true
		case outcome.Answer.Status != http.StatusGone:
			done(clientapi.ResponseOf(asked, outcome).Status)
			return
		case outcome.Answer.MovedTo != "" && !state.hasMoved:
			state.hasMoved = true
			rest = append(append([]string{}, rest...), outcome.Answer.MovedTo)
		}
		g.find(call, rest, deadline, state, done)
	})
}

func callTo(call *wire.ClientCall, service string, verb wire.Verb) *wire.ClientCall {
	copied := *call
	copied.Key, copied.Verb = wire.PoolKey(service), verb
	if verb != wire.VerbSubmit {
		copied.Body, copied.Terms = nil, nil
	}
	return &copied
}

// ask calls the leader of a pool again and again until it answers or the time is over.
func (g *modelGate) ask(call *wire.ClientCall, deadline time.Duration, done func(leaderclient.Outcome)) {
	c, pool := g.cluster, g.cluster.poolOf(call.Key[len(wire.PoolPrefix):])
	var outcome leaderclient.Outcome
	var attempt func()
	again := func() { c.queue.After(attemptPause, attempt) }
	attempt = func() {
		if c.queue.Now() >= deadline {
			done(outcome)
			return
		}
		isOver := false
		finish := func(next func()) {
			if !isOver {
				isOver = true
				next()
			}
		}
		c.queue.After(attemptLimit, func() {
			finish(func() {
				outcome.MayHaveRun = true
				again()
			})
		})
		c.send(func() {
			pool.serve(call, func(given wire.ClientAnswer) {
				c.send(func() {
					finish(func() {
						if given.NotLeader {
							outcome.MayHaveRun = outcome.MayHaveRun || given.OutcomeUnknown
							again()
							return
						}
						outcome.Answer = &given
						done(outcome)
					})
				})
			})
		})
	}
	attempt()
}
