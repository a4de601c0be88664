// Package clientapi serves clients: Decide finds the route of a request, and the gate asks the leader of its pool.
package clientapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/response"
	"gannetline/internal/scheduling/jobs"
)

const (
	defaultMaxBody = 1 << 20
	answerGap      = 25 * time.Millisecond
)

// Decision is what should become of a call: refused at once, or asked of a key's leader.
type Decision struct {
	Refusal response.Reply
	Call    *wire.ClientCall
	OtherServices  []string
	Timeout   time.Duration
}

func refuse(status int, why string) Decision { return Decision{Refusal: response.Text(status, why)} }

// Decide is asked about every call; it does no work of its own.
func Decide(snapshot *configcache.Snapshot, request *http.Request, body []byte) Decision {
	if snapshot == nil {
		return Decision{Refusal: response.Later(http.StatusServiceUnavailable, 1, "there is no plan yet")}
	}
	route := snapshot.Matcher.Match(request.Host, request.URL.Path)
	if route == nil {
		return refuse(http.StatusNotFound, "there is no such queue")
	}
	tenant, isKnown := TenantOf(snapshot, route, request)
	if !isKnown {
		return Decision{Refusal: response.Unauthorized("the queue needs the key of a tenant, and the key is none")}
	}
	limit, isSane := headerrules.TimeLeft(request.Header, time.Duration(route.TimeoutMs)*time.Millisecond)
	if !isSane {
		return refuse(http.StatusBadRequest, "header X-Time-Remaining is no count of milliseconds")
	}
	if limit > 4*answerGap {
		limit -= answerGap
	}
	id := strings.ToLower(request.URL.Path[len(route.PathPrefix):])
	service := snapshot.Matcher.ServiceFor(route, id)
	call := &wire.ClientCall{Key: wire.PoolKey(service), Route: route.Name, ID: id, Tenant: tenant, Version: snapshot.Committed.Version}
	decision := Decision{Call: call, OtherServices: snapshot.OtherServices(route.Name, service), Timeout: limit}
	if call.ID == "" {
		if request.Method != http.MethodGet {
			return refuse(http.StatusMethodNotAllowed, "a queue is only asked for its count")
		}
		call.Verb, call.Key, decision.OtherServices = wire.VerbCount, wire.PoolKey(route.Service), nil
		if rollout := snapshot.Matcher.Rollout(route.Name); rollout != nil {
			decision.OtherServices = []string{rollout.To}
		}
		return decision
	}
	if !jobs.IsID(call.ID) {
		return refuse(http.StatusBadRequest, "an ID is 16 hex digits")
	}
	return decideJob(decision, route, request, body)
}

// TenantOf gives the name of the tenant whose key a request bears, empty where it needs none; isKnown is false if it bears no key of
// the configuration and needs one.
func TenantOf(snapshot *configcache.Snapshot, route *configuration.Route, request *http.Request) (name string, isKnown bool) {
	if !snapshot.Matcher.NeedsKey(route) {
		return "", true
	}
	key := headerrules.BearerKey(request.Header)
	if key == "" {
		return "", false
	}
	tenant := snapshot.Matcher.TenantOfKey(key)
	if tenant == nil {
		return "", false
	}
	return tenant.Name, true
}

// decideJob decides a request for a job by its method: to submit, ask for or cancel it.
func decideJob(decision Decision, route *configuration.Route, request *http.Request, body []byte) Decision {
	call := decision.Call
	switch request.Method {
	case http.MethodGet:
		call.Verb = wire.VerbState
	case http.MethodDelete:
		call.Verb = wire.VerbCancel
	case http.MethodPost:
		if !json.Valid(body) {
			return refuse(http.StatusBadRequest, "the job can't be read: no whole JSON")
		}
		call.Verb, call.Body = wire.VerbSubmit, body
		call.Terms = &wire.RouteTerms{Priority: route.Priority, MaxAttempts: route.MaxAttempts, Stretch: route.StretchFactor, TargetMs: route.TargetLatencyMs}
	default:
		return refuse(http.StatusMethodNotAllowed, "a job is handed in by POST, asked for by GET, cancelled by DELETE")
	}
	return decision
}

// Gate obeys decisions.
type Gate struct {
	snapshot     func() *configcache.Snapshot
	leaderClient *leaderclient.Client
	clock        clock.Clock
	// areKeysFresh tells whether the keys of the configuration may be trusted now.
	areKeysFresh func() bool
}

// Option changes how a gate is made.
type Option func(*Gate)

// WithKeyFreshness has the gate refuse calls that need a key while the keys that it knows may have been taken away too long ago.
func WithKeyFreshness(areKeysFresh func() bool) Option {
	return func(g *Gate) { g.areKeysFresh = areKeysFresh }
}

// New makes a gate that decides by the newest configuration and asks the leaders of the pools.
func New(snapshot func() *configcache.Snapshot, leaderClient *leaderclient.Client, clock clock.Clock, options ...Option) *Gate {
	gate := &Gate{snapshot: snapshot, leaderClient: leaderClient, clock: clock, areKeysFresh: func() bool { return true }}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// ServeHTTP answers one request of a client.
func (g *Gate) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	began := g.clock.Monotonic()
	verb, answer := g.answer(to, request, began)
	answer.Write(to)
	calls.With(string(verb), strconv.Itoa(answer.Status)).Inc()
	callSeconds.With(string(verb)).Observe(g.clock.Monotonic() - began)
}

// verbRefused is the verb under which requests are counted that ask no pool.
const verbRefused wire.Verb = "refused"

// answer reads the request and asks for its answer; the time that the client has left counts from when it began.
func (g *Gate) answer(to http.ResponseWriter, request *http.Request, began time.Duration) (wire.Verb, response.Reply) {
	body, refusal := ReadBody(g.snapshot(), request, defaultMaxBody)
	headerrules.Echo(request.Header, to.Header())
	if refusal.Status != 0 {
		return verbRefused, refusal
	}
	decision := Decide(g.snapshot(), request, body)
	if decision.Call == nil {
		return verbRefused, decision.Refusal
	}
	if decision.Call.Tenant != "" && !g.areKeysFresh() {
		return verbRefused, response.Later(http.StatusServiceUnavailable, 1, "this node can't be sure of the keys")
	}
	decision.Timeout -= g.clock.Monotonic() - began
	return decision.Call.Verb, g.ask(request.Context(), decision)
}

// ask spends the time of the decision on all pools that it has to ask.
func (g *Gate) ask(ctx context.Context, decision Decision) response.Reply {
	end := g.clock.Monotonic() + decision.Timeout
	switch decision.Call.Verb {
	case wire.VerbSubmit:
		return g.submit(ctx, decision, end)
	case wire.VerbCount:
		return g.count(ctx, decision, end)
	}
	return g.findJob(ctx, decision, end)
}

// waitingCount is the answer to a question how many jobs wait in a queue.
type waitingCount struct {
	Count int64 `json:"waiting-count"`
}

// count adds up how many jobs wait in the pools of all versions that run the queue's jobs.
func (g *Gate) count(ctx context.Context, decision Decision, end time.Duration) response.Reply {
	outcome := g.leaderClient.Ask(ctx, decision.Call, (end-g.clock.Monotonic())/time.Duration(1+len(decision.OtherServices)))
	if len(decision.OtherServices) == 0 {
		return ResponseOf(decision.Call, outcome)
	}
	outcomes := []leaderclient.Outcome{outcome}
	for _, service := range decision.OtherServices {
		outcomes = append(outcomes, g.leaderClient.Ask(ctx, callToFormer(decision.Call, service, wire.VerbCount), end-g.clock.Monotonic()))
	}
	var total waitingCount
	for _, outcome := range outcomes {
		var counted waitingCount
		if outcome.Answer == nil || outcome.Answer.Status != http.StatusOK || json.Unmarshal(outcome.Answer.Body, &counted) != nil {
			return ResponseOf(decision.Call, outcome)
		}
		total.Count += counted.Count
	}
	return response.Raw(http.StatusOK, []byte(`{"waiting-count":`+strconv.FormatInt(total.Count, 10)+`}`))
}

// submit hands a job in, unless a pool that its queue was sent to before has it or does not answer.
func (g *Gate) submit(ctx context.Context, decision Decision, end time.Duration) response.Reply {
	for _, service := range decision.OtherServices {
		call, outcome := g.renounce(ctx, decision.Call, service, end)
		switch {
		case outcome.Answer == nil:
			return response.Later(http.StatusServiceUnavailable, 1, "the queue's former owner does not answer")
		case outcome.Answer.Status != http.StatusGone:
			return ResponseOf(call, outcome)
		}
	}
	outcome := g.leaderClient.Ask(ctx, decision.Call, end-g.clock.Monotonic())
	return ResponseOf(decision.Call, outcome)
}

// renounce has a former pool of a queue promise not to take the job itself, as an earlier attempt may still be on its way
// there. A leader of an older version can only be asked whether it has the job.
func (g *Gate) renounce(ctx context.Context, submission *wire.ClientCall, service string, end time.Duration) (*wire.ClientCall, leaderclient.Outcome) {
	call := callToFormer(submission, service, wire.VerbRenounce)
	outcome := g.leaderClient.Ask(ctx, call, (end-g.clock.Monotonic())/2)
	if outcome.Answer != nil && outcome.Answer.Status == http.StatusBadRequest {
		call = callToFormer(submission, service, wire.VerbState)
		outcome = g.leaderClient.Ask(ctx, call, (end-g.clock.Monotonic())/2)
	}
	return call, outcome
}

// findJob asks the pool of the queue for a job, and then those that the queue was sent to before or that run another version. A pool
// that does not answer leaves the jobs of the others alone; only a job that no pool knows is gone. A pool that has transferred the job
// names where to; it may have done so after that pool was asked, so that one is asked once more.
func (g *Gate) findJob(ctx context.Context, decision Decision, end time.Duration) response.Reply {
	calls := []*wire.ClientCall{decision.Call}
	for _, service := range decision.OtherServices {
		calls = append(calls, callToFormer(decision.Call, service, decision.Call.Verb))
	}
	var gone, unanswered response.Reply
	hasMoved := false
	for index := 0; index < len(calls); index++ {
		call, limit := calls[index], end-g.clock.Monotonic()
		if isLast := index == len(calls)-1; !isLast {
			limit /= 2
		}
		outcome := g.leaderClient.Ask(ctx, call, limit)
		switch {
		case outcome.Answer == nil:
			unanswered = ResponseOf(call, outcome)
		case outcome.Answer.Status != http.StatusGone:
			return ResponseOf(call, outcome)
		case outcome.Answer.MovedTo != "" && !hasMoved:
			hasMoved = true
			calls = append(calls, callToFormer(decision.Call, outcome.Answer.MovedTo, decision.Call.Verb))
		default:
			gone = ResponseOf(call, outcome)
		}
	}
	if hasMoved {
		return response.Later(http.StatusServiceUnavailable, 1, "the job is on its way to another pool")
	}
	if unanswered.Status != 0 {
		return unanswered
	}
	return gone
}

// callToFormer asks something about the job of a call of a pool that the queue was sent to before.
func callToFormer(call *wire.ClientCall, service string, verb wire.Verb) *wire.ClientCall {
	former := *call
	former.Key, former.Verb, former.Body, former.Terms = wire.PoolKey(service), verb, nil, nil
	return &former
}

// ResponseOf is the answer to a client. A submission is only refused if no steward can have taken it.
func ResponseOf(call *wire.ClientCall, outcome leaderclient.Outcome) response.Reply {
	answer := outcome.Answer
	switch {
	case answer == nil && outcome.MayHaveRun && call.Verb == wire.VerbSubmit:
		return response.Text(http.StatusGatewayTimeout, "nobody knows yet whether the job was taken; hand it in again")
	case answer == nil:
		return response.Later(http.StatusServiceUnavailable, 1, "the queue's owner does not answer")
	case outcome.MayHaveRun && call.Verb == wire.VerbSubmit && (answer.Status == http.StatusTooManyRequests || answer.Status == http.StatusServiceUnavailable):
		return response.Text(http.StatusGatewayTimeout, "nobody knows yet whether the job was taken; hand it in again")
	case answer.Reason != "":
		return response.Later(answer.Status, answer.RetryAfterS, answer.Reason)
	}
	return response.Raw(answer.Status, answer.Body)
}
