package tenantcount

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the encoding of stored records stays the same",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("grant", "grant-record", &grantRecord{}),
	Entry("account", "account-record", &accountRecord{}),
)

// cpu returns an amount of CPU. The other resources have no limit in these tests.
func cpu(units int64) placement.Resources { return placement.Resources{CPU: units} }

// escrow connects a partition and the accounts of several pools. partRecords and poolRecords hold the committed records of the partition and
// of each pool. limit and version are those of the current configuration, and epoch is the epoch of the last leadership of any pool.
type escrow struct {
	part        *Part
	partRecords map[string][]byte
	limit       int64
	version     int64
	now         time.Duration
	accounts    map[string]*Accounts
	poolRecords map[string]map[string][]byte
	epoch       uint64
}

func newEscrow(limit int64, pools ...string) *escrow {
	e := &escrow{partRecords: map[string][]byte{}, limit: limit, version: 1, now: time.Second, accounts: map[string]*Accounts{}, poolRecords: map[string]map[string][]byte{}}
	for _, pool := range pools {
		e.poolRecords[pool] = map[string][]byte{}
		e.changePoolLeader(pool)
	}
	e.changePartLeader()
	return e
}

func pairsOf(records map[string][]byte) (pairs []wire.Op) {
	for name, value := range records {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	return pairs
}

func applyOps(records map[string][]byte, ops ...wire.Op) {
	for _, op := range ops {
		records[op.Name] = op.Value
		if len(op.Value) == 0 {
			delete(records, op.Name)
		}
	}
}

// changePartLeader replaces the partition by one that a new leader has created from the committed records.
func (e *escrow) changePartLeader() {
	part, err := NewPart(pairsOf(e.partRecords), e.now)
	Expect(err).NotTo(HaveOccurred())
	e.part = part
}

// changePoolLeader replaces a pool's accounts by those that a new leader has created from the committed records.
func (e *escrow) changePoolLeader(pool string) {
	e.epoch++
	accounts, err := NewAccounts(pool, e.epoch, pairsOf(e.poolRecords[pool]))
	Expect(err).NotTo(HaveOccurred())
	e.accounts[pool] = accounts
}

func (e *escrow) limits(string) (placement.Resources, bool) {
	limit := placement.NoLimit
	limit.CPU = e.limit
	return limit, true
}

func (e *escrow) policy() Policy { return Policy{Version: e.version, IsShared: len(e.accounts) > 1} }

func (e *escrow) demand(used, wants int64) map[string]Demand {
	limit, _ := e.limits("t")
	return map[string]Demand{"t": {Used: cpu(used), Wants: cpu(wants), Limit: limit}}
}

// call advances the clock and returns the call that a pool makes then, or nil if none is due.
func (e *escrow) call(pool string, used, wants int64) *wire.GrantCall {
	e.now += raiseInterval
	return e.accounts[pool].Next(PartOf("t"), e.demand(used, wants), e.policy(), e.now)
}

// answer returns the partition's answer to a call and commits the partition's changes.
func (e *escrow) answer(call *wire.GrantCall) *wire.GrantAnswer {
	given, ops, err := e.part.HandleCall(call, e.limits, e.now)
	Expect(err).NotTo(HaveOccurred())
	applyOps(e.partRecords, ops...)
	given.Version = e.version
	return &given
}

// deliver delivers an answer to a pool and commits the pool's changes.
func (e *escrow) deliver(pool string, call *wire.GrantCall, answer *wire.GrantAnswer) {
	for _, change := range e.accounts[pool].HandleAnswer(PartOf("t"), call.Number, answer, e.now) {
		applyOps(e.poolRecords[pool], change.Op)
		e.accounts[pool].HandleCommit(change.Tenant)
	}
}

// round makes a pool return its surplus, call the partition and handle the answer. It returns the pool's allowance afterwards.
func (e *escrow) round(pool string, used, wants int64) int64 {
	if lowered := e.accounts[pool].Lower("t", e.demand(used, wants)["t"]); lowered != nil {
		applyOps(e.poolRecords[pool], lowered.Op)
		e.accounts[pool].HandleCommit("t")
	}
	if call := e.call(pool, used, wants); call != nil {
		e.deliver(pool, call, e.answer(call))
	}
	return e.allowance(pool)
}

func (e *escrow) allowance(pool string) int64 {
	allowance, _ := e.accounts[pool].Allowance("t", e.policy())
	return allowance.CPU
}

// totalBalance returns the sum of all pools' committed accounts.
func (e *escrow) totalBalance() (sum int64) {
	for pool, records := range e.poolRecords {
		accounts, err := NewAccounts(pool, 0, pairsOf(records))
		Expect(err).NotTo(HaveOccurred())
		sum += accounts.Balance("t").CPU
	}
	return sum
}

var _ = Describe("the count of a tenant", func() {
	It("grants a single pool the whole limit at once, after which the pool makes no more calls", func() {
		e := newEscrow(100, "x")
		Expect(e.allowance("x")).To(BeZero())
		Expect(e.round("x", 0, 0)).To(Equal(int64(100)))
		_, hasWholeLimit := e.accounts["x"].Allowance("t", e.policy())
		Expect(hasWholeLimit).To(BeTrue())
		e.now += time.Hour
		Expect(e.call("x", 100, 500)).To(BeNil())
		e.limit, e.version = 150, 2
		Expect(e.round("x", 100, 500)).To(Equal(int64(150)))
		e.limit, e.version = 60, 3
		e.round("x", 100, 500)
		Expect(e.totalBalance()).To(Equal(int64(100)))
		Expect(e.round("x", 20, 500)).To(Equal(int64(60)))
	})

	It("divides a limit by the demand of the pools, and never exceeds it", func() {
		e := newEscrow(100, "x", "y")
		e.round("x", 0, 0)
		Expect(e.allowance("x")).To(Equal(int64(100)))
		Expect(e.round("y", 0, 500)).To(BeZero())
		for range 12 {
			e.round("x", 0, 30)
			e.round("y", 0, 500)
			Expect(e.totalBalance()).To(BeNumerically("<=", 100))
		}
		Expect(e.allowance("x")).To(Equal(int64(30)))
		Expect(e.allowance("y")).To(Equal(int64(70)))
		for range 12 {
			e.round("x", 0, 500)
			e.round("y", 70, 500)
		}
		Expect(e.allowance("x")).To(Equal(int64(30)))
		for range 12 {
			e.round("y", 10, 500)
			e.round("x", 0, 500)
		}
		Expect(e.allowance("x")).To(Equal(int64(50)))
		Expect(e.allowance("y")).To(Equal(int64(50)))
	})

	It("handles a duplicate call once, and rejects a call after a later one", func() {
		e := newEscrow(100, "x", "y")
		first := e.call("x", 0, 40)
		answer := e.answer(first)
		Expect(e.answer(first).Tenants).To(Equal(answer.Tenants))
		Expect(e.accounts["x"].HandleAnswer(PartOf("t"), first.Number, nil, e.now)).To(BeEmpty())
		e.now += retryInterval
		second := e.call("x", 0, 40)
		e.deliver("x", second, e.answer(second))
		Expect(e.allowance("x")).To(Equal(int64(100)))
		_, _, err := e.part.HandleCall(first, e.limits, e.now)
		Expect(err).To(MatchError(ErrStale))
		e.changePartLeader()
		_, _, err = e.part.HandleCall(first, e.limits, e.now)
		Expect(err).To(MatchError(ErrStale))
	})

	It("commits a raised grant also for a duplicate call that arrives before the first commit", func() {
		e := newEscrow(100, "x", "y")
		call := e.call("x", 0, 40)
		_, ops, err := e.part.HandleCall(call, e.limits, e.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(ops).NotTo(BeEmpty())
		given, again, err := e.part.HandleCall(call, e.limits, e.now)
		Expect(err).NotTo(HaveOccurred())
		Expect(given.Tenants[0].Granted.CPU).To(BeNumerically(">", 0))
		Expect(again).To(Equal(ops))
	})

	It("raises no account by the answer to a poll, whose grant may not be durable", func() {
		e := newEscrow(100, "x", "y")
		e.round("x", 0, 0)
		e.now += time.Hour
		poll := e.accounts["x"].Next(PartOf("t"), nil, e.policy(), e.now)
		Expect(poll.Tenants).To(BeEmpty())
		changes := e.accounts["x"].HandleAnswer(PartOf("t"), poll.Number, &wire.GrantAnswer{Number: poll.Number, Version: 1, Tenants: []wire.TenantGrant{
			{Tenant: "t", Granted: wire.Capacity{CPU: 900}, Target: wire.Capacity{CPU: 50}, IsSettled: true}}}, e.now)
		for _, change := range changes {
			applyOps(e.poolRecords["x"], change.Op)
			e.accounts["x"].HandleCommit(change.Tenant)
		}
		Expect(e.accounts["x"].Balance("t").CPU).To(BeNumerically("<=", 100))
		Expect(e.allowance("x")).To(BeNumerically("<=", 50))
	})

	It("ignores the answer to a call that has timed out", func() {
		e := newEscrow(100, "x", "y")
		first := e.call("x", 0, 40)
		late := e.answer(first)
		e.accounts["x"].HandleAnswer(PartOf("t"), first.Number, nil, e.now)
		e.now += retryInterval
		second := e.call("x", 0, 40)
		Expect(e.accounts["x"].HandleAnswer(PartOf("t"), first.Number, late, e.now)).To(BeEmpty())
		Expect(second.Number).To(BeNumerically(">", first.Number))
		Expect(e.allowance("x")).To(BeZero())
	})

	It("survives a change of the partition's leader and of a pool's leader", func() {
		e := newEscrow(100, "x", "y")
		e.round("x", 0, 500)
		e.changePartLeader()
		Expect(e.round("y", 0, 500)).To(BeZero())
		e.changePoolLeader("x")
		Expect(e.accounts["x"].Balance("t")).To(Equal(cpu(100)))
		Expect(e.allowance("x")).To(BeZero(), "no allowance before the partition has answered under this leader's configuration")
		for range 12 {
			e.round("x", 0, 500)
			e.round("y", 0, 500)
			Expect(e.totalBalance()).To(BeNumerically("<=", 100))
		}
		Expect(e.allowance("y")).To(Equal(int64(50)))
	})

	// Guards against a half of a limit that stays with an idle pool after a change of the partition's leader.
	It("takes back what an idle pool holds after a change of the partition's leader", func() {
		e := newEscrow(100, "x", "y")
		for range 12 {
			e.round("x", 0, 500)
			e.round("y", 0, 500)
		}
		for range 12 {
			e.round("x", 0, 0)
			e.round("y", 0, 0)
		}
		Expect(e.allowance("x")).To(Equal(int64(50)))
		Expect(e.allowance("y")).To(Equal(int64(50)))
		e.changePartLeader()
		for range 24 {
			e.round("x", 0, 0)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("y")).To(Equal(int64(100)))
	})

	// Guards against a share that stays with a pool whose call with its last, lower demand was lost.
	It("learns a demand whose call was lost", func() {
		e := newEscrow(100, "x", "y")
		for range 12 {
			e.round("x", 0, 500)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("x")).To(Equal(int64(50)))
		e.now += pollInterval
		lost := e.call("x", 0, 0)
		Expect(lost.Tenants).NotTo(BeEmpty())
		Expect(e.accounts["x"].HandleAnswer(PartOf("t"), lost.Number, nil, e.now)).To(BeEmpty())
		for range 24 {
			e.round("x", 0, 0)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("y")).To(Equal(int64(100)))
	})

	It("does not free the grant of a pool that makes no calls", func() {
		e := newEscrow(100, "x", "y")
		e.round("x", 100, 500)
		e.now += time.Hour
		for range 5 {
			Expect(e.round("y", 0, 500)).To(BeZero())
		}
	})

	It("allows no starts under a lowered limit until the grants are within it", func() {
		e := newEscrow(100, "x", "y")
		for range 12 {
			e.round("x", 50, 500)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("y")).To(Equal(int64(50)))
		e.limit, e.version = 40, 2
		Expect(e.allowance("y")).To(BeZero())
		Expect(e.round("y", 0, 500)).To(BeZero(), "the other pool still holds more than the limit")
		for range 12 {
			e.round("x", 10, 500)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("x") + e.allowance("y")).To(Equal(int64(40)))
	})

	// Guards against two pools that exceed a limit together: one with a task that is larger than the former limit, the other with what was added.
	It("grants nothing of a raised limit to others while a pool may exceed the former one", func() {
		e := newEscrow(60, "x", "y")
		e.round("x", 0, 90)
		_, hasWholeLimit := e.accounts["x"].Allowance("t", e.policy())
		Expect(hasWholeLimit).To(BeTrue())
		e.limit, e.version = 110, 2
		Expect(e.round("y", 0, 500)).To(BeZero(), "the other pool may have started a task of 90")
		e.changePartLeader()
		Expect(e.round("y", 0, 500)).To(BeZero(), "also under the next leader of the partition")
		for range 12 {
			e.round("x", 90, 90)
			e.round("y", 0, 500)
			Expect(e.allowance("y")).To(BeNumerically("<=", 20))
		}
		Expect(e.allowance("y")).To(Equal(int64(20)))
	})

	It("grants a raised limit to others if a new leader of the partition doesn't know that no pool may exceed it", func() {
		e := newEscrow(60, "x", "y")
		e.round("x", 0, 60)
		e.limit, e.version = 200, 2
		Expect(e.round("y", 0, 500)).To(BeZero())
		e.round("x", 60, 60)
		e.round("x", 60, 60)
		e.changePartLeader()
		for range 12 {
			e.round("x", 60, 60)
			e.round("y", 0, 500)
		}
		Expect(e.allowance("x")).To(Equal(int64(60)))
		Expect(e.allowance("y")).To(Equal(int64(140)))
	})

	It("uses a raised account only after the commit, and reduces a lowered one before it", func() {
		e := newEscrow(100, "x")
		call := e.call("x", 0, 50)
		accounts := e.accounts["x"]
		changes := accounts.HandleAnswer(PartOf("t"), call.Number, e.answer(call), e.now)
		Expect(changes).To(HaveLen(1))
		Expect(e.allowance("x")).To(BeZero())
		Expect(e.call("x", 0, 50)).To(BeNil(), "no call while a change is being committed")
		accounts.HandleCommit("t")
		Expect(e.allowance("x")).To(Equal(int64(100)))
		e.limit, e.version = 30, 2
		Expect(accounts.Lower("t", e.demand(0, 0)["t"])).NotTo(BeNil())
		Expect(e.allowance("x")).To(Equal(int64(30)))
		Expect(accounts.Lower("t", e.demand(0, 0)["t"])).To(BeNil(), "one change at a time")
	})

	It("counts runs that a pool has beyond its account, as after a limit was added", func() {
		e := newEscrow(100, "x", "y")
		call := e.call("x", 60, 60)
		e.deliver("x", call, e.answer(call))
		Expect(e.round("y", 0, 500)).To(BeNumerically("<=", 40))
	})

	It("counts nothing in a resource without a limit", func() {
		e := newEscrow(placement.Unlimited, "x")
		e.round("x", 70, 90)
		Expect(e.partRecords).To(BeEmpty())
	})

	It("loads the readable records of a pool, and names an unreadable record", func() {
		_, err := NewPart([]wire.Op{{Name: "g/t/x", Value: []byte("{")}}, 0)
		Expect(err).To(MatchError(ContainSubstring("g/t/x")))
		accounts, err := NewAccounts("x", 1, []wire.Op{{Name: "a/t", Value: []byte("{")}, {Name: "a/u", Value: []byte(`{"amount":{"c":5}}`)}})
		Expect(err).To(MatchError(ContainSubstring("a/t")))
		Expect(accounts.Balance("u")).To(Equal(cpu(5)))
		Expect(accounts.Tenants()).To(Equal([]string{"u"}))
	})

	DescribeTable("divides a resource by max-min fairness", func(limit, own int64, others []int64, part int64) {
		wants := []placement.Resources{cpu(own)}
		for _, other := range others {
			wants = append(wants, cpu(other))
		}
		Expect(fairShare(limit, own, wants, func(r placement.Resources) int64 { return r.CPU })).To(Equal(part))
	},
		Entry("a single asker without demand", int64(10), int64(0), nil, int64(10)),
		Entry("a single asker with demand above the limit", int64(10), int64(50), nil, int64(10)),
		Entry("all want more than an equal share", int64(12), int64(50), []int64{50, 50}, int64(4)),
		Entry("another asker wants less than an equal share", int64(12), int64(50), []int64{2, 50}, int64(5)),
		Entry("the asker itself wants less than an equal share", int64(12), int64(2), []int64{50, 50}, int64(2)),
		Entry("all want less than an equal share", int64(12), int64(2), []int64{4}, int64(5)),
		Entry("the limit is 0", int64(0), int64(2), []int64{4}, int64(0)),
	)

	It("ignores an asker without a grant that makes no calls", func() {
		e := newEscrow(100, "x", "y")
		e.round("y", 0, 0)
		for range 6 {
			e.round("y", 0, 0)
			e.round("x", 0, 500)
		}
		e.accounts["y"].Lower("t", Demand{})
		Expect(e.allowance("x")).To(BeNumerically(">", 0))
	})
})
