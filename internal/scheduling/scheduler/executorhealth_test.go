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

var _ = Describe("trust in executors", func() {
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	numbers := map[string]int64{}
	settle := func() {
		pool.Flush()
		leadership.settle(nil)
		pool.Flush()
	}
	exchange := func(life, machine string, change func(*wire.ExchangeCall)) (reported wire.ExchangeAnswer) {
		call := &wire.ExchangeCall{Key: "pool/s", Executor: life, Proxy: machine, Fence: 3, ListNumber: 1 << 40,
			Capacity: wire.Capacity{CPU: 4000, Memory: 4000}}
		if change != nil {
			change(call)
		}
		pool.Exchange(call, func(answer wire.ExchangeAnswer) { reported = answer })
		settle()
		return reported
	}
	// orderOf gives the next start that one of the executors is told.
	orderOf := func() (life string, order wire.Order) {
		for range 20 {
			for _, life := range []string{"i-1", "i-2"} {
				for _, one := range exchange(life, "side-"+life, nil).Orders {
					if one.Kind == "launch" {
						return life, one
					}
				}
			}
			fakeClock.Advance(100 * time.Millisecond)
			pool.Tick()
			settle()
		}
		Fail("nothing was placed")
		return "", wire.Order{}
	}
	end := func(life string, order wire.Order, how string) {
		numbers[life]++
		machine := map[string]string{"i-1": "side-i-1", "i-2": "side-i-2", "i-9": "side-i-2"}[life]
		exchange(life, machine, func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: order.Task, Run: order.Run, Kind: "launch", Result: "ok"}}
			call.Ends = []wire.EndReport{{Number: numbers[life], Task: order.Task, Run: order.Run, Outcome: wire.RunOutcome(how)}}
		})
	}
	refuse := func(life string, order wire.Order, result string) {
		exchange(life, "side-"+life, func(call *wire.ExchangeCall) {
			call.Answers = []wire.OrderAnswer{{Task: order.Task, Run: order.Run, Kind: "launch", Result: wire.OrderResult(result)}}
		})
	}
	handIn := func(number int) {
		pool.Submit(&wire.ClientCall{Route: "e", ID: fmt.Sprintf("%016x", number), Terms: &wire.RouteTerms{MaxAttempts: 9},
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)}, func(wire.ClientAnswer) {})
		settle()
	}
	BeforeEach(func() {
		fakeClock = clock.NewFake(1_000_000)
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, kept: map[string][]byte{}, epoch: 3}
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent())
		pool.Open(leadership, nil)
		clear(numbers)
		exchange("i-1", "side-i-1", nil)
		exchange("i-2", "side-i-2", nil)
	})

	It("blames no executor for a task that fails on another one as well", func() {
		handIn(1)
		first, order := orderOf()
		end(first, order, "failed")
		blamed := pool.PenaltyScore(first)
		Expect(blamed).To(BeNumerically("~", 0.2, 0.01))
		second, order := orderOf()
		Expect(second).NotTo(Equal(first))
		end(second, order, "failed")
		Expect(pool.PenaltyScore(second)).To(BeNumerically("<", 0.06))
		Expect(pool.PenaltyScore(first)).To(BeNumerically("<", 0.06))
	})

	It("keeps the blame on one whose tasks get done elsewhere", func() {
		handIn(1)
		first, order := orderOf()
		end(first, order, "failed")
		second, order := orderOf()
		end(second, order, "done")
		Expect(pool.PenaltyScore(first)).To(BeNumerically(">", 0.15))
		Expect(pool.PenaltyScore(second)).To(BeZero())
	})

	It("mistrusts a machine whose executor died, in its next life, for a while", func() {
		exchange("i-9", "side-i-1", func(call *wire.ExchangeCall) { call.Gone = []string{"i-1"} })
		died := pool.PenaltyScore("i-9")
		Expect(died).To(BeNumerically("~", 0.3, 0.01))
		fakeClock.Advance(8 * time.Second)
		exchange("i-9", "side-i-1", nil)
		Expect(pool.PenaltyScore("i-9")).To(BeNumerically("~", died/2, 0.01))
		Expect(pool.PenaltyScore("i-2")).To(BeZero())
	})

	It("holds nothing against a machine whose executor left in order", func() {
		exchange("i-1", "side-i-1", func(call *wire.ExchangeCall) { call.Draining = true })
		exchange("i-9", "side-i-1", func(call *wire.ExchangeCall) { call.Gone = []string{"i-1"} })
		Expect(pool.PenaltyScore("i-9")).To(BeZero())
	})

	for result, limit := range map[string]float64{"room": 0, "sick": 0.3} {
		It("counts refusals of one moment once, and want of room not at all: "+result, func() {
			var orders []wire.Order
			for number := range 3 {
				handIn(number + 1)
				life, order := orderOf()
				Expect(life).To(Equal("i-1"))
				orders = append(orders, order)
			}
			for _, order := range orders {
				refuse("i-1", order, result)
			}
			exchange("i-9", "side-i-1", nil)
			Expect(pool.PenaltyScore("i-9")).To(BeNumerically("~", limit, 0.02))
		})
	}

	It("lets a machine that lost trust run one task at a time, and twice as many with each success", func() {
		exchange("i-1", "side-i-1", func(call *wire.ExchangeCall) { call.Draining = true })
		exchange("i-9", "side-i-2", func(call *wire.ExchangeCall) { call.Gone = []string{"i-2"} })
		for number := range 9 {
			handIn(number + 1)
		}
		given := func() (orders []wire.Order) {
			for range 3 {
				orders = append(orders, exchange("i-9", "side-i-2", nil).Orders...)
			}
			return orders
		}
		Expect(given()).To(HaveLen(1))
		fakeClock.Advance(20 * time.Millisecond)
		end("i-9", wire.Order{Task: fmt.Sprintf("%016x.0.0.0", 1), Run: 1}, "done")
		Expect(given()).To(HaveLen(2))
		end("i-9", wire.Order{Task: fmt.Sprintf("%016x.0.0.0", 2), Run: 1}, "done")
		Expect(given()).To(HaveLen(3), "four at once, one of them from before")
	})

	It("sets no bound where a start is refused, as a refusal costs nothing that ran", func() {
		var orders []wire.Order
		for number := range 4 {
			handIn(number + 1)
			_, order := orderOf()
			orders = append(orders, order)
		}
		refuse("i-1", orders[0], "sick")
		Expect(pool.RunLimit("i-1")).To(BeZero())
		Expect(pool.PenaltyScore("i-1")).To(BeNumerically(">", 0.3))
	})

	It("moves a run that hangs, even when its start is only known of later, and where it hung gets the task last", func() {
		handIn(1)
		first, order := orderOf()
		stuck := func(call *wire.ExchangeCall) {
			call.Session, call.Number, call.Proxy = 1, 1, "side-"+first
			call.Changed = []wire.RunReport{{Task: order.Task, Run: order.Run, Stuck: true}}
		}
		Expect(exchange(first, "side-"+first, stuck).Orders).To(BeEmpty())
		refuse(first, order, "ok")
		Expect(exchange(first, "side-"+first, nil).Orders).To(ConsistOf(HaveField("Kind", wire.OrderStop)))
		Expect(pool.RunLimit(first)).To(Equal(1))
		end(first, order, "stopped")
		second, order := orderOf()
		Expect(second).NotTo(Equal(first))
		Expect(order.Run).To(Equal(int64(2)))
	})

	It("is forgiven with time", func() {
		exchange("i-9", "side-i-2", func(call *wire.ExchangeCall) { call.Gone = []string{"i-2"} })
		Expect(pool.RunLimit("i-9")).To(Equal(1))
		fakeClock.Advance(9 * time.Second)
		exchange("i-9", "side-i-2", nil)
		Expect(pool.RunLimit("i-9")).To(BeZero())
	})

	It("chooses an executor last, among equals, that should have been heard again", func() {
		f := newFleet(timing)
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
		f.executors[0].isSilent = true
		f.pass(500 * time.Millisecond)
		f.handIn("5c0e7a21d94b36f8", wire.RouteTerms{MaxAttempts: 2}, `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}]}`)
		f.pass(100 * time.Millisecond)
		Expect(f.executors[1].running).To(HaveLen(1))
	})
})
