package leaderclient

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

func TestLeaderclient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leaderclient")
}

// muxTransport passes requests to a mux without a network.
type muxTransport struct{ mux *http.ServeMux }

func (t muxTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	t.mux.ServeHTTP(answer, request)
	return answer.Result(), nil
}

// advancingClock is a clock that advances by each wait, so that the wait ends at once.
type advancingClock struct{ *clock.Fake }

func (c advancingClock) After(wait time.Duration) <-chan time.Time {
	expired := c.Fake.After(wait)
	c.Advance(wait)
	return expired
}

var _ = Describe("a call without an answer of a leader", func() {
	// outcomeOf returns the outcome of a call to a steward that gives the answers in turn.
	outcomeOf := func(answers ...wire.ClientAnswer) Outcome {
		mux, count := http.NewServeMux(), 0
		peerapi.Serve(mux, peerapi.ProcedureClient, func(context.Context, *wire.ClientCall) (*wire.ClientAnswer, error) {
			answer := answers[count%len(answers)]
			count++
			return &answer, nil
		})
		view := &membership.View{Stewards: []wire.Member{{Name: "a", Role: "steward", Address: "10.0.0.1:1", Disk: "d"}}}
		client := New(peerapi.NewCaller(&http.Client{Transport: muxTransport{mux}}), advancingClock{clock.NewFake(0)}, func() *membership.View { return view })
		return client.Ask(context.Background(), &wire.ClientCall{Key: "pool/s", Verb: "hand-in"}, time.Second)
	}

	It("was not executed if every steward answers that it is not the leader", func() {
		Expect(outcomeOf(wire.ClientAnswer{NotLeader: true})).To(Equal(Outcome{}))
	})

	It("may have been executed if a leader proposed it and lost its leadership", func() {
		Expect(outcomeOf(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}, wire.ClientAnswer{NotLeader: true})).To(Equal(Outcome{MayHaveRun: true}))
	})
})

var _ = Describe("the choice of a steward while the leader is unknown", func() {
	It("skips processes that may not lead keys", func() {
		view := &membership.View{Stewards: []wire.Member{{Name: "a", Role: "steward", Address: "a:1", Disk: "d"},
			{Name: "b", Role: "steward", Address: "b:1"}, {Name: "c", Role: "gate", Address: "c:1", Disk: "e"}}}
		attempts := NewAttempts("plan", time.Second, rand.IntN)
		for range 30 {
			attempt, _ := attempts.Next(view, 0)
			Expect(attempt.Address).To(Equal("a:1"))
			attempts.HandleFailure(false)
		}
	})
})

var _ = Describe("the attempts of one call", func() {
	view := &membership.View{Leaders: map[string]wire.KeyLeader{"pool/s": {Name: "a"}}, Stewards: []wire.Member{
		{Name: "a", Role: membership.RoleSteward, Address: "a:1", Disk: "d"}, {Name: "b", Role: membership.RoleSteward, Address: "b:1", Disk: "e"}}}
	var attempts *Attempts
	BeforeEach(func() { attempts = NewAttempts("pool/s", time.Second, func(int) int { return 0 }) })

	It("go to the leader in the view, then to the leader that the answer names", func() {
		attempt, isTimeLeft := attempts.Next(view, 0)
		Expect(attempt).To(Equal(Attempt{Address: "a:1", Timeout: attemptTimeout}))
		Expect(isTimeLeft).To(BeTrue())
		Expect(attempts.HandleAnswer(&wire.ClientAnswer{NotLeader: true, Leader: "b"})).To(BeFalse())
		attempt, _ = attempts.Next(view, 800*time.Millisecond)
		Expect(attempt).To(Equal(Attempt{Address: "b:1", Timeout: 200 * time.Millisecond}))
		_, isTimeLeft = attempts.Next(view, time.Second)
		Expect(isTimeLeft).To(BeFalse())
	})

	It("have a timeout that includes the time for which the leader may delay its answer", func() {
		attempts.AllowWait(300 * time.Millisecond)
		attempt, _ := attempts.Next(view, 0)
		Expect(attempt.Timeout).To(Equal(attemptTimeout + 300*time.Millisecond))
		attempt, _ = attempts.Next(view, 900*time.Millisecond)
		Expect(attempt.Timeout).To(Equal(100 * time.Millisecond))
	})

	DescribeTable("report whether a leader may have executed the call", func(handleResult func(), mayHaveRun bool) {
		handleResult()
		Expect(attempts.Outcome().MayHaveRun).To(Equal(mayHaveRun))
		attempts.HandleFailure(true)
		attempts.HandleAnswer(&wire.ClientAnswer{NotLeader: true})
		attempts.HandleAnswer(&wire.ClientAnswer{Status: 503})
		Expect(attempts.Outcome().MayHaveRun).To(Equal(mayHaveRun))
		Expect(attempts.Outcome().Answer.Status).To(Equal(503))
	},
		Entry("not after a call that was never sent", func() { attempts.HandleFailure(true) }, false),
		Entry("not after an answer of a steward that is not the leader", func() { attempts.HandleAnswer(&wire.ClientAnswer{NotLeader: true}) }, false),
		Entry("after a call without an answer", func() { attempts.HandleFailure(false) }, true),
		Entry("after an answer of a leader that lost the key before the commit", func() { attempts.HandleAnswer(&wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}) }, true),
	)
})
