// Package httpserver serves HTTP/1.1 and shuts down gracefully: it answers every request that it has read before it closes. The methods of
// http.Server don't ensure that. Shutdown and Close drop requests that take too long or are read after the call, and
// SetKeepAlivesEnabled(false) closes connections whose request has arrived but is not parsed yet.
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
	// checkInterval is the time between two checks whether a server that shuts down may close.
	checkInterval = 50 * time.Millisecond
	// retryAfterS is the Retry-After header, in seconds, of a request that is refused during the shutdown.
	retryAfterS = 1
)

// Server answers the requests that come through one listener.
type Server struct {
	inner    *http.Server
	handler  http.Handler
	listener *trackingListener
	clock    clock.Clock
	log      logging.Logger
	// isRefusing is true once the shutdown refuses new requests.
	isRefusing atomic.Bool
	// requestContext is the parent of the contexts of all requests, and callsContext ends the contexts of UntilCallsEnd.
	requestContext context.Context
	callsContext   context.Context
	// cancelRequests cancels requestContext and cancelCalls cancels callsContext.
	cancelRequests func()
	cancelCalls    func()
	// shutdown is nil until Shutdown is called.
	shutdown atomic.Pointer[shutdown]
	tracker  tracker
	// maxReusedConnections is the number of open connections beyond which each answer closes its connection. 0 means no limit.
	maxReusedConnections int64
	// copyRefusalHeaders copies headers from a refused request to its answer.
	copyRefusalHeaders func(from, to http.Header)
}

// Option configures a server.
type Option func(*Server)

// WithMaxConnections limits the number of open connections. Further ones wait to be accepted. While more than three quarters of the limit
// are open, each answer closes its connection, so that idle connections don't keep new ones out.
func WithMaxConnections(limit int) Option {
	return func(s *Server) {
		s.listener.slots = make(chan struct{}, limit)
		s.maxReusedConnections = int64(limit) * 3 / 4
	}
}

// WithRefusalHeaders sets a function that copies headers from a request that is refused during the shutdown to its answer.
func WithRefusalHeaders(copyHeaders func(from, to http.Header)) Option {
	return func(s *Server) { s.copyRefusalHeaders = copyHeaders }
}

// New creates a server for a listener. It accepts no connection before Serve.
func New(listener net.Listener, handler http.Handler, clock clock.Clock, log logging.Logger, options ...Option) *Server {
	server := &Server{handler: handler, clock: clock, log: log, copyRefusalHeaders: func(http.Header, http.Header) {}}
	server.tracker.clock = clock
	server.listener = newTrackingListener(listener, &server.tracker)
	server.callsContext, server.cancelCalls = context.WithCancel(context.Background())
	server.requestContext, server.cancelRequests = context.WithCancel(context.WithValue(context.Background(), serverKey{}, server))
	server.inner = &http.Server{
		Handler:           http.HandlerFunc(server.serveRequest),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return server.requestContext },
		ConnContext:       withConnection,
		ConnState:         handleConnState,
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Serve accepts connections until Shutdown closes the listener. It then returns nil, while requests may still be in flight. Other
// errors of the listener don't end it (see trackingListener). Serve must be called only once.
func (s *Server) Serve() error {
	err := s.inner.Serve(s.listener)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return jujuerrors.Annotate(err, "accepting connections")
}

// ShutdownTimes holds the timeouts of a shutdown. All but Quiet are counted from the call of Shutdown.
type ShutdownTimes struct {
	// Notice is the minimum time for which new connections are accepted, so that callers can switch to other processes meanwhile.
	Notice time.Duration
	// Quiet is the time without a new connection after which the listener closes, and the time without received bytes after which the
	// server may close. The listener closes at CallsEnd at the latest.
	Quiet time.Duration
	// CallsEnd is when the contexts of UntilCallsEnd are cancelled. Later requests are refused.
	CallsEnd time.Duration
	// RequestsEnd is when the contexts of all requests in flight are cancelled. It counts as CallsEnd if it is earlier.
	RequestsEnd time.Duration
	// Close is when the server closes even if requests are unanswered.
	Close time.Duration
}

// requestsEnd returns when the contexts of all requests are cancelled.
func (t *ShutdownTimes) requestsEnd() time.Duration { return max(t.CallsEnd, t.RequestsEnd) }

// Shutdown answers the requests that have been read and closes the server. During the shutdown each answer closes its connection. Shutdown
// returns once all requests are answered and no new ones arrive, or after times.Close. It must be called only once, and not on the goroutine
// of Serve.
func (s *Server) Shutdown(times ShutdownTimes) {
	defer s.inner.Close()
	defer s.cancelRequests()
	defer s.cancelCalls()
	startedAt := s.clock.Monotonic()
	s.shutdown.Store(&shutdown{times: times, startedAt: startedAt})
	s.tracker.isShuttingDown.Store(true)
	if times.Notice > 0 {
		<-s.clock.After(times.Notice)
	}
	for !s.advanceShutdown(times, s.clock.Monotonic()-startedAt) {
		<-s.clock.After(checkInterval)
	}
}

// advanceShutdown cancels requests and closes the listener when their times have come, and reports whether the server may close.
// elapsed is the time since the start of the shutdown.
func (s *Server) advanceShutdown(times ShutdownTimes, elapsed time.Duration) bool {
	if elapsed >= times.CallsEnd {
		s.isRefusing.Store(true)
		s.cancelCalls()
	}
	if elapsed >= times.requestsEnd() {
		s.cancelRequests()
	}
	if elapsed >= times.CallsEnd || s.tracker.sinceAccept() >= times.Quiet {
		s.listener.Close()
	}
	if elapsed >= times.Close {
		s.log.Info("connections still open at exit", "unanswered", s.tracker.unansweredCount.Load())
		return true
	}
	return s.listener.isClosed.Load() && s.tracker.unansweredCount.Load() == 0 && s.tracker.sinceRead() >= times.Quiet
}

// serveRequest answers one request. It refuses requests while isRefusing is set, and answers 502 if the handler panics.
func (s *Server) serveRequest(writer http.ResponseWriter, request *http.Request) {
	answer := &answerWriter{ResponseWriter: writer, server: s}
	defer s.flushAnswer(answer, request)
	defer s.recoverPanic(answer)
	if s.isRefusing.Load() {
		s.copyRefusalHeaders(request.Header, answer.Header())
		response.Later(http.StatusServiceUnavailable, retryAfterS, "this process is leaving").Write(answer)
		return
	}
	s.handler.ServeHTTP(answer, request)
}

// recoverPanic answers a request with 502 if its handler panicked. Clients don't take that status for a refusal, so they don't assume that
// the request was not executed. If the answer has started, recoverPanic cuts the connection.
func (s *Server) recoverPanic(answer *answerWriter) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, isError := cause.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	s.log.Error(jujuerrors.Errorf("panic: %v\n%s", cause, debug.Stack()), "handler failed")
	if answer.hasStarted {
		panic(http.ErrAbortHandler)
	}
	response.Text(http.StatusBadGateway, "this process failed while it answered").Write(answer)
}

// flushAnswer flushes the answer during a shutdown and marks its connection as answered, so that the server can close right after.
func (s *Server) flushAnswer(answer *answerWriter, request *http.Request) {
	if !s.tracker.isShuttingDown.Load() {
		return
	}
	if err := http.NewResponseController(answer.ResponseWriter).Flush(); err != nil {
		return
	}
	if tracked, isTracked := request.Context().Value(connectionKey{}).(*connection); isTracked {
		tracked.markAnswered()
	}
}

// closesConnection reports whether an answer that starts now closes its connection.
func (s *Server) closesConnection() bool {
	return s.tracker.isShuttingDown.Load() || s.maxReusedConnections > 0 && s.tracker.openCount.Load() > s.maxReusedConnections
}

// answerWriter adds the header "Connection: close", if the connection is to be closed, at the start of the answer.
type answerWriter struct {
	http.ResponseWriter
	server     *Server
	hasStarted bool
}

// Unwrap returns the underlying writer. http.ResponseController calls it.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader starts the answer if the status is final, that is 200 or above.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.hasStarted {
		w.hasStarted = true
		if w.server.closesConnection() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write starts the answer with status 200 if it has not started yet.
func (w *answerWriter) Write(data []byte) (int, error) {
	if !w.hasStarted {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}
