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

var _ = Describe("an unresponsive executor", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	// reports counts the signals that a report is due.
	var reports int
	nothing := func() {}
	order := func(kind string, run int64) wire.Order {
		return wire.Order{Kind: wire.OrderKind(kind), Task: "t.0.0.0", Run: run}
	}
	ready := func(kind string, run int64) (localproxy.OrderWork, bool) { return table.Ready("i-1", order(kind, run)) }
	// results returns the results of orders in the next exchange.
	results := func() (all []string) {
		call, _ := table.Compose(0)
		for _, answer := range call.Answers {
			all = append(all, string(answer.Result))
		}
		return all
	}
	failHold := func() {
		work, _ := table.NextHold(false)
		table.HandleHoldFailure(work, false)
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(0)
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", func() { reports++ }, nothing, nothing)
		table.Heartbeat("i-1", &executorapi.Heartbeat{Service: "s", State: "ready", ClockMs: 1000, Sequence: 1})
		call, _ := table.Compose(0)
		table.HandleAnswer(call, 0, &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, WantedList: 5})
		work, _ := table.NextHold(false)
		work.ListNumber = 0
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		reports = 0
	})

	It("is reported at once if nothing listens at its address, and gets no further launch order", func() {
		work, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
		table.HandleOrderRefusal(work)
		_, isDue = ready("launch", 2)
		Expect(isDue).To(BeFalse())
		Expect(results()).To(Equal([]string{"sick", "sick"}))
	})

	It("counts as unresponsive after two unanswered calls, not after one", func() {
		failHold()
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
		reports = 0
		failHold()
		Expect(reports).To(Equal(1), "the leader gets a report at once")
		_, isDue = ready("launch", 2)
		Expect(isDue).To(BeFalse())
		call, _ := table.Compose(0)
		Expect(clock.Milliseconds(call.HoldAgeMs)).To(BeNumerically(">", time.Minute))
	})

	It("gets no stops and no holds for lists, but normal holds until it answers one", func() {
		failHold()
		failHold()
		_, isDue := ready("stop", 1)
		Expect(isDue).To(BeFalse())
		Expect(results()).To(BeEmpty())
		_, isDue = table.NextHold(true)
		Expect(isDue).To(BeFalse())
		work, isDue := table.NextHold(false)
		Expect(isDue).To(BeTrue())
		Expect(work.ListNumber).To(Equal(uint64(5)))
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		_, isDue = ready("stop", 1)
		Expect(isDue).To(BeTrue())
		_, isDue = ready("launch", 2)
		Expect(isDue).To(BeTrue())
	})

	It("is reported as timed out, not as unhealthy, for a launch order that may have reached it", func() {
		work, _ := ready("launch", 1)
		table.HandleOrderTimeout(work)
		table.HandleOrderTimeout(work)
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeFalse())
		Expect(results()).To(Equal([]string{"timeout"}))
	})

	It("is not called in a tight loop if it refuses connections at once", func() {
		Expect(localproxy.PauseAfterMiss(time.Millisecond)).To(BeNumerically(">", 90*time.Millisecond))
		Expect(localproxy.PauseAfterMiss(300 * time.Millisecond)).To(BeNumerically("<", 20*time.Millisecond))
	})

	It("gets launch orders again after a while", func() {
		failHold()
		failHold()
		fakeClock.Advance(1100 * time.Millisecond)
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
	})

	It("counts as responsive if it answers an order between two failed holds", func() {
		failHold()
		table.ReadClock("i-1", 1000)
		failHold()
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
	})
})
