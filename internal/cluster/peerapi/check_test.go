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

// answering serves client calls with one answer.
func answering(answer *wire.ClientAnswer) string {
	mux := http.NewServeMux()
	peerapi.Serve(mux, peerapi.ProcedureClient, func(context.Context, *wire.ClientCall) (*wire.ClientAnswer, error) { return answer, nil })
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var _ = Describe("an answer of a peer", func() {
	ask := func(address string) (*wire.ClientAnswer, error) {
		return peerapi.Call[wire.ClientCall, wire.ClientAnswer](context.Background(), peerapi.NewCaller(http.DefaultClient), address,
			peerapi.ProcedureClient, 5*time.Second, &wire.ClientCall{})
	}

	It("without a status is an error that names the step and the peer, and may have been carried out", func() {
		address := answering(&wire.ClientAnswer{})
		_, err := ask(address)
		Expect(err).To(MatchError(And(ContainSubstring("Client"), ContainSubstring(address), ContainSubstring("without a status"))))
		Expect(peerapi.NeverSent(err)).To(BeFalse())
	})

	It("needs no status if it points elsewhere", func() {
		Expect(ask(answering(&wire.ClientAnswer{NotLeader: true}))).To(Equal(&wire.ClientAnswer{NotLeader: true}))
	})
})

var _ = Describe("a call that may take as long as something comes", func() {
	// part is written each time that one is asked for.
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

	It("ends once nothing came for the patience, with the step, the peer and the cause", func() {
		DeferCleanup(func() { close(parts) })
		over := make(chan error)
		go func() {
			_, err := peerapi.CallWithStallTimeout[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), peerapi.NewCaller(http.DefaultClient),
				impatient{}, address, peerapi.ProcedureFetch, time.Second, &wire.ConfigurationCall{})
			over <- err
		}()
		err := <-over
		Expect(errors.Is(err, peerapi.ErrStalled)).To(BeTrue())
		Expect(err).To(MatchError(And(ContainSubstring("Fetch"), ContainSubstring(address))))
	})

	It("gives the answer however many parts it comes in", func() {
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

// impatient is a fakeClock on which every wait is over at once.
type impatient struct{}

func (impatient) Monotonic() time.Duration { return 0 }
func (impatient) WallMs() int64            { return 0 }
func (impatient) After(time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	over <- time.Time{}
	return over
}
