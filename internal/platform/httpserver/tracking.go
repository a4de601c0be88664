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

// tracker counts the connections of a server and records when it last accepted one and last read from one.
type tracker struct {
	clock          clock.Clock
	isShuttingDown atomic.Bool
	// openCount is the number of open connections.
	openCount atomic.Int64
	// unansweredCount is the number of connections with a request, or a part of one, that has been read and has no answer yet.
	unansweredCount atomic.Int64
	// lastAccept and lastRead are times of the monotonic clock, in nanoseconds.
	lastAccept atomic.Int64
	lastRead   atomic.Int64
}

func (t *tracker) sinceAccept() time.Duration {
	return t.clock.Monotonic() - time.Duration(t.lastAccept.Load())
}

func (t *tracker) sinceRead() time.Duration {
	return t.clock.Monotonic() - time.Duration(t.lastRead.Load())
}

// trackingListener accepts tracked connections. Until it is closed, it reports every error, such as a lack of file descriptors, as a
// temporary one, so that http.Server accepts again after a pause.
type trackingListener struct {
	net.Listener
	tracker *tracker
	// slots holds an element for each open connection and for the Accept in progress. It is nil if their number is not bounded.
	slots    chan struct{}
	isClosed atomic.Bool
	// closeSignal is closed by Close.
	closeSignal chan struct{}
}

func newTrackingListener(listener net.Listener, tracker *tracker) *trackingListener {
	return &trackingListener{Listener: listener, tracker: tracker, closeSignal: make(chan struct{})}
}

// Accept waits for a free slot, if the number of connections is bounded, and then for a connection.
func (l *trackingListener) Accept() (net.Conn, error) {
	if !l.acquireSlot() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		if l.isClosed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		return nil, transientError{err}
	}
	l.tracker.openCount.Add(1)
	l.tracker.lastAccept.Store(int64(l.tracker.clock.Monotonic()))
	return &connection{Conn: conn, listener: l}, nil
}

// acquireSlot waits for a free slot. It returns false if the listener is closed before there is one.
func (l *trackingListener) acquireSlot() bool {
	if l.slots == nil {
		return true
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.closeSignal:
		return false
	}
}

func (l *trackingListener) releaseSlot() {
	if l.slots != nil {
		<-l.slots
	}
}

// Close makes Accept return net.ErrClosed. Open connections stay open.
func (l *trackingListener) Close() error {
	if !l.isClosed.CompareAndSwap(false, true) {
		return nil
	}
	close(l.closeSignal)
	return l.Listener.Close()
}

// transientError is an error of Accept after which http.Server accepts again.
type transientError struct{ error }

// Timeout implements net.Error. It is false, as Accept has no deadline.
func (transientError) Timeout() bool { return false }

// Temporary implements net.Error. It is true, which makes http.Server accept again.
func (transientError) Temporary() bool { return true }

// Unwrap returns the error of Accept.
func (e transientError) Unwrap() error { return e.error }

// connection is a client connection that records whether it has a request that is not answered yet.
type connection struct {
	net.Conn
	listener *trackingListener
	// isUnanswered is true while a request, or a part of one, has been read and has no answer yet.
	isUnanswered atomic.Bool
	isClosed     atomic.Bool
}

// Read marks the connection as unanswered once a request, or a part of one, has arrived.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		tracker := c.listener.tracker
		tracker.lastRead.Store(int64(tracker.clock.Monotonic()))
		if c.isUnanswered.CompareAndSwap(false, true) {
			tracker.unansweredCount.Add(1)
		}
	}
	return count, err
}

func (c *connection) markAnswered() {
	if c.isUnanswered.CompareAndSwap(true, false) {
		c.listener.tracker.unansweredCount.Add(-1)
	}
}

// Close closes the connection and releases its slot.
func (c *connection) Close() error {
	if c.isClosed.CompareAndSwap(false, true) {
		c.markAnswered()
		c.listener.tracker.openCount.Add(-1)
		c.listener.releaseSlot()
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side. http.Server calls it before Close, so that the last answer is not lost.
func (c *connection) CloseWrite() error {
	if closer, canCloseWrite := c.Conn.(interface{ CloseWrite() error }); canCloseWrite {
		return closer.CloseWrite()
	}
	return nil
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// handleConnState marks a connection as answered when it becomes idle. It is the ConnState hook of http.Server.
func handleConnState(conn net.Conn, state http.ConnState) {
	tracked, isTracked := conn.(*connection)
	if isTracked && state == http.StateIdle {
		tracked.markAnswered()
	}
}
