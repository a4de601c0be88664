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
	// hold makes the executor answer a hold with the given running runs.
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

	It("contains the facts again only if they changed", func() {
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

	It("contains a changed checkpoint until the leader acknowledges it, and no run without a checkpoint", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, row(1, ""), row(2, "c1"))
		unanswered, _ := table.Compose(0)
		Expect(unanswered.Changed).To(ConsistOf(HaveField("Checkpoint", "c1")))
		again := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: unanswered.Number})
		Expect(again.Changed).To(HaveLen(1))
		hold(false, row(1, ""), row(2, "c1"))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: again.Number}).Changed).To(BeEmpty())
	})

	It("contains that a run is stuck, and later that it makes progress again", func() {
		rowAt := func(number, percent int) executorapi.RunningRow {
			changed := row(number, "")
			changed.Percent = percent
			return changed
		}
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		hold(false, rowAt(1, 40), rowAt(2, 40))
		for step := range 5 {
			fakeClock.Advance(400 * time.Millisecond)
			hold(false, rowAt(1, 40), rowAt(2, 41+step))
		}
		stuck, _ := table.Compose(0)
		Expect(stuck.Changed).To(ConsistOf(And(HaveField("Stuck", true), HaveField("Task", row(1, "").Task))))
		hold(false, rowAt(1, 41), rowAt(2, 46))
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

	It("contains a requested list of runs in full, and only once", func() {
		hold(false, row(1, ""), row(2, "c1"))
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1})
		hold(true, row(1, ""), row(2, "c1"))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(HaveLen(2))
		fakeClock.Advance(5 * time.Second)
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 2, WantedList: 1}).Running).To(BeEmpty())
	})

	It("is the full state in the next exchange, which is due at once, if the leader needs it", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1, GrantMs: 4000, WantedList: 1})
		hold(true)
		order := wire.Order{Kind: "launch", Task: "t.0.0.0", Run: 1}
		work, isDue := table.Ready("i-7f3a91c2", order)
		Expect(isDue).To(BeTrue())
		table.HandleOrderResult(work, "ok")
		reports = 0
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true}).Base).NotTo(BeZero())
		Expect(reports).To(Equal(1))
		full := exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1})
		Expect(full.Base).To(BeZero())
		Expect(full.Answers).To(HaveLen(1))
		Expect(full.ListNumber).To(Equal(uint64(1)))
		Expect(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: 1}).Answers).To(BeEmpty())
	})

	It("has the number of a later session if the leader knows a later session", func() {
		exchange(wire.ExchangeAnswer{Fence: 3, NeedsFullState: true, Session: 90})
		Expect(exchange(wire.ExchangeAnswer{Fence: 3}).Session).To(Equal(uint64(91)))
	})

	It("has the facts each time, and the running runs once a second, for a leader without numbered changes", func() {
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

	It("has the age of a launched run's result; only the report of a launched run may be delayed", func() {
		starts := 0
		newTable(localproxy.WithStartSignal(func() { starts++ }))
		exchange(wire.ExchangeAnswer{Fence: 3, GrantMs: 4000})
		startRun := func(number int64, result string) {
			work, _ := table.Ready("i-7f3a91c2", wire.Order{Kind: "launch", Task: "t.0.0.0", Run: number})
			table.HandleOrderResult(work, wire.OrderResult(result))
		}
		reports = 0
		Expect(table.HasUnsent()).To(BeFalse())
		startRun(1, "ok")
		Expect([]int{starts, reports}).To(Equal([]int{1, 0}))
		Expect(table.HasUnsent()).To(BeTrue())
		fakeClock.Advance(70 * time.Millisecond)
		call, _ := table.Compose(0)
		Expect(call.Answers).To(ConsistOf(HaveField("AgeMs", int64(70))))
		Expect(table.HasUnsent()).To(BeFalse())
		exchange(wire.ExchangeAnswer{Fence: 3})
		Expect(exchange(wire.ExchangeAnswer{Fence: 3}).Answers).To(BeEmpty())
		startRun(2, "room")
		Expect([]int{starts, reports}).To(Equal([]int{1, 1}))
	})

	It("has a longer wait for orders while the executor is idle", func() {
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
		// measure returns the sizes of two consecutive exchanges, the second one first. The first one contains the running runs if the leader
		// acknowledges no numbered changes.
		measure := func(acknowledged uint64) (withoutRuns, withRuns int) {
			fakeClock.Advance(2 * time.Second)
			hold(false, rows...)
			withRuns = size(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: acknowledged}))
			return size(exchange(wire.ExchangeAnswer{Fence: 3, HeldNumber: acknowledged})), withRuns
		}
		measure(1)
		numbered, numberedWithRuns := measure(1)
		newTable()
		measure(0)
		unnumbered, unnumberedWithRuns := measure(0)
		fmt.Fprintf(GinkgoWriter, "bytes of an exchange without changes: %d; without numbered changes: %d, and %d once a second with 12 runs\n",
			numbered, unnumbered, unnumberedWithRuns)
		Expect(numberedWithRuns).To(Equal(numbered))
		Expect(3 * numbered).To(BeNumerically("<", 2*unnumbered))
		Expect(3 * numbered).To(BeNumerically("<", unnumberedWithRuns))
	})
})
