package ordermodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	evacuationStream = 47
	// evacuationsPerTen is how many of ten schedules have a zone evacuated.
	evacuationsPerTen = 3
	// maxEvacuationMs is the longest duration of an evacuation, and evacuationDeadline how long after its acknowledgement it must be
	// in force at the latest.
	maxEvacuationMs    = 12000
	evacuationDeadline = 5 * time.Second
	// maxEvacuationSpreadTime is the longest time until a list of evacuations reaches a process that is reachable.
	maxEvacuationSpreadTime = 1500 * time.Millisecond
)

// zoneOf returns the zone of an executor; each has one of its own.
func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number) }

// evacuationOrders is the newest list of evacuated zones that operators have ordered, and when it was acknowledged. The list
// is nil before the first order.
type evacuationOrders struct {
	newest  *wire.Evacuations
	ackedAt time.Duration
}

// knownEvacuations is the newest list of evacuated zones that a process has received, and when. The list is nil if the process has
// received none.
type knownEvacuations struct {
	list       *wire.Evacuations
	receivedAt time.Duration
}

// addEvacuation adds the evacuation of a zone to some schedules. It draws from a random stream of its own, so that the rest of
// a schedule doesn't depend on it.
func (p *plan) addEvacuation(seed uint64) {
	random := rand.New(rand.NewPCG(seed, evacuationStream))
	if random.IntN(10) >= evacuationsPerTen {
		return
	}
	p.add(modelcheck.Step{AtMs: between(random, firstStepMs, lastStepMs), Kind: kindEvacuate, Node: random.IntN(smallProfile.executors),
		ForMs: between(random, 1, maxEvacuationMs)})
}

// evacuate orders the evacuation of an executor's zone, and ends the evacuation after ForMs.
func (c *simCluster) evacuate(step modelcheck.Step) {
	executor := c.executors[step.Node%len(c.executors)]
	length := clock.Milliseconds(int64(step.ForMs))
	// While its zone is evacuated an executor offers no room, and a gang may lose members that were placed before.
	executor.recordMachineFault(length)
	c.recordFault(0)
	c.publishEvacuations([]wire.EvacuatedZone{{Zone: zoneOf(executor.number)}})
	c.queue.after(length, func() { c.publishEvacuations(nil) })
}

// publishEvacuations acknowledges a new list, and sends it to all stewards and proxies.
func (c *simCluster) publishEvacuations(zones []wire.EvacuatedZone) {
	number := int64(1)
	if c.evacuations.newest != nil {
		number = c.evacuations.newest.Number + 1
	}
	c.evacuations = evacuationOrders{&wire.Evacuations{Number: number, Zones: zones}, c.queue.now()}
	for _, steward := range c.stewards {
		c.sendEvacuations(&steward.modelProcess)
	}
	for _, proxy := range c.proxies {
		c.sendEvacuations(&proxy.modelProcess)
	}
}

// sendEvacuations brings the newest list to a process after a delay, and tries again later if the process can't be reached then.
func (c *simCluster) sendEvacuations(to *modelProcess) {
	if c.evacuations.newest == nil {
		return
	}
	c.queue.after(c.queue.between(time.Millisecond, maxEvacuationSpreadTime), func() {
		if !to.isReachable() || to.group != 0 {
			c.sendEvacuations(to)
			return
		}
		if c.evacuations.newest.IsNewerThan(to.evacuations.list) {
			to.evacuations = knownEvacuations{c.evacuations.newest, c.queue.now()}
		}
	})
}

// checkLaunch is the oracle of evacuations: unless there was a fault within contactTime, no launch is sent to an executor in an
// evacuated zone later than evacuationDeadline after the evacuation was acknowledged.
func (o *oracles) checkLaunch(executor *modelExecutor, order wire.Order) {
	c, now := o.cluster, o.cluster.queue.now()
	isCalm := now-c.faultsUntil > c.profile.contactTime
	if order.Kind == wire.OrderLaunch && isCalm && c.evacuations.newest.Has(zoneOf(executor.number)) && now-c.evacuations.ackedAt > evacuationDeadline {
		c.violate("EVAC", "%s run %d is sent to %s %v after its zone was evacuated", order.Task, order.Run, executor.id, now-c.evacuations.ackedAt)
	}
}
