package controlmodel

import (
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	// Large schedules last between these times after the voters have grown.
	minLargeMs, maxLargeMs = 3000, 20000
	// fillMs is how long the storm of changes lasts that fills the large pairs at the beginning.
	fillMs = 1500
	// maxGapMs is the longest time from when no disk counts as lost any more until the next loss of the series.
	maxGapMs = 400
	// maxConsecutiveLosses is how many times in a row disks are lost at most.
	maxConsecutiveLosses = 4
)

// largeMachineFaults are the kinds of faults of single machines in large schedules, in addition to the consecutive disk losses.
var largeMachineFaults = []string{stepKill, stepPower, stepWipe, stepWipe, stepFreeze, stepSlow, stepStall, stepCut, stepCutOut, stepCutIn,
	stepReplaceLost, stepRestart, stepPowerOnAck}

// drawLarge draws a schedule with 2*losses+1 machines, so that each disk is a voter and there is no spare. The state has several MB,
// and disks are lost as soon as those lost before count as back.
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

// addConsecutiveLosses adds several losses of disks, each as soon as the disks lost before count as back, some with all machines down.
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

func (d *drawing) addWipe(at, length int) {
	loss := lossInterval{at, at + length + catchUpMs}
	if d.canTolerate(loss, 1) {
		d.lossIntervals = append(d.lossIntervals, loss)
		d.add(modelcheck.Step{AtMs: at, Kind: stepWipe, Node: d.drawNode(), ForMs: length})
	}
}

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
