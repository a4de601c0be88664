package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

var _ = Describe("an evacuated zone", func() {
	var fakeClock *clock.Fake
	var leadership *scriptedLeadership
	var pool *scheduler.Pool
	var evacuated map[string]bool
	exchange := func(executor, zone string) []wire.Order {
		var reported []wire.Order
		pool.Exchange(&wire.ExchangeCall{Key: "pool/s", Executor: executor, Proxy: "side-" + executor, Domain: zone,
			Capacity: wire.Capacity{CPU: 4000, Memory: 4000}, Labels: []string{"a", "r1"}, Fence: 3, ListNumber: 1 << 40},
			func(answer wire.ExchangeAnswer) { reported = answer.Orders })
		pool.Flush()
		return reported
	}
	tick := func() (inA, inB []wire.Order) {
		fakeClock.Advance(50 * time.Millisecond)
		pool.Tick()
		pool.Flush()
		leadership.settle(nil)
		return exchange("i-1", "a"), exchange("i-2", "b")
	}
	submit := func(id string) {
		pool.Submit(&wire.ClientCall{Verb: "hand-in", Route: "e", ID: id, Terms: &wire.RouteTerms{MaxAttempts: 2},
			Body: []byte(`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":2000}]}`)}, func(wire.ClientAnswer) {})
		pool.Flush()
	}
	BeforeEach(func() {
		fakeClock, evacuated = clock.NewFake(1_000_000), map[string]bool{"a": true}
		leadership = &scriptedLeadership{clock: fakeClock, hasLease: true, records: map[string][]byte{}, epoch: 3}
		pool = scheduler.New("pool/s", fakeClock, timing, logging.Silent(), scheduler.WithEvacuations(func(zone string) bool { return evacuated[zone] }))
		pool.Open(leadership, nil)
		tick()
	})

	It("gets no new runs until its evacuation ends", func() {
		submit("5c0e7a21d94b36f8")
		inA, inB := tick()
		Expect(inA).To(BeEmpty())
		Expect(inB).To(HaveLen(2))
		submit("5c0e7a21d94b36f9")
		inA, _ = tick()
		Expect(inA).To(BeEmpty(), "the job waits while the other zone is full")
		delete(evacuated, "a")
		inA, _ = tick()
		Expect(inA).To(HaveLen(2))
		Expect(pool.ZoneLoads()).To(Equal([]wire.ZoneLoad{{Key: "pool/s", Zone: "a", Executors: 1, Runs: 2}, {Key: "pool/s", Zone: "b", Executors: 1, Runs: 2}}))
	})

	It("keeps jobs waiting if all zones are evacuated", func() {
		evacuated["b"] = true
		tick()
		submit("5c0e7a21d94b36f8")
		inA, inB := tick()
		Expect(append(inA, inB...)).To(BeEmpty())
		delete(evacuated, "b")
		_, inB = tick()
		Expect(inB).To(HaveLen(2))
	})
})
