package forwarding

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/gate/balancer"
	"gannetline/internal/gate/headerrules"
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
	answer, err := f.client.Do(call)
	now := f.clock.Monotonic()
	if err == nil {
		executor.RecordActivity(now)
	}
	switch {
	case err != nil && peerapi.NeverSent(err):
		executor.RecordUnreachable(now)
		return callNotRun
	case err != nil && ctx.Err() == nil:
		executor.RecordUnreachable(now)
		return callUnknown
	case err != nil:
		if now >= deadline {
			executor.RecordTimeout(now)
		}
		return callUnknown
	}
	defer answer.Body.Close()
	if running, waiting, isReported := loadOf(answer.Header); isReported {
		executor.RecordLoad(running, waiting, now)
	}
	switch {
	case answer.Header.Get(headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		// Reading the short body of a refusal allows the connection to be reused.
		io.CopyN(io.Discard, answer.Body, maxRefusalBody)
		return callNotRun
	case answer.Header.Get(headers.RequestID) != relay.request.Header.Get(headers.RequestID):
		executor.RecordUnreachable(now)
		return callUnknown
	}
	if err := relay.pass(answer, func() { executor.RecordActivity(f.clock.Monotonic()) }); err != nil {
		if ctx.Err() == nil {
			executor.RecordUnreachable(f.clock.Monotonic())
		}
		return callUnknown
	}
	if answer.StatusCode == http.StatusInternalServerError {
		executor.RecordFailure(now)
	} else {
		executor.RecordSuccess()
	}
	return callAnswered
}

// maxRefusalBody is how much of the body of a refusal is read, in bytes.
const maxRefusalBody = 4096

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
