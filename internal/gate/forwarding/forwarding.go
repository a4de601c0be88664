// Package forwarding forwards a client's request to an executor and streams the answer back. A request that certainly did not run is
// retried at another executor. A request that may have run is retried only if its route is idempotent or resumable. Once a part of the
// answer was sent to the client, only a resumable stream is retried; it continues after the last event that the client has.
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
	// maxExecutors is the maximum number of executors that a request is sent to.
	maxExecutors = 3
	// deadlineMargin is the part of the remaining time that is kept for writing the answer after a timeout.
	deadlineMargin = 25 * time.Millisecond
)

// Request is a client's request to forward.
type Request struct {
	// Service is the service whose executors may serve the request. Requests with the same Affinity go to the same executors if possible.
	Service, Affinity string
	// Method, Path (with the query), Host, Header and Body are those of the client's request.
	Method, Path, Host string
	Header             http.Header
	Body               []byte
	// Tenant is the name of the tenant that is passed to the executor, empty for none.
	Tenant string
	// MaxAttempts is the maximum number of executors that may run the request, if IsIdempotent or IsResumable allows more than one.
	MaxAttempts  int
	IsIdempotent bool
	IsResumable  bool
	// TimeRemaining is how long the client still waits.
	TimeRemaining time.Duration
}

// Forwarder forwards requests to executors. Any goroutine may use it.
type Forwarder struct {
	client   *http.Client
	balancer *balancer.Balancer
	clock    clock.Clock
}

// New returns a forwarder that calls the executors chosen by the balancer.
func New(client *http.Client, balancer *balancer.Balancer, clock clock.Clock) *Forwarder {
	return &Forwarder{client: client, balancer: balancer, clock: clock}
}

// Serve forwards a request and writes the answer. It panics with http.ErrAbortHandler if an answer was started and can't be completed.
func (f *Forwarder) Serve(ctx context.Context, to http.ResponseWriter, request *Request) {
	timeout := request.TimeRemaining - deadlineMargin
	deadline := f.clock.Monotonic() + timeout
	ctx, cancel := f.withTimeout(ctx, timeout)
	defer cancel()
	relay := &relay{to: to, request: request}
	var excluded []string
	runs := 0
	for range maxExecutors {
		executor := f.balancer.Choose(request.Service, request.Affinity, excluded)
		if executor == nil {
			break
		}
		excluded = append(excluded, executor.ID)
		switch f.callExecutor(ctx, relay, executor, deadline) {
		case callAnswered:
			return
		case callNotRun:
			continue
		}
		runs++
		if ctx.Err() != nil || runs >= request.MaxAttempts || !relay.mayRunAgain() {
			break
		}
	}
	f.giveUp(ctx, relay, runs)
}

// withTimeout returns a context that ends after a timeout on the forwarder's clock. The caller must call the returned function to release
// the context.
func (f *Forwarder) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	due := f.clock.After(timeout)
	go func() {
		select {
		case <-due:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// giveUp ends a request without a complete answer. Status 503 tells the client that the request certainly did not run. If an answer was
// started, giveUp panics, so that the client's connection is closed.
func (f *Forwarder) giveUp(ctx context.Context, relay *relay, runs int) {
	switch {
	case relay.hasStarted:
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
