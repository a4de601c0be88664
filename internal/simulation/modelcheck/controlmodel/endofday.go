package controlmodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepEndOfDay cuts the power of all machines at once, and Value of them lose their disks. Peer says how disks and moment are chosen.
const stepEndOfDay = "end-of-day"

// The values of Peer: how the lost disks and the moment of the power loss are chosen.
const (
	// lossAfterAck loses the leader's disk and randomly chosen others, within maxAfterAckMs of an acknowledgement.
	lossAfterAck = iota
	// lossTimed loses randomly chosen disks, some time after a change was sent, whether it was acknowledged or not.
	lossTimed
	// lossOldest loses the oldest disks, within maxAfterAckMs of an acknowledgement.
	lossOldest
	lossWayCount
)

const (
	endOfDayStream = 59
	// endsOfDayPerTen of ten schedules end with such a power loss.
	endsOfDayPerTen = 3
	// finalTrafficMs is how long operators send changes up to the step, one every meanFinalPauseMs on average.
	finalTrafficMs   = 600
	meanFinalPauseMs = 60
	// With lossTimed the power loss follows the step after minLossDelayMs to maxLossDelayMs.
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

// scheduleEndOfDay schedules the power loss: within maxAfterAckMs of the next acknowledgement, or with lossTimed after a delay.
func (w *simCluster) scheduleEndOfDay(step modelcheck.Step) {
	if step.Peer == lossTimed {
		wait := minLossDelayMs + w.random.IntN(maxLossDelayMs-minLossDelayMs)
		w.after(clock.Milliseconds(int64(wait)), func() { w.losePowerOfAll(step) })
		return
	}
	w.triggers = append(w.triggers, powerTrigger{step, w.now + triggerDuration})
}

// losePowerOfAll cuts the power of all machines, wipes the chosen disks, and schedules the restarts.
func (w *simCluster) losePowerOfAll(step modelcheck.Step) {
	lost := w.disksToLose(step)
	w.countCoverage("end of the day")
	for index, node := range w.slots {
		node.losePower()
		if slices.Contains(lost, index) {
			node.wipe()
		}
		w.after(clock.Milliseconds(int64(step.ForMs))-time.Duration(w.random.IntN(200))*time.Millisecond, node.start)
	}
}

// disksToLose returns the slots of the machines that lose their disks.
func (w *simCluster) disksToLose(step modelcheck.Step) []int {
	order := w.random.Perm(len(w.slots))
	switch step.Peer {
	case lossAfterAck:
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(w.leaderRank(a), w.leaderRank(b)) })
	case lossOldest:
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(w.slots[a].disk.number, w.slots[b].disk.number) })
	}
	return order[:min(step.Value, len(order))]
}

// leaderRank returns 0 for the slot of the leader, 1 for all others.
func (w *simCluster) leaderRank(position int) int {
	if w.slots[position] == w.leader() {
		return 0
	}
	return 1
}
