package peerapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/clock"
)

// ErrStalled is the cause of a call that was given up because nothing came for too long.
const ErrStalled = errors.ConstError("no byte of the answer came in time")

// maxMovingCall bounds a call that keeps moving, so that a peer which sends a byte now and then can't hold it forever.
const maxMovingCall = 30 * time.Second

// movingClient reports each part of an answer that arrives.
type movingClient struct {
	client *http.Client
	moved  chan struct{}
}

// report notes that something came; it never blocks.
func (m movingClient) report() {
	select {
	case m.moved <- struct{}{}:
	default:
	}
}

// Do sends the request; the body of its answer reports what is read.
func (m movingClient) Do(request *http.Request) (*http.Response, error) {
	response, err := m.client.Do(request)
	if err != nil {
		return nil, err
	}
	m.report()
	response.Body = movingBody{response.Body, m}
	return response, nil
}

// movingBody is the body of an answer whose reads are reported.
type movingBody struct {
	io.ReadCloser
	client movingClient
}

// Read passes on bytes and reports that some came.
func (b movingBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if count > 0 {
		b.client.report()
	}
	return count, err
}

// CallWithStallTimeout asks the peer at an address, and gives up only once nothing of the answer has come for as long
// as the patience: a slow link is no reason to end a call, a silent one is. The cause is then ErrStalled.
func CallWithStallTimeout[Request, Answer any](ctx context.Context, caller *Caller, clock clock.Clock, address, procedure string,
	patience time.Duration, request *Request) (*Answer, error) {
	type outcome struct {
		answer *Answer
		err    error
	}
	ctx, release := context.WithTimeout(ctx, maxMovingCall)
	defer release()
	moving := movingClient{caller.client, make(chan struct{}, 1)}
	outcomes := make(chan outcome, 1)
	stall := clock.After(patience)
	go func() {
		answer, err := callThrough[Request, Answer](ctx, moving, address, procedure, request)
		outcomes <- outcome{answer, err}
	}()
	for {
		select {
		case done := <-outcomes:
			return done.answer, done.err
		case <-moving.moved:
			stall = clock.After(patience)
		case <-stall:
			callErrors.With(procedure[len(Prefix):], sideMade).Inc()
			return nil, errors.Annotatef(ErrStalled, "%s at peer %s", procedure[len(Prefix):], address)
		}
	}
}
