package peerapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// serveAnswer serves client calls with the same answer on a new server, and returns its address.
func serveAnswer(answer *wire.ClientAnswer) string {
	mux := http.NewServeMux()
	peerapi.Serve(mux, peerapi.ProcedureClient, func(context.Context, *wire.ClientCall) (*wire.ClientAnswer, error) { return answer, nil })
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var _ = Describe("an answer of a peer", func() {
	callClient := func(address string) (*wire.ClientAnswer, error) {
		return peerapi.Call[wire.ClientCall, wire.ClientAnswer](context.Background(), peerapi.NewCaller(http.DefaultClient), address,
			peerapi.ProcedureClient, 5*time.Second, &wire.ClientCall{})
	}

	It("without a status is an error that names the procedure and the peer, and does not count as never sent", func() {
		address := serveAnswer(&wire.ClientAnswer{})
		_, err := callClient(address)
		Expect(err).To(MatchError(And(ContainSubstring("Client"), ContainSubstring(address), ContainSubstring("without a status"))))
		Expect(peerapi.NeverSent(err)).To(BeFalse())
	})

	It("needs no status if it redirects to the leader", func() {
		Expect(callClient(serveAnswer(&wire.ClientAnswer{NotLeader: true}))).To(Equal(&wire.ClientAnswer{NotLeader: true}))
	})
})

var _ = Describe("a call with a stall timeout", func() {
	// parts holds the parts of the answer. The server writes each as soon as the spec sends it.
	var parts chan string
	var address string
	var fakeClock *clock.Fake
	BeforeEach(func() {
		parts, fakeClock = make(chan string), clock.NewFake(1)
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("Content-Type", "application/easyjson")
			to.WriteHeader(http.StatusOK)
			to.(http.Flusher).Flush()
			for part := range parts {
				to.Write([]byte(part))
				to.(http.Flusher).Flush()
			}
		}))
		DeferCleanup(server.Close)
		address = server.Listener.Addr().String()
	})

	It("fails with ErrStalled, the procedure and the peer if no byte arrives within the timeout", func() {
		DeferCleanup(func() { close(parts) })
		result := make(chan error)
		go func() {
			_, err := peerapi.CallWithStallTimeout[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), peerapi.NewCaller(http.DefaultClient),
				instantClock{}, address, peerapi.ProcedureFetch, time.Second, &wire.ConfigurationCall{})
			result <- err
		}()
		err := <-result
		Expect(errors.Is(err, peerapi.ErrStalled)).To(BeTrue())
		Expect(err).To(MatchError(And(ContainSubstring("Fetch"), ContainSubstring(address))))
	})

	It("returns an answer that arrives in several parts", func() {
		go func() {
			for _, part := range []string{`{"fact":`, `{"version":7,`, `"body":{}}`, `}`} {
				parts <- part
			}
			close(parts)
		}()
		answer, err := peerapi.CallWithStallTimeout[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), peerapi.NewCaller(http.DefaultClient),
			fakeClock, address, peerapi.ProcedureFetch, time.Second, &wire.ConfigurationCall{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Full.Version).To(Equal(int64(7)))
	})
})

// instantClock is a clock on which every wait ends at once.
type instantClock struct{}

func (instantClock) Monotonic() time.Duration { return 0 }
func (instantClock) WallMs() int64            { return 0 }
func (instantClock) After(time.Duration) <-chan time.Time {
	expired := make(chan time.Time, 1)
	expired <- time.Time{}
	return expired
}
