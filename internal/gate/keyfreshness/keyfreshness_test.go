package keyfreshness_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/keyfreshness"
	"gannetline/internal/platform/clock"
)

func TestKeyFreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keyfreshness")
}

// scriptedLeader returns an answer after a delay, and cancels the tracker's context after a number of calls.
type scriptedLeader struct {
	clock     *clock.Fake
	delay     time.Duration
	answer    *wire.ClientAnswer
	callsLeft int
	cancel    context.CancelFunc
}

func (s *scriptedLeader) Ask(context.Context, *wire.ClientCall, time.Duration) leaderclient.Outcome {
	s.clock.Advance(s.delay)
	if s.callsLeft--; s.callsLeft <= 0 {
		s.cancel()
	}
	return leaderclient.Outcome{Answer: s.answer}
}

var _ = Describe("IsFresh", func() {
	const timeout = 5 * time.Second
	// isFreshAfter has a gate with version 7 call the leader once, and returns IsFresh some time after the answer.
	isFreshAfter := func(answer *wire.ClientAnswer, delay, after time.Duration) bool {
		fakeClock := clock.NewFake(0)
		ctx, cancel := context.WithCancel(context.Background())
		leader := &scriptedLeader{clock: fakeClock, delay: delay, answer: answer, callsLeft: 1, cancel: cancel}
		tracker := keyfreshness.New(leader, fakeClock, timeout, func() int64 { return 7 })
		Expect(tracker.IsFresh()).To(BeFalse())
		Expect(tracker.Run(ctx)).To(Succeed())
		fakeClock.Advance(after)
		return tracker.IsFresh()
	}
	version := func(text string) *wire.ClientAnswer { return &wire.ClientAnswer{Status: 200, Body: []byte(text)} }

	DescribeTable("is true for the timeout after the call, if the leader has no newer version",
		func(answer *wire.ClientAnswer, delay, after time.Duration, isFresh bool) {
			Expect(isFreshAfter(answer, delay, after)).To(Equal(isFresh))
		},
		Entry("confirmed", version(`{"config-version":7}`), time.Millisecond, time.Second, true),
		Entry("confirmed, with unknown fields", version(`{"more":[1],"config-version":6}`), time.Millisecond, time.Second, true),
		Entry("confirmed too long ago", version(`{"config-version":7}`), time.Millisecond, timeout, false),
		Entry("confirmed by a late answer", version(`{"config-version":7}`), 4*time.Second, time.Second, false),
		Entry("a newer version", version(`{"config-version":8}`), time.Millisecond, time.Second, false),
		Entry("no answer", nil, time.Millisecond, time.Second, false),
		Entry("no version yet", &wire.ClientAnswer{Status: 503}, time.Millisecond, time.Second, false),
		Entry("not JSON", version(`{`), time.Millisecond, time.Second, false),
	)
})
