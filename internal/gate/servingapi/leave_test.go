package servingapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/gate/balancer"
	"gannetline/internal/gate/forwarding"
	"gannetline/internal/gate/servingapi"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/logging"
)

// manualClock is a clock whose time the test sets. No wait ends. The first wait closes hasWait.
type manualClock struct {
	now     atomic.Int64
	hasWait chan struct{}
	waits   atomic.Int64
}

func (c *manualClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *manualClock) WallMs() int64            { return 0 }
func (c *manualClock) After(time.Duration) <-chan time.Time {
	if c.waits.Add(1) == 1 {
		close(c.hasWait)
	}
	return nil
}

var _ = Describe("a gate that shuts down", func() {
	// Guards against requests that are passed on although the gate has to cut them before their time is over.
	It("refuses requests for executors that it may not be able to answer, once clients know of the shutdown", func() {
		stopped := &manualClock{hasWait: make(chan struct{})}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gate := servingapi.New(snapshot, nil, forwarding.New(http.DefaultClient, balancer.New("z", stopped), stopped), stopped)
		server := httpserver.New(listener, gate, stopped, logging.Silent())
		go server.Serve()
		// No wait of the shutdown ends, so it stays at its beginning until the process of the test ends.
		go server.Shutdown(httpserver.ShutdownTimes{Notice: 2 * time.Second, CallsEnd: 4 * time.Second, RequestsEnd: 5 * time.Second, Close: 6 * time.Second})
		Eventually(stopped.hasWait, "10s").Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		// reasonAt returns why a request that may take 2 s and arrives at a time of the shutdown is refused: there are no executors.
		reasonAt := func(now time.Duration) string {
			stopped.now.Store(int64(now))
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/o/1", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Host = "h"
			answer, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer answer.Body.Close()
			Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			body, err := io.ReadAll(answer.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}
		Expect(reasonAt(3500 * time.Millisecond)).To(ContainSubstring("leaving"))
		Expect(reasonAt(3 * time.Second)).To(ContainSubstring("no executor"))
		Expect(reasonAt(time.Second)).To(ContainSubstring("no executor"))
	})
})
