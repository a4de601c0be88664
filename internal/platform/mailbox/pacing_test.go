package mailbox

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
)

var _ = Describe("an owner that pauses between bursts", func() {
	const pause = 4 * time.Millisecond

	It("waits only for what comes sooner than a pause after the last burst", func() {
		clock := clock.NewFake(0)
		pacing := pacing{clock: clock, pause: pause}
		clock.Advance(pause)
		Expect(pacing.mustWait()).To(BeFalse())
		pacing.noteSettled()
		clock.Advance(pause - 1)
		Expect(pacing.mustWait()).To(BeTrue())
		messages := make(chan func(), 1)
		Expect(pacing.open(messages)).To(BeNil())
		clock.Advance(1)
		Expect(pacing.over).To(Receive())
		pacing.over = nil
		Expect(pacing.open(messages)).NotTo(BeNil())
		pacing.noteSettled()
		clock.Advance(pause)
		Expect(pacing.mustWait()).To(BeFalse())
	})

	It("never waits without a pause", func() {
		pacing := pacing{clock: clock.NewFake(0)}
		pacing.noteSettled()
		Expect(pacing.mustWait()).To(BeFalse())
	})

	It("settles once for all that came within a pause, and runs at once what an outbox sends", func() {
		clock, box := &scriptedClock{waits: make(chan chan time.Time, 4)}, New(16)
		var runs, settles, sent atomic.Int64
		ctx, end := context.WithCancel(context.Background())
		defer end()
		box.Post(func() { runs.Add(1) })
		go box.Run(ctx, clock, Owner{Every: time.Hour, Pause: pause, Settle: func() { settles.Add(1) }})
		<-clock.waits // that of the ticks
		pauseOver := <-clock.waits
		for range 8 {
			box.Post(func() { runs.Add(1) })
		}
		NewOutbox(box).Send(func() { sent.Add(1) })
		Eventually(sent.Load).Should(BeEquivalentTo(1))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(settles.Load()).To(BeZero())
		pauseOver <- time.Time{}
		Eventually(settles.Load).Should(BeEquivalentTo(1))
		Expect(runs.Load()).To(BeEquivalentTo(9))
	})
})

// scriptedClock stands still, and hands each wait to the test, which ends it.
type scriptedClock struct {
	clock.Clock
	waits chan chan time.Time
}

func (c *scriptedClock) Monotonic() time.Duration { return 0 }

func (c *scriptedClock) After(time.Duration) <-chan time.Time {
	over := make(chan time.Time, 1)
	c.waits <- over
	return over
}
