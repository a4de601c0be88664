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

var _ = Describe("an executor that deregisters", func() {
	const drainTime = 2500 * time.Millisecond
	var fakeClock *clock.Fake
	var table *localproxy.Table
	nothing := func() {}
	launch := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
	heartbeat := func(id, state string, sequence int64) int {
		status, _ := table.Heartbeat(id, &executorapi.Heartbeat{Service: "s", State: state, ClockMs: 1000, Sequence: sequence})
		return status
	}
	compose := func() *wire.ExchangeCall {
		call, _ := table.Compose(0)
		return call
	}
	failHold := func() {
		work, _ := table.NextHold(false)
		table.HandleHoldFailure(work, false)
	}
	isLaunchDue := func() bool {
		call := compose()
		table.HandleAnswer(call, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, Orders: []wire.Order{launch}})
		_, isDue := table.Ready(call.Executor, launch)
		return isDue
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(0)
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing, localproxy.WithDrainTime(drainTime))
	})

	Context("without draining first", func() {
		BeforeEach(func() {
			heartbeat("i-1", "ready", 1)
			table.Deregister("i-1")
		})

		It("is reported as draining until the drain time is over, so that longer runs are moved", func() {
			Expect(compose().Draining).To(BeTrue())
			Expect(compose().DepartureMs).To(Equal(drainTime.Milliseconds()))
		})

		It("gets no launch order", func() { Expect(isLaunchDue()).To(BeFalse()) })

		It("does not count as gone if it leaves calls unanswered, as it may keep serving for many seconds", func() {
			fakeClock.Advance(10 * time.Second)
			failHold()
			Expect(compose().Executor).To(Equal("i-1"))
			Expect(compose().Gone).To(BeEmpty())
		})

		It("counts as gone once another incarnation answers", func() {
			heartbeat("i-2", "ready", 1)
			work, _ := table.NextHold(false)
			table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
			Expect(compose().Gone).To(ContainElement("i-1"))
		})

		It("stays deregistered after a late heartbeat and after a second deregistration", func() {
			fakeClock.Advance(time.Second)
			Expect(heartbeat("i-1", "ready", 2)).To(Equal(200))
			table.Deregister("i-1")
			Expect(compose().Draining).To(BeTrue())
			Expect(compose().DepartureMs).To(Equal((drainTime - time.Second).Milliseconds()))
			Expect(isLaunchDue()).To(BeFalse())
		})
	})

	It("counts as gone soon after its deregistration if it was draining and no longer answers", func() {
		heartbeat("i-1", "draining", 1)
		table.Deregister("i-1")
		fakeClock.Advance(4 * time.Second)
		failHold()
		_, hasExecutor := table.Compose(0)
		Expect(hasExecutor).To(BeFalse())
		Expect(heartbeat("i-1", "ready", 9)).To(Equal(409))
	})

	It("keeps draining after a late heartbeat and after a later one that says ready", func() {
		Expect(heartbeat("i-1", "draining", 6)).To(Equal(200))
		Expect(heartbeat("i-1", "ready", 4)).To(Equal(409))
		Expect(compose().Draining).To(BeTrue())
		Expect(heartbeat("i-1", "ready", 7)).To(Equal(200))
		Expect(compose().Draining).To(BeTrue())
	})

	It("stays deregistered if a late heartbeat of another incarnation arrived before", func() {
		heartbeat("i-1", "ready", 1)
		heartbeat("i-0", "ready", 8)
		table.Deregister("i-1")
		hold, _ := table.NextHold(false)
		table.HandleHoldFailure(hold, true)
		Expect(compose().Executor).To(Equal("i-1"))
		Expect(isLaunchDue()).To(BeFalse())
	})

	It("counts as deregistered if the deregistration arrives before its first heartbeat", func() {
		table.Deregister("i-1")
		Expect(heartbeat("i-1", "ready", 3)).To(Equal(200))
		Expect(compose().Draining).To(BeTrue())
		Expect(isLaunchDue()).To(BeFalse())
	})
})
