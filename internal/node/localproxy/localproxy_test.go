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

var _ = Describe("a local-proxy's table", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	nothing := func() {}
	heartbeat := func(id, state string, sequence int64) int {
		status, _ := table.Heartbeat(id, &executorapi.Heartbeat{Service: "s", State: state, ClockMs: 1000, Sequence: sequence})
		return status
	}
	told := func(answer wire.ExchangeAnswer) []wire.Order {
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

	It("refuses beats of another service, old ones, and those of a life that is over", func() {
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

	It("takes no life for over because of a beat alone, which may be late", func() {
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

	It("keeps what it knows of a life's orders while a late beat sets another in its place", func() {
		told(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})
		work, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeTrue())
		heartbeat("i-0", "ready", 7)
		table.HandleOrderTimeout(work)
		_, isDue = table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		hold, _ := table.NextHold(false)
		table.HandleHoldFailure(hold, true)
		Expect(told(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})).To(HaveLen(1))
		table.HandleOrderResult(work, "sick")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("ends a life in whose place another one answers, also when it is not the present one", func() {
		before, _ := table.NextHold(false)
		heartbeat("i-2", "ready", 1)
		table.HandleHoldFailure(before, true)
		Expect(heartbeat("i-1", "ready", 9)).To(Equal(409))
		call, _ := table.Compose(0)
		Expect(call.Executor).To(Equal("i-2"))
		Expect(call.Gone).To(Equal([]string{"i-1"}))
	})

	It("takes no answer to a hold from before a beat for a sign of the life that sent the beat", func() {
		before, _ := table.NextHold(false)
		heartbeat("i-2", "ready", 1)
		fakeClock.Advance(time.Millisecond)
		heartbeat("i-1", "ready", 2)
		table.HandleHold(before, executorapi.Answer{ClockMs: 1000})
		call, _ := table.Compose(0)
		Expect(call.Gone).To(BeEmpty())
	})

	It("extends no hold without a grant, and no further than one", func() {
		work, _ := table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeZero())
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		work, _ = table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeNumerically("<=", 5000))
		Expect(work.Hold.ExpiryMs).To(BeNumerically(">", 4900))
		fakeClock.Advance(5 * time.Second)
		work, _ = table.NextHold(false)
		Expect(work.Hold.ExpiryMs).To(BeZero())
	})

	It("starts nothing on a draining executor, nor for another life, nor without time left", func() {
		_, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
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

	DescribeTable("starts nothing in a zone that is to be emptied, but what was placed a moment before", func(inForceAfter, grace time.Duration) {
		var since time.Duration
		isOrdered := false
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", nothing, nothing, nothing,
			localproxy.WithEvacuation(inForceAfter, func() (time.Duration, bool) { return since, isOrdered }))
		heartbeat("i-1", "ready", 1)
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 6000})
		isReady := func() bool {
			_, isDue := table.Ready("i-1", launch)
			return isDue
		}
		Expect(isReady()).To(BeTrue())
		isOrdered, since = true, fakeClock.Monotonic()
		fakeClock.Advance(grace - 100*time.Millisecond)
		Expect(isReady()).To(BeTrue(), "gangs may complete their start")
		fakeClock.Advance(100 * time.Millisecond)
		Expect(isReady()).To(BeFalse())
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(wire.OrderAnswer{Task: "t.0.0.0", Run: 1, Kind: "launch", Result: "not-run"}))
		isOrdered = false
		Expect(isReady()).To(BeTrue())
	},
		Entry("where the order must be in force soon", 2*time.Second, 800*time.Millisecond),
		Entry("where there is more time", 5*time.Second, 2*time.Second),
		Entry("where there is much time", time.Minute, 2*time.Second),
	)

	It("heeds no leader of an older epoch", func() {
		told(wire.ExchangeAnswer{Fence: 5})
		Expect(told(wire.ExchangeAnswer{Fence: 4, Orders: []wire.Order{launch}})).To(BeEmpty())
		Expect(told(wire.ExchangeAnswer{Fence: 5, Orders: []wire.Order{launch, launch}})).To(HaveLen(1))
	})

	It("carries out no order of a leader before the present one, unless that gave it as well", func() {
		told(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000, Orders: []wire.Order{launch}})
		told(wire.ExchangeAnswer{Fence: 6, GrantMs: 4000})
		_, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeFalse())
		told(wire.ExchangeAnswer{Fence: 6, GrantMs: 4000, Orders: []wire.Order{launch}})
		told(wire.ExchangeAnswer{Fence: 7, GrantMs: 4000})
		Expect(told(wire.ExchangeAnswer{Fence: 7, GrantMs: 4000, Orders: []wire.Order{launch}})).To(BeEmpty())
		work, isDue := table.Ready("i-1", launch)
		Expect(isDue).To(BeTrue())
		Expect(work.Fence).To(Equal(uint64(7)))
	})

	It("carries out no start beyond the grant that came with it, whatever was granted later", func() {
		call, _ := table.Compose(0)
		table.HandleAnswer(call, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, Orders: []wire.Order{launch}})
		first, _ := table.Ready("i-1", launch)
		fakeClock.Advance(7 * time.Second)
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		again, isDue := table.Ready("i-1", launch)
		Expect(isDue && again.ExpiryMs > first.ExpiryMs).To(BeFalse())
	})

	It("is unsure of every refusal once more orders went unanswered than it remembers", func() {
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		for run := range int64(10000) {
			table.HandleOrderTimeout(localproxy.OrderWork{Executor: "i-1", Order: wire.Order{Kind: "launch", Task: "other.0.0.0", Run: run}})
		}
		table.HandleOrderTimeout(localproxy.OrderWork{Executor: "i-1", Order: launch})
		table.HandleOrderResult(localproxy.OrderWork{Executor: "i-1", Order: launch}, "room")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("is unsure of a refusal once the order went unanswered", func() {
		told(wire.ExchangeAnswer{Fence: 5, GrantMs: 4000})
		work, _ := table.Ready("i-1", launch)
		table.HandleOrderTimeout(work)
		table.HandleOrderResult(work, "room")
		call, _ := table.Compose(0)
		Expect(call.Answers[0].Result).To(Equal(wire.OrderResult("unsure")))
	})

	It("tells an end until it is taken note of, and then lets the executor forget it", func() {
		work, _ := table.NextHold(false)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: []executorapi.EndRow{{Number: 1, Task: "t", Run: 1, Outcome: "done"}}})
		told(wire.ExchangeAnswer{Fence: 1})
		call, _ := table.Compose(0)
		Expect(call.Ends).To(HaveLen(1))
		told(wire.ExchangeAnswer{Fence: 1, LastSeen: 1})
		call, _ = table.Compose(0)
		Expect(call.Ends).To(BeEmpty())
		work, _ = table.NextHold(false)
		Expect(work.Hold.LastSeen).To(Equal(int64(1)))
	})

	It("takes an answer that is full of ends for no complete list of runs, as a run that it lacks may have ended", func() {
		told(wire.ExchangeAnswer{Fence: 1, WantedList: 1})
		full := make([]executorapi.EndRow, executorapi.MaxEndsPerAnswer)
		for index := range full {
			full[index] = executorapi.EndRow{Number: int64(index + 1), Task: "t", Run: int64(index + 1), Outcome: "done"}
		}
		work, _ := table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: full})
		call, _ := table.Compose(0)
		Expect(call.ListNumber).To(BeZero())
		Expect(call.Ends).To(HaveLen(len(full)))

		told(wire.ExchangeAnswer{Fence: 1, LastSeen: int64(len(full)), WantedList: 1})
		work, isDue := table.NextHold(true)
		Expect(isDue).To(BeTrue())
		rest := []executorapi.EndRow{{Number: int64(len(full) + 1), Task: "t", Run: 501, Outcome: "done"}}
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Ends: rest})
		call, _ = table.Compose(0)
		Expect(call.ListNumber).To(Equal(uint64(1)))
		Expect(call.Ends).To(HaveLen(1))
	})

	It("tells every end, in their order, where the answers of two holds overtake each other", func() {
		told(wire.ExchangeAnswer{Fence: 1, WantedList: 1})
		first, _ := table.NextHold(false)
		second, _ := table.NextHold(true)
		ends := []executorapi.EndRow{{Number: 1, Task: "a", Run: 1, Outcome: "done"}, {Number: 2, Task: "b", Run: 1, Outcome: "done"}}
		table.HandleHold(second, executorapi.Answer{ClockMs: 1000, Ends: ends})
		table.HandleHold(first, executorapi.Answer{ClockMs: 1000, Ends: ends[:1]})
		call, _ := table.Compose(0)
		Expect(call.Ends).To(HaveExactElements(HaveField("Number", int64(1)), HaveField("Number", int64(2))))
	})

	It("acknowledges nothing to the executor that only a former leader has acknowledged", func() {
		told(wire.ExchangeAnswer{Fence: 1, LastSeen: 7})
		told(wire.ExchangeAnswer{Fence: 2})
		work, _ := table.NextHold(false)
		Expect(work.Hold).To(Equal(executorapi.Hold{Fence: 2, WaitMs: work.Hold.WaitMs}))
		told(wire.ExchangeAnswer{Fence: 1, LastSeen: 9})
		work, _ = table.NextHold(false)
		Expect(work.Hold.LastSeen).To(BeZero())
	})

	It("tells a look of a new fence, even while an exchange of the old one is under way", func() {
		told(wire.ExchangeAnswer{Fence: 1, WantedList: 9})
		work, _ := table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		old, _ := table.Compose(0)
		told(wire.ExchangeAnswer{Fence: 2, WantedList: 3})
		table.HandleAnswer(old, fakeClock.Monotonic(), &wire.ExchangeAnswer{Fence: 2, WantedList: 3})
		work, _ = table.NextHold(true)
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		call, _ := table.Compose(0)
		Expect(call.ListNumber).To(Equal(uint64(3)))
		Expect(call.Fence).To(Equal(uint64(2)))
	})

	It("waits shortly for ends while the executor leaves calls unanswered", func() {
		work, _ := table.NextHold(false)
		calm := work.Hold.WaitMs
		table.HandleHoldFailure(work, false)
		work, _ = table.NextHold(false)
		Expect(work.Hold.WaitMs).To(BeNumerically("<", calm/2))
		fakeClock.Advance(time.Minute)
		work, _ = table.NextHold(false)
		Expect(work.Hold.WaitMs).To(Equal(calm))
	})
})
