// Package client is the client library for applications. With it an application acquires locks, runs leader elections, draws increasing
// numbers, and reads, writes and watches cells. A cell is a named value with a revision. Operators read and replace the configuration,
// read the state of rollouts, and evacuate zones. The stewards of a gannetline system serve the calls.
//
// Each call is sent to one steward. It is sent to the next steward after a failure, an answer that decides nothing, or a timeout of one
// second in addition to the wait of a watch. This repeats until there is a clear answer or the context is done. All calls are safe to
// retry.
//
// The context of a Lock ends before another client can hold the lock. However, a process that was suspended notices late that its lock is
// lost. Therefore the resource that the lock protects should reject each request whose fencing token is lower than one it has seen.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"gannetline/internal/platform/clock"
)

const (
	// attemptTimeout is the time to wait for the answer of a steward before the call is sent to the next one. The wait of a watch is added.
	attemptTimeout = time.Second
	// minRoundBackoff and maxRoundBackoff bound the backoff after each round of one attempt per steward without a clear answer.
	minRoundBackoff = 50 * time.Millisecond
	maxRoundBackoff = time.Second
	// maxAnswerBytes is the length to which a longer answer is truncated.
	maxAnswerBytes = 4 << 20
	// holderBytes is the number of random bytes in the default name of a holder.
	holderBytes = 8
)

// The path of a call consists of a prefix, a name and, for some calls, a suffix for the operation.
const (
	prefixLocks      = "/v1/locks/"
	prefixNumbers    = "/v1/numbers/"
	prefixCells      = "/v1/cells/"
	prefixWatch      = "/v1/watch/"
	prefixEvacuation = "/v1/evacuation/"

	suffixInitiate  = "/initiate"
	suffixHeartbeat = "/heartbeat"
	suffixTerminate = "/terminate"
	suffixReplace   = "/replace"
	suffixRetrieve  = "/retrieve"
)

// ErrNoAnswer is returned if a call ends before any steward gives a clear answer, because its context is done or the waiting time of
// AcquireWithin is over. The outcome of the call is unknown.
const ErrNoAnswer = errors.ConstError("no clear answer in time")

// RefusedError is returned if a steward refuses a call, for example because a name, a value or a time is not allowed.
type RefusedError struct {
	// Status is the HTTP status code.
	Status int
	// Reason is the steward's description of the problem, or the text of the status if the answer has none.
	Reason string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// IsOff reports whether the stewards don't offer the called service, because it is not enabled in their settings.
func (e *RefusedError) IsOff() bool { return e.Status == http.StatusNotImplemented }

// Client sends calls to the stewards. It is safe for concurrent use.
type Client struct {
	addresses []string
	holder    string
	http      *http.Client
	clock     clock.Clock
	// stewardIndex, modulo the number of addresses, is the index of the address that the next attempt uses. Each attempt without a clear
	// answer increments it.
	stewardIndex atomic.Uint64
}

// Option configures a client.
type Option func(*Client)

// WithHolder sets the name under which the client holds locks. The default is random. No two clients may have the same name.
func WithHolder(name string) Option { return func(c *Client) { c.holder = name } }

// WithHTTPClient sets the HTTP client that sends the calls. Its timeout, if it has one, should be at least a minute, since the answer to a
// watch may take more than 20 s.
func WithHTTPClient(httpClient *http.Client) Option { return func(c *Client) { c.http = httpClient } }

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(clock clock.Clock) Option { return func(c *Client) { c.clock = clock } }

// New creates a client for stewards at the given control-plane addresses, as ip:port. It returns an error if there is no address. For a
// malformed address, the error names it.
func New(addresses []string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no steward address is given")
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Annotatef(err, "steward address %q", address)
		}
	}
	client := &Client{addresses: addresses, holder: randomHolder(), http: &http.Client{}, clock: clock.System()}
	for _, option := range options {
		option(client)
	}
	return client, nil
}

// randomHolder returns a random name of 64 bits, so that two clients practically never have the same one.
func randomHolder() string {
	random := make([]byte, holderBytes)
	rand.Read(random)
	return hex.EncodeToString(random)
}

// Holder returns the name under which the client holds locks.
func (c *Client) Holder() string { return c.holder }

// apiCall describes one call of an application.
type apiCall struct {
	method string
	path   string
	query  any
	body   any
	// rawBody is sent unchanged in place of body, if it is not nil.
	rawBody []byte
	// header holds additional HTTP headers.
	header map[string]string
	// wait is the time for which a steward may delay its answer.
	wait time.Duration
	// deadline is the time on the client's clock from which on there are no retries. 0 means no limit.
	deadline time.Duration
}

// answer is the status and the body of an HTTP answer.
type answer struct {
	status int
	body   []byte
}

// askStewards sends a call to one steward after another until there is a clear answer. It returns ErrNoAnswer once ctx is done or the
// deadline of the call has passed.
func (c *Client) askStewards(ctx context.Context, call apiCall) (*answer, error) {
	backoff := minRoundBackoff
	for attempts := 1; ; attempts++ {
		address := c.addresses[c.stewardIndex.Load()%uint64(len(c.addresses))]
		reply, err := c.attempt(ctx, address, call)
		if err == nil && reply.isClear() {
			return reply, nil
		}
		c.stewardIndex.Add(1)
		if ctx.Err() != nil || call.deadline > 0 && c.clock.Monotonic() >= call.deadline {
			return nil, errors.Annotatef(ErrNoAnswer, "%s %s", call.method, call.path)
		}
		if attempts%len(c.addresses) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.limitDelay(backoff, call.deadline)):
		}
		backoff = min(2*backoff, maxRoundBackoff)
	}
}

// limitDelay shortens a delay so that it ends at the deadline. A deadline of 0 means no limit.
func (c *Client) limitDelay(delay, deadline time.Duration) time.Duration {
	if deadline == 0 {
		return delay
	}
	return min(delay, max(0, deadline-c.clock.Monotonic()))
}

// isClear reports whether an answer decides a call. It is false for status 408, 429 and 5xx, after which the call is retried. Status 501 is
// clear, because it means that the settings of the stewards don't enable the service.
func (a *answer) isClear() bool {
	return a.status == http.StatusNotImplemented || a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout
}

// attempt sends a call to one steward and reads its answer.
func (c *Client) attempt(ctx context.Context, address string, call apiCall) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+call.wait)
	defer cancel()
	builder := sling.New().Base("http://" + address)
	switch {
	case call.rawBody != nil:
		builder = builder.Post(call.path).Body(bytes.NewReader(call.rawBody))
	case call.method == http.MethodPost:
		builder = builder.Post(call.path).BodyJSON(call.body)
	default:
		builder = builder.Get(call.path).QueryStruct(call.query)
	}
	for name, value := range call.header {
		builder = builder.Set(name, value)
	}
	httpRequest, err := builder.Request()
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	httpResponse, err := c.http.Do(httpRequest.WithContext(ctx))
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	return &answer{httpResponse.StatusCode, body}, nil
}

// pathOf returns the path of a call about a name.
func pathOf(prefix, name, suffix string) string { return prefix + url.PathEscape(name) + suffix }
