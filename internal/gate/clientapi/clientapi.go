// Package clientapi serves clients' requests about jobs. Decide finds the route of a request, and the gate calls the leader of the
// route's pool.
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
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
	"gannetline/internal/scheduling/jobs"
)

const (
	// defaultMaxBody is the size limit of a body if the configuration sets none, in bytes.
	defaultMaxBody = 1 << 20
	// answerMargin is the part of the client's remaining time that is kept for writing the answer, if more than four times as much remains.
	answerMargin = 25 * time.Millisecond
)

// Decision is the result of Decide for a request: a refusal, or a call to the leader of a pool.
type Decision struct {
	// Refusal is the answer if Call is nil.
	Refusal response.Reply
	Call    *wire.ClientCall
	// OtherServices are the further services whose pools may have the job: former services of the queue, and those of a rollout. For a
	// count of waiting jobs it is only the service of a rollout's new version.
	OtherServices []string
	// Timeout is how long the calls may take in total.
	Timeout time.Duration
}

func refuse(status int, reason string) Decision {
	return Decision{Refusal: response.Text(status, reason)}
}

// Decide returns what to do with a request. It makes no calls and changes nothing. A nil snapshot means that there is no
// configuration yet.
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
	timeout, isValid := headerrules.TimeLeft(request.Header, time.Duration(route.TimeoutMs)*time.Millisecond)
	if !isValid {
		return refuse(http.StatusBadRequest, "header X-Time-Remaining is no count of milliseconds")
	}
	if timeout > 4*answerMargin {
		timeout -= answerMargin
	}
	id := strings.ToLower(request.URL.Path[len(route.PathPrefix):])
	service := snapshot.Matcher.ServiceFor(route, id)
	call := &wire.ClientCall{Key: wire.PoolKey(service), Route: route.Name, ID: id, Tenant: tenant, Version: snapshot.Committed.Version,
		FormerRoutes: snapshot.FormerNames(route.Name)}
	decision := Decision{Call: call, OtherServices: snapshot.OtherServices(route.Name, service), Timeout: timeout}
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

// TenantOf returns the name of the tenant whose key a request carries, or an empty name if the route needs no key. isKnown is false if
// the route needs a key and the request carries no key of the configuration.
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

// decideJob completes the decision for a request about a job: POST submits it, GET reads its state and DELETE cancels it.
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

// Gate is the HTTP handler of clients' requests. It carries out the decisions of Decide.
type Gate struct {
	snapshot     func() *configcache.Snapshot
	leaderClient *leaderclient.Client
	clock        clock.Clock
	// areKeysFresh reports whether the API keys in the current configuration can be trusted now.
	areKeysFresh func() bool
	log          logging.Logger
}

// Option configures a gate.
type Option func(*Gate)

// WithKeyFreshness has the gate refuse requests that need a key while areKeysFresh returns false: a key that the gate
// still accepts may then have been revoked too long ago.
func WithKeyFreshness(areKeysFresh func() bool) Option {
	return func(g *Gate) { g.areKeysFresh = areKeysFresh }
}

// WithLog sets the logger for what clients are shown of their jobs, at the verbosity logging.TraceVerbosity.
func WithLog(log logging.Logger) Option { return func(g *Gate) { g.log = log } }

// New returns a gate that decides by the latest configuration and calls the leaders of the pools.
func New(snapshot func() *configcache.Snapshot, leaderClient *leaderclient.Client, clock clock.Clock, options ...Option) *Gate {
	gate := &Gate{snapshot: snapshot, leaderClient: leaderClient, clock: clock, areKeysFresh: func() bool { return true }, log: logging.Silent()}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// ServeHTTP answers a client's request and counts it by verb and status.
func (g *Gate) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	startedAt := g.clock.Monotonic()
	verb, answer := g.answer(to, request, startedAt)
	answer.Write(to)
	calls.With(string(verb), strconv.Itoa(answer.Status)).Inc()
	callSeconds.With(string(verb)).Observe(g.clock.Monotonic() - startedAt)
}

// verbRefused is the verb in the metrics for requests that are refused without a call to a pool.
const verbRefused wire.Verb = "refused"

// answer reads the request and returns its verb and answer. The client's remaining time counts from startedAt, when the body was not read
// yet.
func (g *Gate) answer(to http.ResponseWriter, request *http.Request, startedAt time.Duration) (wire.Verb, response.Reply) {
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
	decision.Timeout -= g.clock.Monotonic() - startedAt
	ctx, cancel := httpserver.UntilCallsEnd(request.Context())
	defer cancel()
	reply := g.ask(ctx, decision)
	g.logReply(decision.Call, reply)
	return decision.Call.Verb, reply
}

// logReply logs the answer to a client's request about a job.
func (g *Gate) logReply(call *wire.ClientCall, reply response.Reply) {
	if log := g.log.V(logging.TraceVerbosity); log.Enabled() {
		log.Info("client answered", "verb", call.Verb, "job", call.ID, "status", reply.Status, "body", string(reply.Body))
	}
}

// ask calls the pools of a decision. All calls together take no longer than the timeout of the decision.
func (g *Gate) ask(ctx context.Context, decision Decision) response.Reply {
	deadline := g.clock.Monotonic() + decision.Timeout
	switch decision.Call.Verb {
	case wire.VerbSubmit:
		return g.submit(ctx, decision, deadline)
	case wire.VerbCount:
		return g.count(ctx, decision, deadline)
	}
	return g.findJob(ctx, decision, deadline)
}

// waitingCount is the body of the answer with the number of waiting jobs of a queue.
type waitingCount struct {
	Count int64 `json:"waiting-count"`
}

// count adds up the waiting jobs in the pools of all versions that run the queue's jobs. If a pool does not answer, there is no count.
func (g *Gate) count(ctx context.Context, decision Decision, deadline time.Duration) response.Reply {
	outcome := g.leaderClient.Ask(ctx, decision.Call, (deadline-g.clock.Monotonic())/time.Duration(1+len(decision.OtherServices)))
	if len(decision.OtherServices) == 0 {
		return ResponseOf(decision.Call, outcome)
	}
	outcomes := []leaderclient.Outcome{outcome}
	for _, service := range decision.OtherServices {
		outcomes = append(outcomes, g.leaderClient.Ask(ctx, callToPool(decision.Call, service, wire.VerbCount), deadline-g.clock.Monotonic()))
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

// submit submits a job, unless another pool of its queue already has it or does not answer. A pool that has transferred the job to another
// one has promised nothing. The job was accepted then, and the pool that has it now may be one that was asked before it got the job.
func (g *Gate) submit(ctx context.Context, decision Decision, deadline time.Duration) response.Reply {
	for _, service := range decision.OtherServices {
		call, outcome := g.renounce(ctx, decision.Call, service, deadline)
		switch {
		case outcome.Answer == nil:
			return response.Later(http.StatusServiceUnavailable, 1, "the queue's former owner does not answer")
		case outcome.Answer.MovedTo != "":
			return response.Empty(http.StatusOK)
		case outcome.Answer.Status != http.StatusGone:
			return ResponseOf(call, outcome)
		}
	}
	outcome := g.leaderClient.Ask(ctx, decision.Call, deadline-g.clock.Monotonic())
	return ResponseOf(decision.Call, outcome)
}

// renounce asks another pool of the queue to promise not to accept the job, as an earlier attempt of the submission may still arrive there.
// A leader of an older software version does not support this and is only asked whether it has the job. Status 410 means that the pool
// has promised or, of an older leader, that it does not have the job.
func (g *Gate) renounce(ctx context.Context, submission *wire.ClientCall, service string, deadline time.Duration) (*wire.ClientCall, leaderclient.Outcome) {
	call := callToPool(submission, service, wire.VerbRenounce)
	outcome := g.leaderClient.Ask(ctx, call, (deadline-g.clock.Monotonic())/2)
	if outcome.Answer != nil && outcome.Answer.Status == http.StatusBadRequest {
		call = callToPool(submission, service, wire.VerbState)
		outcome = g.leaderClient.Ask(ctx, call, (deadline-g.clock.Monotonic())/2)
	}
	return call, outcome
}

// findJob sends a read or a cancellation of a job to the pool of the queue, then to the pools of the other services, until a pool has the
// job. If a pool does not answer, the others are still asked. The job is gone only if every pool answers that it does not have it. A pool
// that has transferred the job names the target. As the transfer may have happened after the target was asked, the target is then asked
// once more.
func (g *Gate) findJob(ctx context.Context, decision Decision, deadline time.Duration) response.Reply {
	calls := []*wire.ClientCall{decision.Call}
	for _, service := range decision.OtherServices {
		calls = append(calls, callToPool(decision.Call, service, decision.Call.Verb))
	}
	var gone, unanswered response.Reply
	hasMoved := false
	for index := 0; index < len(calls); index++ {
		call, timeout := calls[index], deadline-g.clock.Monotonic()
		if isLast := index == len(calls)-1; !isLast {
			timeout /= 2
		}
		outcome := g.leaderClient.Ask(ctx, call, timeout)
		switch {
		case outcome.Answer == nil:
			unanswered = ResponseOf(call, outcome)
		case outcome.Answer.Status != http.StatusGone:
			return ResponseOf(call, outcome)
		case outcome.Answer.MovedTo != "" && !hasMoved:
			hasMoved = true
			calls = append(calls, callToPool(decision.Call, outcome.Answer.MovedTo, decision.Call.Verb))
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

// callToPool returns a call about the same job to the pool of another service, without the job's body.
func callToPool(call *wire.ClientCall, service string, verb wire.Verb) *wire.ClientCall {
	other := *call
	other.Key, other.Verb, other.Body, other.Terms = wire.PoolKey(service), verb, nil, nil
	return &other
}

// ResponseOf returns the answer to a client. A submission gets status 429 or 503 only if no steward can have accepted it; if one may have,
// the answer says that the outcome is unknown.
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
