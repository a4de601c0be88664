package clientapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/clientapi"
	"gannetline/internal/platform/clock"
)

// silentPeer answers no call. It reports each call on the channel received.
type silentPeer struct{ received chan struct{} }

func (s silentPeer) RoundTrip(request *http.Request) (*http.Response, error) {
	s.received <- struct{}{}
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// advancingClock advances by the time of each wait at once, so that no wait takes real time.
type advancingClock struct{ *clock.Fake }

func (c advancingClock) After(wait time.Duration) <-chan time.Time {
	timer := c.Fake.After(wait)
	c.Advance(wait)
	return timer
}

// slowBody is an empty body whose end arrives after some time.
type slowBody struct {
	io.Reader
	clock *clock.Fake
	delay time.Duration
}

func (b slowBody) Read([]byte) (int, error) {
	b.clock.Advance(b.delay)
	return 0, io.EOF
}

var _ = Describe("a gate whose calls are cancelled", func() {
	view := &membership.View{Stewards: []wire.Member{{Name: "a", Role: membership.RoleSteward, Address: "10.0.0.1:1", Disk: "d"}}}

	DescribeTable("answers a request that a steward may have received", func(method string, status int) {
		clock, peer := clock.NewFake(0), silentPeer{make(chan struct{})}
		leaderClient := leaderclient.New(peerapi.NewCaller(&http.Client{Transport: peer}), clock, func() *membership.View { return view })
		gate := clientapi.New(testSnapshot, leaderClient, clock)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-peer.received
			cancel()
		}()
		answer := httptest.NewRecorder()
		request := httptest.NewRequest(method, "http://h.example/q/"+id, strings.NewReader("{}"))
		gate.ServeHTTP(answer, request.WithContext(ctx))
		Expect(answer.Code).To(Equal(status))
	},
		Entry("a submission, whose outcome is unknown", http.MethodPost, 504),
		Entry("a read of the state", http.MethodGet, 503),
		Entry("a cancellation", http.MethodDelete, 503),
	)

	It("refuses a submission that no steward received", func() {
		clock := clock.NewFake(0)
		leaderClient := leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock, func() *membership.View { return view })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		request := httptest.NewRequest(http.MethodPost, "http://h.example/q/"+id, strings.NewReader("{}"))
		answer := httptest.NewRecorder()
		clientapi.New(testSnapshot, leaderClient, clock).ServeHTTP(answer, request.WithContext(ctx))
		Expect(answer.Code).To(Equal(503))
		Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
})

var _ = Describe("the remaining time of a client", func() {
	It("counts from the start of its request, not from the end of its body", func() {
		clock := advancingClock{clock.NewFake(0)}
		leaderClient := leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock, func() *membership.View { return &membership.View{} })
		request := newRequest(http.MethodGet, "/q/"+id)
		request.Header.Set("X-Time-Remaining", "700")
		request.Body = io.NopCloser(slowBody{clock: clock.Fake, delay: 400 * time.Millisecond})
		answer := httptest.NewRecorder()
		clientapi.New(testSnapshot, leaderClient, clock).ServeHTTP(answer, request)
		Expect(answer.Code).To(Equal(503))
		Expect(clock.Monotonic()).To(BeNumerically("<=", 700*time.Millisecond))
	})
})
