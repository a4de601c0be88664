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

var _ = Describe("Table", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	nothing := func() {}
	heartbeat := func(id, state string, sequence int64) int {
		status, _ := table.Heartbeat(id, &executorapi.Heartbeat{Service: "s", State: state, ClockMs: 1000, Sequence: sequence})
		return status
	}
	// exchange composes an exchange, handles the given answer to it, and returns the orders to deliver.
	exchange := func(answer wire.ExchangeAnswer) []wire.Order {
		call, isDue := table.Compose(0)
		Expect(isDue).To(BeTrue())
		return table.HandleAnswer(call, fakeClock.Monotonic(), &answer)
	}
	launch := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
	BeforeEach(func() {
		fakeClock = clock.NewFake(0)
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing)
		Expect(heartbeat("i-1", "ready", 1)).To(Equal(200))
	})

	It("refuses heartbeats of another service, old heartbeats, and those of an ended incarnation", func() {
		status, _ := table.Heartbeat("i-1", &executorapi.Heartbeat{Service: "x"})
		Expect(status).To(Equal(422))
		Expect(heartbeat("i-1", "ready", 1)).To(Equal(409))
		Expect(heartbeat("i-2", "ready", 1)).To(Equal(200))
		work, _ := table.NextHold(false)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		Expect(heartbeat("i-1", "ready", 9)).To(Equal(409))
		call, _ := table.Compose(0)
		Expect(call.Gone).To(ContainElement("i-1"))
	})

	It("does not end an incarnation because of a heartbeat of another, which may be late", func() {
		Expect(heartbeat("i-0", "ready", 7)).To(Equal(200))
		call, _ := table.Compose(0)
		Expect(call.Executor).To(Equal("i-0"))
		Expect(call.Gone).To(BeEmpty())
		work, _ := table.NextHold(false)
		Expect(work.Executor).To(Equal("i-0"))
		table.HandleHoldFailure(work, true)
		call, _ = table.Compose(0)
		Expect(call.Executor).To(Equal("i-1"))
		Expect(call.Gone).To(Equal([]string{"i-0"}))
		Expect(heartbeat("i-1", "ready", 2)).To(Equal(200))
	})

	It("keeps the orders of an incarnation while a late heartbeat makes another one current", func() {
		exchange(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})
		work, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeTrue())
		heartbeat("i-0", "ready", 7)
		table.HandleOrderTimeout(work)
		_, isDue = table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		hold, _ := table.NextHold(false)
		table.HandleHoldFailure(hold, true)
		Expect(exchange(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})).To(HaveLen(1))
		table.HandleOrderResult(work, "sick")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("ends an incarnation at whose address another one answers, also if it is not the current one", func() {
		before, _ := table.NextHold(false)
		heartbeat("i-2", "ready", 1)
		table.HandleHoldFailure(before, true)
		Expect(heartbeat("i-1", "ready", 9)).To(Equal(409))
		call, _ := table.Compose(0)
		Expect(call.Executor).To(Equal("i-2"))
		Expect(call.Gone).To(Equal([]string{"i-1"}))
	})

	It("does not confirm an incarnation by an answer to a hold that was composed before its heartbeat", func() {
		before, _ := table.NextHold(false)
		heartbeat("i-2", "ready", 1)
		fakeClock.Advance(time.Millisecond)
		heartbeat("i-1", "ready", 2)
		table.HandleHold(before, executorapi.Answer{ClockMs: 1000})
		call, _ := table.Compose(0)
		Expect(call.Gone).To(BeEmpty())
	})

	It("extends the lease only by grants of the leader", func() {
		work, _ := table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeZero())
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		work, _ = table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeNumerically("<=", 5000))
		Expect(work.Hold.ExpiryMs).To(BeNumerically(">", 4900))
		fakeClock.Advance(5 * time.Second)
		work, _ = table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeZero())
	})

	It("sends no launch order without a lease, for another incarnation or to a draining executor", func() {
		_, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		_, isDue = table.Ready("i-1", launch)
		Expect(isDue).To(BeTrue())
		_, isDue = table.Ready("i-0", launch)
		Expect(isDue).To(BeFalse())
		heartbeat("i-1", "draining", 2)
		_, isDue = table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(wire.OrderAnswer{Task: "t.0.0.0", Run: 1, Kind: "launch", Result: "not-run"}))
	})

	DescribeTable("refuses launch orders in an evacuated zone once the grace period is over", func(inForceAfter, grace time.Duration) {
		var since time.Duration
		isOrdered := false
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing,
			localproxy.WithEvacuation(inForceAfter, func() (time.Duration, bool) { return since, isOrdered }))
		heartbeat("i-1", "ready", 1)
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 6000})
		isReady := func() bool {
			_, isDue := table.Ready("i-1", launch)
			return isDue
		}
		Expect(isReady()).To(BeTrue())
		isOrdered, since = true, fakeClock.Monotonic()
		fakeClock.Advance(grace - 100*time.Millisecond)
		Expect(isReady()).To(BeTrue(), "within the grace period, so that gangs can complete their launch")
		fakeClock.Advance(100 * time.Millisecond)
		Expect(isReady()).To(BeFalse())
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(wire.OrderAnswer{Task: "t.0.0.0", Run: 1, Kind: "launch", Result: "not-run"}))
		isOrdered = false
		Expect(isReady()).To(BeTrue())
	},
		Entry("2 s until the evacuation must be in force", 2*time.Second, 800*time.Millisecond),
		Entry("5 s until the evacuation must be in force", 5*time.Second, 2*time.Second),
		Entry("1 minute until the evacuation must be in force", time.Minute, 2*time.Second),
	)

	It("ignores answers with a lower fence, and orders that are in flight already", func() {
		exchange(wire.ExchangeAnswer{Fence: 5})
		Expect(exchange(wire.ExchangeAnswer{Fence: 4, Orders: []wire.Order{launch}})).To(BeEmpty())
		Expect(exchange(wire.ExchangeAnswer{Fence: 5, Orders: []wire.Order{launch, launch}})).To(HaveLen(1))
	})

	It("drops an order of a former leader unless the current one gave it as well", func() {
		exchange(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})
		exchange(wire.ExchangeAnswer{Fence: 6, GrantMs: 4000})
		_, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		exchange(wire.ExchangeAnswer{Fence: 6, GrantMs: 4000, Orders: []wire.Order{launch}})
		exchange(wire.ExchangeAnswer{Fence: 7, GrantMs: 4000})
		Expect(exchange(wire.ExchangeAnswer{Fence: 7, GrantMs: 4000, Orders: []wire.Order{launch}})).To(BeEmpty())
		work, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeTrue())
		Expect(work.Fence).To(Equal(uint64(7)))
	})

	It("limits the lease of a launched run to the grant that came with its order, whatever was granted later", func() {
		call, _ := table.Compose(0)
		table.HandleAnswer(call, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, Orders: []wire.Order{launch}})
		first, _ := table.Ready("i-1", launch)
		fakeClock.Advance(7 * time.Second)
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		again, isDue := table.Ready("i-1", launch)
		Expect(isDue && again.ExpiryMs > first.ExpiryMs).To(BeFalse())
	})

	It("reports every refusal as uncertain after more timeouts than it remembers individually", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		for run := range int64(10000) {
			table.HandleOrderTimeout(localproxy.OrderWork{Executor: "i-1", Order: wire.Order{Kind: "launch", Task: "other.0.0.0", Run: run}})
		}
		table.HandleOrderTimeout(localproxy.OrderWork{Executor: "i-1", Order: launch})
		table.HandleOrderResult(localproxy.OrderWork{Executor: "i-1", Order: launch}, "room")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("reports a refusal as uncertain after a timeout of the same order", func() {
		exchange(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000})
		work, _ := table.Ready("i-1", launch)
		table.HandleOrderTimeout(work)
		table.HandleOrderResult(work, "room")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("reports an end until the leader acknowledges it, and then acknowledges it to the executor", func() {
		work, _ := table.NextHold(false)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: []executorapi.EndRow{{Number: 1, Task: "t", Run: 1, Outcome: "done"}}})
		exchange(wire.ExchangeAnswer{Fence: 1})
		call, _ := table.Compose(0)
		Expect(call.Ends).To(HaveLen(1))
		exchange(wire.ExchangeAnswer{Fence: 1, LastSeen: 1})
		call, _ = table.Compose(0)
		Expect(call.Ends).To(BeEmpty())
		work, _ = table.NextHold(false)
		Expect(work.Hold.LastSeen).To(Equal(int64(1)))
	})

	// A run that is missing in such an answer may have ended as well, if its end did not fit.
	It("does not use an answer with the maximum number of ends as a complete list of runs", func() {
		exchange(wire.ExchangeAnswer{Fence: 1, WantedList: 1})
		maxEnds := make([]executorapi.EndRow, executorapi.MaxEndsPerAnswer)
		for index := range maxEnds {
			maxEnds[index] = executorapi.EndRow{Number: int64(index + 1), Task: "t", Run: int64(index + 1), Outcome: "done"}
		}
		work, _ := table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: maxEnds})
		call, _ := table.Compose(0)
		Expect(call.ListNumber).To(BeZero())
		Expect(call.Ends).To(HaveLen(len(maxEnds)))

		exchange(wire.ExchangeAnswer{Fence: 1, LastSeen: int64(len(maxEnds)), WantedList: 1})
		work, isDue := table.NextHold(true)
		Expect(isDue).To(BeTrue())
		furtherEnds := []executorapi.EndRow{{Number: int64(len(maxEnds) + 1), Task: "t", Run: 501, Outcome: "done"}}
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: furtherEnds})
		call, _ = table.Compose(0)
		Expect(call.ListNumber).To(Equal(uint64(1)))
		Expect(call.Ends).To(HaveLen(1))
	})

	It("reports every end in order if the answers of two holds arrive in reverse order", func() {
		exchange(wire.ExchangeAnswer{Fence: 1, WantedList: 1})
		first, _ := table.NextHold(false)
		second, _ := table.NextHold(true)
		ends := []executorapi.EndRow{{Number: 1, Task: "a", Run: 1, Outcome: "done"}, {Number: 2, Task: "b", Run: 1, Outcome: "done"}}
		table.HandleHold(second, executorapi.Answer{ClockMs: 1000, Ends: ends})
		table.HandleHold(first, executorapi.Answer{ClockMs: 1000, Ends: ends[:1]})
		call, _ := table.Compose(0)
		Expect(call.Ends).To(HaveExactElements(HaveField("Number", int64(1)), HaveField("Number", int64(2))))
	})

	It("does not pass on acknowledgements of a former leader to the executor", func() {
		exchange(wire.ExchangeAnswer{Fence: 1, LastSeen: 7})
		exchange(wire.ExchangeAnswer{Fence: 2})
		work, _ := table.NextHold(false)
		Expect(work.Hold).To(Equal(executorapi.Hold{Fence: 2, WaitMs: work.Hold.WaitMs}))
		exchange(wire.ExchangeAnswer{Fence: 1, LastSeen: 9})
		work, _ = table.NextHold(false)
		Expect(work.Hold.LastSeen).To(BeZero())
	})

	It("reports the list for a new leader while an exchange with the former one is in flight", func() {
		exchange(wire.ExchangeAnswer{Fence: 1, WantedList: 9})
		work, _ := table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		old, _ := table.Compose(0)
		exchange(wire.ExchangeAnswer{Fence: 2, WantedList: 3})
		table.HandleAnswer(old, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 2, WantedList: 3})
		work, _ = table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		call, _ := table.Compose(0)
		Expect(call.ListNumber).To(Equal(uint64(3)))
		Expect(call.Fence).To(Equal(uint64(2)))
	})

	It("uses a short wait for ends after a lost answer", func() {
		work, _ := table.NextHold(false)
		normalWait := work.Hold.WaitMs
		table.HandleHoldFailure(work, false)
		work, _ = table.NextHold(false)
		Expect(work.Hold.WaitMs).To(BeNumerically("<", normalWait/2))
		fakeClock.Advance(time.Minute)
		work, _ = table.NextHold(false)
		Expect(work.Hold.WaitMs).To(Equal(normalWait))
	})
})
