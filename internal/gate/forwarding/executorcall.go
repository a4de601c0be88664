package forwarding

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/gate/balancer"
	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/executorclient"
	"gannetline/internal/platform/headers"
)

// callResult is the result of a call that forwards a request to one executor.
type callResult int

const (
	// callAnswered means that the client has its answer.
	callAnswered callResult = iota
	// callNotRun means that the executor certainly did not run the request.
	callNotRun
	// callUnknown means that the request may have run, and the client has no complete answer.
	callUnknown
)

// callExecutor sends the request to an executor, streams the answer to the client, and records the result for the balancer.
func (f *Forwarder) callExecutor(ctx context.Context, relay *relay, executor *balancer.Executor, deadline time.Duration) callResult {
	call, err := f.newCall(ctx, relay, executor, deadline)
	if err != nil {
		return callNotRun
	}
	executor.RecordStart(f.clock.Monotonic())
	defer executor.RecordEnd()
	answer, statement, err := executorclient.Do(f.client, call)
	now := f.clock.Monotonic()
	if err != nil {
		return recordFailedCall(ctx, executor, err, now, deadline)
	}
	defer answer.Body.Close()
	executor.RecordActivity(now)
	if statement == executorclient.StatementNone {
		executor.RecordUnreachable(now)
		return callUnknown
	}
	if running, waiting, isReported := loadOf(answer.Header); isReported {
		executor.RecordLoad(running, waiting, now)
	}
	if statement == executorclient.StatementNotExecuted {
		executorclient.Drain(answer)
		return callNotRun
	}
	return f.passAnswer(ctx, relay, executor, answer)
}

// recordFailedCall records a call without an answer for the balancer and returns its result.
func recordFailedCall(ctx context.Context, executor *balancer.Executor, err error, now, deadline time.Duration) callResult {
	switch {
	case peerapi.NeverSent(err):
		executor.RecordUnreachable(now)
		return callNotRun
	case ctx.Err() == nil:
		executor.RecordUnreachable(now)
	case now >= deadline:
		executor.RecordTimeout(now)
	}
	return callUnknown
}

// passAnswer streams the answer of an executor that ran the request to the client, and records the result for the balancer.
func (f *Forwarder) passAnswer(ctx context.Context, relay *relay, executor *balancer.Executor, answer *http.Response) callResult {
	answeredAt := f.clock.Monotonic()
	if err := relay.pass(answer, func() { executor.RecordActivity(f.clock.Monotonic()) }); err != nil {
		if ctx.Err() == nil {
			executor.RecordUnreachable(f.clock.Monotonic())
		}
		return callUnknown
	}
	if answer.StatusCode == http.StatusInternalServerError {
		executor.RecordFailure(answeredAt)
	} else {
		executor.RecordSuccess()
	}
	return callAnswered
}

// newCall returns the HTTP request that forwards a client's request to an executor.
func (f *Forwarder) newCall(ctx context.Context, relay *relay, executor *balancer.Executor, deadline time.Duration) (*http.Request, error) {
	request := relay.request
	call, err := http.NewRequestWithContext(ctx, request.Method, "http://"+executor.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	headerrules.CopyToExecutor(request.Header, call.Header)
	call.Host = request.Host
	call.Header.Set(headers.ExpectedExecutor, executor.ID)
	call.Header.Set(headers.TimeRemaining, strconv.FormatInt(max(1, (deadline-f.clock.Monotonic()).Milliseconds()), 10))
	if request.Tenant != "" {
		call.Header.Set(headers.Tenant, request.Tenant)
	}
	if relay.lastEventID != "" {
		call.Header.Set(headers.LastEventID, relay.lastEventID)
	}
	// Without GetBody, the HTTP client retries a call that failed on a reused connection only if it certainly was not read.
	call.GetBody = nil
	return call, nil
}

// loadOf parses the load that an executor reports in the header X-Executor-Load, as the numbers of running requests, waiting requests and
// slots. isReported is false if the header is missing or invalid.
func loadOf(header http.Header) (running, waiting int64, isReported bool) {
	parts := strings.Split(header.Get(headers.ExecutorLoad), ",")
	if len(parts) != 3 {
		return 0, 0, false
	}
	running, errRunning := strconv.ParseInt(strings.TrimSpace(parts[0]), 10, 64)
	waiting, errWaiting := strconv.ParseInt(strings.TrimSpace(parts[1]), 10, 64)
	return running, waiting, errRunning == nil && errWaiting == nil
}
