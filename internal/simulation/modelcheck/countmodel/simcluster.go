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
	// maxLimit is the highest limit of a tenant, in tasks. taskCPU and taskMemory are the resources of a task.
	maxLimit     = 12
	taskCPU      = 10
	taskMemory   = 3
	tickInterval = 50 * time.Millisecond
	// maxSpreadTime is the longest time that a configuration takes to reach a process.
	maxSpreadTime = 500 * time.Millisecond
	// oldLimitTime is how long, after all processes have a configuration, runs may still start that were placed under the previous one.
	oldLimitTime = 300 * time.Millisecond
)

// tenants are all tenants. They belong to several partitions.
var tenants = []string{"a", "b", "c"}

// simCluster is the simulated system: all pools, the partitions of the count, and the network between them.
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

// version is a version of the configuration, with the limit of each tenant in tasks. It counts as in force from the moment at which any
// process may have it.
type version struct {
	limits map[string]int
	// missingCount is the number of processes that don't have it yet. inForceSince is when the last of them received it.
	missingCount int
	inForceSince time.Duration
}

// network is the state of the simulated network: shares of messages, and the end of the cut of each pool and partition.
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

// start opens all keys and starts the ticks of the pools.
func (c *simCluster) start() {
	for _, part := range c.parts {
		part.open()
	}
	for _, pool := range c.pools {
		pool.open()
		pool.tickRepeatedly()
	}
}

// drawDuration draws a duration between two numbers of milliseconds, inclusive.
func (c *simCluster) drawDuration(fromMs, toMs int) time.Duration {
	return clock.Milliseconds(int64(fromMs + c.queue.Draw.IntN(toMs-fromMs+1)))
}

// applyStep applies a step of the schedule.
func (c *simCluster) applyStep(step modelcheck.Step) {
	c.coverage[step.Kind]++
	c.tracef("%s node %d peer %d value %d", step.Kind, step.Node, step.Peer, step.Value)
	length := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindKillPool:
		c.pools[step.Node%len(c.pools)].endLeadership()
	case kindKillPart:
		c.parts[step.Node%len(c.parts)].endLeadership()
	case kindCut:
		c.cuts[[2]int{step.Node % len(c.pools), step.Peer}] = c.queue.Now() + length
	case kindLoseMessages:
		c.lostPercent = step.Value
		c.queue.After(length, func() { c.lostPercent = 0 })
	case kindLateMessages:
		c.latePercent = step.Value
		c.queue.After(length, func() { c.latePercent = 0 })
	case kindLimit:
		c.configure(tenants[step.Peer%len(tenants)], step.Value)
	case kindDemand:
		c.pools[step.Node%len(c.pools)].demand[tenants[step.Peer%len(tenants)]] = step.Value
	}
}

// configure creates a version with another limit of a tenant. It reaches each process at a random time within maxSpreadTime.
func (c *simCluster) configure(tenant string, limit int) {
	last := c.versions[len(c.versions)-1]
	next := &version{limits: map[string]int{}, missingCount: len(c.pools) + len(c.parts)}
	for name, former := range last.limits {
		next.limits[name] = former
	}
	next.limits[tenant] = limit
	c.versions = append(c.versions, next)
	number := len(c.versions) - 1
	deliverTo := func(known *int) {
		c.queue.After(c.drawDuration(0, int(maxSpreadTime.Milliseconds())), func() {
			*known = max(*known, number)
			if next.missingCount--; next.missingCount == 0 {
				next.inForceSince = c.queue.Now()
			}
		})
	}
	for _, pool := range c.pools {
		deliverTo(&pool.version)
	}
	for _, part := range c.parts {
		deliverTo(&part.version)
	}
}

// highestLimit returns the highest limit of a tenant that may be in force now, in tasks.
func (c *simCluster) highestLimit(tenant string) int {
	highest := 0
	for number := len(c.versions) - 1; number >= 0; number-- {
		highest = max(highest, c.versions[number].limits[tenant])
		if c.versions[number].missingCount == 0 && c.queue.Now()-c.versions[number].inForceSince > oldLimitTime {
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
	c.queue.After(c.drawDuration(1, 8), arrive)
	if c.queue.Draw.IntN(100) < c.latePercent {
		c.coverage["message_late"]++
		c.queue.After(c.drawDuration(100, 4000), arrive)
	}
}

// endFaults raises the demand of each pool for every tenant above all limits. It is called when all faults are over.
func (c *simCluster) endFaults() {
	for _, pool := range c.pools {
		for _, tenant := range tenants {
			pool.demand[tenant] = 2 * maxLimit
		}
	}
}

func (c *simCluster) reportViolation(oracle, format string, values ...any) {
	detail := fmt.Sprintf(format, values...)
	c.tracef("%s: %s", oracle, detail)
	c.violations = append(c.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(c.queue.Now().Milliseconds()), Detail: detail})
}

func tasks(count int) placement.Resources {
	return placement.Resources{CPU: taskCPU, Memory: taskMemory}.Times(float64(count))
}

// limitOf returns the limit of a tenant in a version. Memory and GPUs are unlimited.
func (c *simCluster) limitOf(number int, tenant string) placement.Resources {
	limit := placement.NoLimit
	limit.CPU = int64(c.versions[number].limits[tenant] * taskCPU)
	return limit
}
