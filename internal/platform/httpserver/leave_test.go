package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
)

// steppedClock is a manual clock for a server that shuts down. It hands each wait to advance, which ends them one after another.
type steppedClock struct {
	now   atomic.Int64
	waits chan steppedWait
	next  *steppedWait
}

// steppedWait is one call of After. due is the end of the wait on the monotonic clock.
type steppedWait struct {
	due  time.Duration
	done chan time.Time
}

func newSteppedClock() *steppedClock { return &steppedClock{waits: make(chan steppedWait)} }

func (c *steppedClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *steppedClock) WallMs() int64            { return 0 }
func (c *steppedClock) After(wait time.Duration) <-chan time.Time {
	next := steppedWait{c.Monotonic() + wait, make(chan time.Time, 1)}
	c.waits <- next
	return next.done
}

// advance moves the clock to a target time or until the shutdown is done, and reports whether it is done.
func (c *steppedClock) advance(target time.Duration, shutdownDone <-chan struct{}) bool {
	for {
		if c.next == nil {
			select {
			case next := <-c.waits:
				c.next = &next
			case <-shutdownDone:
				return true
			}
		}
		if c.next.due > target {
			c.now.Store(int64(target))
			return false
		}
		c.now.Store(int64(c.next.due))
		c.next.done <- time.Time{}
		c.next = nil
	}
}

const (
	plainRequest      = "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"
	connectionTimeout = 20 * time.Second
)

var shutdownTimes = ShutdownTimes{Notice: 2200 * time.Millisecond, Quiet: 250 * time.Millisecond, CallsEnd: 4500 * time.Millisecond, Close: 5500 * time.Millisecond}

// testServer is a server on the loopback interface with a manual clock.
type testServer struct {
	server       *Server
	clock        *steppedClock
	address      string
	shutdownDone chan struct{}
}

func startServer(handler http.HandlerFunc, options ...Option) *testServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	clock := newSteppedClock()
	fixture := &testServer{server: New(listener, handler, clock, logging.Silent(), options...), clock: clock, address: listener.Addr().String(), shutdownDone: make(chan struct{})}
	go fixture.server.Serve()
	DeferCleanup(func() { fixture.server.inner.Close() })
	return fixture
}

func (s *testServer) startShutdown() {
	go func() {
		s.server.Shutdown(shutdownTimes)
		close(s.shutdownDone)
	}()
}

// client is one client connection.
type client struct {
	net.Conn
	answers *bufio.Reader
}

func (s *testServer) connect() *client {
	conn, err := net.Dial("tcp4", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(connectionTimeout))).To(Succeed())
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads a complete answer. It fails the spec if the connection closes before.
func (c *client) answer() *http.Response {
	GinkgoHelper()
	answer, err := http.ReadResponse(c.answers, nil)
	Expect(err).NotTo(HaveOccurred(), "the connection closed without a complete answer")
	_, err = io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func answerOK(to http.ResponseWriter, _ *http.Request) { response.Empty(http.StatusOK).Write(to) }

// blockUntilCancelled answers only when the context of its request ends, like a gate that has no leader.
func blockUntilCancelled(started chan<- struct{}) http.HandlerFunc {
	return func(to http.ResponseWriter, request *http.Request) {
		started <- struct{}{}
		<-request.Context().Done()
		response.Empty(http.StatusGatewayTimeout).Write(to)
	}
}

var _ = Describe("Shutdown", func() {
	It("answers a request in flight when it cancels the contexts of requests", func() {
		started := make(chan struct{})
		fixture := startServer(blockUntilCancelled(started))
		caller := fixture.connect()
		caller.send(plainRequest)
		<-started
		fixture.startShutdown()
		fixture.clock.advance(shutdownTimes.CallsEnd, fixture.shutdownDone)
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(answer.Close).To(BeTrue())
		Expect(fixture.clock.advance(shutdownTimes.Close, fixture.shutdownDone)).To(BeTrue())
	})

	// Guards against streams that were cut with the calls that wait for a leader, and against requests that are cut because they came too late.
	It("cancels calls first and all other requests later, and says which requests can be answered until then", func() {
		times := shutdownTimes
		times.RequestsEnd = 5 * time.Second
		started, callEnded, requestEnded := make(chan context.Context), make(chan struct{}), make(chan struct{})
		fixture := startServer(func(to http.ResponseWriter, request *http.Request) {
			call, cancel := UntilCallsEnd(request.Context())
			defer cancel()
			started <- request.Context()
			<-call.Done()
			close(callEnded)
			<-request.Context().Done()
			close(requestEnded)
			response.Empty(http.StatusGatewayTimeout).Write(to)
		})
		caller := fixture.connect()
		caller.send(plainRequest)
		ctx := <-started
		Expect(MayComplete(ctx, time.Hour)).To(BeTrue())
		go func() {
			fixture.server.Shutdown(times)
			close(fixture.shutdownDone)
		}()
		fixture.clock.advance(times.Notice-time.Millisecond, fixture.shutdownDone)
		Expect(MayComplete(ctx, time.Hour)).To(BeTrue(), "clients don't know of the shutdown yet")
		fixture.clock.advance(3*time.Second, fixture.shutdownDone)
		Expect(MayComplete(ctx, 2*time.Second)).To(BeTrue())
		Expect(MayComplete(ctx, 2*time.Second+time.Millisecond)).To(BeFalse())
		Expect(callEnded).NotTo(BeClosed())
		fixture.clock.advance(times.CallsEnd+checkInterval, fixture.shutdownDone)
		Eventually(callEnded).Should(BeClosed())
		Expect(requestEnded).NotTo(BeClosed())
		fixture.clock.advance(times.RequestsEnd+checkInterval, fixture.shutdownDone)
		Eventually(requestEnded).Should(BeClosed())
		Expect(caller.answer().StatusCode).To(Equal(http.StatusGatewayTimeout))
	})

	It("refuses requests after it has cancelled the contexts, and copies headers to the refusal", func() {
		fixture := startServer(answerOK, WithRefusalHeaders(func(from, to http.Header) { to.Set("X-Request-Id", from.Get("X-Request-Id")) }))
		caller := fixture.connect()
		fixture.server.isRefusing.Store(true)
		caller.send("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41\r\n\r\n")
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("X-Request-Id")).To(Equal("9c41"))
	})

	It("answers a request on a keep-alive connection and closes the connection", func() {
		fixture := startServer(answerOK)
		caller := fixture.connect()
		caller.send(plainRequest)
		Expect(caller.answer().Close).To(BeFalse())
		fixture.startShutdown()
		fixture.clock.advance(100*time.Millisecond, fixture.shutdownDone)
		caller.send(plainRequest)
		Expect(caller.answer().Close).To(BeTrue())
	})

	DescribeTable("answers a request whose last byte arrives during the shutdown", func(arrival time.Duration, status int) {
		fixture := startServer(answerOK)
		caller := fixture.connect()
		caller.send(plainRequest[:len(plainRequest)-2])
		Eventually(fixture.server.tracker.unansweredCount.Load).Should(Equal(int64(1)))
		fixture.startShutdown()
		fixture.clock.advance(arrival, fixture.shutdownDone)
		caller.send("\r\n")
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(status))
		Expect(answer.Close).To(BeTrue())
		Expect(fixture.clock.advance(time.Minute, fixture.shutdownDone)).To(BeTrue())
	},
		Entry("during Notice", 2*time.Second, 200),
		Entry("between Notice and CallsEnd", 3*time.Second, 200),
		Entry("after CallsEnd, with a status that says that it was not executed", 5*time.Second, 503),
	)

	It("accepts new connections during Notice", func() {
		fixture := startServer(answerOK)
		fixture.startShutdown()
		fixture.clock.advance(shutdownTimes.Notice-time.Millisecond, fixture.shutdownDone)
		caller := fixture.connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(200))
	})

	It("returns soon after Notice if nothing arrives, and closes idle connections", func() {
		fixture := startServer(answerOK)
		caller := fixture.connect()
		caller.send(plainRequest)
		caller.answer()
		Eventually(fixture.server.tracker.unansweredCount.Load).Should(BeZero())
		fixture.startShutdown()
		Expect(fixture.clock.advance(shutdownTimes.Notice+shutdownTimes.Quiet+checkInterval, fixture.shutdownDone)).To(BeTrue())
		_, err := caller.answers.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("closes at Close although a request is incomplete", func() {
		fixture := startServer(func(_ http.ResponseWriter, request *http.Request) { io.ReadAll(request.Body) })
		caller := fixture.connect()
		caller.send("POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nhalf")
		Eventually(fixture.server.tracker.unansweredCount.Load).Should(Equal(int64(1)))
		fixture.startShutdown()
		Expect(fixture.clock.advance(shutdownTimes.Close-time.Millisecond, fixture.shutdownDone)).To(BeFalse())
		Expect(fixture.clock.advance(shutdownTimes.Close+checkInterval, fixture.shutdownDone)).To(BeTrue())
	})
})

var _ = Describe("Server", func() {
	It("answers 502 if the handler panics", func() {
		caller := startServer(func(http.ResponseWriter, *http.Request) { panic("a fault") }).connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("cuts the connection if the handler panics after the start of the answer", func() {
		caller := startServer(func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("Content-Length", "10")
			io.WriteString(to, "half")
			panic("a fault")
		}).connect()
		caller.send(plainRequest)
		answer, err := http.ReadResponse(caller.answers, nil)
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("continues to accept after errors of the listener", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		fixture := &testServer{address: listener.Addr().String()}
		fixture.server = New(&failingListener{Listener: listener, failures: 2}, http.HandlerFunc(answerOK), newSteppedClock(), logging.Silent())
		serveResult := make(chan error, 1)
		go func() { serveResult <- fixture.server.Serve() }()
		DeferCleanup(func() { fixture.server.inner.Close() })
		caller := fixture.connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(200))
		Expect(serveResult).NotTo(Receive())
	})

	It("closes connections after their answer near the limit, and lets those beyond the limit wait", func() {
		fixture := startServer(answerOK, WithMaxConnections(4))
		var reused []*client
		for range 3 {
			caller := fixture.connect()
			caller.send(plainRequest)
			Expect(caller.answer().Close).To(BeFalse())
			reused = append(reused, caller)
		}
		fourth, waiting := fixture.connect(), fixture.connect()
		waiting.send(plainRequest)
		fourth.send(plainRequest)
		Expect(fourth.answer().Close).To(BeTrue())
		Expect(waiting.answer().Close).To(BeTrue())
		reused[0].send(strings.Replace(plainRequest, "/a", "/b", 1))
		Expect(reused[0].answer().StatusCode).To(Equal(200))
	})
})

// failingListener returns errors from the first calls of Accept, as a system without free socket buffers does.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("no buffer space available")
	}
	return l.Listener.Accept()
}
