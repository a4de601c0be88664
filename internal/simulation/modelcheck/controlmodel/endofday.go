package controlmodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepEndOfDay cuts the power of all machines at once, at the end of a schedule. Value of them lose their disks. Peer is one of
// lossAfterAck, lossTimed and lossOldest.
const stepEndOfDay = "end-of-day"

// The values of Peer: how the lost disks and the moment of the power loss are chosen.
const (
	// lossAfterAck loses the leader's disk and randomly chosen others, within maxAfterAckMs of the next acknowledgement.
	lossAfterAck = iota
	// lossTimed loses randomly chosen disks after a random delay, whether the last change was acknowledged or not.
	lossTimed
	// lossOldest loses the oldest disks, within maxAfterAckMs of the next acknowledgement.
	lossOldest
	// lossWayCount is the number of these values.
	lossWayCount
)

const (
	endOfDayStream = 59
	// endsOfDayPerTen of ten schedules end with stepEndOfDay.
	endsOfDayPerTen = 3
	// finalTrafficMs is how long operators send changes up to the step, one every meanFinalPauseMs on average.
	finalTrafficMs   = 600
	meanFinalPauseMs = 60
	// With lossTimed the power is lost between minLossDelayMs and maxLossDelayMs after the step.
	minLossDelayMs = 5
	maxLossDelayMs = 400
)

// addEndOfDay adds a power loss of all machines to the end of some schedules, at a time when no machine counts as lost. It has a random
// stream of its own, so that it does not change what else a seed draws.
func (d *drawing) addEndOfDay(seed uint64) {
	random := rand.New(rand.NewPCG(seed, endOfDayStream))
	if random.IntN(10) >= endsOfDayPerTen {
		return
	}
	at := d.faultsOverMs() + random.IntN(500) + finalTrafficMs
	for call := at - finalTrafficMs; call < at+meanFinalPauseMs; call += 1 + random.IntN(2*meanFinalPauseMs) {
		d.add(modelcheck.Step{AtMs: call, Kind: stepOrder, Node: random.IntN(d.nodes)})
	}
	d.add(modelcheck.Step{AtMs: at, Kind: stepEndOfDay, Node: random.IntN(d.nodes), Peer: random.IntN(lossWayCount), Value: d.losses,
		ForMs: 250 + random.IntN(1500)})
}

// scheduleEndOfDay schedules the power loss: with lossTimed after a random delay, else within maxAfterAckMs of the next acknowledgement, if
// that comes in time.
func (sim *simCluster) scheduleEndOfDay(step modelcheck.Step) {
	if step.Peer == lossTimed {
		wait := minLossDelayMs + sim.random.IntN(maxLossDelayMs-minLossDelayMs)
		sim.after(clock.Milliseconds(int64(wait)), func() { sim.losePowerOfAll(step) })
		return
	}
	sim.triggers = append(sim.triggers, powerTrigger{step, sim.now + triggerDuration})
}

// losePowerOfAll cuts the power of all machines, wipes the chosen disks, and schedules the restarts.
func (sim *simCluster) losePowerOfAll(step modelcheck.Step) {
	lost := sim.disksToLose(step)
	sim.countCoverage("end of the day")
	for index, node := range sim.slots {
		node.losePower()
		if slices.Contains(lost, index) {
			node.wipe()
		}
		sim.after(clock.Milliseconds(int64(step.ForMs))-time.Duration(sim.random.IntN(200))*time.Millisecond, node.start)
	}
}

// disksToLose returns the slots of the Value machines that lose their disks.
func (sim *simCluster) disksToLose(step modelcheck.Step) []int {
	order := sim.random.Perm(len(sim.slots))
	switch step.Peer {
	case lossAfterAck:
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(sim.leaderRank(a), sim.leaderRank(b)) })
	case lossOldest:
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(sim.slots[a].disk.number, sim.slots[b].disk.number) })
	}
	return order[:min(step.Value, len(order))]
}

// leaderRank returns 0 for the slot of the leader and 1 for all others, so that the leader is sorted first.
func (sim *simCluster) leaderRank(position int) int {
	if sim.slots[position] == sim.leader() {
		return 0
	}
	return 1
}
