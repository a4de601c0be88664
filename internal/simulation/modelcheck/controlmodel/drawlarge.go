package controlmodel

import (
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	// A large schedule lasts from minLargeMs to maxLargeMs after the voters have grown.
	minLargeMs, maxLargeMs = 3000, 20000
	// fillMs is the length of the storm of changes at the beginning, which writes the large pairs.
	fillMs = 1500
	// maxGapMs is the longest time between two consecutive losses, from when no disk counts as lost any more.
	maxGapMs = 400
	// maxConsecutiveLosses is the maximum number of times that disks are lost in a row.
	maxConsecutiveLosses = 4
)

// largeMachineFaults are the kinds of faults of single machines in large schedules, in addition to the consecutive disk losses.
var largeMachineFaults = []string{stepKill, stepPower, stepWipe, stepWipe, stepFreeze, stepSlow, stepStall, stepCut, stepCutOut, stepCutIn,
	stepReplaceLost, stepRestart, stepPowerOnAck}

// drawLarge draws a schedule with 2*losses+1 machines, so that each disk is a voter and there is no spare. The state has several MB,
// and the next disks are lost soon after the previous ones no longer count as lost.
func (d *drawing) drawLarge(seed uint64) modelcheck.Schedule {
	d.nodes = 2*d.losses + 1
	d.endMs = voterGrowthMs + minLargeMs + d.random.IntN(maxLargeMs-minLargeMs)
	d.add(modelcheck.Step{Kind: stepBulk})
	d.add(modelcheck.Step{AtMs: 1000, Kind: stepStorm, ForMs: fillMs})
	d.addConsecutiveLosses()
	for at := voterGrowthMs + d.random.IntN(2000); at < d.endMs; at += 500 + d.random.IntN(4000) {
		d.addLargeFault(at)
	}
	d.addOperatorCalls()
	d.addSplits(seed)
	d.addEndOfDay(seed)
	slices.SortStableFunc(d.steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return modelcheck.Schedule{Model: Name, Seed: seed, Losses: d.losses, Nodes: d.nodes, Size: modelcheck.SizeLarge, Steps: d.steps}
}

// addConsecutiveLosses adds several losses of disks, each soon after the previous disks no longer count as lost. Some come with a failure of
// all machines.
func (d *drawing) addConsecutiveLosses() {
	at := voterGrowthMs + d.random.IntN(2000)
	for range 1 + d.random.IntN(maxConsecutiveLosses) {
		if at > d.endMs {
			return
		}
		length := 50 + d.random.IntN(3000)
		if d.random.IntN(3) == 0 {
			d.addFailureOfAll(at)
		} else {
			for range 1 + d.random.IntN(d.losses) {
				d.addWipe(at+d.random.IntN(100), length)
			}
		}
		at = d.lastLostUntil() + d.random.IntN(maxGapMs)
	}
}

// addWipe adds the loss of one disk, unless too many machines would then be lost at the same time.
func (d *drawing) addWipe(at, length int) {
	loss := lossInterval{at, at + length + catchUpMs}
	if d.canTolerate(loss, 1) {
		d.lossIntervals = append(d.lossIntervals, loss)
		d.add(modelcheck.Step{AtMs: at, Kind: stepWipe, Node: d.drawNode(), ForMs: length})
	}
}

// lastLostUntil returns when no machine counts as lost any more, at the earliest voterGrowthMs.
func (d *drawing) lastLostUntil() int {
	last := voterGrowthMs
	for _, loss := range d.lossIntervals {
		last = max(last, loss.to)
	}
	return last
}

// addLargeFault draws one fault: a network fault, a failure of all machines, or a fault of one machine.
func (d *drawing) addLargeFault(at int) {
	switch d.random.IntN(6) {
	case 0:
		d.add(modelcheck.Step{AtMs: at, Kind: stepNetwork, ForMs: 300 + d.random.IntN(2000), Value: d.random.IntN(1500)})
	case 1:
		d.addFailureOfAll(at)
	default:
		d.addMachineFault(at, largeMachineFaults[d.random.IntN(len(largeMachineFaults))])
	}
}
