// Package servingapi serves clients whose requests executors answer: it passes requests on (package forwarding), and brings lots to the
// leader of their part. Decide is asked about every request; the gate obeys.
package servingapi

import (
	"context"
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
	"gannetline/internal/platform/response"
)

const (
	// defaultMaxBody is how many bytes a body may have while no configuration says.
	defaultMaxBody = 4 << 20
	// prefixLots and prefixItems begin the paths of calls about lots.
	prefixLots  = "/v1/lots/"
	prefixItems = "/v1/items/"
)

// kind is what a request is.
type kind string

const (
	kindRefused   kind = "refused"
	kindForward   kind = "forward"
	kindSubmitLot kind = "lot"
	kindReadLot   kind = "lot-results"
	kindReadItem  kind = "lot-item"
	kindEndLot    kind = "lot-end"
)

// Decision is what should become of a request: refused at once, passed on to an executor, or asked of the leader of a part.
type Decision struct {
	Kind    kind
	Refusal response.Reply
	Route   *configuration.Route
	Tenant  string
	// Timeout is how long the answer may take.
	Timeout time.Duration
}

func refuse(reply response.Reply) Decision { return Decision{Kind: kindRefused, Refusal: reply} }

// Decide tells what should become of a request; it does no work of its own.
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
	limit, isSane := headerrules.TimeLeft(request.Header, clock.Milliseconds(route.TimeoutMs))
	if !isSane {
		return refuse(response.Text(http.StatusBadRequest, "header X-Time-Remaining is no count of milliseconds"))
	}
	if route.Type != configuration.RouteBatch {
		return Decision{Kind: kindForward, Route: route, Tenant: tenant, Timeout: limit}
	}
	if request.Method != http.MethodPost {
		return refuse(response.Text(http.StatusMethodNotAllowed, "a lot is handed in by POST"))
	}
	if request.Header.Get(headers.RequestID) == "" {
		return refuse(response.Text(http.StatusBadRequest, "header X-Request-Id is missing; it is the lot's ID"))
	}
	return Decision{Kind: kindSubmitLot, Route: route, Tenant: tenant, Timeout: limit}
}

// Gate obeys decisions.
type Gate struct {
	snapshot     func() *configcache.Snapshot
	leaderClient *leaderclient.Client
	forwarder    *forwarding.Forwarder
	clock        clock.Clock
	// areKeysFresh tells whether the keys of the configuration may be trusted now.
	areKeysFresh func() bool
}

// Option changes how a gate is made.
type Option func(*Gate)

// WithKeyFreshness has the gate refuse requests that need a key while the keys that it knows may have been taken away too long ago.
func WithKeyFreshness(areKeysFresh func() bool) Option {
	return func(g *Gate) { g.areKeysFresh = areKeysFresh }
}

// New makes a gate that decides by the newest configuration.
func New(snapshot func() *configcache.Snapshot, leaderClient *leaderclient.Client, forwarder *forwarding.Forwarder, clock clock.Clock, options ...Option) *Gate {
	gate := &Gate{snapshot: snapshot, leaderClient: leaderClient, forwarder: forwarder, clock: clock, areKeysFresh: func() bool { return true }}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// decide tells what should become of a request as this gate stands now.
func (g *Gate) decide(request *http.Request) Decision {
	decision := Decide(g.snapshot(), request)
	if decision.Tenant != "" && !g.areKeysFresh() {
		return refuse(response.Later(http.StatusServiceUnavailable, 1, "this node can't be sure of the keys"))
	}
	return decision
}

// ServeHTTP answers one request of a client.
func (g *Gate) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	began := g.clock.Monotonic()
	body, refusal := clientapi.ReadBody(g.snapshot(), request, defaultMaxBody)
	decision := refuse(refusal)
	if refusal.Status == 0 {
		// The configuration may have changed while the body came.
		decision = g.decide(request)
	}
	decision.Timeout -= g.clock.Monotonic() - began
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

// forward passes a request on.
func (g *Gate) forward(request *http.Request, to http.ResponseWriter, decision Decision, body []byte) {
	route := decision.Route
	id := request.Header.Get(headers.RequestID)
	g.forwarder.Serve(request.Context(), to, &forwarding.Request{Service: route.ServiceFor(id), Affinity: affinityOf(request.Header),
		Method: request.Method, Path: request.URL.RequestURI(), Host: request.Host, Header: request.Header, Body: body, Tenant: decision.Tenant,
		MaxAttempts: max(1, route.MaxAttempts), IsIdempotent: route.Type == configuration.RouteIdempotent, IsResumable: route.IsResumable,
		TimeRemaining: decision.Timeout})
}

// affinityOf gives the IDs of the parts of a prompt that are shared, all but the last; a prompt of one part has that one.
func affinityOf(from http.Header) string {
	prompt := from.Get(headers.PromptPrefix)
	if end := strings.LastIndexByte(prompt, ','); end >= 0 {
		return prompt[:end]
	}
	return prompt
}

// contextFor ends with the request, at the latest at the limit of the decision.
func contextFor(request *http.Request, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), max(0, limit))
}

// positionOf reads a position; one that is left out is the first.
func positionOf(text string) (int64, bool) {
	if text == "" {
		return 0, true
	}
	position, err := strconv.ParseInt(text, 10, 64)
	return position, err == nil && position >= 0
}
