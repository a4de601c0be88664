package controlmodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	// catchUpMs is how long a machine still counts as lost after it is back, or after its start if it is new,
	// so that its replica can catch up.
	catchUpMs = 4000
	// voterGrowthMs is the time that the voters need to grow from three to five.
	voterGrowthMs = 4000
	// A short schedule ends at most 500 + maxShortMs milliseconds after faults may begin. Two of five schedules are longer by up to
	// maxExtraMs, so that replicas can catch up between several faults.
	maxShortMs = 2500
	maxExtraMs = 10000
)

// lossInterval is the time for which a machine counts as lost, in milliseconds since the start of the schedule.
type lossInterval struct{ from, to int }

// drawing draws one schedule. It keeps the number of machines that are lost at the same time within losses.
type drawing struct {
	random        *rand.Rand
	steps         []modelcheck.Step
	lossIntervals []lossInterval
	nodes         int
	losses        int
	// endMs is when callers stop making calls. Faults begin until about the same time.
	endMs int
}

// Draw returns the schedule of a seed, for a system that must tolerate losing this number of disks at the same time. Only the model
// "control" has large schedules.
func (m model) Draw(seed uint64, losses int, size modelcheck.Size) modelcheck.Schedule {
	d := &drawing{random: rand.New(rand.NewPCG(seed, 3)), losses: losses}
	if size == modelcheck.SizeLarge && m.name == Name {
		return d.drawLarge(seed)
	}
	d.nodes = 2*losses + 1 + d.random.IntN(9-2*losses)
	if d.random.IntN(2) == 0 {
		d.nodes = 2*losses + 1 + d.random.IntN(2)
	}
	d.endMs = d.firstFaultMs() + 500 + d.random.IntN(maxShortMs)
	if d.random.IntN(5) < 2 {
		d.endMs += d.random.IntN(maxExtraMs)
	}
	d.addFaults()
	m.addCalls(d)
	if m.name == Name {
		d.addEvacuations(seed)
		d.addSplits(seed)
		d.addRetirements(seed)
		d.addEndOfDay(seed)
	}
	slices.SortStableFunc(d.steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return modelcheck.Schedule{Model: m.name, Seed: seed, Losses: losses, Nodes: d.nodes, Steps: d.steps}
}

func (d *drawing) add(step modelcheck.Step) { d.steps = append(d.steps, step) }

// canTolerate reports whether count more machines may be lost during an interval. All losses that overlap the interval count as if they
// were at the same time.
func (d *drawing) canTolerate(loss lossInterval, count int) bool {
	for _, other := range d.lossIntervals {
		if other.from < loss.to && loss.from < other.to {
			count++
		}
	}
	return count <= d.losses
}

// firstFaultMs returns when faults may begin. The initial three voters tolerate one loss. To tolerate two, they must grow to five first.
func (d *drawing) firstFaultMs() int {
	if d.losses > 1 {
		return voterGrowthMs
	}
	return 1500
}

// addFaults draws up to five times at which faults occur, until endMs. Some are far enough apart for replicas to catch up between them.
func (d *drawing) addFaults() {
	count := 1 + d.random.IntN(5)
	at := d.firstFaultMs() + d.random.IntN(1000)
	for range count {
		d.addFault(at)
		at += d.random.IntN(2500)
		if d.random.IntN(3) == 0 {
			at += catchUpMs
		}
		if at > d.endMs {
			return
		}
	}
}

// machineFaults are the kinds of faults that make a machine count as lost. A kind listed twice is drawn twice as often.
var machineFaults = []string{stepKill, stepPower, stepWipe, stepFreeze, stepSlow, stepStall, stepSlowDisk, stepFullDisk, stepCut, stepCut, stepCutOut,
	stepCutIn, stepReplace, stepReplaceLost, stepRestart, stepPowerOnAck}

// addFault draws faults around one moment: at most one network fault, clock jump, failure of all machines or added machine, and then one
// or more faults of single machines.
func (d *drawing) addFault(at int) {
	switch d.random.IntN(10) {
	case 0, 5:
		d.add(modelcheck.Step{AtMs: at, Kind: stepNetwork, ForMs: 300 + d.random.IntN(3000), Value: d.random.IntN(2500)})
	case 1:
		d.add(modelcheck.Step{AtMs: at, Kind: stepClock, Node: d.drawNode(), Value: d.random.IntN(20000) - 10000})
	case 2, 3:
		d.addFailureOfAll(at)
	case 4:
		if d.nodes < 9 && d.random.IntN(3) == 0 {
			d.add(modelcheck.Step{AtMs: at, Kind: stepGrow})
		}
	}
	if d.random.IntN(10) == 0 {
		d.addRestartDuringMessageLoss(at)
	}
	for range 1 + d.random.IntN(d.losses+1) {
		d.addMachineFault(at+d.random.IntN(400), machineFaults[d.random.IntN(len(machineFaults))])
	}
}

// addRestartDuringMessageLoss adds heavy message loss and, soon after its start, a kill of a machine that restarts within the time of a
// lease. The kill is left out if too many machines would then be lost at the same time.
func (d *drawing) addRestartDuringMessageLoss(at int) {
	d.add(modelcheck.Step{AtMs: at, Kind: stepNetwork, Peer: 1, ForMs: 1000 + d.random.IntN(1500), Value: d.random.IntN(300)})
	step := modelcheck.Step{AtMs: at + 300 + d.random.IntN(900), Kind: stepKill, Node: d.random.IntN(d.nodes), ForMs: 5 + d.random.IntN(60)}
	if loss := (lossInterval{step.AtMs, step.AtMs + step.ForMs + catchUpMs}); d.canTolerate(loss, 1) {
		d.lossIntervals = append(d.lossIntervals, loss)
		d.add(step)
	}
}

// drawNode draws the machine of a fault: in a third of the draws the leader, else a slot.
func (d *drawing) drawNode() int {
	if d.random.IntN(3) == 0 {
		return leaderIndex
	}
	return d.random.IntN(d.nodes)
}

// addMachineFault adds a fault of one machine, unless more machines would then be lost at the same time than the system must tolerate. In a
// third of the draws, stepPowerOnAck becomes a failure of all machines.
func (d *drawing) addMachineFault(at int, kind string) {
	step := modelcheck.Step{AtMs: at, Kind: kind, Node: d.drawNode(), ForMs: d.faultLengthMs(), Value: 20 + d.random.IntN(800)}
	if kind == stepKill && d.random.IntN(2) == 0 {
		step.ForMs = 10 + d.random.IntN(100)
	}
	loss := lossInterval{at, at + step.ForMs + catchUpMs}
	switch kind {
	case stepCut, stepCutOut, stepCutIn:
		step.Peer = d.random.IntN(2)
	case stepReplace, stepReplaceLost:
		step.Node = d.random.IntN(d.nodes)
		if kind == stepReplace {
			step.ForMs = catchUpMs + d.random.IntN(1000)
			// The successor starts at once and has had time to catch up when the old machine is removed, so that no disk counts as lost
			// any more.
			loss.to = at + step.ForMs
		}
	case stepPowerOnAck:
		step.Node, step.Value = leaderIndex, 0
		loss.to += int(triggerDuration.Milliseconds())
		if d.random.IntN(3) == 0 {
			d.addFailureOfAll(at)
			return
		}
	case stepRestart:
		loss.to += int(leaveTimeout.Milliseconds())
	}
	if d.canTolerate(loss, 1) {
		d.lossIntervals = append(d.lossIntervals, loss)
		d.add(step)
	}
}

// faultLengthMs draws how long a fault lasts: mostly below 1.5 s, in 9 of 40 draws up to 4.5 s, in one of 40 at least 20 s.
func (d *drawing) faultLengthMs() int {
	switch roll := d.random.IntN(40); {
	case roll == 0:
		return 20000 + d.random.IntN(2000)
	case roll < 10:
		return 1500 + d.random.IntN(3000)
	}
	return 50 + d.random.IntN(1450)
}

// addFailureOfAll adds a failure of all machines at once, unless a machine counts as lost at that time. In half of the draws, as many disks
// are lost with it as the system must tolerate.
func (d *drawing) addFailureOfAll(at int) {
	step := modelcheck.Step{AtMs: at, Kind: stepPowerAll, Node: d.random.IntN(d.nodes), Peer: 1, ForMs: 250 + d.random.IntN(1500)}
	switch d.random.IntN(4) {
	case 0:
		step.Kind = stepKillAll
	case 1, 2:
		step.Kind = stepPowerOnAck
	}
	loss := lossInterval{at, at + step.ForMs + catchUpMs}
	if step.Kind == stepPowerOnAck {
		loss.to += int(triggerDuration.Milliseconds())
	}
	if d.random.IntN(2) == 0 && d.canTolerate(loss, d.losses) {
		step.Value = d.losses
	}
	if step.Value == 0 && !d.canTolerate(loss, d.losses) {
		return
	}
	for range d.losses {
		d.lossIntervals = append(d.lossIntervals, loss)
	}
	d.add(step)
}

// addOperatorCalls draws the calls of operators: changes, reads, races, repeated changes, bursts and storms. In one of six schedules the
// changes also write large pairs.
func (d *drawing) addOperatorCalls() {
	d.add(modelcheck.Step{AtMs: 700, Kind: stepOrder, Node: 0})
	pause := 60 + d.random.IntN(500)
	for at := 900; at < d.endMs; at += 1 + d.random.IntN(2*pause) {
		step := modelcheck.Step{AtMs: at, Node: d.random.IntN(d.nodes)}
		switch roll := d.random.IntN(100); {
		case roll < 40:
			step.Kind, step.Value = stepOrder, d.random.IntN(2)
		case roll < 75:
			step.Kind = stepRead
		case roll < 88:
			step.Kind, step.Peer = stepRace, d.random.IntN(d.nodes)
		case roll < 97:
			step.Kind, step.Value = stepResend, d.random.IntN(4)
		case roll < 99:
			step.Kind = stepBurst
		default:
			step.Kind, step.ForMs = stepStorm, 500+d.random.IntN(2500)
		}
		d.add(step)
	}
	if d.random.IntN(6) == 0 {
		d.add(modelcheck.Step{Kind: stepBulk})
	}
}

// addCallers adds applications that make calls from before the first fault until the end of the schedule.
func (d *drawing) addCallers() {
	d.add(modelcheck.Step{AtMs: 700, Kind: stepCallers, Node: minCallers + d.random.IntN(maxCallers-minCallers+1), ForMs: d.endMs - 700,
		Value: minPauseMs + d.random.IntN(maxPauseMs-minPauseMs)})
}
