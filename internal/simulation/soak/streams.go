package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/platform/headers"
)

const (
	// tierRandomStream is the random stream of the first client of the tier; the next ones use the streams after it.
	tierRandomStream = 3000
	meanStreamPause  = 100 * time.Millisecond
	// The path prefixes of the tier's routes: streams that must not run again, streams that can be resumed, and lots.
	askPrefix     = "/ask/"
	explainPrefix = "/explain/"
	draftsPrefix  = "/drafts/"
)

// StreamCall is a request for an event stream as its client saw it. The status is 0 if no header of an answer came.
type StreamCall struct {
	Gate    string
	Prefix  string
	ID      string
	SentAt  time.Duration
	EndedAt time.Duration
	Status  int
	Body    string
	// IsBroken is true if the body could not be read to its end.
	IsBroken bool
}

// isWhole reports whether all events came, each once and in order.
func (c *StreamCall) isWhole() bool {
	var expected strings.Builder
	for number := 1; number <= eventsPerAnswer; number++ {
		fmt.Fprintf(&expected, "id: %d\ndata: %s\n\n", number, eventData(c.ID, number))
	}
	return c.Status == http.StatusOK && !c.IsBroken && c.Body == expected.String()
}

// tierRoutes returns the routes of the tier in a version, nil if the mix has no tier.
func (l *Layout) tierRoutes(version int64) []configuration.Route {
	if !l.Mix.Has(FeatureTier) {
		return nil
	}
	route := func(name, prefix, kind string) configuration.Route {
		return configuration.Route{Name: name, Host: frontHost, PathPrefix: prefix, Type: kind, TimeoutMs: callTimeout.Milliseconds(),
			TargetLatencyMs: 300, Service: assistantService, MaxAttempts: 2}
	}
	explain := route("explain", explainPrefix, configuration.RouteStreaming)
	explain.IsResumable = true
	routes := []configuration.Route{route("ask", askPrefix, configuration.RouteStreaming), explain}
	name := l.lotsRouteIn(version)
	if name == "" {
		return routes
	}
	drafts := route(name, draftsPrefix, configuration.RouteBatch)
	drafts.ResultDeadlineMs, drafts.MaxQueueS = lotDeadline.Milliseconds(), settleTimeout.Seconds()
	return append(routes, drafts)
}

// streamClient requests streams at one gate, each over a new connection.
type streamClient struct {
	*soak
	number int
	gate   Node
	client *http.Client
	random *rand.Rand
	calls  int
}

// newTierClient returns a client of the tier at a gate. number selects its random stream.
func newTierClient(s *soak, number int, gate Node) *streamClient {
	return &streamClient{soak: s, number: number, gate: gate, random: rand.New(rand.NewPCG(s.options.Seed, uint64(tierRandomStream+number))),
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// startTierClients starts the clients of streams and of lots if the mix has a tier. They run until ctx is done; the client of lots
// then still reads the results of its lots.
func (s *soak) startTierClients(ctx context.Context, start func(func())) {
	if !s.layout.Mix.Has(FeatureTier) {
		return
	}
	for number, gate := range s.layout.Gates {
		start(func() { newTierClient(s, number, gate).run(ctx) })
	}
	start(func() { newLotClient(s).run(ctx) })
}

// run requests one stream after another until ctx is done.
func (c *streamClient) run(ctx context.Context) {
	for pause(ctx, time.Duration(c.random.ExpFloat64()*float64(meanStreamPause)/c.options.pace())) {
		prefix := askPrefix
		if c.random.IntN(2) == 0 {
			prefix = explainPrefix
		}
		c.requestStream(ctx, prefix)
	}
}

// requestStream makes one request and records its outcome, unless ctx is done by then.
func (c *streamClient) requestStream(ctx context.Context, prefix string) {
	c.calls++
	call := StreamCall{Gate: c.gate.Name, Prefix: prefix, ID: fmt.Sprintf("s%d-%d", c.number, c.calls), SentAt: c.recorder.now()}
	answer, err := c.client.Do(c.tierRequest(ctx, http.MethodPost, c.gate, prefix+call.ID, call.ID, "prompt"))
	if err == nil {
		body, readErr := io.ReadAll(answer.Body)
		answer.Body.Close()
		call.Status, call.Body, call.IsBroken = answer.StatusCode, string(body), readErr != nil
	}
	call.EndedAt = c.recorder.now()
	if ctx.Err() == nil {
		c.recorder.write(func(h *History) { h.Streams = append(h.Streams, call) })
	}
}

// tierRequest returns a request of a client of the tier, with the key of a tenant if there are tenants.
func (c *streamClient) tierRequest(ctx context.Context, method string, gate Node, path, id, body string) *http.Request {
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+endpoint(gate.IP, frontPort)+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the address and the path are those of the layout
	}
	httpRequest.Host = frontHost
	httpRequest.Header.Set(headers.RequestID, id)
	httpRequest.Header.Set("X-Model-Name", "m")
	httpRequest.Header.Set("X-Token-Usage", "100,10")
	httpRequest.Header.Set(headers.PromptPrefix, "5c1e:80,"+id+":20")
	httpRequest.Header.Set(headers.TimeRemaining, fmt.Sprint(callTimeout.Milliseconds()))
	if key := c.layout.keyOf(0); key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+key)
	}
	return httpRequest
}

// badStreams is the oracle of streams: it finds answers that are not the stream of their request, refusals of proper requests,
// and streams that a gate without a fault broke off.
func badStreams(h *History) []Violation {
	var violations []Violation
	report := func(call *StreamCall, text string) {
		violations = append(violations, Violation{OracleStream, call.EndedAt, fmt.Sprintf("%s%s at %s: %s", call.Prefix, call.ID, call.Gate, text)})
	}
	for index := range h.Streams {
		call := &h.Streams[index]
		isUndisturbed := !h.hadFault(call.Gate, call.SentAt-contactWindow, call.EndedAt) && !h.isStalled(call.SentAt, call.EndedAt)
		switch {
		case call.Status == http.StatusOK && !call.IsBroken && !call.isWhole():
			report(call, fmt.Sprintf("answered by %q", call.Body))
		case call.Status/100 == 4 && call.Status != http.StatusTooManyRequests && call.Status != http.StatusRequestTimeout:
			report(call, fmt.Sprintf("refused by %d %s", call.Status, call.Body))
		case call.Status == http.StatusOK && call.IsBroken && isUndisturbed:
			report(call, "broken off")
		}
	}
	return violations
}
