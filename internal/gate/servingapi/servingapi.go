// Package servingapi serves clients' requests that executors answer. It forwards single requests to executors (package forwarding), and
// sends calls about lots to the leader of the lots' partition. Decide decides on each request, and the gate carries the decision out.
package servingapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/gate/clientapi"
	"gannetline/internal/gate/forwarding"
	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/headers"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/response"
)

const (
	// defaultMaxBody is the size limit of a body if the configuration sets none, in bytes.
	defaultMaxBody = 4 << 20
	// prefixLots and prefixItems are the path prefixes of calls about lots and their items.
	prefixLots  = "/v1/lots/"
	prefixItems = "/v1/items/"
)

// kind is the kind of a request. It is also a label in the metrics.
type kind string

const (
	kindRefused   kind = "refused"
	kindForward   kind = "forward"
	kindSubmitLot kind = "lot"
	kindReadLot   kind = "lot-results"
	kindReadItem  kind = "lot-item"
	kindEndLot    kind = "lot-end"
)

// Decision is the result of Decide for a request: a refusal, a request to forward to an executor, or a call to the leader of the lots'
// partition.
type Decision struct {
	Kind kind
	// Refusal is the answer to a refused request.
	Refusal response.Reply
	// Route is nil for calls about lots that were submitted before.
	Route *configuration.Route
	// Tenant is the name of the tenant that the request is served for. It is empty if the request needs no key, except that a call about a
	// submitted lot always has the tenant of its key if the key is known.
	Tenant string
	// Timeout is how long the answer may take, from the start of the request.
	Timeout time.Duration
}

func refuse(reply response.Reply) Decision { return Decision{Kind: kindRefused, Refusal: reply} }

// Decide returns what to do with a request. It makes no calls and changes nothing. A nil snapshot means that there is no
// configuration yet.
func Decide(snapshot *configcache.Snapshot, request *http.Request) Decision {
	if snapshot == nil {
		return refuse(response.Later(http.StatusServiceUnavailable, 1, "there is no configuration yet"))
	}
	if IsAboutLots(request.URL.Path) {
		return decideLotCall(snapshot, request)
	}
	route := snapshot.Matcher.Match(request.Host, request.URL.Path)
	if route == nil {
		return refuse(response.Text(http.StatusNotFound, "there is no such route"))
	}
	tenant, isKnown := clientapi.TenantOf(snapshot, route, request)
	if !isKnown {
		return refuse(response.Unauthorized("the route needs the key of a tenant, and the key is none"))
	}
	timeout, isValid := headerrules.TimeLeft(request.Header, clock.Milliseconds(route.TimeoutMs))
	if !isValid {
		return refuse(response.Text(http.StatusBadRequest, "header X-Time-Remaining is no count of milliseconds"))
	}
	if route.Type != configuration.RouteBatch {
		return Decision{Kind: kindForward, Route: route, Tenant: tenant, Timeout: timeout}
	}
	if request.Method != http.MethodPost {
		return refuse(response.Text(http.StatusMethodNotAllowed, "a lot is handed in by POST"))
	}
	if request.Header.Get(headers.RequestID) == "" {
		return refuse(response.Text(http.StatusBadRequest, "header X-Request-Id is missing; it is the lot's ID"))
	}
	return Decision{Kind: kindSubmitLot, Route: route, Tenant: tenant, Timeout: timeout}
}

// Gate is the HTTP handler of clients' requests. It carries out the decisions of Decide.
type Gate struct {
	snapshot     func() *configcache.Snapshot
	leaderClient *leaderclient.Client
	forwarder    *forwarding.Forwarder
	clock        clock.Clock
	// areKeysFresh reports whether the API keys in the current configuration can be trusted now.
	areKeysFresh func() bool
}

// Option configures a gate.
type Option func(*Gate)

// WithKeyFreshness has the gate refuse requests that are served for a tenant while areKeysFresh returns false: a key that the gate still
// accepts may then have been revoked too long ago.
func WithKeyFreshness(areKeysFresh func() bool) Option {
	return func(g *Gate) { g.areKeysFresh = areKeysFresh }
}

// New returns a gate that decides by the latest configuration.
func New(snapshot func() *configcache.Snapshot, leaderClient *leaderclient.Client, forwarder *forwarding.Forwarder, clock clock.Clock, options ...Option) *Gate {
	gate := &Gate{snapshot: snapshot, leaderClient: leaderClient, forwarder: forwarder, clock: clock, areKeysFresh: func() bool { return true }}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// decide returns the decision by the latest configuration. It refuses requests that are served for a tenant while the keys are not fresh.
func (g *Gate) decide(request *http.Request) Decision {
	decision := Decide(g.snapshot(), request)
	if decision.Tenant != "" && !g.areKeysFresh() {
		return refuse(response.Later(http.StatusServiceUnavailable, 1, "this node can't be sure of the keys"))
	}
	return decision
}

// ServeHTTP answers a client's request and counts it by kind.
func (g *Gate) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	startedAt := g.clock.Monotonic()
	body, refusal := clientapi.ReadBody(g.snapshot(), request, defaultMaxBody)
	decision := refuse(refusal)
	if refusal.Status == 0 {
		// The configuration may have changed while the body was read.
		decision = g.decide(request)
	}
	decision.Timeout -= g.clock.Monotonic() - startedAt
	if decision.Kind == kindForward && !httpserver.MayComplete(request.Context(), decision.Timeout) {
		decision = refuse(response.Later(http.StatusServiceUnavailable, 1, "this process is leaving"))
	}
	requests.With(string(decision.Kind)).Inc()
	if decision.Kind == kindForward {
		g.forward(request, to, decision, body)
		return
	}
	headerrules.Echo(request.Header, to.Header())
	if decision.Kind == kindRefused {
		decision.Refusal.Write(to)
		return
	}
	g.askAboutLot(request, decision, body).Write(to)
}

// forward forwards a request to an executor of the route's service.
func (g *Gate) forward(request *http.Request, to http.ResponseWriter, decision Decision, body []byte) {
	route := decision.Route
	id := request.Header.Get(headers.RequestID)
	g.forwarder.Serve(request.Context(), to, &forwarding.Request{Service: route.ServiceFor(id), Affinity: affinityOf(request.Header),
		Method: request.Method, Path: request.URL.RequestURI(), Host: request.Host, Header: request.Header, Body: body, Tenant: decision.Tenant,
		MaxAttempts: max(1, route.MaxAttempts), IsIdempotent: route.Type == configuration.RouteIdempotent, IsResumable: route.IsResumable,
		TimeRemaining: decision.Timeout})
}

// affinityOf returns the IDs of the parts of a prompt that requests share: all IDs in the header X-Prompt-Prefix except the last one, or the
// only one.
func affinityOf(from http.Header) string {
	prompt := from.Get(headers.PromptPrefix)
	if end := strings.LastIndexByte(prompt, ','); end >= 0 {
		return prompt[:end]
	}
	return prompt
}

// positionOf parses a position in the results of a lot and reports whether it is valid. An empty text is position 0.
func positionOf(text string) (int64, bool) {
	if text == "" {
		return 0, true
	}
	position, err := strconv.ParseInt(text, 10, 64)
	return position, err == nil && position >= 0
}
