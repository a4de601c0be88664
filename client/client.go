// Package client is for applications: it takes locks, leads elections, draws numbers, and reads, changes and watches cells at the
// stewards of a gannetline system.
//
// Each call goes to one of the stewards, and to the next one after a failure, an answer that promises nothing, or a second of
// silence, until there is a clear answer or the context is done. All calls may be repeated without harm.
//
// A Lock has a context that ends before anybody else can hold the lock. What a lock can't promise: a process that was frozen notices
// late that its lock is lost. So let what the lock protects refuse each request whose fencing token is lower than one it has seen.
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
	// attemptTimeout is the silence after which another steward is asked.
	attemptTimeout = time.Second
	// minPause and maxPause bound the pause between two rounds of the stewards.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
	// maxAnswerBytes is how much of an answer is read.
	maxAnswerBytes = 4 << 20
	holderBytes    = 8
)

// The paths of calls: a prefix, a name, and for some a suffix that tells what is to be done.
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

// ErrNoAnswer ends a call whose context was done before any steward gave a clear answer: it may have been carried out or not.
const ErrNoAnswer = errors.ConstError("no clear answer in time")

// RefusedError tells that a steward refused a call as such: a name, a value or a time is not allowed.
type RefusedError struct {
	// Status is that of HTTP, Reason the steward's text.
	Status int
	Reason string
}

// Error gives the steward's text.
func (e *RefusedError) Error() string { return e.Reason }

// IsOff tells that the stewards don't offer what was asked for: their settings leave it out.
func (e *RefusedError) IsOff() bool { return e.Status == http.StatusNotImplemented }

// Client makes calls to the stewards. Any goroutine may use it.
type Client struct {
	addresses []string
	holder    string
	http      *http.Client
	clock     clock.Clock
	// turn is the steward that is asked first; it moves on from one that fails.
	turn atomic.Uint64
}

// Option changes how a client is made.
type Option func(*Client)

// WithHolder names the holder of the client's locks, in place of a random name. Two clients must not have the same.
func WithHolder(name string) Option { return func(c *Client) { c.holder = name } }

// WithHTTPClient has calls made through a client of the caller's own; it should set no time limit below a minute.
func WithHTTPClient(inner *http.Client) Option { return func(c *Client) { c.http = inner } }

// WithClock has time come from a clock of the caller's own.
func WithClock(clock clock.Clock) Option { return func(c *Client) { c.clock = clock } }

// New makes a client for stewards at the addresses, each ip:port of its control plane. An error names the address that is none.
func New(addresses []string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of a steward")
	}
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Annotatef(err, "address %q", address)
		}
	}
	client := &Client{addresses: addresses, holder: randomHolder(), http: &http.Client{}, clock: clock.System()}
	for _, option := range options {
		option(client)
	}
	return client, nil
}

// randomHolder draws a name that no other client has.
func randomHolder() string {
	drawn := make([]byte, holderBytes)
	rand.Read(drawn)
	return hex.EncodeToString(drawn)
}

// Holder is the name under which the client holds locks.
func (c *Client) Holder() string { return c.holder }

// call is one call of an application.
type call struct {
	method string
	path   string
	query  any
	body   any
	// text is sent as it is, in place of body; header goes with it.
	text   []byte
	header map[string]string
	// wait is how long a steward may keep its answer back.
	wait time.Duration
	// until is when the call is given up on the client's clock; 0 is never.
	until time.Duration
}

// answer is a clear answer: any that is neither a failure of the steward nor a request to come back later.
type answer struct {
	status int
	body   []byte
}

// ask makes a call until there is a clear answer. The error is ErrNoAnswer once ctx is done or the call's time is over.
func (c *Client) ask(ctx context.Context, asked call) (*answer, error) {
	pause := minPause
	for tries := 1; ; tries++ {
		address := c.addresses[c.turn.Load()%uint64(len(c.addresses))]
		given, err := c.askOnce(ctx, address, asked)
		if err == nil && given.isClear() {
			return given, nil
		}
		c.turn.Add(1)
		if ctx.Err() != nil || asked.until > 0 && c.clock.Monotonic() >= asked.until {
			return nil, errors.Annotatef(ErrNoAnswer, "%s %s", asked.method, asked.path)
		}
		if tries%len(c.addresses) != 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.clock.After(c.pauseWithin(pause, asked.until)):
		}
		pause = min(2*pause, maxPause)
	}
}

// pauseWithin cuts a pause at the end of a call's time.
func (c *Client) pauseWithin(pause, until time.Duration) time.Duration {
	if until == 0 {
		return pause
	}
	return min(pause, max(0, until-c.clock.Monotonic()))
}

func (a *answer) isClear() bool {
	return a.status == http.StatusNotImplemented || a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout
}

// askOnce makes one attempt.
func (c *Client) askOnce(ctx context.Context, address string, asked call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+asked.wait)
	defer cancel()
	making := sling.New().Base("http://" + address)
	switch {
	case asked.text != nil:
		making = making.Post(asked.path).Body(bytes.NewReader(asked.text))
	case asked.method == http.MethodPost:
		making = making.Post(asked.path).BodyJSON(asked.body)
	default:
		making = making.Get(asked.path).QueryStruct(asked.query)
	}
	for name, value := range asked.header {
		making = making.Set(name, value)
	}
	request, err := making.Request()
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotate(err, address)
	}
	return &answer{response.StatusCode, body}, nil
}

// pathOf is the path of a call about a name.
func pathOf(prefix, name, suffix string) string { return prefix + url.PathEscape(name) + suffix }
