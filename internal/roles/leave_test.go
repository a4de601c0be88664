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

var _ = Describe("a process that is told to leave", func() {
	DescribeTable("ends a gate's calls while there is time to write their answers", func(gracePeriod time.Duration) {
		times := clientLeave(gracePeriod)
		Expect(times.Notice).To(BeNumerically("<=", noticeTime))
		Expect(times.CallsEnd).To(BeNumerically(">", times.Notice))
		Expect(times.Close - times.CallsEnd).To(BeNumerically(">=", gracePeriod/8))
		Expect(times.Close).To(BeNumerically("<", gracePeriod))
	},
		Entry("a short grace period", time.Second),
		Entry("the usual one", 6*time.Second),
		Entry("a long one", time.Minute),
	)

	It("is not ended by SIGHUP once it reads settings no more", func() {
		b := &base{clock: clock.NewFake(0), log: logging.Silent(), hangups: noticeHangups()}
		ctx, end := context.WithCancel(context.Background())
		end()
		Expect(b.watchSettings(ctx)).To(Succeed())
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		Eventually(b.hangups).Should(Receive())
	})
})

// heldClock stands still at a time that the test sets; each wait ends when the test rings.
type heldClock struct {
	now  atomic.Int64
	ring chan time.Time
}

func (c *heldClock) Monotonic() time.Duration             { return time.Duration(c.now.Load()) }
func (c *heldClock) WallMs() int64                        { return 0 }
func (c *heldClock) After(time.Duration) <-chan time.Time { return c.ring }

var _ = Describe("a listener whose part of the process ends", func() {
	var clock *heldClock
	var listener net.Listener
	var begun, release chan struct{}
	var left chan error
	var end func()
	var answer chan *http.Response
	// serveOne begins a call, and ends the part while it is under way.
	serveOne := func(times httpserver.ShutdownTimes) {
		b := &base{clock: clock, log: logging.Silent()}
		part := b.serving(listener, http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			close(begun)
			select {
			case <-request.Context().Done():
				response.Empty(http.StatusServiceUnavailable).Write(to)
			case <-release:
				response.Empty(http.StatusOK).Write(to)
			}
		}), times)
		var ctx context.Context
		ctx, end = context.WithCancel(context.Background())
		DeferCleanup(end)
		go func() { left <- part(ctx) }()
		go func() {
			defer close(answer)
			got, err := http.Get("http://" + listener.Addr().String())
			if err == nil {
				got.Body.Close()
				answer <- got
			}
		}()
		<-begun
		end()
	}
	BeforeEach(func() {
		var err error
		listener, err = net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		clock = &heldClock{ring: make(chan time.Time)}
		begun, release, left, answer = make(chan struct{}), make(chan struct{}), make(chan error, 1), make(chan *http.Response, 1)
	})

	It("lets an operator's call end by itself", func() {
		serveOne(operatorLeave)
		clock.ring <- time.Time{}
		close(release)
		got := <-answer
		Expect(got).NotTo(BeNil(), "the call was cut")
		Expect(got.StatusCode).To(Equal(http.StatusOK))
		clock.now.Store(int64(operatorLeave.Quiet))
		close(clock.ring)
		Expect(<-left).To(Succeed())
	})

	It("ends a call between processes with an answer", func() {
		serveOne(internalLeave)
		got := <-answer
		Expect(got).NotTo(BeNil(), "the call was cut")
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		close(clock.ring)
		Expect(<-left).To(Succeed())
	})
})

var _ = DescribeTable("the connections of clients leave descriptors for calls", func(descriptors, most int) {
	Expect(maxClientConnections(descriptors)).To(Equal(most))
},
	Entry("many descriptors", 4100, 1950),
	Entry("hardly any", 150, 1),
)
