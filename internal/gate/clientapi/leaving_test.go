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

// silentPeer takes calls and answers none; it reports each.
type silentPeer struct{ asked chan struct{} }

func (s silentPeer) RoundTrip(request *http.Request) (*http.Response, error) {
	s.asked <- struct{}{}
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// hurried is a clock whose waits are over at once.
type hurried struct{ *clock.Fake }

func (h hurried) After(wait time.Duration) <-chan time.Time {
	ring := h.Fake.After(wait)
	h.Advance(wait)
	return ring
}

// slowBody takes some time until it is whole.
type slowBody struct {
	io.Reader
	clock *clock.Fake
	takes time.Duration
}

func (b slowBody) Read([]byte) (int, error) {
	b.clock.Advance(b.takes)
	return 0, io.EOF
}

var _ = Describe("a gate whose calls are ended", func() {
	view := &membership.View{Stewards: []wire.Member{{Name: "a", Role: membership.RoleSteward, Address: "10.0.0.1:1", Disk: "d"}}}

	DescribeTable("says what is known of a call that a steward may have taken", func(method string, status int) {
		clock, peer := clock.NewFake(0), silentPeer{make(chan struct{})}
		leaderClient := leaderclient.New(peerapi.NewCaller(&http.Client{Transport: peer}), clock, func() *membership.View { return view })
		gate := clientapi.New(page, leaderClient, clock)
		ctx, end := context.WithCancel(context.Background())
		go func() {
			<-peer.asked
			end()
		}()
		answer := httptest.NewRecorder()
		one := httptest.NewRequest(method, "http://h.example/q/"+id, strings.NewReader("{}"))
		gate.ServeHTTP(answer, one.WithContext(ctx))
		Expect(answer.Code).To(Equal(status))
	},
		Entry("a submission may run, and comes again", http.MethodPost, 504),
		Entry("a question", http.MethodGet, 503),
		Entry("a cancel", http.MethodDelete, 503),
	)

	It("refuses a submission that nobody was asked about", func() {
		clock := clock.NewFake(0)
		leaderClient := leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock, func() *membership.View { return view })
		ctx, end := context.WithCancel(context.Background())
		end()
		one := httptest.NewRequest(http.MethodPost, "http://h.example/q/"+id, strings.NewReader("{}"))
		answer := httptest.NewRecorder()
		clientapi.New(page, leaderClient, clock).ServeHTTP(answer, one.WithContext(ctx))
		Expect(answer.Code).To(Equal(503))
		Expect(answer.Header().Get("Retry-After")).NotTo(BeEmpty())
	})
})

var _ = Describe("the time that a client has left", func() {
	It("counts from the beginning of its request, not from the end of its body", func() {
		clock := hurried{clock.NewFake(0)}
		leaderClient := leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock, func() *membership.View { return &membership.View{} })
		one := request(http.MethodGet, "/q/"+id)
		one.Header.Set("X-Time-Remaining", "700")
		one.Body = io.NopCloser(slowBody{clock: clock.Fake, takes: 400 * time.Millisecond})
		answer := httptest.NewRecorder()
		clientapi.New(page, leaderClient, clock).ServeHTTP(answer, one)
		Expect(answer.Code).To(Equal(503))
		Expect(clock.Monotonic()).To(BeNumerically("<=", 700*time.Millisecond))
	})
})
