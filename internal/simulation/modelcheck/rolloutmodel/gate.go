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
	// attemptTimeout is how long a gate waits for the answer to an attempt, attemptDelay the pause before the next attempt, and
	// gateTimeout the time for all attempts of a request.
	attemptTimeout = 400 * time.Millisecond
	attemptDelay   = 60 * time.Millisecond
	gateTimeout    = 1500 * time.Millisecond
)

// modelGate is a gate. It runs the loops of clientapi.Gate as events, with the real decisions and answers.
type modelGate struct {
	cluster *simCluster
	number  int
	// snapshot is the newest configuration that has reached the gate; nil if none has.
	snapshot *configcache.Snapshot
}

// request is a client's HTTP request about a job.
type request struct {
	method string
	job    *modelJob
}

// serve answers a client with a status and the version of the configuration that the gate used; version 0 stands for no
// configuration.
func (g *modelGate) serve(clientRequest request, answer func(status int, version int64)) {
	if g.snapshot == nil {
		answer(http.StatusServiceUnavailable, 0)
		return
	}
	snapshot := g.snapshot
	decision := clientapi.Decide(snapshot, &http.Request{Method: clientRequest.method, Host: queueHost, URL: &url.URL{Path: queuePrefix + clientRequest.job.id},
		Header: http.Header{}}, []byte(clientRequest.job.body))
	if decision.Call == nil {
		answer(decision.Refusal.Status, snapshot.Committed.Version)
		return
	}
	g.cluster.changeDecision(g, decision.Call)
	done := func(status int) { answer(status, snapshot.Committed.Version) }
	deadline := g.cluster.queue.Now() + gateTimeout
	if clientRequest.method == http.MethodPost {
		g.submit(decision.Call, decision.OtherServices, deadline, done)
		return
	}
	g.find(decision.Call, append([]string{decision.Call.Key[len(wire.PoolPrefix):]}, decision.OtherServices...), deadline, findState{}, done)
}

// submit has all other pools renounce a job, and then submits the job to the pool of the call. It submits nothing if a pool does not
// renounce the job, or has transferred it.
func (g *modelGate) submit(call *wire.ClientCall, otherServices []string, deadline time.Duration, done func(int)) {
	if len(otherServices) == 0 || g.cluster.fault == faultRenounceSkipped {
		g.callPool(call, deadline, func(outcome leaderclient.Outcome) { done(clientapi.ResponseOf(call, outcome).Status) })
		return
	}
	renounce := callTo(call, otherServices[0], wire.VerbRenounce)
	g.callPool(renounce, deadline, func(outcome leaderclient.Outcome) {
		switch {
		case outcome.Answer == nil:
			done(http.StatusServiceUnavailable)
		case outcome.Answer.MovedTo != "":
			done(http.StatusOK)
		case outcome.Answer.Status != http.StatusGone:
			done(clientapi.ResponseOf(renounce, outcome).Status)
		default:
			g.submit(call, otherServices[1:], deadline, done)
		}
	})
}

// findState is the state of a search for a job: whether a pool gave no answer, and whether a pool has named the pool to which the job
// was transferred.
type findState struct{ hasNoAnswer, hasMoved bool }

// find calls one pool after another until one knows the job. The first pool that names a pool to which it has transferred the job
// adds that pool to the end of the list. If no pool knows the job, the answer is Gone only if all have answered and none has
// named another.
func (g *modelGate) find(call *wire.ClientCall, services []string, deadline time.Duration, state findState, done func(int)) {
	if len(services) == 0 {
		switch {
		case state.hasMoved, state.hasNoAnswer:
			done(http.StatusServiceUnavailable)
		default:
			done(http.StatusGone)
		}
		return
	}
	poolCall := callTo(call, services[0], call.Verb)
	g.callPool(poolCall, deadline, func(outcome leaderclient.Outcome) {
		rest := services[1:]
		switch {
		case outcome.Answer == nil:
			state.hasNoAnswer = true
		case outcome.Answer.Status != http.StatusGone:
			done(clientapi.ResponseOf(poolCall, outcome).Status)
			return
		case outcome.Answer.MovedTo != "" && !state.hasMoved:
			state.hasMoved = true
			rest = append(append([]string{}, rest...), outcome.Answer.MovedTo)
		}
		g.find(call, rest, deadline, state, done)
	})
}

// callTo returns a copy of a call with another verb for the pool of a service. Only a submission keeps its body and terms.
func callTo(call *wire.ClientCall, service string, verb wire.Verb) *wire.ClientCall {
	copied := *call
	copied.Key, copied.Verb = wire.PoolKey(service), verb
	if verb != wire.VerbSubmit {
		copied.Body, copied.Terms = nil, nil
	}
	return &copied
}

// callPool calls the leader of a pool again and again until it answers. Once the deadline has passed, done gets an outcome without an
// answer instead.
func (g *modelGate) callPool(call *wire.ClientCall, deadline time.Duration, done func(leaderclient.Outcome)) {
	c, pool := g.cluster, g.cluster.poolOf(call.Key[len(wire.PoolPrefix):])
	var outcome leaderclient.Outcome
	var attempt func()
	again := func() { c.queue.After(attemptDelay, attempt) }
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
		c.queue.After(attemptTimeout, func() {
			finish(func() {
				outcome.MayHaveRun = true
				again()
			})
		})
		c.send(func() {
			pool.serve(call, func(response wire.ClientAnswer) {
				c.send(func() {
					finish(func() {
						if response.NotLeader {
							outcome.MayHaveRun = outcome.MayHaveRun || response.OutcomeUnknown
							again()
							return
						}
						outcome.Answer = &response
						done(outcome)
					})
				})
			})
		})
	}
	attempt()
}
