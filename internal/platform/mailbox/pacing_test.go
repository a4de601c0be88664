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
		clock, box := clock.NewFake(0), New(16)
		var runs, settles, sent atomic.Int64
		ctx, end := context.WithCancel(context.Background())
		defer end()
		// The first message finds the pause after the start, which is over only as the clock is advanced.
		box.Post(func() { runs.Add(1) })
		go box.Run(ctx, clock, Owner{Every: time.Hour, Pause: pause, Settle: func() { settles.Add(1) }})
		Eventually(runs.Load).Should(BeEquivalentTo(1))
		for range 8 {
			box.Post(func() { runs.Add(1) })
		}
		NewOutbox(box).Send(func() { sent.Add(1) })
		Eventually(sent.Load).Should(BeEquivalentTo(1))
		Expect(runs.Load()).To(BeEquivalentTo(1))
		Expect(settles.Load()).To(BeZero())
		Eventually(func() int64 { clock.Advance(pause); return runs.Load() }).Should(BeEquivalentTo(9))
		Eventually(settles.Load).Should(BeEquivalentTo(1))
	})
})
