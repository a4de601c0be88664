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

func TestKeyfreshness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keyfreshness")
}

// scriptedLeader answers with a status and a body after a while, and ends the watch's run when it was asked often enough.
type scriptedLeader struct {
	clock  *clock.Fake
	takes  time.Duration
	answer *wire.ClientAnswer
	left   int
	end    context.CancelFunc
}

func (s *scriptedLeader) Ask(context.Context, *wire.ClientCall, time.Duration) leaderclient.Outcome {
	s.clock.Advance(s.takes)
	if s.left--; s.left <= 0 {
		s.end()
	}
	return leaderclient.Outcome{Answer: s.answer}
}

var _ = Describe("the freshness of keys", func() {
	const timeout = 5 * time.Second
	// fresh lets a gate that holds version 7 ask once, and tells whether it trusts its keys some time after the answer.
	fresh := func(answer *wire.ClientAnswer, takes, after time.Duration) bool {
		fake := clock.NewFake(0)
		ctx, end := context.WithCancel(context.Background())
		leader := &scriptedLeader{clock: fake, takes: takes, answer: answer, left: 1, end: end}
		watch := keyfreshness.New(leader, fake, timeout, func() int64 { return 7 })
		Expect(watch.IsFresh()).To(BeFalse())
		Expect(watch.Run(ctx)).To(Succeed())
		fake.Advance(after)
		return watch.IsFresh()
	}
	version := func(text string) *wire.ClientAnswer { return &wire.ClientAnswer{Status: 200, Body: []byte(text)} }

	DescribeTable("lasts for the timeout from before the question, if the leader has nothing newer",
		func(answer *wire.ClientAnswer, takes, after time.Duration, isFresh bool) {
			Expect(fresh(answer, takes, after)).To(Equal(isFresh))
		},
		Entry("confirmed", version(`{"config-version":7}`), time.Millisecond, time.Second, true),
		Entry("confirmed, with fields of later versions", version(`{"more":[1],"config-version":6}`), time.Millisecond, time.Second, true),
		Entry("too long ago", version(`{"config-version":7}`), time.Millisecond, timeout, false),
		Entry("an answer that took long", version(`{"config-version":7}`), 4*time.Second, time.Second, false),
		Entry("a newer version", version(`{"config-version":8}`), time.Millisecond, time.Second, false),
		Entry("no answer", nil, time.Millisecond, time.Second, false),
		Entry("no version yet", &wire.ClientAnswer{Status: 503}, time.Millisecond, time.Second, false),
		Entry("no JSON", version(`{`), time.Millisecond, time.Second, false),
	)
})
