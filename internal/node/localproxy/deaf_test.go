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

var _ = Describe("an executor that no call gets through to", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	var works int
	nothing := func() {}
	order := func(kind string, run int64) wire.Order {
		return wire.Order{Kind: wire.OrderKind(kind), Task: "t.0.0.0", Run: run}
	}
	ready := func(kind string, run int64) (localproxy.OrderWork, bool) { return table.Ready("i-1", order(kind, run)) }
	results := func() (all []string) {
		call, _ := table.Compose(0)
		for _, one := range call.Answers {
			all = append(all, string(one.Result))
		}
		return all
	}
	holdFails := func() {
		work, _ := table.NextHold(false)
		table.HandleHoldFailure(work, false)
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(0)
		table = localproxy.NewTable(fakeClock, logging.Silent(), "s", "d", "side-1", func() { works++ }, nothing, nothing)
		table.Heartbeat("i-1", &executorapi.Heartbeat{Service: "s", State: "ready", ClockMs: 1000, Sequence: 1})
		call, _ := table.Compose(0)
		table.HandleAnswer(call, 0, &wire.ExchangeAnswer{Fence: 3, GrantMs: 4000, WantedList: 5})
		work, _ := table.NextHold(false)
		work.ListNumber = 0
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000})
		works = 0
	})

	It("is sick at once where nobody listens, and no further call is spent on a start", func() {
		work, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
		table.HandleOrderRefusal(work)
		_, isDue = ready("launch", 2)
		Expect(isDue).To(BeFalse())
		Expect(results()).To(Equal([]string{"sick", "sick"}))
	})

	It("is sick after two calls without an answer, not after one", func() {
		holdFails()
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
		works = 0
		holdFails()
		Expect(works).To(Equal(1), "the owner hears of it at once")
		_, isDue = ready("launch", 2)
		Expect(isDue).To(BeFalse())
		call, _ := table.Compose(0)
		Expect(clock.Milliseconds(call.HoldAgeMs)).To(BeNumerically(">", time.Minute))
	})

	It("is spared stops and looks meanwhile; the holds go on, and show when it answers", func() {
		holdFails()
		holdFails()
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

	It("is not known to have left a start undone that may have reached it", func() {
		work, _ := ready("launch", 1)
		table.HandleOrderTimeout(work)
		table.HandleOrderTimeout(work)
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeFalse())
		Expect(results()).To(Equal([]string{"timeout"}))
	})

	It("is not asked over and over where it refuses at once", func() {
		Expect(localproxy.PauseAfterMiss(time.Millisecond)).To(BeNumerically(">", 90*time.Millisecond))
		Expect(localproxy.PauseAfterMiss(300 * time.Millisecond)).To(BeNumerically("<", 20*time.Millisecond))
	})

	It("is tried again after a while", func() {
		holdFails()
		holdFails()
		fakeClock.Advance(1100 * time.Millisecond)
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
	})

	It("counts as heard when an order is answered between two failures", func() {
		holdFails()
		table.ReadClock("i-1", 1000)
		holdFails()
		_, isDue := ready("launch", 1)
		Expect(isDue).To(BeTrue())
	})
})
