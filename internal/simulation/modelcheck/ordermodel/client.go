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

	clientPatience = 1500 * time.Millisecond
	minPatience    = 100 * time.Millisecond
	maxPatience    = 1400 * time.Millisecond
	clientPause    = 150 * time.Millisecond
	clientAttempts = 40
)

// modelGate plays the loop of leaderclient.Asker, as events, round its real decisions.
type modelGate struct{ modelProcess }

func (g *modelGate) start() { g.boot() }

// clientReply is what a client hears; status 0 stands for no answer.
type clientReply struct {
	status int
	body   string
}

// serve asks the key's leader until there is an answer or no time left.
func (g *modelGate) serve(request wire.ClientCall, answer func(clientReply)) {
	attempts := leaderclient.NewAttempts(poolKey, g.cluster.queue.now()+g.cluster.queue.between(minPatience, maxPatience), g.cluster.queue.random.IntN)
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

func (g *modelGate) reply(request *wire.ClientCall, outcome leaderclient.Outcome) clientReply {
	response := clientapi.ResponseOf(request, g.cluster.fault.outcome(outcome))
	return clientReply{response.Status, string(response.Body)}
}

// view is what a process knows of the stewards, with the leader it last heard of.
func (w *simCluster) view(leader int) *membership.View {
	if w.views[leader] == nil {
		view := &membership.View{Leaders: map[string]wire.KeyLeader{poolKey: {Key: poolKey, Name: w.stewards[leader].name}}}
		for _, steward := range w.stewards {
			view.Stewards = append(view.Stewards, wire.Member{Name: steward.name, Role: membership.RoleSteward, Address: steward.name, Disk: steward.name})
		}
		w.views[leader] = view
	}
	return w.views[leader]
}

func (w *simCluster) stewardAt(address string) *modelSteward {
	for _, steward := range w.stewards {
		if steward.name == address {
			return steward
		}
	}
	return w.stewards[0]
}

// request sends a client's call by way of a gate.
func (w *simCluster) request(through int, request wire.ClientCall, done func(clientReply)) {
	to := w.gates[through%len(w.gates)]
	call(w, w.outside, &to.modelProcess, clientPatience, func(answer func(clientReply)) { to.serve(request, answer) },
		func(reply clientReply, err error) {
			if err != nil {
				reply = clientReply{}
			}
			done(reply)
		})
}

// submit sends a job until there is a clear answer, each time to another gate.
func (w *simCluster) submit(job *modelJob, through, attempt int) {
	body, err := easyjson.Marshal(job.spec)
	if err != nil {
		w.violate("MODEL", "a job could not be written: %v", err)
		return
	}
	terms := job.terms
	request := wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbSubmit, Body: body, Terms: &terms}
	job.openAttempts++
	w.request(through, request, func(reply clientReply) {
		w.oracles.submitted(job, reply)
		if (reply.status == 0 || reply.status == http.StatusGatewayTimeout) && attempt < clientAttempts {
			w.queue.after(clientPause, func() { w.submit(job, through+1, attempt+1) })
		}
	})
}

// cancel cancels a job through one gate after another until the answer is clear.
func (w *simCluster) cancel(job *modelJob, through, attempt int) {
	job.isCancelSent = true
	w.request(through, wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbCancel}, func(reply clientReply) {
		if reply.status == http.StatusOK {
			w.oracles.cancelled(job)
			return
		}
		if reply.status != http.StatusGone && attempt < clientAttempts {
			w.queue.after(clientPause, func() { w.cancel(job, through+1, attempt+1) })
		}
	})
}

// inspect asks for a job's state, once.
func (w *simCluster) inspect(job *modelJob, through int, done func()) {
	wasAccepted, wasCancelled := job.isAccepted, job.isCancelled
	w.request(through, wire.ClientCall{Key: poolKey, Route: route, ID: job.id, Verb: verbState}, func(reply clientReply) {
		w.oracles.shown(job, reply, wasAccepted, wasCancelled)
		done()
	})
}
