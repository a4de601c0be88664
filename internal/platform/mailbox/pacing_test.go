package mailbox

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
)

var _ = Describe("Owner.Pause", func() {
	const pause = 4 * time.Millisecond

	It("delays only functions that are posted sooner than a pause after the last burst", func() {
		clock := clock.NewFake(0)
		pacing := pacing{clock: clock, pause: pause}
		clock.Advance(pause)
		Expect(pacing.mustWait()).To(BeFalse())
		pacing.recordSettled()
		clock.Advance(pause - 1)
		Expect(pacing.mustWait()).To(BeTrue())
		messages := make(chan func(), 1)
		Expect(pacing.availableMessages(messages)).To(BeNil())
		clock.Advance(1)
		Expect(pacing.pauseEnd).To(Receive())
		pacing.pauseEnd = nil
		Expect(pacing.availableMessages(messages)).NotTo(BeNil())
		pacing.recordSettled()
		clock.Advance(pause)
		Expect(pacing.mustWait()).To(BeFalse())
	})

	It("delays nothing if it is 0", func() {
		pacing := pacing{clock: clock.NewFake(0)}
		pacing.recordSettled()
		Expect(pacing.mustWait()).To(BeFalse())
	})

	It("calls Settle once for all functions of a pause, and doesn't delay those of an outbox", func() {
		clock, box := &scriptedClock{timers: make(chan chan time.Time, 4)}, New(16)
		var runs, settles, sent atomic.Int64
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		box.Post(func() { runs.Add(1) })
		go box.Run(ctx, clock, Owner{Every: time.Hour, Pause: pause, Settle: func() { settles.Add(1) }})
		<-clock.timers // the timer of the ticks
		pauseTimer := <-clock.timers
		for range 8 {
			box.Post(func() { runs.Add(1) })
		}
		NewOutbox(box).Send(func() { sent.Add(1) })
		Eventually(sent.Load).Should(BeEquivalentTo(1))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(settles.Load()).To(BeZero())
		pauseTimer <- time.Time{}
		Eventually(settles.Load).Should(BeEquivalentTo(1))
		Expect(runs.Load()).To(BeEquivalentTo(9))
	})
})

// scriptedClock stands still. It hands each timer to the test, which ends it.
type scriptedClock struct {
	clock.Clock
	timers chan chan time.Time
}

func (c *scriptedClock) Monotonic() time.Duration { return 0 }

func (c *scriptedClock) After(time.Duration) <-chan time.Time {
	timer := make(chan time.Time, 1)
	c.timers <- timer
	return timer
}
