package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gannetline/internal/platform/clock"
)

// tracker counts what a server has read and not answered yet.
type tracker struct {
	clock      clock.Clock
	isLeaving  atomic.Bool
	open       atomic.Int64
	unanswered atomic.Int64
	lastAccept atomic.Int64
	lastRead   atomic.Int64
}

func (t *tracker) sinceAccept() time.Duration {
	return t.clock.Monotonic() - time.Duration(t.lastAccept.Load())
}

func (t *tracker) sinceRead() time.Duration {
	return t.clock.Monotonic() - time.Duration(t.lastRead.Load())
}

// trackingListener gives tracked connections. It fails only once it is closed: any other fault, as a lack of
// descriptors, is reported as one that passes, and http.Server accepts again after a pause.
type trackingListener struct {
	net.Listener
	tracker  *tracker
	slots    chan struct{}
	isClosed atomic.Bool
	closed   chan struct{}
}

func newTrackingListener(listener net.Listener, tracker *tracker) *trackingListener {
	return &trackingListener{Listener: listener, tracker: tracker, closed: make(chan struct{})}
}

// Accept waits for a connection, and before that for room if the connections are bounded.
func (l *trackingListener) Accept() (net.Conn, error) {
	if !l.takeSlot() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.freeSlot()
		if l.isClosed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		return nil, transientError{err}
	}
	l.tracker.open.Add(1)
	l.tracker.lastAccept.Store(int64(l.tracker.clock.Monotonic()))
	return &connection{Conn: conn, listener: l}, nil
}

// takeSlot waits for a free slot among the connections allowed at once; it is false when the listener was closed.
func (l *trackingListener) takeSlot() bool {
	if l.slots == nil {
		return true
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.closed:
		return false
	}
}

func (l *trackingListener) freeSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

// Close ends Accept; the connections stay open.
func (l *trackingListener) Close() error {
	if !l.isClosed.CompareAndSwap(false, true) {
		return nil
	}
	close(l.closed)
	return l.Listener.Close()
}

// transientError is a failure to accept after which accepting goes on.
type transientError struct{ error }

// Timeout is false: no deadline is set on accepting.
func (transientError) Timeout() bool { return false }

// Temporary is true, which makes http.Server go on.
func (transientError) Temporary() bool { return true }

// Unwrap gives the error of accepting.
func (e transientError) Unwrap() error { return e.error }

// connection knows whether anything was read since its last answer.
type connection struct {
	net.Conn
	listener     *trackingListener
	isUnanswered atomic.Bool
	isClosed     atomic.Bool
}

// Read notes that a request, or a part of one, has arrived.
func (c *connection) Read(room []byte) (int, error) {
	count, err := c.Conn.Read(room)
	if count > 0 {
		tracker := c.listener.tracker
		tracker.lastRead.Store(int64(tracker.clock.Monotonic()))
		if c.isUnanswered.CompareAndSwap(false, true) {
			tracker.unanswered.Add(1)
		}
	}
	return count, err
}

func (c *connection) answered() {
	if c.isUnanswered.CompareAndSwap(true, false) {
		c.listener.tracker.unanswered.Add(-1)
	}
}

// Close closes the connection and gives its room free.
func (c *connection) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		c.answered()
		c.listener.tracker.open.Add(-1)
		c.listener.freeSlot()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending side, which http.Server does before it closes, so that the last answer is not lost.
func (c *connection) CloseWrite() error {
	if half, canHalf := c.Conn.(interface{ CloseWrite() error }); canHalf {
		return half.CloseWrite()
	}
	return nil
}

// connectionKey finds the connection in the context of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// noteState clears the mark of a connection that waits for its next request.
func noteState(conn net.Conn, state http.ConnState) {
	tracked, isTracked := conn.(*connection)
	if isTracked && state == http.StateIdle {
		tracked.answered()
	}
}
