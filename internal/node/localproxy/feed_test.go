package localproxy_test

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

var _ = Describe("what a proxy leaves out of its exchanges", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	var works int
	nothing := func() {}
	told := func(answer wire.ExchangeAnswer) *wire.ExchangeCall {
		call, _ := table.Compose(0)
		table.HandleAnswer(call, fakeClock.Monotonic(), &answer)
		return call
	}
	hold := func(isLook bool, rows ...executorapi.RunningRow) {
		work, isDue := table.NextHold(isLook)
		Expect(isDue).To(BeTrue())
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Running: rows})
	}
	row := func(number int, saved string) executorapi.RunningRow {
		return executorapi.RunningRow{Task: fmt.Sprintf("5c0e7a21d94b36f8.0.1.%d", number), Run: 1, Checkpoint: saved, Percent: 41}
	}
	size := func(call *wire.ExchangeCall) int {
		text, err := easyjson.Marshal(call)
		Expect(err).NotTo(HaveOccurred())
		return len(text)
	}
	begin := func(options ...localproxy.TableOption) {
		fakeClock, works = clock.NewFake(0), 0
		table = localproxy.NewTable(fakeClock, logging.Silent(), "rota-board", "derby-hall", "side-1", func() { works++ }, nothing, nothing, options...)
		table.Heartbeat("i-7f3a91c2", &executorapi.Heartbeat{Service: "rota-board", State: "ready", ClockMs: 1000, Sequence: 1,
			Capacity: wire.Capacity{CPU: 16000, Memory: 32768}, Labels: []string{"a", "r1-3"}})
	}
	BeforeEach(func() { begin(localproxy.WithSession(7)) })

	It("tells facts again only when they changed", func() {
		first := told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(first.Proxy).To(Equal("side-1"))
		Expect(first.Base).To(BeZero())
		second := told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(second.Proxy).To(BeEmpty())
		Expect(second.Base).To(Equal(first.Number))
		table.Heartbeat("i-7f3a91c2", &executorapi.Heartbeat{Service: "rota-board", State: "draining", Sequence: 2})
		third := told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(third.Draining).To(BeTrue())
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: third.Number}).Draining).To(BeTrue(), "as the answer was not there yet")
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: third.Number}).Proxy).To(BeEmpty())
	})

	It("tells a checkpoint until the leader holds it, and a run without one not at all", func() {
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, ""), row(2, "c1"))
		lost, _ := table.Compose(0)
		Expect(lost.Changed).To(ConsistOf(HaveField("Checkpoint", "c1")))
		again := told(wire.ExchangeAnswer{Fence: 3, HeldNumber: lost.Number})
		Expect(again.Changed).To(HaveLen(1))
		hold(false, row(1, ""), row(2, "c1"))
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: again.Number}).Changed).To(BeEmpty())
	})

	It("tells that a run stands still, and that it moves again", func() {
		percent := func(number, percent int) executorapi.RunningRow {
			one := row(number, "")
			one.Percent = percent
			return one
		}
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, percent(1, 40), percent(2, 40))
		for step := range 5 {
			fakeClock.Advance(400 * time.Millisecond)
			hold(false, percent(1, 40), percent(2, 41+step))
		}
		stuck, _ := table.Compose(0)
		Expect(stuck.Changed).To(ConsistOf(And(HaveField("Stuck", true), HaveField("Task", row(1, "").Task))))
		hold(false, percent(1, 41), percent(2, 46))
		moves, _ := table.Compose(0)
		Expect(moves.Changed).To(ConsistOf(HaveField("Stuck", false)))
	})

	It("takes an executor that was silent for long for one that stood still as a whole", func() {
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, ""))
		fakeClock.Advance(time.Minute)
		hold(false, row(1, ""))
		call, _ := table.Compose(0)
		Expect(call.Changed).To(BeEmpty())
	})

	It("leaves a run that began from a checkpoint time to restore it", func() {
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, "c1"))
		for range 10 {
			fakeClock.Advance(400 * time.Millisecond)
			hold(false, row(1, "c1"))
		}
		call, _ := table.Compose(0)
		Expect(call.Changed).To(ConsistOf(HaveField("Stuck", false)))
	})

	It("gives a look whole, whatever the leader holds", func() {
		hold(false, row(1, ""), row(2, "c1"))
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1})
		hold(true, row(1, ""), row(2, "c1"))
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(HaveLen(2))
		fakeClock.Advance(5 * time.Second)
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(BeEmpty())
	})

	It("keeps what was told in an exchange that the leader did not take, and tells it with the whole at once", func() {
		told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1, GrantMs: 4000, WantedList: 1})
		hold(true)
		order := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
		work, isDue := table.Ready("i-7f3a91c2", order)
		Expect(isDue).To(BeTrue())
		table.HandleOrderResult(work, "ok")
		works = 0
		Expect(told(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true}).Base).NotTo(BeZero())
		Expect(works).To(Equal(1))
		whole := told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(whole.Base).To(BeZero())
		Expect(whole.Answers).To(HaveLen(1))
		Expect(whole.ListNumber).To(Equal(uint64(1)))
		Expect(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1}).Answers).To(BeEmpty())
	})

	It("begins a later session where the leader knows one already", func() {
		told(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true, Session: 90})
		Expect(told(wire.ExchangeAnswer{Fence: 3}).Session).To(Equal(uint64(91)))
	})

	It("tells a leader of an earlier version the whole each time, and what runs once a second", func() {
		fakeClock.Advance(2 * time.Second)
		hold(false, row(1, ""), row(2, "c1"))
		for range 3 {
			call := told(wire.ExchangeAnswer{Fence: 3})
			Expect(call.Proxy).To(Equal("side-1"))
			Expect(call.Running).To(HaveLen(2))
			Expect(told(wire.ExchangeAnswer{Fence: 3}).Running).To(BeEmpty())
			fakeClock.Advance(1100 * time.Millisecond)
		}
	})

	It("lets the news of a start wait for a moment, with its age, and no other news", func() {
		begins := 0
		begin(localproxy.WithStartSignal(func() { begins++ }))
		told(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		launch := func(number int64, result string) {
			work, _ := table.Ready("i-7f3a91c2", wire.Order{Kind: "launch", Task: "t.0.0.0", Run: number})
			table.HandleOrderResult(work, wire.OrderResult(result))
		}
		works = 0
		Expect(table.HasUnsent()).To(BeFalse())
		launch(1, "ok")
		Expect([]int{begins, works}).To(Equal([]int{1, 0}))
		Expect(table.HasUnsent()).To(BeTrue())
		fakeClock.Advance(70 * time.Millisecond)
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(HaveField("AgeMs", int64(70))))
		Expect(table.HasUnsent()).To(BeFalse())
		told(wire.ExchangeAnswer{Fence: 3})
		Expect(told(wire.ExchangeAnswer{Fence: 3}).Answers).To(BeEmpty())
		launch(2, "room")
		Expect([]int{begins, works}).To(Equal([]int{1, 1}))
	})

	It("waits longer for orders once nothing has run for a while", func() {
		wait := func() int64 {
			call, _ := table.Compose(300)
			return call.WaitMs
		}
		Expect(wait()).To(Equal(int64(300)))
		fakeClock.Advance(2100 * time.Millisecond)
		Expect(wait()).To(Equal(int64(600)))
		told(wire.ExchangeAnswer{Fence: 3, Orders: []wire.Order{{Kind: "launch", Task: "t.0.0.0", Run: 1}}})
		Expect(wait()).To(Equal(int64(300)))
		fakeClock.Advance(2100 * time.Millisecond)
		hold(false, row(1, ""))
		Expect(wait()).To(Equal(int64(300)))
	})

	It("says little once the leader holds all", func() {
		var rows []executorapi.RunningRow
		for number := range 12 {
			rows = append(rows, row(number, ""))
		}
		measure := func(held uint64) (calm, busy int) {
			fakeClock.Advance(2 * time.Second)
			hold(false, rows...)
			busy = size(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: held}))
			return size(told(wire.ExchangeAnswer{Fence: 3, HeldNumber: held})), busy
		}
		measure(1)
		calm, busy := measure(1)
		begin()
		measure(0)
		calmBefore, busyBefore := measure(0)
		fmt.Fprintf(GinkgoWriter, "bytes of a call: %d; where the whole is told each time %d, and %d once a second with 12 runs\n", calm, calmBefore, busyBefore)
		Expect(busy).To(Equal(calm))
		Expect(3 * calm).To(BeNumerically("<", 2*calmBefore))
		Expect(3 * calm).To(BeNumerically("<", busyBefore))
	})
})
