package roles

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
)

var _ = Describe("a process that shuts down", func() {
	DescribeTable("cancels a gate's calls while there is time left to write their answers", func(gracePeriod time.Duration) {
		times := clientShutdownTimes(gracePeriod)
		Expect(times.Notice).To(BeNumerically("<=", noticeTime))
		Expect(times.CallsEnd).To(BeNumerically(">", times.Notice))
		Expect(times.Close - times.CallsEnd).To(BeNumerically(">=", gracePeriod/8))
		Expect(times.RequestsEnd).To(BeNumerically(">", gracePeriod*5/6))
		Expect(times.Close).To(BeNumerically(">", times.RequestsEnd))
		Expect(times.Close).To(BeNumerically("<", gracePeriod))
	},
		Entry("a short grace period", time.Second),
		Entry("the usual grace period", 6*time.Second),
		Entry("a long grace period", time.Minute),
	)

	It("is not killed by SIGHUP after it has stopped watching its settings", func() {
		b := &base{clock: clock.NewFake(0), log: logging.Silent(), hangups: subscribeHangups()}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(b.watchSettings(ctx)).To(Succeed())
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(b.hangups).Should(Receive())
	})
})

// manualClock is a clock whose time the test sets. One wait ends for each value that the test sends to wake, and all end when it closes wake.
type manualClock struct {
	now  atomic.Int64
	wake chan time.Time
}

func (c *manualClock) Monotonic() time.Duration             { return time.Duration(c.now.Load()) }
func (c *manualClock) WallMs() int64                        { return 0 }
func (c *manualClock) After(time.Duration) <-chan time.Time { return c.wake }

var _ = Describe("a server part whose context is cancelled", func() {
	var fakeClock *manualClock
	var listener net.Listener
	var started, release chan struct{}
	var partResult chan error
	var cancel func()
	var answer chan *http.Response
	// serveOne starts a call and cancels the part's context while the call is in flight. The handler answers 503 if the call is cancelled, and
	// 200 once the test closes release.
	serveOne := func(times httpserver.ShutdownTimes) {
		b := &base{clock: fakeClock, log: logging.Silent()}
		part := b.newServerPart(listener, http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			close(started)
			select {
			case <-request.Context().Done():
				response.Empty(http.StatusServiceUnavailable).Write(to)
			case <-release:
				response.Empty(http.StatusOK).Write(to)
			}
		}), times)
		var ctx context.Context
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { partResult <- part(ctx) }()
		go func() {
			defer close(answer)
			got, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				got.Body.Close()
				answer <- got
			}
		}()
		<-started
		cancel()
	}
	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		fakeClock = &manualClock{wake: make(chan time.Time)}
		started, release, partResult, answer = make(chan struct{}), make(chan struct{}), make(chan error, 1), make(chan *http.Response, 1)
	})

	It("lets an operator's call complete", func() {
		serveOne(operatorShutdownTimes)
		fakeClock.wake <- time.Time{}
		close(release)
		got := <-answer
		Expect(got).NotTo(BeNil(), "the call was cut")
		Expect(got.StatusCode).To(Equal(http.StatusOK))
		fakeClock.now.Store(int64(operatorShutdownTimes.Quiet))
		close(fakeClock.wake)
		Expect(<-partResult).To(Succeed())
	})

	It("cancels a peer's call, which still gets an answer", func() {
		serveOne(internalShutdownTimes)
		got := <-answer
		Expect(got).NotTo(BeNil(), "the call was cut")
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		close(fakeClock.wake)
		Expect(<-partResult).To(Succeed())
	})
})

var _ = Describe("a gate that shuts down", func() {
	// Guards against streams that were cut while their executor was at work, with time left in the grace period.
	DescribeTable("lets an executor that answers before the last sixth of the grace period finish", func(gracePeriod time.Duration) {
		fakeClock := &manualClock{wake: make(chan time.Time)}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		started, release, shutdownDone := make(chan struct{}), make(chan struct{}), make(chan struct{})
		server := httpserver.New(listener, http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			close(started)
			select {
			case <-request.Context().Done():
				response.Empty(http.StatusGatewayTimeout).Write(to)
			case <-release:
				response.Empty(http.StatusOK).Write(to)
			}
		}), fakeClock, logging.Silent())
		go server.Serve()
		answers := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			got, err := http.Get("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			got.Body.Close()
			answers <- got.StatusCode
		}()
		<-started
		go func() {
			server.Shutdown(clientShutdownTimes(gracePeriod))
			close(shutdownDone)
		}()
		// endWait ends one wait of the shutdown, if the shutdown isn't over.
		endWait := func() {
			select {
			case fakeClock.wake <- time.Time{}:
			case <-shutdownDone:
			}
		}
		endWait()
		fakeClock.now.Store(int64(gracePeriod * 5 / 6))
		// The shutdown looks at the clock after the first of these waits, and has done so before the second.
		endWait()
		endWait()
		Consistently(answers, "50ms").ShouldNot(Receive())
		close(release)
		Expect(<-answers).To(Equal(http.StatusOK))
		close(fakeClock.wake)
		fakeClock.now.Store(int64(gracePeriod))
		Eventually(shutdownDone, "10s").Should(BeClosed())
	},
		Entry("a short grace period", time.Second),
		Entry("the usual grace period", 6*time.Second),
		Entry("a long grace period", time.Minute),
	)
})

var _ = DescribeTable("the limit on client connections leaves descriptors for calls", func(descriptors, limit int) {
	Expect(maxClientConnections(descriptors)).To(Equal(limit))
},
	Entry("many descriptors", 4100, 1950),
	Entry("fewer descriptors than are reserved", 150, 1),
)
