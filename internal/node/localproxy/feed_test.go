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

var _ = Describe("the content of exchanges", func() {
	var fakeClock *clock.Fake
	var table *localproxy.Table
	// reports counts the signals that a report is due.
	var reports int
	nothing := func() {}
	// exchange composes an exchange, handles the given answer to it, and returns the exchange.
	exchange := func(answer wire.ExchangeAnswer) *wire.ExchangeCall {
		call, _ := table.Compose(0)
		table.HandleAnswer(call, fakeClock.Monotonic(), &answer)
		return call
	}
	hold := func(isForList bool, rows ...executorapi.RunningRow) {
		work, isDue := table.NextHold(isForList)
		Expect(isDue).To(BeTrue())
		table.HandleHold(work, executorapi.Answer{ClockMs: 1000, Running: rows})
	}
	row := func(number int, checkpoint string) executorapi.RunningRow {
		return executorapi.RunningRow{Task: fmt.Sprintf("5c0e7a21d94b36f8.0.1.%d", number), Run: 1, Checkpoint: checkpoint, Percent: 41}
	}
	size := func(call *wire.ExchangeCall) int {
		text, err := easyjson.Marshal(call)
		Expect(err).NotTo(HaveOccurred())
		return len(text)
	}
	newTable := func(options ...localproxy.TableOption) {
		fakeClock, reports = clock.NewFake(0), 0
		table = localproxy.NewTable(fakeClock, logging.Silent(), "rota-board", "derby-hall", "side-1", func() { reports++ }, nothing, nothing, options...)
		table.Heartbeat("i-7f3a91c2", &executorapi.Heartbeat{Service: "rota-board", State: "ready", ClockMs: 1000, Sequence: 1,
			Capacity: wire.Capacity{CPU: 16000, Memory: 32768}, Labels: []string{"a", "r1-3"}})
	}
	BeforeEach(func() { newTable(localproxy.WithSession(7)) })

	It("carries facts again only if they changed", func() {
		first := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(first.Proxy).To(Equal("side-1"))
		Expect(first.Base).To(BeZero())
		second := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(second.Proxy).To(BeEmpty())
		Expect(second.Base).To(Equal(first.Number))
		table.Heartbeat("i-7f3a91c2", &executorapi.Heartbeat{Service: "rota-board", State: "draining", Sequence: 2})
		third := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(third.Draining).To(BeTrue())
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: third.Number}).Draining).To(BeTrue(), "this exchange was composed before the acknowledgement arrived")
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: third.Number}).Proxy).To(BeEmpty())
	})

	It("carries a checkpoint until the leader acknowledges it, and no run without one", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, ""), row(2, "c1"))
		unanswered, _ := table.Compose(0)
		Expect(unanswered.Changed).To(ConsistOf(HaveField("Checkpoint", "c1")))
		again := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: unanswered.Number})
		Expect(again.Changed).To(HaveLen(1))
		hold(false, row(1, ""), row(2, "c1"))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: again.Number}).Changed).To(BeEmpty())
	})

	It("carries that a run is stuck, and that it makes progress again", func() {
		percent := func(number, percent int) executorapi.RunningRow {
			changed := row(number, "")
			changed.Percent = percent
			return changed
		}
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, percent(1, 40), percent(2, 40))
		for step := range 5 {
			fakeClock.Advance(400 * time.Millisecond)
			hold(false, percent(1, 40), percent(2, 41+step))
		}
		stuck, _ := table.Compose(0)
		Expect(stuck.Changed).To(ConsistOf(And(HaveField("Stuck", true), HaveField("Task", row(1, "").Task))))
		hold(false, percent(1, 41), percent(2, 46))
		moving, _ := table.Compose(0)
		Expect(moving.Changed).To(ConsistOf(HaveField("Stuck", false)))
	})

	It("does not report a run as stuck because the executor was silent", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, ""))
		fakeClock.Advance(time.Minute)
		hold(false, row(1, ""))
		call, _ := table.Compose(0)
		Expect(call.Changed).To(BeEmpty())
	})

	It("allows a run that started from a checkpoint time to restore it", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, "c1"))
		for range 10 {
			fakeClock.Advance(400 * time.Millisecond)
			hold(false, row(1, "c1"))
		}
		call, _ := table.Compose(0)
		Expect(call.Changed).To(ConsistOf(HaveField("Stuck", false)))
	})

	It("carries a requested list of runs in full, and only once", func() {
		hold(false, row(1, ""), row(2, "c1"))
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1})
		hold(true, row(1, ""), row(2, "c1"))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(HaveLen(2))
		fakeClock.Advance(5 * time.Second)
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(BeEmpty())
	})

	It("repeats an exchange in full, at once, if the leader needs the full state", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1, GrantMs: 4000, WantedList: 1})
		hold(true)
		order := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
		work, isDue := table.Ready("i-7f3a91c2", order)
		Expect(isDue).To(BeTrue())
		table.HandleOrderResult(work, "ok")
		reports = 0
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true}).Base).NotTo(BeZero())
		Expect(reports).To(Equal(1))
		whole := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(whole.Base).To(BeZero())
		Expect(whole.Answers).To(HaveLen(1))
		Expect(whole.ListNumber).To(Equal(uint64(1)))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1}).Answers).To(BeEmpty())
	})

	It("starts a later session if the leader knows a later one", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true, Session: 90})
		Expect(exchange(wire.ExchangeAnswer{Fence: 3}).Session).To(Equal(uint64(91)))
	})

	It("carries the facts each time, and running runs once a second, to a leader without numbered changes", func() {
		fakeClock.Advance(2 * time.Second)
		hold(false, row(1, ""), row(2, "c1"))
		for range 3 {
			call := exchange(wire.ExchangeAnswer{Fence: 3})
			Expect(call.Proxy).To(Equal("side-1"))
			Expect(call.Running).To(HaveLen(2))
			Expect(exchange(wire.ExchangeAnswer{Fence: 3}).Running).To(BeEmpty())
			fakeClock.Advance(1100 * time.Millisecond)
		}
	})

	It("delays only the report of a start, and carries its age", func() {
		starts := 0
		newTable(localproxy.WithStartSignal(func() { starts++ }))
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		launch := func(number int64, result string) {
			work, _ := table.Ready("i-7f3a91c2", wire.Order{Kind: "launch", Task: "t.0.0.0", Run: number})
			table.HandleOrderResult(work, wire.OrderResult(result))
		}
		reports = 0
		Expect(table.HasUnsent()).To(BeFalse())
		launch(1, "ok")
		Expect([]int{starts, reports}).To(Equal([]int{1, 0}))
		Expect(table.HasUnsent()).To(BeTrue())
		fakeClock.Advance(70 * time.Millisecond)
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(HaveField("AgeMs", int64(70))))
		Expect(table.HasUnsent()).To(BeFalse())
		exchange(wire.ExchangeAnswer{Fence: 3})
		Expect(exchange(wire.ExchangeAnswer{Fence: 3}).Answers).To(BeEmpty())
		launch(2, "room")
		Expect([]int{starts, reports}).To(Equal([]int{1, 1}))
	})

	It("waits longer for orders while the executor is idle", func() {
		wait := func() int64 {
			call, _ := table.Compose(300)
			return call.WaitMs
		}
		Expect(wait()).To(Equal(int64(300)))
		fakeClock.Advance(2100 * time.Millisecond)
		Expect(wait()).To(Equal(int64(600)))
		exchange(wire.ExchangeAnswer{Fence: 3, Orders: []wire.Order{{Kind: "launch", Task: "t.0.0.0", Run: 1}}})
		Expect(wait()).To(Equal(int64(300)))
		fakeClock.Advance(2100 * time.Millisecond)
		hold(false, row(1, ""))
		Expect(wait()).To(Equal(int64(300)))
	})

	It("is small if nothing changed", func() {
		var rows []executorapi.RunningRow
		for number := range 12 {
			rows = append(rows, row(number, ""))
		}
		measure := func(held uint64) (small, withRuns int) {
			fakeClock.Advance(2 * time.Second)
			hold(false, rows...)
			withRuns = size(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: held}))
			return size(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: held})), withRuns
		}
		measure(1)
		small, withRuns := measure(1)
		newTable()
		measure(0)
		smallUnnumbered, withRunsUnnumbered := measure(0)
		fmt.Fprintf(GinkgoWriter, "bytes of an exchange without changes: %d; without numbered changes: %d, and %d once a second with 12 runs\n",
			small, smallUnnumbered, withRunsUnnumbered)
		Expect(withRuns).To(Equal(small))
		Expect(3 * small).To(BeNumerically("<", 2*smallUnnumbered))
		Expect(3 * small).To(BeNumerically("<", withRunsUnnumbered))
	})
})
