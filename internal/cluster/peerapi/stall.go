package peerapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/clock"
)

// ErrStalled is the cause of the error of CallWithStallTimeout if no byte of the answer arrived within the stall timeout.
const ErrStalled = errors.ConstError("no byte of the answer came in time")

// maxCallDuration is the timeout of a whole CallWithStallTimeout, so that a peer that sends single bytes can't keep the call open forever.
const maxCallDuration = 30 * time.Second

// progressClient is an HTTP client that signals on a channel each time a part of an answer arrives.
type progressClient struct {
	client     *http.Client
	progressed chan struct{}
}

// report signals that a part has arrived. It never blocks.
func (c progressClient) report() {
	select {
	case c.progressed <- struct{}{}:
	default:
	}
}

// Do sends the request. It reports the arrival of the answer, and the returned body reports each part of it that is read.
func (c progressClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	c.report()
	response.Body = progressBody{response.Body, c}
	return response, nil
}

// progressBody is the body of an answer that reports each read that returns bytes.
type progressBody struct {
	io.ReadCloser
	client progressClient
}

// Read reads from the body, and reports progress if there were any bytes.
func (b progressBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.client.report()
	}
	return count, err
}

// CallWithStallTimeout calls a procedure of the peer at an address, and fails with ErrStalled once no byte of the answer has arrived for the
// stall timeout. Over a slow link the call goes on while bytes arrive, up to maxCallDuration.
func CallWithStallTimeout[Request, Answer any](ctx context.Context, caller *Caller, clock clock.Clock, address, procedure string,
	stallTimeout time.Duration, request *Request) (*Answer, error) {
	type outcome struct {
		answer *Answer
		err    error
	}
	ctx, release := context.WithTimeout(ctx, maxCallDuration)
	defer release()
	trackedClient := progressClient{caller.client, make(chan struct{}, 1)}
	outcomes := make(chan outcome, 1)
	stalled := clock.After(stallTimeout)
	go func() {
		answer, err := callWith[Request, Answer](ctx, trackedClient, address, procedure, request)
		outcomes <- outcome{answer, err}
	}()
	for {
		select {
		case result := <-outcomes:
			return result.answer, result.err
		case <-trackedClient.progressed:
			stalled = clock.After(stallTimeout)
		case <-stalled:
			callErrors.With(procedure[len(Prefix):], sideMade).Inc()
			return nil, errors.Annotatef(ErrStalled, "%s at peer %s", procedure[len(Prefix):], address)
		}
	}
}
