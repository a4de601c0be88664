package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
)

// tenantFleet is a fleet with tenants whose terms a test can change. last is the number of the last submitted job.
type tenantFleet struct {
	*fleet
	terms   map[string]scheduler.TenantTerms
	version int64
	last    int
}

func newTenantFleet(terms map[string]scheduler.TenantTerms) *tenantFleet {
	timing := timing
	timing.RateWindow = time.Second
	timing.ReservedCapacity = scheduler.DefaultReservedCapacity
	f := &tenantFleet{fleet: newFleet(timing), terms: terms, version: 1}
	f.takeOverWithTenants()
	return f
}

// takeOverWithTenants replaces the leader. The new one has the tenants' terms and the committed records.
func (f *tenantFleet) takeOverWithTenants() {
	f.leadership.epoch++
	f.pool = scheduler.New("pool/s", f.clock, f.timing, logging.Silent(), scheduler.WithTenants(func() scheduler.TenantPolicy {
		return scheduler.TenantPolicy{Version: f.version, Terms: f.terms}
	}))
	f.pool.Open(f.leadership, f.leadership.pairs())
	f.settle()
}

// configure applies a configuration with new terms of a tenant.
func (f *tenantFleet) configure(tenant string, terms scheduler.TenantTerms) {
	f.version++
	f.terms[tenant] = terms
}

// submitFor submits a job of one step for a tenant. fields are further JSON fields of the step. It returns the job's ID and the status of
// the answer.
func (f *tenantFleet) submitFor(tenant string, priority, tasks int, fields string) (id string, status int) {
	f.last++
	id = fmt.Sprintf("%016x", f.last)
	terms := wire.RouteTerms{MaxAttempts: 2, Stretch: 1, TargetMs: 60000, Priority: priority}
	body := fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":1000%s}]}`, tasks, fields)
	f.pool.Submit(&wire.ClientCall{Route: "e", ID: id, Tenant: tenant, Terms: &terms, Body: []byte(body)},
		func(answer wire.ClientAnswer) { status = answer.Status })
	f.settle()
	return id, status
}

// running counts the runs of a job.
func (f *tenantFleet) running(id string) (count int) {
	for _, task := range f.tasks() {
		if strings.HasPrefix(task, id) {
			count++
		}
	}
	return count
}

// cpuLimit returns terms that limit only CPU.
func cpuLimit(units int64) scheduler.TenantTerms {
	return scheduler.TenantTerms{Weight: 100, Limit: placement.Resources{CPU: units, Memory: placement.Unlimited, GPU: placement.Unlimited}}
}

var _ = Describe("the tenants of a pool", func() {
	var f *tenantFleet
	BeforeEach(func() {
		f = newTenantFleet(map[string]scheduler.TenantTerms{"a": cpuLimit(3000), "b": cpuLimit(8000), "free": {Weight: 100, Limit: placement.NoLimit}})
		f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r1")
	})

	It("run no more than their limit, also under the next leader, and follow changes of the limit", func() {
		first, _ := f.submitFor("a", 0, 6, "")
		f.pass(time.Second)
		Expect(f.running(first)).To(Equal(3))
		f.takeOverWithTenants()
		f.pass(3 * time.Second)
		Expect(f.running(first)).To(Equal(3))
		f.configure("a", cpuLimit(5000))
		f.pass(time.Second)
		Expect(f.running(first)).To(Equal(5))
		f.configure("a", cpuLimit(2000))
		f.endAll("done")
		f.pass(time.Second)
		Expect(f.running(first)).To(Equal(1))
	})

	It("have each run counted against their limit until it has certainly ended", func() {
		first, _ := f.submitFor("a", 0, 6, "")
		f.pass(time.Second)
		for _, executor := range f.executors {
			executor.isSilent = true
		}
		for _, executor := range f.add(4, wire.Capacity{CPU: 4000, Memory: 64000}, "x", "r2") {
			Expect(executor.starts).To(BeZero())
		}
		f.pass(2 * time.Second)
		Expect(f.starts()).To(Equal(3))
		f.pass(8 * time.Second)
		Expect(f.starts()).To(Equal(6))
		Expect(first).NotTo(BeEmpty())
	})

	It("keep their last terms after their removal from the configuration", func() {
		first, _ := f.submitFor("a", 0, 6, "")
		f.version++
		delete(f.terms, "a")
		f.pass(time.Second)
		Expect(f.running(first)).To(Equal(3))
	})

	It("see only their own jobs", func() {
		id, _ := f.submitFor("a", 0, 1, "")
		ask := func(verb func(*wire.ClientCall, func(wire.ClientAnswer)), tenant string) (status int) {
			verb(&wire.ClientCall{Route: "e", ID: id, Tenant: tenant}, func(answer wire.ClientAnswer) { status = answer.Status })
			f.settle()
			return status
		}
		Expect(ask(f.pool.State, "b")).To(Equal(410))
		Expect(ask(f.pool.Cancel, "b")).To(Equal(410))
		Expect(ask(f.pool.State, "a")).To(Equal(200))
		Expect(ask(f.pool.State, "")).To(Equal(200))
		f.endAll("done")
		f.pass(time.Second)
		f.takeOverWithTenants()
		Expect(ask(f.pool.State, "b")).To(Equal(410))
		Expect(ask(f.pool.State, "a")).To(Equal(200))
	})

	It("leave room within their limit for urgent work once they had urgent work", func() {
		urgent, _ := f.submitFor("b", 0, 4, `,"estimated-ms":100`)
		f.pass(200 * time.Millisecond)
		Expect(f.running(urgent)).To(Equal(4))
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		long, _ := f.submitFor("b", 2, 8, `,"estimated-ms":60000`)
		f.pass(500 * time.Millisecond)
		Expect(f.running(long)).To(BeNumerically("~", 5, 1))
		later, _ := f.submitFor("b", 0, 2, `,"estimated-ms":100`)
		f.pass(200 * time.Millisecond)
		Expect(f.running(later)).To(Equal(2))
	})

	It("don't delay others with jobs above their rate, which come last", func() {
		f.configure("free", scheduler.TenantTerms{Weight: 2, Limit: placement.NoLimit})
		f.pass(fleetTick)
		var accepted []string
		for range 40 {
			if id, status := f.submitFor("free", 0, 4, `,"estimated-ms":500`); status == 200 {
				accepted = append(accepted, id)
			}
		}
		f.pass(200 * time.Millisecond)
		other, _ := f.submitFor("b", 0, 4, `,"estimated-ms":500`)
		f.endAll("done")
		f.pass(200 * time.Millisecond)
		Expect(f.running(other)).To(Equal(4))
		Expect(accepted).To(HaveLen(22))
	})

	It("are refused above the surplus limit, and accepted again once their jobs have ended", func() {
		f.configure("free", scheduler.TenantTerms{Weight: 2, Limit: placement.NoLimit})
		f.pass(fleetTick)
		count := map[int]int{}
		for range 30 {
			_, status := f.submitFor("free", 0, 4, `,"estimated-ms":500`)
			count[status]++
		}
		Expect(count).To(Equal(map[int]int{200: 22, 429: 8}))
		f.takeOverWithTenants()
		f.pass(3 * time.Second)
		f.submitFor("free", 0, 4, "")
		f.submitFor("free", 0, 4, "")
		_, status := f.submitFor("free", 0, 4, "")
		Expect(status).To(Equal(429), "the next leader counts surplus jobs, too")
		for range 40 {
			f.endAll("done")
			f.pass(200 * time.Millisecond)
		}
		f.submitFor("free", 0, 4, "")
		f.submitFor("free", 0, 4, "")
		_, status = f.submitFor("free", 0, 4, "")
		Expect(status).To(Equal(200))
		_, status = f.submitFor("b", 0, 1, "")
		Expect(status).To(Equal(200))
	})

	It("are overloaded separately at their limit, while the others keep their order", func() {
		for range 3 {
			f.submitFor("a", 0, 3, `,"estimated-ms":1000`)
			f.pass(100 * time.Millisecond)
		}
		f.pass(70 * time.Second)
		first, _ := f.submitFor("b", 0, 8, `,"estimated-ms":1000`)
		f.pass(100 * time.Millisecond)
		second, _ := f.submitFor("b", 0, 8, `,"estimated-ms":1000`)
		f.pass(100 * time.Millisecond)
		Expect(f.running(first)).To(Equal(8))
		Expect(f.running(second)).To(BeZero())
	})
})
