package controlmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The kinds of steps, and the constants of steps. Node is a slot, or leaderIndex for the machine that leads at that moment. Numbers called
// perMille are shares of messages in thousandths.
//
// Operators send a change (order), two competing changes (race), a confirmed change again (resend), maxInFlight changes at the same time
// (burst), or a change every stormPause (storm). callers starts Node applications of the model "coordination".
//
// restart and replace shut a machine down as planned, while kill, power, wipe and replace-lost end its process at once. weather loses,
// doubles and delays messages between all machines. bulk has each change of the whole run also write a large pair.
const (
	stepOrder       = "order"
	stepRace        = "race"
	stepResend      = "resend"
	stepBurst       = "burst"
	stepStorm       = "storm"
	stepRead        = "read"
	stepCallers     = "callers"
	stepEvacuate    = "evacuate"
	stepKill        = "kill"
	stepPower       = "power"
	stepWipe        = "wipe"
	stepFreeze      = "freeze"
	stepSlow        = "slow"
	stepStall       = "disk-stall"
	stepSlowDisk    = "disk-slow"
	stepFullDisk    = "disk-full"
	stepCut         = "cut"
	stepCutOut      = "cut-outgoing"
	stepCutIn       = "cut-incoming"
	stepNetwork     = "weather"
	stepClock       = "clock-jump"
	stepPowerAll    = "power-all"
	stepKillAll     = "kill-all"
	stepPowerOnAck  = "power-after-ack"
	stepReplace     = "replace"
	stepReplaceLost = "replace-lost"
	stepRestart     = "restart"
	stepGrow        = "grow"
	stepBulk        = "bulk"
	leaderIndex     = -1
	stormPause      = 25 * time.Millisecond
	// triggerDuration is how long a step waits for an acknowledgement. The step is applied within maxAfterAckMs of it.
	triggerDuration     = time.Second
	maxAfterAckMs       = 5
	perMilleLost        = 80
	perMilleHeavilyLost = 300
	perMilleDuplicated  = 100
	perMilleDelayed     = 150
	// baseMaxDelay plus Value milliseconds is the longest delay of messages by stepNetwork.
	baseMaxDelay = 20 * time.Millisecond
)

// powerTrigger is a power loss that follows within maxAfterAckMs of the next acknowledgement, if that comes in time.
type powerTrigger struct {
	step  modelcheck.Step
	until time.Duration
}

// nodeAt returns the machine of a slot, or the leader for leaderIndex. Without a leader that is slot 0.
func (sim *simCluster) nodeAt(index int) *simNode {
	if index == leaderIndex {
		if leader := sim.leader(); leader != nil {
			return leader
		}
		index = 0
	}
	return sim.slots[index%len(sim.slots)]
}

// applyStep starts a step of the schedule and schedules its end. It records the step as a fault only afterwards, so that split sees only
// earlier faults.
func (sim *simCluster) applyStep(step modelcheck.Step) {
	sim.countCoverage("step " + step.Kind)
	length := clock.Milliseconds(int64(step.ForMs))
	n := sim.nodeAt(step.Node)
	sim.tracef("step %s of %s for %d ms, peer %d, value %d", step.Kind, n.name, step.ForMs, step.Peer, step.Value)
	defer sim.recordFault(step)
	switch step.Kind {
	case stepOrder, stepRace, stepResend, stepBurst, stepStorm, stepRead, stepCallers, stepEvacuate:
		sim.service.playStep(step)
	case stepKill, stepPower, stepWipe, stepFreeze, stepSlow:
		sim.applyProcessFault(step, n, length)
	case stepStall, stepSlowDisk, stepFullDisk:
		sim.applyDiskFault(step.Kind, n.disk, length)
	case stepCut, stepCutOut, stepCutIn:
		sim.applyCut(step, n, length)
	case stepNetwork:
		sim.networkFault = networkFault{until: sim.now + length, lost: perMilleLost, doubled: perMilleDuplicated, delayed: perMilleDelayed,
			maxDelay: baseMaxDelay + clock.Milliseconds(int64(step.Value))}
		if step.Peer == 1 {
			sim.networkFault.lost = perMilleHeavilyLost
		}
	case stepClock:
		n.clock.jump += int64(step.Value)
	case stepPowerAll, stepKillAll:
		sim.takeAllDown(step)
	case stepSplit:
		sim.split(step, length)
	case stepRetire:
		sim.retireVoters(step)
	case stepEndOfDay:
		sim.scheduleEndOfDay(step)
	case stepPowerOnAck:
		sim.triggers = append(sim.triggers, powerTrigger{step, sim.now + triggerDuration})
	default:
		sim.applyChange(step, n, length)
	}
}

// applyProcessFault kills, freezes or slows down one process, and schedules its recovery.
func (sim *simCluster) applyProcessFault(step modelcheck.Step, n *simNode, length time.Duration) {
	switch step.Kind {
	case stepKill:
		n.kill()
		sim.after(length, n.start)
	case stepPower:
		n.losePower()
		sim.after(length, n.start)
	case stepWipe:
		n.kill()
		n.wipe()
		sim.after(length, n.start)
	case stepFreeze:
		incarnation := n.incarnation
		n.freeze()
		sim.after(length, func() {
			if n.incarnation == incarnation {
				n.unfreeze()
			}
		})
	case stepSlow:
		n.callDelay = time.Duration(step.Value) * 10 * time.Microsecond
		sim.after(length, func() { n.callDelay = 0 })
	}
}

// applyChange replaces, restarts or adds a machine. With stepReplace the successor starts at once and the old machine shuts down after
// length, with stepReplaceLost the old machine ends at once and the successor starts after length.
func (sim *simCluster) applyChange(step modelcheck.Step, n *simNode, length time.Duration) {
	switch step.Kind {
	case stepReplace:
		index := step.Node % len(sim.slots)
		successor := sim.addNode()
		successor.start()
		sim.after(length, func() {
			old := sim.slots[index]
			sim.slots[index] = successor
			old.isRemoved = true
			old.shutDown(func() {})
		})
	case stepReplaceLost:
		n.kill()
		n.isRemoved = true
		successor := sim.addNode()
		sim.slots[step.Node%len(sim.slots)] = successor
		sim.after(length, successor.start)
	case stepRestart:
		n.shutDown(func() { sim.after(length, n.start) })
	case stepGrow:
		added := sim.addNode()
		sim.slots = append(sim.slots, added)
		added.start()
	}
}

// applyDiskFault makes a disk stalled, slow or full for a time.
func (sim *simCluster) applyDiskFault(kind string, d *disk, length time.Duration) {
	switch kind {
	case stepStall:
		d.isStalled = true
	case stepSlowDisk:
		d.isSlow = true
	default:
		d.isFull = true
	}
	sim.after(length, func() {
		switch kind {
		case stepStall:
			d.isStalled = false
			d.sync()
		case stepSlowDisk:
			d.isSlow = false
		default:
			d.isFull = false
		}
	})
}

// applyCut cuts one machine off from all others, in one or both directions. With Peer 1 connections are refused, else messages are
// lost or delayed until the end of the cut.
func (sim *simCluster) applyCut(step modelcheck.Step, n *simNode, length time.Duration) {
	newCut := cut{cutSilent, sim.now + length}
	if step.Peer == 1 {
		newCut.kind = cutRefused
	}
	for _, other := range sim.nodes {
		if other == n {
			continue
		}
		if step.Kind != stepCutIn {
			sim.cuts[direction{n.index, other.index}] = newCut
		}
		if step.Kind != stepCutOut {
			sim.cuts[direction{other.index, n.index}] = newCut
		}
	}
}

// takeAllDown cuts the power of all machines or kills all processes, and schedules the restarts. Value of the machines, from slot Node on,
// lose their disks as well.
func (sim *simCluster) takeAllDown(step modelcheck.Step) {
	for index, node := range sim.slots {
		if step.Kind == stepKillAll {
			node.kill()
		} else {
			node.losePower()
		}
		if offset := (index - max(0, step.Node) + len(sim.slots)) % len(sim.slots); offset < step.Value {
			sim.countCoverage("disk wiped with all machines down")
			node.wipe()
		}
		sim.after(clock.Milliseconds(int64(step.ForMs))-time.Duration(sim.random.IntN(200))*time.Millisecond, node.start)
	}
}

// fireTriggers schedules the power losses that wait for an acknowledgement. For stepPowerOnAck, all machines lose power with Peer 1, else
// only the step's machine, which is the leader.
func (sim *simCluster) fireTriggers() {
	waiting := sim.triggers
	sim.triggers = nil
	for _, trigger := range waiting {
		if trigger.until < sim.now {
			continue
		}
		sim.countCoverage("power lost right after an acknowledgement")
		wait := time.Duration(sim.random.IntN(maxAfterAckMs*1000)) * time.Microsecond
		step := trigger.step
		if step.Kind == stepEndOfDay {
			sim.after(wait, func() { sim.losePowerOfAll(step) })
			continue
		}
		step.Kind = stepPower
		if step.Peer == 1 {
			step.Kind = stepPowerAll
		}
		sim.after(wait, func() { sim.applyStep(step) })
	}
}

// healAll ends all faults and starts all machines that are down, except those that were removed. The wall clocks stay as they are.
func (sim *simCluster) healAll() {
	sim.triggers, sim.networkFault = nil, networkFault{}
	clear(sim.cuts)
	for _, node := range sim.nodes {
		node.callDelay = 0
		node.disk.isStalled, node.disk.isSlow, node.disk.isFull = false, false, false
		node.unfreeze()
		node.start()
		node.disk.sync()
	}
}

// playOperatorStep makes the calls of a step of the operators.
func (sim *simCluster) playOperatorStep(step modelcheck.Step) {
	operators := &sim.operators
	switch step.Kind {
	case stepRead:
		sim.readConfiguration(step.Node, ignoreResult)
	case stepEvacuate:
		sim.sendEvacuation(step, step.Node, evacuationAttempts)
	case stepOrder:
		sim.sendChange(sim.newChange(operators.newestVersion, operators.newestVersion+1+int64(step.Value)), step.Node)
	case stepRace:
		sim.sendChange(sim.newChange(operators.newestVersion, operators.newestVersion+1), step.Node)
		sim.sendChange(sim.newChange(operators.newestVersion, operators.newestVersion+1), step.Peer)
	case stepBurst:
		for index := range maxInFlight {
			sim.sendChange(sim.newChange(operators.newestVersion, operators.newestVersion+1+int64(index%3)), step.Node+index)
		}
	case stepResend:
		if count := len(operators.confirmed); count > 0 {
			again := operators.confirmed[max(0, count-1-step.Value)]
			again.attempts = 0
			sim.sendChange(again, step.Node)
		}
	case stepStorm:
		sim.sendStorm(step.Node, sim.now+clock.Milliseconds(int64(step.ForMs)))
	}
}

// sendStorm sends a change every stormPause until a time, each based on the newest confirmed version.
func (sim *simCluster) sendStorm(via int, end time.Duration) {
	if sim.now >= end {
		return
	}
	sim.sendChange(sim.newChange(sim.operators.newestVersion, sim.operators.newestVersion+1), via)
	sim.after(stormPause, func() { sim.sendStorm(via, end) })
}
