package httpserver

import (
	"bufio"
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

// steppedClock is a clock for a server that leaves: its waits end when a test says so, one after another.
type steppedClock struct {
	now   atomic.Int64
	waits chan steppedWait
	next  *steppedWait
}

type steppedWait struct {
	due  time.Duration
	ring chan time.Time
}

func newSteppedClock() *steppedClock { return &steppedClock{waits: make(chan steppedWait)} }

func (c *steppedClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *steppedClock) WallMs() int64            { return 0 }
func (c *steppedClock) After(wait time.Duration) <-chan time.Time {
	one := steppedWait{c.Monotonic() + wait, make(chan time.Time, 1)}
	c.waits <- one
	return one.ring
}

// pass lets time go on to a moment, or until the leave is over, and tells whether it is.
func (c *steppedClock) pass(until time.Duration, left <-chan struct{}) bool {
	for {
		if c.next == nil {
			select {
			case one := <-c.waits:
				c.next = &one
			case <-left:
				return true
			}
		}
		if c.next.due > until {
			c.now.Store(int64(until))
			return false
		}
		c.now.Store(int64(c.next.due))
		c.next.ring <- time.Time{}
		c.next = nil
	}
}

const (
	plainRequest = "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"
	soon         = 20 * time.Second
)

var times = LeaveTimes{Notice: 2200 * time.Millisecond, Quiet: 250 * time.Millisecond, CallsEnd: 4500 * time.Millisecond, Close: 5500 * time.Millisecond}

// served is a server on the loopback device whose leave is played step by step.
type served struct {
	server  *Server
	clock   *steppedClock
	address string
	left    chan struct{}
}

func serve(handler http.HandlerFunc, options ...Option) *served {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	clock := newSteppedClock()
	one := &served{server: New(listener, handler, clock, logging.Silent(), options...), clock: clock, address: listener.Addr().String(), left: make(chan struct{})}
	go one.server.Serve()
	DeferCleanup(func() { one.server.inner.Close() })
	return one
}

func (s *served) leave() {
	go func() {
		s.server.Leave(times)
		close(s.left)
	}()
}

// client is one connection of a client.
type client struct {
	net.Conn
	answers *bufio.Reader
}

func (s *served) connect() *client {
	conn, err := net.Dial("tcp4", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(soon))).To(Succeed())
	return &client{conn, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads a whole answer and fails if the connection ends before.
func (c *client) answer() *http.Response {
	GinkgoHelper()
	answer, err := http.ReadResponse(c.answers, nil)
	Expect(err).NotTo(HaveOccurred(), "the connection closed without an answer")
	_, err = io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func ok(to http.ResponseWriter, _ *http.Request) { response.Empty(http.StatusOK).Write(to) }

// untilEnded answers only when its context ends, as a gate whose leader is away.
func untilEnded(begun chan<- struct{}) http.HandlerFunc {
	return func(to http.ResponseWriter, request *http.Request) {
		begun <- struct{}{}
		<-request.Context().Done()
		response.Empty(http.StatusGatewayTimeout).Write(to)
	}
}

var _ = Describe("a server that leaves", func() {
	It("answers a request that is under way when its calls are ended", func() {
		begun := make(chan struct{})
		one := serve(untilEnded(begun))
		caller := one.connect()
		caller.send(plainRequest)
		<-begun
		one.leave()
		one.clock.pass(times.CallsEnd, one.left)
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(answer.Close).To(BeTrue())
		Expect(one.clock.pass(times.Close, one.left)).To(BeTrue())
	})

	It("refuses what comes after its calls were ended, and gives back what the refusal should bear", func() {
		one := serve(ok, WithMarkedRefusals(func(from, to http.Header) { to.Set("X-Request-Id", from.Get("X-Request-Id")) }))
		caller := one.connect()
		one.server.isEnding.Store(true)
		caller.send("GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: 9c41\r\n\r\n")
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("X-Request-Id")).To(Equal("9c41"))
	})

	It("answers a request that arrives on a kept connection, and ends the connection with it", func() {
		one := serve(ok)
		caller := one.connect()
		caller.send(plainRequest)
		Expect(caller.answer().Close).To(BeFalse())
		one.leave()
		one.clock.pass(100*time.Millisecond, one.left)
		caller.send(plainRequest)
		Expect(caller.answer().Close).To(BeTrue())
	})

	DescribeTable("answers a request whose last byte comes late", func(when time.Duration, status int) {
		one := serve(ok)
		caller := one.connect()
		caller.send(plainRequest[:len(plainRequest)-2])
		Eventually(one.server.tracker.unanswered.Load).Should(Equal(int64(1)))
		one.leave()
		one.clock.pass(when, one.left)
		caller.send("\r\n")
		answer := caller.answer()
		Expect(answer.StatusCode).To(Equal(status))
		Expect(answer.Close).To(BeTrue())
		Expect(one.clock.pass(time.Minute, one.left)).To(BeTrue())
	},
		Entry("during the notice", 2*time.Second, 200),
		Entry("after it", 3*time.Second, 200),
		Entry("after the calls were ended: it was certainly not taken", 5*time.Second, 503),
	)

	It("serves new connections until the notice is over", func() {
		one := serve(ok)
		one.leave()
		one.clock.pass(times.Notice-time.Millisecond, one.left)
		caller := one.connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(200))
	})

	It("is gone soon after the notice if nothing arrives, with idle connections open", func() {
		one := serve(ok)
		caller := one.connect()
		caller.send(plainRequest)
		caller.answer()
		Eventually(one.server.tracker.unanswered.Load).Should(BeZero())
		one.leave()
		Expect(one.clock.pass(times.Notice+times.Quiet+checkInterval, one.left)).To(BeTrue())
		_, err := caller.answers.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("does not wait without end for a request that never comes whole", func() {
		one := serve(func(_ http.ResponseWriter, request *http.Request) { io.ReadAll(request.Body) })
		caller := one.connect()
		caller.send("POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nhalf")
		Eventually(one.server.tracker.unanswered.Load).Should(Equal(int64(1)))
		one.leave()
		Expect(one.clock.pass(times.Close-time.Millisecond, one.left)).To(BeFalse())
		Expect(one.clock.pass(times.Close+checkInterval, one.left)).To(BeTrue())
	})
})

var _ = Describe("a server", func() {
	It("answers 502 if a handler panics", func() {
		caller := serve(func(http.ResponseWriter, *http.Request) { panic("a fault") }).connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("cuts an answer that had begun when its handler panicked", func() {
		caller := serve(func(to http.ResponseWriter, _ *http.Request) {
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

	It("serves on after accepting failed", func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		one := &served{address: listener.Addr().String()}
		one.server = New(&failingListener{Listener: listener, failures: 2}, http.HandlerFunc(ok), newSteppedClock(), logging.Silent())
		ended := make(chan error, 1)
		go func() { ended <- one.server.Serve() }()
		DeferCleanup(func() { one.server.inner.Close() })
		caller := one.connect()
		caller.send(plainRequest)
		Expect(caller.answer().StatusCode).To(Equal(200))
		Expect(ended).NotTo(Receive())
	})

	It("keeps no idle connection while it has many, and lets the rest wait", func() {
		one := serve(ok, WithMaxConnections(4))
		var kept []*client
		for range 3 {
			caller := one.connect()
			caller.send(plainRequest)
			Expect(caller.answer().Close).To(BeFalse())
			kept = append(kept, caller)
		}
		fourth, waiting := one.connect(), one.connect()
		waiting.send(plainRequest)
		fourth.send(plainRequest)
		Expect(fourth.answer().Close).To(BeTrue())
		Expect(waiting.answer().Close).To(BeTrue())
		kept[0].send(strings.Replace(plainRequest, "/a", "/b", 1))
		Expect(kept[0].answer().StatusCode).To(Equal(200))
	})
})

// failingListener fails for want of memory before it accepts.
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
