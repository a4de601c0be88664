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
	// evacuationsOfTen schedules in ten have a zone evacuated.
	evacuationsPerTen = 3
	// maxEvacuationMs is how long an evacuation lasts at most, and evacuationBound within how long it must be in force.
	maxEvacuationMs    = 12000
	evacuationDeadline = 5 * time.Second
	// maxSpreadTime is how long the news of an evacuation takes to a process that is reachable.
	maxEvacuationSpreadTime = 1500 * time.Millisecond
)

// zoneOf is the zone of an executor; each has one of its own.
func zoneOf(number int) string { return fmt.Sprintf("zone-%d", number) }

// evacuationOrders is what operators have ordered: the newest list, and when it was acknowledged.
type evacuationOrders struct {
	newest  *wire.Evacuations
	ackedAt time.Duration
}

// knownEvacuations is what a process knows of evacuations.
type knownEvacuations struct {
	list       *wire.Evacuations
	receivedAt time.Duration
}

// addEvacuation has a zone evacuated for a while in some schedules. It draws from a stream of its own, so that all else of a schedule is as
// it was.
func (p *plan) addEvacuation(seed uint64) {
	random := rand.New(rand.NewPCG(seed, evacuationStream))
	if random.IntN(10) >= evacuationsPerTen {
		return
	}
	p.add(modelcheck.Step{AtMs: between(random, firstStepMs, lastStepMs), Kind: kindEvacuate, Node: random.IntN(smallProfile.executors),
		ForMs: between(random, 1, maxEvacuationMs)})
}

// evacuate orders the zone of an executor to be emptied, and takes that back after a while.
func (w *simCluster) evacuate(step modelcheck.Step) {
	executor := w.executors[step.Node%len(w.executors)]
	length := clock.Milliseconds(int64(step.ForMs))
	// While its zone is evacuated an executor offers no room; a gang may lose members that were placed before.
	executor.recordMachineFault(length)
	w.recordFault(0)
	w.publishEvacuations([]wire.EvacuatedZone{{Zone: zoneOf(executor.number)}})
	w.queue.after(length, func() { w.publishEvacuations(nil) })
}

// order acknowledges a new list, and lets all processes hear of it.
func (w *simCluster) publishEvacuations(zones []wire.EvacuatedZone) {
	number := int64(1)
	if w.evacuations.newest != nil {
		number = w.evacuations.newest.Number + 1
	}
	w.evacuations = evacuationOrders{&wire.Evacuations{Number: number, Zones: zones}, w.queue.now()}
	for _, steward := range w.stewards {
		w.sendEvacuations(&steward.modelProcess)
	}
	for _, proxy := range w.proxies {
		w.sendEvacuations(&proxy.modelProcess)
	}
}

// tellEvacuations lets a process learn of the newest list after a while, once it is reachable.
func (w *simCluster) sendEvacuations(to *modelProcess) {
	if w.evacuations.newest == nil {
		return
	}
	w.queue.after(w.queue.between(time.Millisecond, maxEvacuationSpreadTime), func() {
		if !to.isReachable() || to.group != 0 {
			w.sendEvacuations(to)
			return
		}
		if w.evacuations.newest.IsNewerThan(to.evacuations.list) {
			to.evacuations = knownEvacuations{w.evacuations.newest, w.queue.now()}
		}
	})
}

// checkLaunch is the oracle of evacuations: in calm times no launch is sent into a zone later than evacuationBound after the order was
// acknowledged.
func (o *oracles) checkLaunch(executor *modelExecutor, order wire.Order) {
	w, now := o.cluster, o.cluster.queue.now()
	isCalm := now-w.faultsUntil > w.profile.contactTime
	if order.Kind == wire.OrderLaunch && isCalm && w.evacuations.newest.Has(zoneOf(executor.number)) && now-w.evacuations.ackedAt > evacuationDeadline {
		w.violate("EVAC", "%s run %d is sent to %s %v after its zone was evacuated", order.Task, order.Run, executor.id, now-w.evacuations.ackedAt)
	}
}
