// Package forwarding passes a client's request on to an executor and its answer back, as it comes. A request that certainly did not run
// is offered to another executor; one that may have run is not, unless its route allows that, or a stream of it can be resumed after the
// last event that the client has.
package forwarding

import (
	"context"
	"net/http"
	"time"

	"gannetline/internal/gate/balancer"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/response"
)

const (
	// maxOffers is how many executors may be offered a request that none of them has run.
	maxOffers = 3
	// deadlineGap is kept to write the answer of a request whose time is over.
	deadlineGap = 25 * time.Millisecond
)

// Request is what is passed on.
type Request struct {
	// Service is that of the executors, Affinity what requests share that should meet at the same ones.
	Service, Affinity string
	// Method, Path with its query, Host and Header are those of the client; the body is whole.
	Method, Path, Host string
	Header             http.Header
	Body               []byte
	// Tenant is the name that the executor is told, empty for none.
	Tenant string
	// MaxAttempts is how many executors may run the request, if it may run again at all.
	MaxAttempts   int
	IsIdempotent  bool
	IsResumable   bool
	TimeRemaining time.Duration
}

// Forwarder passes requests on.
type Forwarder struct {
	client   *http.Client
	balancer *balancer.Balancer
	clock    clock.Clock
}

// New makes a forwarder that calls executors by a client.
func New(client *http.Client, balancer *balancer.Balancer, clock clock.Clock) *Forwarder {
	return &Forwarder{client: client, balancer: balancer, clock: clock}
}

// Serve answers a request. It panics with http.ErrAbortHandler where an answer that has begun can't be ended.
func (f *Forwarder) Serve(ctx context.Context, to http.ResponseWriter, request *Request) {
	limit := request.TimeRemaining - deadlineGap
	deadline := f.clock.Monotonic() + limit
	ctx, cancel := f.until(ctx, limit)
	defer cancel()
	relay := &relay{to: to, request: request}
	var excluded []string
	runs := 0
	for range maxOffers {
		executor := f.balancer.Choose(request.Service, request.Affinity, excluded)
		if executor == nil {
			break
		}
		excluded = append(excluded, executor.ID)
		switch f.offer(ctx, relay, executor, deadline) {
		case offerAnswered:
			return
		case offerNotRun:
			continue
		}
		runs++
		if ctx.Err() != nil || runs >= request.MaxAttempts || !relay.mayRunAgain() {
			break
		}
	}
	f.giveUp(ctx, relay, runs)
}

// until gives a context that ends after a limit on the forwarder's clock, or by the function, which must be called in the end.
func (f *Forwarder) until(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	due := f.clock.After(limit)
	go func() {
		select {
		case <-due:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// giveUp ends a request that got no answer: by a promise that it has not run, if that is so.
func (f *Forwarder) giveUp(ctx context.Context, relay *relay, runs int) {
	switch {
	case relay.hasBegun:
		panic(http.ErrAbortHandler)
	case runs == 0:
		refusals.Inc()
		response.Later(http.StatusServiceUnavailable, 1, "no executor has room").Write(relay.to)
	case ctx.Err() != nil:
		response.Text(http.StatusGatewayTimeout, "the executor did not answer in time").Write(relay.to)
	default:
		response.Text(http.StatusBadGateway, "the executor broke off").Write(relay.to)
	}
}
