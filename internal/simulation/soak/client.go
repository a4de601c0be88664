package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// clientRandomStream is the random stream of the first client; the next ones use the streams after it.
	clientRandomStream = 1000
	// clientsPerGate is the number of clients at each gate. Each client keeps one connection open.
	clientsPerGate = 4
	// idleClientIndex is the index, at each gate, of the client that makes long pauses between its calls. Its connection is usually
	// idle when the gate shuts down.
	idleClientIndex = 3
	// meanPause is the mean time between two calls of a client, and meanIdlePause that of the idle client.
	meanPause     = 150 * time.Millisecond
	meanIdlePause = 4 * time.Second
	// callTimeout is the time for which a client waits for an answer.
	callTimeout = 3 * time.Second
	// maxTries is the maximum number of submissions of a job or a lot without a definite answer.
	maxTries = 6

	// frontHost is the host name of all routes.
	frontHost  = "soak.example"
	jobsPrefix = "/jobs/"
)

// client calls one gate through its relay, over one connection at a time.
type client struct {
	*soak
	number  int
	gate    Node
	address string
	random  *rand.Rand
	link    *connection
	// jobs are the IDs of the client's accepted jobs. calls is the number of its calls so far.
	jobs  []string
	calls int
}

// startClients starts the load of the busy parts of the system, the sampling of processes and the detection of stalls. All stop
// once ctx is done, after they have ended a running evacuation and read the results of accepted lots.
func (s *soak) startClients(ctx context.Context) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for gateNumber, gate := range s.layout.Gates {
		for index := range s.options.jobClients() {
			number := gateNumber*clientsPerGate + index
			c := &client{soak: s, number: number, gate: gate, address: s.layout.relayAddress(gateNumber),
				random: rand.New(rand.NewPCG(s.options.Seed, uint64(clientRandomStream+number)))}
			running.Go(func() { c.run(ctx, index == idleClientIndex) })
		}
	}
	if s.layout.Mix.Has(FeatureLocks) && s.options.isBusy(PartLocks) {
		s.startApplications(ctx, running)
	}
	if s.options.isBusy(PartTier) {
		s.startTierClients(ctx, running.Go)
	}
	if s.options.isBusy(PartConfigurations) {
		running.Go(func() { newOperator(s).run(ctx) })
	}
	if s.layout.Mix.Has(FeatureEvacuations) && s.options.isBusy(PartEvacuations) {
		running.Go(func() { newOperator(s).evacuate(ctx) })
	}
	running.Go(func() { s.sample(ctx) })
	running.Go(func() { s.recorder.watchStalls(ctx) })
	return running
}

// action is one kind of call of a client. It is drawn in proportion to its weight.
type action struct {
	weight int
	do     func(*client, context.Context)
}

// actions are the actions of a client with accepted jobs. A client without any only submits.
var actions = []action{
	{45, func(c *client, ctx context.Context) { c.submit(ctx, newJob(c.random)) }},
	{35, func(c *client, ctx context.Context) { c.call(ctx, verbState, c.drawJob(), "") }},
	{8, func(c *client, ctx context.Context) { c.call(ctx, verbCount, "", "") }},
	{5, func(c *client, ctx context.Context) { c.call(ctx, verbCancel, c.drawJob(), "") }},
	{4, (*client).resubmit},
	{3, (*client).abandon},
}

// run draws and makes calls until ctx is done.
func (c *client) run(ctx context.Context, isIdle bool) {
	defer c.disconnect()
	for c.pause(ctx, isIdle) {
		c.drawAction().do(c, ctx)
	}
}

// drawAction draws an action by weight.
func (c *client) drawAction() action {
	if len(c.jobs) == 0 {
		return actions[0]
	}
	total := 0
	for _, action := range actions {
		total += action.weight
	}
	drawn := c.random.IntN(total)
	for _, action := range actions {
		if drawn -= action.weight; drawn < 0 {
			return action
		}
	}
	return actions[0]
}

// resubmit submits an accepted job a second time.
func (c *client) resubmit(ctx context.Context) {
	id := c.drawJob()
	c.call(ctx, verbSubmit, id, shapeOf(id).body())
}

// pause waits before the next call and returns false once ctx is done.
func (c *client) pause(ctx context.Context, isIdle bool) bool {
	mean := meanPause
	if isIdle {
		mean = meanIdlePause
	}
	return pause(ctx, time.Duration(c.random.ExpFloat64()*float64(mean)/c.options.pace()))
}

func (c *client) drawJob() string { return c.jobs[c.random.IntN(len(c.jobs))] }

// submit submits a job. It retries if no answer comes or the status is 429 or 5xx, with at most maxTries submissions.
func (c *client) submit(ctx context.Context, id string) {
	for range maxTries {
		call := c.call(ctx, verbSubmit, id, shapeOf(id).body())
		if call.isAccepted() {
			c.jobs = append(c.jobs, id)
			return
		}
		if ctx.Err() != nil || call.Outcome == answered && call.Status < 500 && call.Status != 429 {
			return
		}
		if !c.pause(ctx, false) {
			return
		}
	}
}

// connect returns the open connection or a new one, nil if connecting fails.
func (c *client) connect(ctx context.Context) *connection {
	if c.link == nil {
		link, err := dial(ctx, c.address)
		if err != nil {
			return nil
		}
		c.link = link
	}
	return c.link
}

func (c *client) disconnect() {
	if c.link != nil {
		c.link.close()
		c.link = nil
	}
}

// methods maps each verb to its HTTP method.
var methods = map[verb]string{verbSubmit: "POST", verbState: "GET", verbCount: "GET", verbCancel: "DELETE"}

// request returns the HTTP request of a call, with an ID that is unique among the requests of the client.
func (c *client) request(operation verb, id, body string) *request {
	c.calls++
	return &request{method: methods[operation], host: frontHost, path: jobsPrefix + id, id: fmt.Sprintf("c%d-%d", c.number, c.calls), body: body, key: c.layout.keyOf(c.number), timeout: callTimeout}
}

// call makes one call and records its outcome.
func (c *client) call(ctx context.Context, operation verb, id, body string) *Call {
	outgoing := c.request(operation, id, body)
	call := c.newCall(operation, id, outgoing, notSent)
	if link := c.connect(ctx); link != nil {
		call.IsKept = link.answerCount > 0
		c.exchange(link, outgoing, call)
	}
	c.record(call)
	return call
}

// newCall returns the record of a call that is about to be sent.
func (c *client) newCall(operation verb, id string, outgoing *request, result outcome) *Call {
	return &Call{Client: c.number, Gate: c.gate.Name, Verb: operation, Job: id, RequestID: outgoing.id, SentAt: c.recorder.now(), Outcome: result}
}

// record adds a call that has ended to the history.
func (c *client) record(call *Call) {
	call.EndedAt = c.recorder.now()
	done := *call
	c.recorder.write(func(h *History) { h.Calls = append(h.Calls, done) })
}

// exchange sends a request and receives its answer. It closes the connection after an error, and if the gate
// closes it with the answer.
func (c *client) exchange(link *connection, outgoing *request, call *Call) {
	isSent, sentAt := link.send(outgoing)
	call.SentAt = sentAt.Sub(c.recorder.startedAt)
	call.Connection = link.raw.LocalAddr().String()
	if !isSent {
		c.disconnect()
		return
	}
	answer, result, isLast := link.receive(outgoing)
	call.Outcome, call.Status, call.EchoedID, call.State = result, answer.status, answer.id, stateIn(answer.body)
	if isLast {
		c.disconnect()
	}
}

// stateIn returns the job's state in the body of an answer, or "" if there is none.
func stateIn(body string) string {
	var answer struct {
		State string `json:"executor-state"`
	}
	// An answer without a state isn't an error.
	_ = json.Unmarshal([]byte(body), &answer)
	return answer.State
}

// abandon sends a random part of a request, possibly all of it, and closes the connection.
func (c *client) abandon(ctx context.Context) {
	link := c.connect(ctx)
	if link == nil {
		return
	}
	id := newJob(c.random)
	outgoing := c.request(verbSubmit, id, shapeOf(id).body())
	call := c.newCall(verbSubmit, id, outgoing, abandoned)
	text := outgoing.text()
	// The connection is closed anyway, so a failed write doesn't matter.
	_, _ = link.raw.Write([]byte(text[:1+c.random.IntN(len(text))]))
	c.disconnect()
	c.record(call)
}
