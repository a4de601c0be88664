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

// tenants are the names of all tenants. They belong to several partitions.
var tenants = []string{"a", "b", "c"}

// simCluster is the simulated system: all pools, the partitions of the count, and the network between them.
type simCluster struct {
	queue    *simcluster.EventQueue
	pools    []*modelPool
	parts    []*modelPart
	versions []*version
	// fault is the name of the injected fault, or empty.
	fault string
	network
	waits *waitTimes
	// isSettled is set settleTime after the last fault. highestBalance is the highest sum of each tenant's accounts since then.
	isSettled      bool
	highestBalance map[string]int64
	coverage       modelcheck.Coverage
	violations     []modelcheck.Violation
	modelcheck.Trace
}

// version is a version of the configuration, with the limit of each tenant in tasks. Its limits may be in force as soon as it is created,
// since any process may receive it at once.
type version struct {
	limits map[string]int
	// missingCount is the number of processes that have not received the version yet. receivedByAllAt is when the last of them received it.
	missingCount    int
	receivedByAllAt time.Duration
}

// network is the state of the simulated network. lostPercent of the messages are lost and latePercent delivered twice. cuts has, for each
// pair of a pool and a partition, the time at which the last cut between them ends.
type network struct {
	lostPercent, latePercent int
	cuts                     map[[2]int]time.Duration
}

func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	c := &simCluster{queue: simcluster.NewEventQueue(0, schedule.Seed), coverage: modelcheck.Coverage{}, fault: schedule.InjectedFault}
	c.cuts, c.highestBalance = map[[2]int]time.Duration{}, map[string]int64{}
	c.waits = &waitTimes{cluster: c, lastStart: map[waitKey]time.Duration{}}
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

// start creates the first leaders of all partitions and pools, and starts the ticks of the pools.
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
	case kindLargeTasks:
		c.pools[step.Node%len(c.pools)].largeSize[tenants[step.Peer%len(tenants)]] = step.Value
	}
}

// configure creates a version of the configuration that changes the limit of a tenant. Each process receives it at a random time within
// maxSpreadTime.
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
				next.receivedByAllAt = c.queue.Now()
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
		if c.versions[number].missingCount == 0 && c.queue.Now()-c.versions[number].receivedByAllAt > oldLimitTime {
			break
		}
	}
	return highest
}

// send carries a message between a pool and a partition in 1 to 8 ms. A fault may lose it, or deliver it a second time 100 to 4000 ms after
// it was sent.
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

// raiseDemand sets the last demand, once all faults are over. For every tenant one pool wants more than all limits, and each of the others
// wants that too or nothing any more.
func (c *simCluster) raiseDemand() {
	for _, tenant := range tenants {
		first := c.queue.Draw.IntN(len(c.pools))
		for number, pool := range c.pools {
			pool.demand[tenant] = 2 * maxLimit
			if number != first && c.queue.Draw.IntN(2) == 0 {
				pool.demand[tenant], pool.largeSize[tenant] = 0, 0
			}
		}
	}
}

func (c *simCluster) reportViolation(oracle, format string, values ...any) {
	detail := fmt.Sprintf(format, values...)
	c.tracef("%s: %s", oracle, detail)
	c.violations = append(c.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(c.queue.Now().Milliseconds()), Detail: detail})
}

// tasks returns the resources of a number of small tasks, or of one task of that size.
func tasks(count int) placement.Resources {
	return placement.Resources{CPU: taskCPU, Memory: taskMemory}.Times(float64(count))
}

// limitOf returns the limit of a tenant in a version. Memory and GPUs are unlimited.
func (c *simCluster) limitOf(number int, tenant string) placement.Resources {
	limit := placement.NoLimit
	limit.CPU = int64(c.versions[number].limits[tenant] * taskCPU)
	return limit
}
