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

// offerResult is what became of a request at one executor.
type offerResult int

const (
	// offerAnswered: the client has its answer.
	offerAnswered offerResult = iota
	// offerNotRun: the executor certainly did not run it.
	offerNotRun
	// offerUnknown: it may have run, and the client has no whole answer.
	offerUnknown
)

// offer sends the request to an executor and passes the answer on.
func (f *Forwarder) offer(ctx context.Context, relay *relay, executor *balancer.Executor, deadline time.Duration) offerResult {
	call, err := f.callTo(ctx, relay, executor, deadline)
	if err != nil {
		return offerNotRun
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
		return offerNotRun
	case err != nil && ctx.Err() == nil:
		executor.RecordUnreachable(now)
		return offerUnknown
	case err != nil:
		if now >= deadline {
			executor.RecordTimeout(now)
		}
		return offerUnknown
	}
	defer answer.Body.Close()
	if running, waiting, isTold := loadOf(answer.Header); isTold {
		executor.RecordLoad(running, waiting, now)
	}
	switch {
	case answer.Header.Get(headers.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest:
		// The body of a refusal is short; reading it keeps the connection.
		io.CopyN(io.Discard, answer.Body, maxRefusalBody)
		return offerNotRun
	case answer.Header.Get(headers.RequestID) != relay.request.Header.Get(headers.RequestID):
		executor.RecordUnreachable(now)
		return offerUnknown
	}
	if err := relay.pass(answer, func() { executor.RecordActivity(f.clock.Monotonic()) }); err != nil {
		if ctx.Err() == nil {
			executor.RecordUnreachable(f.clock.Monotonic())
		}
		return offerUnknown
	}
	if answer.StatusCode == http.StatusInternalServerError {
		executor.RecordFailure(now)
	} else {
		executor.RecordSuccess()
	}
	return offerAnswered
}

// maxRefusalBody is how much of the body of a refusal is read.
const maxRefusalBody = 4096

// callTo makes the call to an executor.
func (f *Forwarder) callTo(ctx context.Context, relay *relay, executor *balancer.Executor, deadline time.Duration) (*http.Request, error) {
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
	// A call that was sent on a kept connection is sent again by the client only if it certainly was not read.
	call.GetBody = nil
	return call, nil
}

// loadOf reads what an executor tells of its load: requests running, requests waiting, slots.
func loadOf(header http.Header) (running, waiting int64, isTold bool) {
	parts := strings.Split(header.Get(headers.ExecutorLoad), ",")
	if len(parts) != 3 {
		return 0, 0, false
	}
	running, errRunning := strconv.ParseInt(strings.TrimSpace(parts[0]), 10, 64)
	waiting, errWaiting := strconv.ParseInt(strings.TrimSpace(parts[1]), 10, 64)
	return running, waiting, errRunning == nil && errWaiting == nil
}
