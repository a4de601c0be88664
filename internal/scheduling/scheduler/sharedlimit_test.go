package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/scheduling/tenantcount"
)

const (
	// sharedLimit is the limit of tenant "a" in each resource that has one, and largeNeed what a task needs that doesn't fit into half of it.
	sharedLimit = 8000
	largeNeed   = 5000
	// runTime is how long each run lasts, and maxTurnTime the longest turn of a pool: the end of a run, the way of the grants, and the time
	// after which an unused turn ends.
	runTime     = 500 * time.Millisecond
	maxTurnTime = 4 * time.Second
)

// sharedPools are pools with executors of their own that start runs of tenant "a" under one limit, and the partitions of the tenant count.
type sharedPools struct {
	pools   []*tenantFleet
	counter *scriptedCounter
	terms   map[string]scheduler.TenantTerms
	// needs holds the need of a task of each job. largestNeed is the largest of them in each resource.
	needs       map[string]placement.Resources
	largestNeed placement.Resources
}

func newSharedPools(count int, limit placement.Resources) *sharedPools {
	s := &sharedPools{terms: map[string]scheduler.TenantTerms{"a": {Weight: 100, Limit: limit}}, needs: map[string]placement.Resources{}}
	s.counter = newScriptedCounter(func(tenant string) (placement.Resources, bool) {
		terms, exists := s.terms[tenant]
		return terms.Limit, exists
	})
	for number := range count {
		pool := newTenantFleet(s.terms)
		s.pools = append(s.pools, pool)
		s.takeOver(number)
		pool.add(2, wire.Capacity{CPU: 64000, Memory: 64000, GPU: 64000}, "x", "r1")
	}
	s.counter.now = s.pools[0].clock.Monotonic
	return s
}

// takeOver replaces the leader of a pool by the next one, which has only the committed records.
func (s *sharedPools) takeOver(number int) {
	f := s.pools[number]
	f.leadership.epoch++
	f.pool = scheduler.New(fmt.Sprintf("pool/%d", number), f.clock, f.timing, logging.Silent(), scheduler.WithCounter(s.counter),
		scheduler.WithTenants(func() scheduler.TenantPolicy {
			return scheduler.TenantPolicy{Version: f.version, Terms: f.terms, HasOtherPools: true}
		}))
	f.pool.Open(f.leadership, f.leadership.pairs())
	f.settle()
}

// replacePartLeaders replaces the leaders of all partitions by new ones, which have only the committed records.
func (s *sharedPools) replacePartLeaders() {
	for number, records := range s.counter.records {
		var pairs []wire.Op
		for name, value := range records {
			pairs = append(pairs, wire.Op{Name: name, Value: value})
		}
		part, err := tenantcount.NewPart(pairs, s.counter.now())
		Expect(err).NotTo(HaveOccurred())
		s.counter.parts[number] = part
	}
}

// submit submits a job of one step for tenant "a" to a pool. fields are further JSON fields of the step.
func (s *sharedPools) submit(pool, tasks int, need placement.Resources, fields string) string {
	id := fmt.Sprintf("%016x", len(s.needs)+1)
	s.needs[id], s.largestNeed = need, s.largestNeed.Max(need)
	terms := wire.RouteTerms{MaxAttempts: 2, Stretch: 1, TargetMs: 60000}
	body := fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":%d,"gpu-count":%d,"estimated-ms":500%s}]}`,
		tasks, need.CPU, need.Memory, need.GPU, fields)
	s.pools[pool].pool.Submit(&wire.ClientCall{Route: "e", ID: id, Tenant: "a", Terms: &terms, Body: []byte(body)},
		func(answer wire.ClientAnswer) { Expect(answer.Status).To(Equal(200)) })
	s.pools[pool].settle()
	return id
}

// pass lets time pass for all pools. Runs end after runTime, except those of lasting jobs.
func (s *sharedPools) pass(length time.Duration, lasting ...string) {
	for range length / runTime {
		for range runTime / fleetTick {
			for _, pool := range s.pools {
				pool.pass(fleetTick)
			}
			s.checkLimit()
		}
		for _, pool := range s.pools {
			pool.endAllBut(lasting)
		}
	}
}

// endAllBut ends all runs except those of some jobs.
func (f *tenantFleet) endAllBut(jobs []string) {
	for _, executor := range f.executors {
		for _, order := range slices.Clone(executor.running) {
			if !slices.Contains(jobs, order.Task[:16]) {
				executor.end(order.Task, "done")
			}
		}
	}
}

// checkLimit expects all runs to be within the limit, or to exceed it by no more than one task that is larger than the limit.
func (s *sharedPools) checkLimit() {
	var running placement.Resources
	for _, pool := range s.pools {
		for _, task := range pool.tasks() {
			running = running.Plus(s.needs[task[:16]])
		}
	}
	limit := s.terms["a"].Limit
	Expect(limit.Max(s.largestNeed).Fits(running)).To(BeTrue(), fmt.Sprint(running))
}

// expectCompleted expects a job of a pool to be completed.
func (s *sharedPools) expectCompleted(pool int, id string) {
	Expect(s.pools[pool].state(id)).To(ContainSubstring("completed"), fmt.Sprint("pool ", pool))
}

// Guards against accepted jobs of a tenant that never begin because each of several pools keeps a share of the limit that is too small for
// any of its waiting tasks.
var _ = Describe("pools that share the limit of a tenant", func() {
	cpuOnly := placement.Resources{CPU: sharedLimit, Memory: placement.Unlimited, GPU: placement.Unlimited}
	all := placement.Resources{CPU: sharedLimit, Memory: sharedLimit, GPU: sharedLimit}
	cpu := func(amount int64) placement.Resources { return placement.Resources{CPU: amount} }
	const gang = `,"gang-scheduled":true`

	DescribeTable("start work in turn that doesn't fit into an equal share of it", func(poolCount int, limit placement.Resources, tasks int, fields string, needs ...placement.Resources) {
		const jobsPerPool = 2
		s := newSharedPools(poolCount, limit)
		poolOf := map[string]int{}
		for pool := range poolCount {
			for range jobsPerPool {
				poolOf[s.submit(pool, tasks, needs[pool%len(needs)], fields)] = pool
			}
		}
		s.pass(time.Duration(poolCount*jobsPerPool*tasks) * maxTurnTime)
		for id, pool := range poolOf {
			s.expectCompleted(pool, id)
		}
	},
		Entry("two pools, tasks of more than half", 2, cpuOnly, 2, "", cpu(largeNeed)),
		Entry("two pools, tasks of the whole limit", 2, cpuOnly, 2, "", cpu(sharedLimit)),
		Entry("two pools, tasks above the limit", 2, cpuOnly, 2, "", cpu(sharedLimit+1000)),
		Entry("three pools, tasks of more than a third", 3, cpuOnly, 2, "", cpu(3000)),
		Entry("three pools, tasks of more than half", 3, cpuOnly, 2, "", cpu(largeNeed)),
		Entry("three pools, tasks above the limit", 3, cpuOnly, 2, "", cpu(sharedLimit+1000)),
		Entry("a gang whose members fit one by one", 2, cpuOnly, 3, gang, cpu(2000)),
		Entry("gangs in three pools", 3, cpuOnly, 4, gang, cpu(2000)),
		Entry("large memory", 2, all, 2, "", placement.Resources{Memory: largeNeed}),
		Entry("many GPUs", 2, all, 2, "", placement.Resources{GPU: largeNeed}),
		Entry("two resources that cross", 2, all, 2, "", placement.Resources{CPU: largeNeed, Memory: 4500}, placement.Resources{CPU: 4500, Memory: largeNeed}),
		Entry("three resources that cross in three pools", 3, all, 2, "", placement.Resources{CPU: largeNeed, Memory: 3500},
			placement.Resources{Memory: largeNeed, GPU: 3500}, placement.Resources{GPU: largeNeed, CPU: 3500}),
		Entry("tasks above the limit in one resource, with all limited", 2, all, 2, "", placement.Resources{CPU: sharedLimit + 1000, Memory: 1}),
		Entry("tasks above the limit, and tasks that aren't", 2, all, 2, "", cpu(sharedLimit+1000), placement.Resources{Memory: largeNeed}),
	)

	DescribeTable("start large work beside small tasks without end", func(need placement.Resources, tasks int, fields string, smallPools ...int) {
		s := newSharedPools(2, cpuOnly)
		for _, pool := range smallPools {
			s.submit(pool, 4000, cpu(500), "")
		}
		s.pass(maxTurnTime)
		before := make([]int, len(s.pools))
		for pool := range s.pools {
			before[pool] = s.pools[pool].starts()
		}
		id := s.submit(0, tasks, need, fields)
		s.pass(2 * maxTurnTime)
		s.expectCompleted(0, id)
		for _, pool := range smallPools {
			Expect(s.pools[pool].starts()-before[pool]).To(BeNumerically(">", 4), fmt.Sprint("pool ", pool))
		}
	},
		Entry("in the other pool", cpu(largeNeed), 1, "", 1),
		Entry("in the same pool", cpu(largeNeed), 1, "", 0),
		Entry("in the same pool, a task above the limit", cpu(sharedLimit+1000), 1, "", 0),
		Entry("in both pools", cpu(largeNeed), 1, "", 0, 1),
		Entry("in both pools, a gang", cpu(2000), 3, gang, 0, 1),
		Entry("in both pools, a task of the whole limit", cpu(sharedLimit), 1, "", 0, 1),
		Entry("in both pools, a task above the limit", cpu(sharedLimit+1000), 1, "", 0, 1),
	)

	It("start small tasks beside large ones without end", func() {
		s := newSharedPools(2, cpuOnly)
		s.submit(0, 4000, cpu(sharedLimit), "")
		s.pass(maxTurnTime)
		for range 5 {
			id := s.submit(1, 2, cpu(500), "")
			s.pass(2 * maxTurnTime)
			s.expectCompleted(1, id)
		}
	})

	It("start large work beside a run that lasts, if it fits beside it", func() {
		s := newSharedPools(2, cpuOnly)
		lasting := s.submit(0, 1, cpu(3000), `,"long-running":true`)
		s.pass(maxTurnTime, lasting)
		large, fitting := s.submit(1, 1, cpu(sharedLimit), ""), s.submit(1, 1, cpu(largeNeed), "")
		s.pass(4*maxTurnTime, lasting)
		s.expectCompleted(1, fitting)
		Expect(s.pools[1].state(large)).To(ContainSubstring("queued"), "the lasting run holds a part of the limit")
		small := s.submit(0, 2, cpu(1000), "")
		s.pass(4*maxTurnTime, lasting)
		s.expectCompleted(0, small)
	})

	// Guards against small tasks that wait for good for larger work, for which there seems to be room but that can't be placed.
	It("start small tasks behind larger work that can't be placed", func() {
		s := newSharedPools(2, cpuOnly)
		unplaceable := s.submit(0, 3, cpu(2000), gang+`,"anti-affinity":1`)
		s.submit(0, 4000, cpu(1000), "")
		s.pass(maxTurnTime)
		before := s.pools[0].starts()
		s.pass(4 * maxTurnTime)
		Expect(s.pools[0].state(unplaceable)).To(ContainSubstring("queued"))
		Expect(s.pools[0].starts() - before).To(BeNumerically(">", 100))
	})

	It("go on after each loss of the leader of a pool or of a partition", func() {
		s := newSharedPools(3, cpuOnly)
		poolOf := map[string]int{}
		for pool := range s.pools {
			poolOf[s.submit(pool, 4, cpu(largeNeed), "")] = pool
		}
		for round := range 12 {
			s.pass(runTime)
			s.takeOver(round % len(s.pools))
			s.pass(runTime)
			s.replacePartLeaders()
		}
		s.pass(time.Duration(4*len(s.pools)) * maxTurnTime)
		for id, pool := range poolOf {
			s.expectCompleted(pool, id)
		}
	})

	It("pass the turn of a pool that has lost its leader or has no executor for the work", func() {
		s := newSharedPools(3, cpuOnly)
		for pool := range 2 {
			s.submit(pool, 4, cpu(largeNeed), "")
		}
		for _, executor := range s.pools[0].executors {
			executor.isSilent = true
		}
		s.pass(maxTurnTime)
		id := s.submit(2, 2, cpu(largeNeed), "")
		s.pass(6 * maxTurnTime)
		s.expectCompleted(2, id)
	})
})
