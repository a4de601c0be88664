package localproxy_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

var _ = Describe("an executor that leaves", func() {
	const drainTime = 2500 * time.Millisecond
	var fakeClock *clock.Fake
	var table *localproxy.Table
	nothing := func() {}
	launch := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
	heartbeat := func(id, state string, sequence int64) int {
		status, _ := table.Heartbeat(id, &executorapi.Heartbeat{Service: "s", State: state, ClockMs: 1000, Sequence: sequence})
		return status
	}
	told := func() *wire.ExchangeCall {
		call, _ := table.Compose(0)
		return call
	}
	holdFails := func() {
		work, _ := table.NextHold(false)
		table.HandleHoldFailure(work, false)
	}
	startIsDue := func() bool {
		call := told()
		table.HandleAnswer(call, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, Orders: []wire.Order{launch}})
		_, isDue := table.Ready(call.Executor, launch)
		return isDue
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(0)
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing, localproxy.WithDrainTime(drainTime))
	})

	Context("with a farewell that nothing announced", func() {
		BeforeEach(func() {
			heartbeat("i-1", "ready", 1)
			table.Deregister("i-1")
		})

		It("is known to go once the time to drain is over, so that what would run longer is moved", func() {
			Expect(told().Draining).To(BeTrue())
			Expect(told().DepartureMs).To(Equal(drainTime.Milliseconds()))
		})

		It("is sent no start", func() { Expect(startIsDue()).To(BeFalse()) })

		It("isn't taken for over because it leaves calls unanswered: it may serve on for many seconds", func() {
			fakeClock.Advance(10 * time.Second)
			holdFails()
			Expect(told().Executor).To(Equal("i-1"))
			Expect(told().Gone).To(BeEmpty())
		})

		It("is over once another answers in its place", func() {
			heartbeat("i-2", "ready", 1)
			work, _ := table.NextHold(false)
			table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
			Expect(told().Gone).To(ContainElement("i-1"))
		})

		It("isn't called back by a beat that comes late, nor by a second farewell", func() {
			fakeClock.Advance(time.Second)
			Expect(heartbeat("i-1", "ready", 2)).To(Equal(200))
			table.Deregister("i-1")
			Expect(told().Draining).To(BeTrue())
			Expect(told().DepartureMs).To(Equal((drainTime - time.Second).Milliseconds()))
			Expect(startIsDue()).To(BeFalse())
		})
	})

	It("is over soon after its farewell if it had announced it and answers no more", func() {
		heartbeat("i-1", "draining", 1)
		table.Deregister("i-1")
		fakeClock.Advance(4 * time.Second)
		holdFails()
		_, hasLife := table.Compose(0)
		Expect(hasLife).To(BeFalse())
		Expect(heartbeat("i-1", "ready", 9)).To(Equal(409))
	})

	It("isn't ready again by an older beat that comes late", func() {
		Expect(heartbeat("i-1", "draining", 6)).To(Equal(200))
		Expect(heartbeat("i-1", "ready", 4)).To(Equal(409))
		Expect(told().Draining).To(BeTrue())
		Expect(heartbeat("i-1", "ready", 7)).To(Equal(200))
		Expect(told().Draining).To(BeTrue())
	})

	It("has left also where a late beat of the one before it came between", func() {
		heartbeat("i-1", "ready", 1)
		heartbeat("i-0", "ready", 8)
		table.Deregister("i-1")
		hold, _ := table.NextHold(false)
		table.HandleHoldFailure(hold, true)
		Expect(told().Executor).To(Equal("i-1"))
		Expect(startIsDue()).To(BeFalse())
	})

	It("has left also where its farewell came first and a beat of before comes late", func() {
		table.Deregister("i-1")
		Expect(heartbeat("i-1", "ready", 3)).To(Equal(200))
		Expect(told().Draining).To(BeTrue())
		Expect(startIsDue()).To(BeFalse())
	})
})
