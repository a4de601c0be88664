package countmodel

import (
	"fmt"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/simcluster"
)

const (
	maxPools  = 3
	partCount = tenantcount.Parts
	// maxLimit is the highest limit of a tenant, in tasks; taskCPU and taskMemory are what each takes.
	maxLimit     = 12
	taskCPU      = 10
	taskMemory   = 3
	tickInterval = 50 * time.Millisecond
	// spreadTime is how long a configuration may take to reach a process.
	spreadTime = 500 * time.Millisecond
	// inForceTime is how long after all have a configuration runs may begin that were placed under the one before.
	inForceTime = 300 * time.Millisecond
)

// tenants are all that there are; they belong to several parts.
var tenants = []string{"a", "b", "c"}

// simCluster is all pools and parts, and what connects them.
type simCluster struct {
	queue    *simcluster.EventQueue
	pools    []*modelPool
	parts    []*modelPart
	versions []*version
	fault    string
	network
	coverage   modelcheck.Coverage
	violations []modelcheck.Violation
	modelcheck.Trace
}

// version is a configuration: the limit of each tenant in tasks. It is in force from the moment that anybody may have it.
type version struct {
	limits map[string]int
	// missing is how many processes don't have it yet, and inForceSince when the last of them got it.
	missing      int
	inForceSince time.Duration
}

// network is how messages fare.
type network struct {
	lostPercent, latePercent int
	cuts                     map[[2]int]time.Duration
}

func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	c := &simCluster{queue: simcluster.NewEventQueue(0, schedule.Seed), coverage: modelcheck.Coverage{}, fault: schedule.InjectedFault}
	c.cuts = map[[2]int]time.Duration{}
	first := &version{limits: map[string]int{}}
	for _, tenant := range tenants {
		first.limits[tenant] = maxLimit / 2
	}
	c.versions = []*version{first}
	for number := range min(max(1, schedule.Nodes), maxPools) {
		c.pools = append(c.pools, newModelPool(c, number))
	}
	for number := range partCount {
		c.parts = append(c.parts, newModelPart(c, number))
	}
	return c
}

// start opens all keys and lets time pass for the pools.
func (c *simCluster) start() {
	for _, part := range c.parts {
		part.open()
	}
	for _, pool := range c.pools {
		pool.open()
		pool.tickForEver()
	}
}

// between draws a time between two counts of milliseconds.
func (c *simCluster) between(fromMs, toMs int) time.Duration {
	return clock.Milliseconds(int64(fromMs + c.queue.Draw.IntN(toMs-fromMs+1)))
}

// play has a step happen.
func (c *simCluster) play(step modelcheck.Step) {
	c.coverage[step.Kind]++
	c.note("%s node %d peer %d value %d", step.Kind, step.Node, step.Peer, step.Value)
	during := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindKillPool:
		c.pools[step.Node%len(c.pools)].kill()
	case kindKillPart:
		c.parts[step.Node%len(c.parts)].kill()
	case kindCut:
		c.cuts[[2]int{step.Node % len(c.pools), step.Peer}] = c.queue.Now() + during
	case kindLoseMessages:
		c.lostPercent = step.Value
		c.queue.After(during, func() { c.lostPercent = 0 })
	case kindLateMessages:
		c.latePercent = step.Value
		c.queue.After(during, func() { c.latePercent = 0 })
	case kindLimit:
		c.configure(tenants[step.Peer%len(tenants)], step.Value)
	case kindDemand:
		c.pools[step.Node%len(c.pools)].demand[tenants[step.Peer%len(tenants)]] = step.Value
	}
}

// configure makes a version with another limit of a tenant, which reaches each process at a moment of its own.
func (c *simCluster) configure(tenant string, limit int) {
	last := c.versions[len(c.versions)-1]
	next := &version{limits: map[string]int{}, missing: len(c.pools) + len(c.parts)}
	for name, former := range last.limits {
		next.limits[name] = former
	}
	next.limits[tenant] = limit
	c.versions = append(c.versions, next)
	number := len(c.versions) - 1
	reach := func(known *int) {
		c.queue.After(c.between(0, int(spreadTime.Milliseconds())), func() {
			*known = max(*known, number)
			if next.missing--; next.missing == 0 {
				next.inForceSince = c.queue.Now()
			}
		})
	}
	for _, pool := range c.pools {
		reach(&pool.version)
	}
	for _, part := range c.parts {
		reach(&part.version)
	}
}

// highestLimit is the highest limit of a tenant that may be in force now, in tasks.
func (c *simCluster) highestLimit(tenant string) int {
	highest := 0
	for number := len(c.versions) - 1; number >= 0; number-- {
		highest = max(highest, c.versions[number].limits[tenant])
		if c.versions[number].missing == 0 && c.queue.Now()-c.versions[number].inForceSince > inForceTime {
			break
		}
	}
	return highest
}

// send carries a message between a pool and a part, or loses, delays or doubles it.
func (c *simCluster) send(pool, part int, arrive func()) {
	if c.cuts[[2]int{pool, part}] > c.queue.Now() || c.queue.Draw.IntN(100) < c.lostPercent {
		c.coverage["message_lost"]++
		return
	}
	c.queue.After(c.between(1, 8), arrive)
	if c.queue.Draw.IntN(100) < c.latePercent {
		c.coverage["message_late"]++
		c.queue.After(c.between(100, 4000), arrive)
	}
}

// endFaults lets each pool want much of every tenant, once nothing fails any more.
func (c *simCluster) endFaults() {
	for _, pool := range c.pools {
		for _, tenant := range tenants {
			pool.demand[tenant] = 2 * maxLimit
		}
	}
}

func (c *simCluster) violate(oracle, format string, values ...any) {
	detail := fmt.Sprintf(format, values...)
	c.note("%s: %s", oracle, detail)
	c.violations = append(c.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(c.queue.Now().Milliseconds()), Detail: detail})
}

func tasks(count int) placement.Resources {
	return placement.Resources{CPU: taskCPU, Memory: taskMemory}.Times(float64(count))
}

// limitOf is the limit of a tenant in a version; memory and GPUs have none.
func (c *simCluster) limitOf(number int, tenant string) placement.Resources {
	limit := placement.NoLimit
	limit.CPU = int64(c.versions[number].limits[tenant] * taskCPU)
	return limit
}
