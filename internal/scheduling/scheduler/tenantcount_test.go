package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/scheduling/tenantcount"
)

// scriptedCounter stands for the leaders of all partitions of the tenant count. No partition answers while isAway is set.
type scriptedCounter struct {
	parts []*tenantcount.Part
	// records holds the committed records of each partition.
	records []map[string][]byte
	limits  tenantcount.Limits
	version int64
	// now is the time on the clock of the partitions' leaders.
	now    func() time.Duration
	isAway bool
	calls  int
}

func newScriptedCounter(limits tenantcount.Limits) *scriptedCounter {
	counter := &scriptedCounter{limits: limits, version: 1, now: func() time.Duration { return 0 }}
	for range tenantcount.Parts {
		part, err := tenantcount.NewPart(nil, 0)
		Expect(err).NotTo(HaveOccurred())
		counter.parts = append(counter.parts, part)
		counter.records = append(counter.records, map[string][]byte{})
	}
	return counter
}

func (s *scriptedCounter) Ask(part int, call *wire.GrantCall, answer func(*wire.GrantAnswer)) {
	s.calls++
	if s.isAway {
		answer(nil)
		return
	}
	given, ops, err := s.parts[part].HandleCall(call, s.limits, s.now())
	Expect(err).NotTo(HaveOccurred())
	for _, op := range ops {
		s.records[part][op.Name] = op.Value
		if len(op.Value) == 0 {
			delete(s.records[part], op.Name)
		}
	}
	given.Version = s.version
	answer(&given)
}

// Several pools start runs under the same tenant limits. Together they must not exceed a limit, so each one starts runs only within its
// committed grants.
var _ = Describe("a pool with a tenant counter", func() {
	var f *tenantFleet
	var counter *scriptedCounter
	var hasOtherPools bool
	takeOver := func() {
		f.leadership.epoch++
		f.pool = scheduler.New("pool/s", f.clock, f.timing, logging.Silent(), scheduler.WithCounter(counter), scheduler.WithTenants(func() scheduler.TenantPolicy {
			return scheduler.TenantPolicy{Version: f.version, Terms: f.terms, HasOtherPools: hasOtherPools}
		}))
		f.pool.Open(f.leadership, f.leadership.pairs())
		f.settle()
	}
	// askAsOther asks for a grant as another pool, and returns how much that pool is granted in total then.
	askAsOther := func(has, wants int64) (granted int64) {
		counter.parts[tenantcount.PartOf("a")].HandleCall(&wire.GrantCall{Asker: "pool/other", Epoch: 1, Number: uint64(f.clock.Monotonic()),
			Tenants: []wire.TenantDemand{{Tenant: "a", Has: wire.Capacity{CPU: has}, Wants: wire.Capacity{CPU: wants}}}}, counter.limits, 0)
		for _, row := range counter.parts[tenantcount.PartOf("a")].Report(counter.limits) {
			for _, grant := range row.Grants {
				if grant.Asker == "pool/other" {
					granted = grant.Granted.CPU
				}
			}
		}
		return granted
	}
	BeforeEach(func() {
		hasOtherPools = false
		f = newTenantFleet(map[string]scheduler.TenantTerms{"a": cpuLimit(4000), "free": {Weight: 100, Limit: placement.NoLimit}})
		counter = newScriptedCounter(func(tenant string) (placement.Resources, bool) {
			terms, exists := f.terms[tenant]
			return terms.Limit, exists
		})
	})

	It("starts runs of a limited tenant only after a grant, and all others at once", func() {
		counter.isAway = true
		takeOver()
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
		limited, _ := f.submitFor("a", 0, 6, "")
		free, _ := f.submitFor("free", 0, 2, "")
		f.pass(time.Second)
		Expect(f.running(limited)).To(BeZero())
		Expect(f.running(free)).To(Equal(2))
		counter.isAway = false
		f.pass(time.Second)
		Expect(f.running(limited)).To(Equal(4))
	})

	It("keeps its account under the next leader, also while no partition answers", func() {
		takeOver()
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
		counter.isAway = true
		takeOver()
		f.pass(2 * time.Second)
		id, _ := f.submitFor("a", 0, 6, "")
		f.pass(time.Second)
		Expect(f.running(id)).To(Equal(4))
	})

	It("makes few calls while it is the only pool", func() {
		takeOver()
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
		f.submitFor("a", 0, 40, "")
		f.pass(30 * time.Second)
		Expect(counter.calls).To(BeNumerically("<=", 3))
	})

	It("returns grants that another pool wants, and never uses more than its grants", func() {
		hasOtherPools = true
		takeOver()
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
		id, _ := f.submitFor("a", 0, 40, "")
		f.pass(time.Second)
		Expect(f.running(id)).To(Equal(4))
		Expect(askAsOther(0, 9000)).To(BeZero())
		f.pass(2 * time.Second)
		Expect(askAsOther(0, 9000)).To(BeZero(), "the whole limit is in use")
		f.endAll("done")
		f.pass(2 * time.Second)
		Expect(f.running(id)).To(Equal(2))
		Expect(askAsOther(0, 9000)).To(Equal(int64(2000)))
	})

	It("reports the use of each tenant to operators", func() {
		takeOver()
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
		f.submitFor("a", 0, 6, "")
		f.pass(time.Second)
		var body string
		f.pool.Tenants(nil, func(answer wire.ClientAnswer) { body = string(answer.Body) })
		f.settle()
		Expect(body).To(ContainSubstring(`{"tenant":"a","weight":100,"running":{"cpu-units":4000,"memory-req-mb":0,"gpu-count":0},"runs":4,` +
			`"waiting":{"cpu-units":2000,"memory-req-mb":0,"gpu-count":0},"share":1,"allowance":{"cpu-units":4000,"memory-req-mb":0,"gpu-count":0}}`))
	})
})
