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
	verbHandIn = "hand-in"
	verbState  = "state"
	verbCancel = "cancel"
	route      = "route"

	clientPatience = 1500 * time.Millisecond
	leastPatience  = 100 * time.Millisecond
	mostPatience   = 1400 * time.Millisecond
	clientPause    = 150 * time.Millisecond
	clientTries    = 40
)

// gate plays the loop of leaderclient.Asker, as events, round its real decisions.
type gate struct{ process }

func (g *gate) start() { g.boot() }

// clientReply is what a client hears; status 0 stands for silence.
type clientReply struct {
	status int
	body   string
}

// serve asks the key's leader until there is an answer or no time left.
func (g *gate) serve(request wire.ClientCall, answer func(clientReply)) {
	attempts := leaderclient.NewAttempts(poolKey, g.world.queue.now()+g.world.queue.between(leastPatience, mostPatience), g.world.queue.random.IntN)
	var next func()
	pause := func() { g.later(attempts.Pause(g.world.queue.now()), next) }
	next = func() {
		try, isLeft := attempts.Next(g.world.view(g.leaderHint), g.world.queue.now())
		if !isLeft {
			answer(g.reply(&request, attempts.Outcome()))
			return
		}
		to := g.world.stewardAt(try.Address)
		callLeader(g.world, &g.process, &to.process, try.Limit, func(answer func(wire.ClientAnswer)) {
			to.serve(&request, answer)
		}, func(told wire.ClientAnswer, err error) {
			if err != nil {
				attempts.HandleFailure(false)
				pause()
				return
			}
			if attempts.HandleAnswer(&told) {
				answer(g.reply(&request, attempts.Outcome()))
				return
			}
			pause()
		})
	}
	next()
}

func (g *gate) reply(request *wire.ClientCall, outcome leaderclient.Outcome) clientReply {
	told := clientapi.ResponseOf(request, g.world.plant.outcome(outcome))
	return clientReply{told.Status, string(told.Body)}
}

// view is what a process knows of the stewards, with the leader it last heard of.
func (w *world) view(leader int) *membership.View {
	if w.views[leader] == nil {
		view := &membership.View{Leaders: map[string]wire.KeyLeader{poolKey: {Key: poolKey, Name: w.stewards[leader].name}}}
		for _, one := range w.stewards {
			view.Stewards = append(view.Stewards, wire.Member{Name: one.name, Role: membership.RoleSteward, Address: one.name, Disk: one.name})
		}
		w.views[leader] = view
	}
	return w.views[leader]
}

func (w *world) stewardAt(address string) *steward {
	for _, one := range w.stewards {
		if one.name == address {
			return one
		}
	}
	return w.stewards[0]
}

// request sends a client's call by way of a gate.
func (w *world) request(through int, request wire.ClientCall, done func(clientReply)) {
	to := w.gates[through%len(w.gates)]
	call(w, w.outside, &to.process, clientPatience, func(answer func(clientReply)) { to.serve(request, answer) },
		func(reply clientReply, err error) {
			if err != nil {
				reply = clientReply{}
			}
			done(reply)
		})
}

// handIn sends a job until there is a clear answer, each time to another gate.
func (w *world) handIn(one *job, through, try int) {
	body, err := easyjson.Marshal(one.spec)
	if err != nil {
		w.violate("MODEL", "a job could not be written: %v", err)
		return
	}
	terms := one.terms
	request := wire.ClientCall{Key: poolKey, Route: route, ID: one.id, Verb: verbHandIn, Body: body, Terms: &terms}
	one.openTries++
	w.request(through, request, func(reply clientReply) {
		w.oracles.handedIn(one, reply)
		if (reply.status == 0 || reply.status == http.StatusGatewayTimeout) && try < clientTries {
			w.queue.after(clientPause, func() { w.handIn(one, through+1, try+1) })
		}
	})
}

func (w *world) cancel(one *job, through, try int) {
	one.isCancelSent = true
	w.request(through, wire.ClientCall{Key: poolKey, Route: route, ID: one.id, Verb: verbCancel}, func(reply clientReply) {
		if reply.status == http.StatusOK {
			w.oracles.cancelled(one)
			return
		}
		if reply.status != http.StatusGone && try < clientTries {
			w.queue.after(clientPause, func() { w.cancel(one, through+1, try+1) })
		}
	})
}

// look asks for a job's state, once.
func (w *world) look(one *job, through int, done func()) {
	wasAccepted, wasCancelled := one.isAccepted, one.isCancelled
	w.request(through, wire.ClientCall{Key: poolKey, Route: route, ID: one.id, Verb: verbState}, func(reply clientReply) {
		w.oracles.shown(one, reply, wasAccepted, wasCancelled)
		done()
	})
}
