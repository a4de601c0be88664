package controlmodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/simulation/modelcheck"
)

const (
	// catchUpMs is how long a machine still counts as lost after it is back, or after its start if it is new.
	catchUpMs = 4000
	// growUpMs is the time that the voters need to grow from three to five.
	growUpMs = 4000
	// A short schedule holds a fault or two, a long one several with the time to catch up between them.
	shortMs = 2500
	longMs  = 10000
)

// lossInterval is the time for which a machine counts as lost.
type lossInterval struct{ from, to int }

// drawing makes one schedule, and keeps within what the system must be able to lose.
type drawing struct {
	draw   *rand.Rand
	steps  []modelcheck.Step
	lost   []lossInterval
	nodes  int
	losses int
	endMs  int
}

// Draw makes the schedule of a seed within the losses that must be borne.
func (m model) Draw(seed uint64, losses int, size modelcheck.Size) modelcheck.Schedule {
	d := &drawing{draw: rand.New(rand.NewPCG(seed, 3)), losses: losses}
	if size == modelcheck.SizeLarge && m.name == Name {
		return d.large(seed)
	}
	d.nodes = 2*losses + 1 + d.draw.IntN(9-2*losses)
	if d.draw.IntN(2) == 0 {
		d.nodes = 2*losses + 1 + d.draw.IntN(2)
	}
	d.endMs = d.firstFault() + 500 + d.draw.IntN(shortMs)
	if d.draw.IntN(5) < 2 {
		d.endMs += d.draw.IntN(longMs)
	}
	d.addFaults()
	m.addTraffic(d)
	if m.name == Name {
		d.addEvacuations(seed)
		d.addSplits(seed)
		d.addEndOfDay(seed)
	}
	slices.SortStableFunc(d.steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return modelcheck.Schedule{Model: m.name, Seed: seed, Losses: losses, Nodes: d.nodes, Steps: d.steps}
}

func (d *drawing) add(step modelcheck.Step) { d.steps = append(d.steps, step) }

// isBearable tells whether so many more may be lost for a time.
func (d *drawing) isBearable(loss lossInterval, count int) bool {
	for _, other := range d.lost {
		if other.from < loss.to && loss.from < other.to {
			count++
		}
	}
	return count <= d.losses
}

// firstFault is when faults may begin: the first three voters bear one loss, and more only once there are more of them.
func (d *drawing) firstFault() int {
	if d.losses > 1 {
		return growUpMs
	}
	return 1500
}

// addFaults draws a few moments of faults, some far enough apart for replicas to catch up between them.
func (d *drawing) addFaults() {
	count := 1 + d.draw.IntN(5)
	at := d.firstFault() + d.draw.IntN(1000)
	for range count {
		d.addFault(at)
		at += d.draw.IntN(2500)
		if d.draw.IntN(3) == 0 {
			at += catchUpMs
		}
		if at > d.endMs {
			return
		}
	}
}

// harms are the faults that make a machine count as lost.
var harms = []string{stepKill, stepPower, stepWipe, stepFreeze, stepSlow, stepStall, stepSlowDisk, stepFullDisk, stepCut, stepCut, stepCutOut,
	stepCutIn, stepReplace, stepReplaceLost, stepRestart, stepPowerOnAck}

// addFault draws what happens at one moment: network trouble, a jump of a clock, a power cut of all, growth, and losses
// of single machines.
func (d *drawing) addFault(at int) {
	switch d.draw.IntN(10) {
	case 0, 5:
		d.add(modelcheck.Step{AtMs: at, Kind: stepNetwork, ForMs: 300 + d.draw.IntN(3000), Value: d.draw.IntN(2500)})
	case 1:
		d.add(modelcheck.Step{AtMs: at, Kind: stepClock, Node: d.position(), Value: d.draw.IntN(20000) - 10000})
	case 2, 3:
		d.addEndOfAll(at)
	case 4:
		if d.nodes < 9 && d.draw.IntN(3) == 0 {
			d.add(modelcheck.Step{AtMs: at, Kind: stepGrow})
		}
	}
	if d.draw.IntN(10) == 0 {
		d.addRestartInNetworkTrouble(at)
	}
	for range 1 + d.draw.IntN(d.losses+1) {
		d.addHarm(at+d.draw.IntN(400), harms[d.draw.IntN(len(harms))])
	}
}

// addRestartInNetworkTrouble lets many messages be lost while a machine is killed and back within a lease.
func (d *drawing) addRestartInNetworkTrouble(at int) {
	d.add(modelcheck.Step{AtMs: at, Kind: stepNetwork, Peer: 1, ForMs: 1000 + d.draw.IntN(1500), Value: d.draw.IntN(300)})
	step := modelcheck.Step{AtMs: at + 300 + d.draw.IntN(900), Kind: stepKill, Node: d.draw.IntN(d.nodes), ForMs: 5 + d.draw.IntN(60)}
	if loss := (lossInterval{step.AtMs, step.AtMs + step.ForMs + catchUpMs}); d.isBearable(loss, 1) {
		d.lost = append(d.lost, loss)
		d.add(step)
	}
}

func (d *drawing) position() int {
	if d.draw.IntN(3) == 0 {
		return leaderIndex
	}
	return d.draw.IntN(d.nodes)
}

// addHarm adds a loss of one machine, unless more would be lost at once with it than the system has to bear.
func (d *drawing) addHarm(at int, kind string) {
	step := modelcheck.Step{AtMs: at, Kind: kind, Node: d.position(), ForMs: d.length(), Value: 20 + d.draw.IntN(800)}
	if kind == stepKill && d.draw.IntN(2) == 0 {
		step.ForMs = 10 + d.draw.IntN(100)
	}
	loss := lossInterval{at, at + step.ForMs + catchUpMs}
	switch kind {
	case stepCut, stepCutOut, stepCutIn:
		step.Peer = d.draw.IntN(2)
	case stepReplace, stepReplaceLost:
		step.Node = d.draw.IntN(d.nodes)
		if kind == stepReplace {
			step.ForMs = catchUpMs + d.draw.IntN(1000)
			// A removed machine no longer counts once its successor has had its time.
			loss.to = at + step.ForMs
		}
	case stepPowerOnAck:
		step.Node, step.Value = leaderIndex, 0
		loss.to += int(triggerDuration.Milliseconds())
		if d.draw.IntN(3) == 0 {
			d.addEndOfAll(at)
			return
		}
	case stepRestart:
		loss.to += int(leaveLimit.Milliseconds())
	}
	if d.isBearable(loss, 1) {
		d.lost = append(d.lost, loss)
		d.add(step)
	}
}

// length is how long a fault lasts: mostly short, at times 20 s and more.
func (d *drawing) length() int {
	switch luck := d.draw.IntN(40); {
	case luck == 0:
		return 20000 + d.draw.IntN(2000)
	case luck < 10:
		return 1500 + d.draw.IntN(3000)
	}
	return 50 + d.draw.IntN(1450)
}

// addEndOfAll takes all machines down at once, and as many disks with them as may be lost besides those lost already.
func (d *drawing) addEndOfAll(at int) {
	step := modelcheck.Step{AtMs: at, Kind: stepPowerAll, Node: d.draw.IntN(d.nodes), Peer: 1, ForMs: 250 + d.draw.IntN(1500)}
	switch d.draw.IntN(4) {
	case 0:
		step.Kind = stepKillAll
	case 1, 2:
		step.Kind = stepPowerOnAck
	}
	loss := lossInterval{at, at + step.ForMs + catchUpMs}
	if step.Kind == stepPowerOnAck {
		loss.to += int(triggerDuration.Milliseconds())
	}
	if d.draw.IntN(2) == 0 && d.isBearable(loss, d.losses) {
		step.Value = d.losses
	}
	if step.Value == 0 && !d.isBearable(loss, d.losses) {
		return
	}
	for range d.losses {
		d.lost = append(d.lost, loss)
	}
	d.add(step)
}

// addTraffic draws the calls of operators: changes, reads, races, repeated changes, bursts and storms.
func (d *drawing) addTraffic() {
	d.add(modelcheck.Step{AtMs: 700, Kind: stepOrder, Node: 0})
	pause := 60 + d.draw.IntN(500)
	for at := 900; at < d.endMs; at += 1 + d.draw.IntN(2*pause) {
		step := modelcheck.Step{AtMs: at, Node: d.draw.IntN(d.nodes)}
		switch luck := d.draw.IntN(100); {
		case luck < 40:
			step.Kind, step.Value = stepOrder, d.draw.IntN(2)
		case luck < 75:
			step.Kind = stepRead
		case luck < 88:
			step.Kind, step.Peer = stepRace, d.draw.IntN(d.nodes)
		case luck < 97:
			step.Kind, step.Value = stepResend, d.draw.IntN(4)
		case luck < 99:
			step.Kind = stepBurst
		default:
			step.Kind, step.ForMs = stepStorm, 500+d.draw.IntN(2500)
		}
		d.add(step)
	}
	if d.draw.IntN(6) == 0 {
		d.add(modelcheck.Step{Kind: stepBulk})
	}
}

// addCallers has some applications call from before the first fault until after the last one.
func (d *drawing) addCallers() {
	d.add(modelcheck.Step{AtMs: 700, Kind: stepCallers, Node: minCallers + d.draw.IntN(maxCallers-minCallers+1), ForMs: d.endMs - 700,
		Value: minPauseMs + d.draw.IntN(maxPauseMs-minPauseMs)})
}
