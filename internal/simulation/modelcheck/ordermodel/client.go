package ordermodel

import (
	"net/http"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/clientapi"
)

const (
	verbSubmit = "hand-in"
	verbState  = "state"
	verbCancel = "cancel"
	route      = "route"

	// clientTimeout is how long a client waits for an answer. The timeout of a gate is drawn for each request, from minGateTimeout
	// to maxGateTimeout.
	clientTimeout  = 1500 * time.Millisecond
	minGateTimeout = 100 * time.Millisecond
	maxGateTimeout = 1400 * time.Millisecond
	// clientRetryDelay is the pause of a client before its next attempt, and maxClientRetries how often it tries again at most.
	clientRetryDelay = 150 * time.Millisecond
	maxClientRetries = 40
)

// modelGate is a gate. It runs the loop of leaderclient.Asker as events, with the real decisions and answers.
type modelGate struct{ modelProcess }

func (g *modelGate) start() { g.boot() }

// clientReply is the HTTP answer to a client; status 0 stands for none.
type clientReply struct {
	status int
	body   string
}

// serve calls the key's leader again and again, until there is an answer for the client or no time is left.
func (g *modelGate) serve(request wire.ClientCall, answer func(clientReply)) {
	attempts := leaderclient.NewAttempts(poolKey, g.cluster.queue.now()+g.cluster.queue.between(minGateTimeout, maxGateTimeout), g.cluster.queue.random.IntN)
	var next func()
	pause := func() { g.later(attempts.Pause(g.cluster.queue.now()), next) }
	next = func() {
		attempt, isLeft := attempts.Next(g.cluster.view(g.leaderHint), g.cluster.queue.now())
		if !isLeft {
			answer(g.reply(&request, attempts.Outcome()))
			return
		}
		to := g.cluster.stewardAt(attempt.Address)
		callLeader(g.cluster, &g.modelProcess, &to.modelProcess, attempt.Timeout, func(answer func(wire.ClientAnswer)) {
			to.serve(&request, answer)
		}, func(response wire.ClientAnswer, err error) {
			if err != nil {
				attempts.HandleFailure(false)
				pause()
				return
			}
			if attempts.HandleAnswer(&response) {
				answer(g.reply(&request, attempts.Outcome()))
				return
			}
			pause()
		})
	}
	next()
}

// reply returns the answer to a client for the outcome of the calls to the leader.
func (g *modelGate) reply(request *wire.ClientCall, outcome leaderclient.Outcome) clientReply {
	response := clientapi.ResponseOf(request, g.cluster.fault.adjustOutcome(outcome))
	return clientReply{response.Status, string(response.Body)}
}

// view returns the membership view of a process to which the given leader was announced last.
func (c *simCluster) view(leader int) *membership.View {
	if c.views[leader] == nil {
		view := &membership.View{Leaders: map[string]wire.KeyLeader{poolKey: {Key: poolKey, Name: c.stewards[leader].name}}}
		for _, steward := range c.stewards {
			view.Stewards = append(view.Stewards, wire.Member{Name: steward.name, Role: membership.RoleSteward, Address: steward.name, Disk: steward.name})
		}
		c.views[leader] = view
	}
	return c.views[leader]
}

// stewardAt returns the steward whose name is the address, or the first steward if there is none.
func (c *simCluster) stewardAt(address string) *modelSteward {
	for _, steward := range c.stewards {
		if steward.name == address {
			return steward
		}
	}
	return c.stewards[0]
}

// request sends a client's call through a gate. It calls done with status 0 if there is no answer within clientTimeout.
func (c *simCluster) request(gateNumber int, request wire.ClientCall, done func(clientReply)) {
	to := c.gates[gateNumber%len(c.gates)]
	call(c, c.outside, &to.modelProcess, clientTimeout, func(answer func(clientReply)) { to.serve(request, answer) },
		func(reply clientReply, err error) {
			if err != nil {
				reply = clientReply{}
			}
			done(reply)
		})
}

// submit submits a job to one gate after another until there is a clear answer. attempt is the number of earlier attempts; there
// are no more retries once it is maxClientRetries.
func (c *simCluster) submit(job *modelJob, gateNumber, attempt int) {
	body, err := easyjson.Marshal(job.spec)
	if err != nil {
		c.violate("MODEL", "a job can't be encoded: %v", err)
		return
	}
	terms := job.terms
	request := wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbSubmit, Body: body, Terms: &terms}
	job.openAttempts++
	c.request(gateNumber, request, func(reply clientReply) {
		c.oracles.recordSubmitAnswer(job, reply)
		if (reply.status == 0 || reply.status == http.StatusGatewayTimeout) && attempt < maxClientRetries {
			c.queue.after(clientRetryDelay, func() { c.submit(job, gateNumber+1, attempt+1) })
		}
	})
}

// cancel cancels a job through one gate after another until the cancel is acknowledged or the job is unknown. attempt is the number
// of earlier attempts; there are no more retries once it is maxClientRetries.
func (c *simCluster) cancel(job *modelJob, gateNumber, attempt int) {
	job.isCancelSent = true
	c.request(gateNumber, wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbCancel}, func(reply clientReply) {
		if reply.status == http.StatusOK {
			c.oracles.recordCancel(job)
			return
		}
		if reply.status != http.StatusGone && attempt < maxClientRetries {
			c.queue.after(clientRetryDelay, func() { c.cancel(job, gateNumber+1, attempt+1) })
		}
	})
}

// inspect requests a job's state once and checks the answer, if there is one. It calls done in any case.
func (c *simCluster) inspect(job *modelJob, gateNumber int, done func()) {
	wasAccepted, wasCancelled := job.isAccepted, job.isCancelled
	c.request(gateNumber, wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbState}, func(reply clientReply) {
		c.oracles.checkShownState(job, reply, wasAccepted, wasCancelled)
		done()
	})
}
