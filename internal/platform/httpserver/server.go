// Package httpserver serves HTTP/1.1 and leaves in order: a request that has been read is answered before the server
// closes. The standard server's Shutdown, Close and SetKeepAlivesEnabled(false) are not enough for that: the first two
// drop requests that are read after them or take too long, and the last closes connections whose request has arrived
// and is not parsed yet.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	jujuerrors "github.com/juju/errors"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	checkInterval  = 50 * time.Millisecond
	retryAfterS    = 1
)

// Server answers the requests that come through one listener.
type Server struct {
	inner        *http.Server
	handler      http.Handler
	listener     *trackingListener
	clock        clock.Clock
	log          logging.Logger
	isEnding     atomic.Bool
	endCalls     func()
	calls        context.Context
	tracker      tracker
	maxKeptBytes int64
	// markRefusal copies from a request that is refused what its answer gives back.
	markRefusal func(from, to http.Header)
}

// Option changes how a server is made.
type Option func(*Server)

// WithMaxConnections bounds the connections that are open at once; more wait to be accepted. Beyond three quarters of
// them an answer ends its connection, so that idle ones leave room for new ones.
func WithMaxConnections(limit int) Option {
	return func(s *Server) {
		s.listener.slots = make(chan struct{}, limit)
		s.maxKeptBytes = int64(limit) * 3 / 4
	}
}

// WithMarkedRefusals has the refusals of a server that leaves give back what the function copies from their requests.
func WithMarkedRefusals(mark func(from, to http.Header)) Option {
	return func(s *Server) { s.markRefusal = mark }
}

// New makes a server for a listener. It takes no connection before Serve.
func New(listener net.Listener, handler http.Handler, clock clock.Clock, log logging.Logger, options ...Option) *Server {
	server := &Server{handler: handler, clock: clock, log: log, markRefusal: func(http.Header, http.Header) {}}
	server.tracker.clock = clock
	server.listener = newTrackingListener(listener, &server.tracker)
	server.calls, server.endCalls = context.WithCancel(context.Background())
	server.inner = &http.Server{
		Handler:           http.HandlerFunc(server.serveRequest),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return server.calls },
		ConnContext:       withConnection,
		ConnState:         noteState,
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve takes connections until Leave stops accepting them; then it returns nil, while requests may be under way. An error is
// one of the listener. It must be called once.
func (s *Server) Serve() error {
	err := s.inner.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return jujuerrors.Annotate(err, "accepting connections")
}

// LeaveTimes says how a server leaves; all are counted from the call of Leave but Quiet.
type LeaveTimes struct {
	// Notice is how long new connections are taken at least, so that callers may learn to go elsewhere.
	Notice time.Duration
	// Quiet is how long nothing may arrive before the listener closes, and again before the server does.
	Quiet time.Duration
	// CallsEnd is when the contexts of the requests under way end, and later requests are refused at once.
	CallsEnd time.Duration
	// Close is when the server closes although requests are unanswered.
	Close time.Duration
}

// Leave answers what was read and closes the server. From its call on every answer ends its connection. It returns once
// all is answered and nothing new arrives, at the latest at the time to close. It must be called once, on another goroutine than
// that of Serve.
func (s *Server) Leave(times LeaveTimes) {
	defer s.inner.Close()
	defer s.endCalls()
	begun := s.clock.Monotonic()
	s.tracker.isLeaving.Store(true)
	if times.Notice > 0 {
		<-s.clock.After(times.Notice)
	}
	for !s.hasLeft(times, s.clock.Monotonic()-begun) {
		<-s.clock.After(checkInterval)
	}
}

// hasLeft does what is due so long after the beginning of the leave, and tells whether the server may close.
func (s *Server) hasLeft(times LeaveTimes, passed time.Duration) bool {
	if passed >= times.CallsEnd {
		s.isEnding.Store(true)
		s.endCalls()
	}
	if passed >= times.CallsEnd || s.tracker.sinceAccept() >= times.Quiet {
		s.listener.Close()
	}
	if passed >= times.Close {
		s.log.Info("connections still open at exit", "unanswered", s.tracker.unanswered.Load())
		return true
	}
	return s.listener.isClosed.Load() && s.tracker.unanswered.Load() == 0 && s.tracker.sinceRead() >= times.Quiet
}

// serveRequest answers one request, also if its handler panics or the calls have been ended.
func (s *Server) serveRequest(to http.ResponseWriter, request *http.Request) {
	answer := &answerWriter{ResponseWriter: to, server: s}
	defer s.finish(answer, request)
	defer s.recoverPanic(answer)
	if s.isEnding.Load() {
		s.markRefusal(request.Header, answer.Header())
		response.Later(http.StatusServiceUnavailable, retryAfterS, "this process is leaving").Write(answer)
		return
	}
	s.handler.ServeHTTP(answer, request)
}

// recoverPanic answers 502, after which nobody takes the request for refused. An answer that has begun can only be cut.
func (s *Server) recoverPanic(answer *answerWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, isError := cause.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	s.log.Error(jujuerrors.Errorf("panic: %v\n%s", cause, debug.Stack()), "handler failed")
	if answer.hasBegun {
		panic(http.ErrAbortHandler)
	}
	response.Text(http.StatusBadGateway, "this process failed while it answered").Write(answer)
}

// finish hands the answer to the system at once while the server leaves, so that it may close right after.
func (s *Server) finish(answer *answerWriter, request *http.Request) {
	if !s.tracker.isLeaving.Load() {
		return
	}
	if err := http.NewResponseController(answer.ResponseWriter).Flush(); err != nil {
		return
	}
	if connection, isTracked := request.Context().Value(connectionKey{}).(*connection); isTracked {
		connection.answered()
	}
}

// endsConnection tells whether an answer that begins now must be the last of its connection.
func (s *Server) endsConnection() bool {
	return s.tracker.isLeaving.Load() || s.maxKeptBytes > 0 && s.tracker.open.Load() > s.maxKeptBytes
}

// answerWriter adds the header that ends the connection, at the moment when the answer begins.
type answerWriter struct {
	http.ResponseWriter
	server   *Server
	hasBegun bool
}

// Unwrap gives the writer below, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader begins the answer, if the status is a final one.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.hasBegun {
		w.hasBegun = true
		if w.server.endsConnection() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer with status 200 if nothing else began it.
func (w *answerWriter) Write(text []byte) (int, error) {
	if !w.hasBegun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(text)
}
