package controlmodel

import (
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	// Large schedules last so long after the first fault.
	minLargeMs, maxLargeMs = 3000, 20000
	// fillMs is how long a storm of changes at the beginning fills the large pairs.
	fillMs = 1500
	// nextWithin is how soon after a disk counts no longer as lost the next one may be.
	maxGapMs = 400
	// maxRow is how many times in a row disks are lost.
	maxConsecutiveLosses = 4
)

// largeHarms are the faults of single machines in large schedules, beside the losses of disks in a row.
var largeMachineFaults = []string{stepKill, stepPower, stepWipe, stepWipe, stepFreeze, stepSlow, stepStall, stepCut, stepCutOut, stepCutIn,
	stepReplaceLost, stepRestart, stepPowerOnAck}

// large makes a schedule with just as many machines as the losses ask for, so that each disk is a voter and there is none
// to spare; a state of several MB; and disks lost as soon as those lost before count as back.
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

// addRow lets disks be lost again and again, each time as soon as those before count as back, at times with all machines down.
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

// addLargeFault draws a fault of a large system.
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
