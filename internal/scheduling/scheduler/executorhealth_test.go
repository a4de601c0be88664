package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("the health of executors", func() {
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	endNumbers := map[string]int64{}
	settle := func() {
		pool.Flush()
		leadership.settle(nil)
		pool.Flush()
	}
	exchange := func(executor, machine string, change func(*wire.ExchangeCall)) (reported wire.ExchangeAnswer) {
		call := &wire.ExchangeCall{Key: "pool/s", Executor: executor, Proxy: machine, Fence: 3, ListNumber: 1 << 40,
			Capacity: wire.Capacity{CPU: 4000, Memory: 4000}}
		if change != nil {
			change(call)
		}
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = answer })
		settle()
		return reported
	}
	// nextLaunch returns the next launch order of one of the executors.
	nextLaunch := func() (executor string, order wire.Order) {
		for range 20 {
			for _, executor := range []string{"i-1", "i-2"} {
				for _, sent := range exchange(executor, "side-"+executor, nil).Orders {
					if sent.Kind == "launch" {
						return executor, sent
					}
				}
			}
			fakeClock.Advance(100 * time.Millisecond)
			pool.Tick()
			settle()
		}
		Fail("no launch order was sent")
		return "", wire.Order{}
	}
	reportEnd := func(executor string, order wire.Order, outcome string) {
		endNumbers[executor]++
		machine := map[string]string{"i-1": "side-i-1", "i-2": "side-i-2", "i-9": "side-i-2"}[executor]
		exchange(executor, machine, func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: order.Task, Run: order.Run, Kind: "launch", Result: "ok"}}
			call.Ends = []wire.EndReport{{Number: endNumbers[executor], Task: order.Task, Run: order.Run, Outcome: wire.RunOutcome(outcome)}}
		})
	}
	answerLaunch := func(executor string, order wire.Order, result string) {
		exchange(executor, "side-"+executor, func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: order.Task, Run: order.Run, Kind: "launch", Result: wire.OrderResult(result)}}
		})
	}
	submit := func(number int) {
		pool.Submit(&wire.ClientCall{Route: "e", ID: fmt.Sprintf("%016x", number), Terms: &wire.RouteTerms{MaxAttempts: 9},
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)}, func(wire.ClientAnswer) {})
		settle()
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(1_000_000)
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, records: map[string][]byte{}, epoch: 3}
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent())
		pool.Open(leadership, nil)
		clear(endNumbers)
		exchange("i-1", "side-i-1", nil)
		exchange("i-2", "side-i-2", nil)
	})

	It("lowers the penalty of an executor if its failed task fails on another one as well", func() {
		submit(1)
		first, order := nextLaunch()
		reportEnd(first, order, "failed")
		firstPenalty := pool.PenaltyScore(first)
		Expect(firstPenalty).To(BeNumerically("~", 0.2, 0.01))
		second, order := nextLaunch()
		Expect(second).NotTo(Equal(first))
		reportEnd(second, order, "failed")
		Expect(pool.PenaltyScore(second)).To(BeNumerically("<", 0.06))
		Expect(pool.PenaltyScore(first)).To(BeNumerically("<", 0.06))
	})

	It("keeps the penalty of an executor if its failed task completes on another one", func() {
		submit(1)
		first, order := nextLaunch()
		reportEnd(first, order, "failed")
		second, order := nextLaunch()
		reportEnd(second, order, "done")
		Expect(pool.PenaltyScore(first)).To(BeNumerically(">", 0.15))
		Expect(pool.PenaltyScore(second)).To(BeZero())
	})

	It("penalizes the next executor on a machine whose executor died, with a decay", func() {
		exchange("i-9", "side-i-1", func(call *wire.ExchangeCall) { call.Gone = []string{"i-1"} })
		initialPenalty := pool.PenaltyScore("i-9")
		Expect(initialPenalty).To(BeNumerically("~", 0.3, 0.01))
		fakeClock.Advance(8 * time.Second)
		exchange("i-9", "side-i-1", nil)
		Expect(pool.PenaltyScore("i-9")).To(BeNumerically("~", initialPenalty/2, 0.01))
		Expect(pool.PenaltyScore("i-2")).To(BeZero())
	})

	It("doesn't penalize a machine whose executor drained before it ended", func() {
		exchange("i-1", "side-i-1", func(call *wire.ExchangeCall) { call.Draining = true })
		exchange("i-9", "side-i-1", func(call *wire.ExchangeCall) { call.Gone = []string{"i-1"} })
		Expect(pool.PenaltyScore("i-9")).To(BeZero())
	})

	for result, penalty := range map[string]float64{"room": 0, "sick": 0.3} {
		It("counts simultaneous refusals once, and those for lack of capacity not at all: "+result, func() {
			var orders []wire.Order
			for number := range 3 {
				submit(number + 1)
				executor, order := nextLaunch()
				Expect(executor).To(Equal("i-1"))
				orders = append(orders, order)
			}
			for _, order := range orders {
				answerLaunch("i-1", order, result)
			}
			exchange("i-9", "side-i-1", nil)
			Expect(pool.PenaltyScore("i-9")).To(BeNumerically("~", penalty, 0.02))
		})
	}

	It("limits an executor on a penalized machine to one run, and doubles the limit with each success", func() {
		exchange("i-1", "side-i-1", func(call *wire.ExchangeCall) { call.Draining = true })
		exchange("i-9", "side-i-2", func(call *wire.ExchangeCall) { call.Gone = []string{"i-2"} })
		for number := range 9 {
			submit(number + 1)
		}
		launches := func() (orders []wire.Order) {
			for range 3 {
				orders = append(orders, exchange("i-9", "side-i-2", nil).Orders...)
			}
			return orders
		}
		Expect(launches()).To(HaveLen(1))
		fakeClock.Advance(20 * time.Millisecond)
		reportEnd("i-9", wire.Order{Task: fmt.Sprintf("%016x.0.0.0", 1), Run: 1}, "done")
		Expect(launches()).To(HaveLen(2))
		reportEnd("i-9", wire.Order{Task: fmt.Sprintf("%016x.0.0.0", 2), Run: 1}, "done")
		Expect(launches()).To(HaveLen(3), "four runs at once, one of which was started before")
	})

	It("sets no run limit after a refused launch, as no run is lost by it", func() {
		var orders []wire.Order
		for number := range 4 {
			submit(number + 1)
			_, order := nextLaunch()
			orders = append(orders, order)
		}
		answerLaunch("i-1", orders[0], "sick")
		Expect(pool.RunLimit("i-1")).To(BeZero())
		Expect(pool.PenaltyScore("i-1")).To(BeNumerically(">", 0.3))
	})

	It("moves a stalled run, even if its start is reported after the stall, and avoids its executor", func() {
		submit(1)
		first, order := nextLaunch()
		stuck := func(call *wire.ExchangeCall) {
			call.Session, call.Number, call.Proxy = 1, 1, "side-"+first
			call.Changed = []wire.RunReport{{Task: order.Task, Run: order.Run, Stuck: true}}
		}
		Expect(exchange(first, "side-"+first, stuck).Orders).To(BeEmpty())
		answerLaunch(first, order, "ok")
		Expect(exchange(first, "side-"+first, nil).Orders).To(ConsistOf(HaveField("Kind", wire.OrderStop)))
		Expect(pool.RunLimit(first)).To(Equal(1))
		reportEnd(first, order, "stopped")
		second, order := nextLaunch()
		Expect(second).NotTo(Equal(first))
		Expect(order.Run).To(Equal(int64(2)))
	})

	It("lifts the run limit of a new executor as the penalty decays", func() {
		exchange("i-9", "side-i-2", func(call *wire.ExchangeCall) { call.Gone = []string{"i-2"} })
		Expect(pool.RunLimit("i-9")).To(Equal(1))
		fakeClock.Advance(9 * time.Second)
		exchange("i-9", "side-i-2", nil)
		Expect(pool.RunLimit("i-9")).To(BeZero())
	})

	It("chooses an executor whose report is overdue last among equals", func() {
		f := newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
		f.executors[0].isSilent = true
		f.pass(500 * time.Millisecond)
		f.submitJob("5c0e7a21d94b36f8", wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)
		f.pass(100 * time.Millisecond)
		Expect(f.executors[1].running).To(HaveLen(1))
	})
})
