package tenantcount

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// turnCalls makes calls of several pools to a partition, for one tenant with a limit of 80 CPU.
type turnCalls struct {
	part    *Part
	now     time.Duration
	numbers map[string]uint64
	granted map[string]int64
}

func newTurnCalls() *turnCalls {
	part, err := NewPart(nil, 0)
	Expect(err).NotTo(HaveOccurred())
	return &turnCalls{part: part, now: time.Second, numbers: map[string]uint64{}, granted: map[string]int64{}}
}

func turnLimits(string) (placement.Resources, bool) {
	return placement.Resources{CPU: 80, Memory: placement.Unlimited, GPU: placement.Unlimited}, true
}

// call makes a call in which a pool has what it was granted, or keep if that is less, wants the whole limit, and uses and waits for an amount.
func (c *turnCalls) call(pool string, keep, used, nextNeed int64, finishedTurn uint64) wire.TenantGrant {
	c.now += raiseInterval
	c.numbers[pool]++
	demand := wire.TenantDemand{Tenant: "t", Has: wire.Capacity{CPU: min(c.granted[pool], keep)}, Used: wire.Capacity{CPU: used}, Wants: wire.Capacity{CPU: 80},
		NextNeed: optionalCapacity(cpu(nextNeed)), FinishedTurn: finishedTurn}
	answer, _, err := c.part.HandleCall(&wire.GrantCall{Asker: pool, Epoch: 1, Number: c.numbers[pool], Tenants: []wire.TenantDemand{demand}}, turnLimits, c.now)
	Expect(err).NotTo(HaveOccurred())
	c.granted[pool] = answer.Tenants[0].Granted.CPU
	return answer.Tenants[0]
}

// wait makes two pools wait that hold half of the limit each, and returns the turn of the one that has waited longer, which is "x".
func (c *turnCalls) wait() (turn uint64) {
	c.call("x", 80, 0, 0, 0)
	c.call("y", 80, 0, 0, 0)
	c.call("x", 40, 0, 0, 0)
	c.call("y", 80, 0, 0, 0)
	Expect(c.granted).To(Equal(map[string]int64{"x": 40, "y": 40}))
	turn = c.call("x", 80, 0, 50, 0).Turn
	Expect(turn).NotTo(BeZero())
	Expect(c.call("y", 80, 0, 60, 0).Turn).To(BeZero(), "one turn at a time")
	return turn
}

var _ = Describe("the turns of a tenant's pools", func() {
	It("let a pool hold what its next work needs, and the others the rest of the limit", func() {
		c := newTurnCalls()
		c.wait()
		Expect(c.call("y", 80, 0, 60, 0).Target.CPU).To(Equal(int64(30)))
		c.call("y", 30, 0, 60, 0)
		Expect(c.call("x", 80, 0, 50, 0).Granted.CPU).To(Equal(int64(50)))
	})

	It("end once the work has started, and go on with the pool that has waited longest", func() {
		c := newTurnCalls()
		turn := c.wait()
		c.call("y", 30, 0, 60, 0)
		c.call("x", 80, 0, 50, 0)
		Expect(c.call("x", 80, 50, 50, turn).Turn).To(BeZero())
		Expect(c.call("y", 80, 0, 60, 0).Turn).NotTo(BeZero())
		Expect(c.call("x", 80, 50, 50, turn).Turn).To(BeZero(), "a call that repeats the end of a turn ends no other")
		Expect(c.call("y", 80, 0, 60, 0).Turn).NotTo(BeZero())
	})

	It("end when a pool makes no calls", func() {
		c := newTurnCalls()
		c.wait()
		for range turnIdleTimeout/raiseInterval + 1 {
			c.call("y", 80, 0, 60, 0)
		}
		Expect(c.call("y", 80, 0, 60, 0).Turn).NotTo(BeZero())
	})

	It("end when a pool doesn't start the work though it holds enough, and return later", func() {
		c := newTurnCalls()
		c.wait()
		c.call("y", 30, 0, 0, 0)
		Expect(c.call("x", 80, 0, 50, 0).Granted.CPU).To(Equal(int64(50)))
		for range turnIdleTimeout/raiseInterval + 2 {
			c.call("x", 80, 0, 50, 0)
		}
		Expect(c.call("x", 80, 0, 50, 0).Turn).To(BeZero())
		Expect(c.call("x", 80, 0, 50, 0).Target.CPU).To(Equal(int64(40)))
		c.call("x", 40, 0, 50, 0)
		for range turnIdleTimeout / raiseInterval {
			c.call("x", 80, 0, 50, 0)
		}
		Expect(c.call("x", 80, 0, 50, 0).Turn).NotTo(BeZero())
	})

	It("end when the work no longer waits", func() {
		c := newTurnCalls()
		c.wait()
		Expect(c.call("x", 80, 0, 0, 0).Turn).To(BeZero())
		Expect(c.call("y", 80, 0, 60, 0).Turn).NotTo(BeZero())
	})

	It("aren't given for work that doesn't fit beside lasting runs of another pool", func() {
		c := newTurnCalls()
		c.wait()
		lasting := wire.TenantDemand{Tenant: "t", Has: wire.Capacity{CPU: 40}, Used: wire.Capacity{CPU: 40}, Wants: wire.Capacity{CPU: 40}, Lasting: &wire.Capacity{CPU: 40}}
		c.numbers["y"]++
		_, _, err := c.part.HandleCall(&wire.GrantCall{Asker: "y", Epoch: 1, Number: c.numbers["y"], Tenants: []wire.TenantDemand{lasting}}, turnLimits, c.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.call("x", 80, 0, 50, 0).Turn).To(BeZero())
		Expect(c.call("x", 80, 20, 20, 0).Turn).To(BeZero(), "no turn is needed for work that can start")
	})

	It("are shown to operators", func() {
		c := newTurnCalls()
		c.wait()
		Expect(c.part.Report(turnLimits)[0].Turn).To(Equal("x"))
		Expect(c.part.TurnsBegun()).To(Equal(1))
	})
})
