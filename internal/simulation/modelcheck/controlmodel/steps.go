package controlmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The kinds of steps. Node is a slot, or leaderIndex for the machine that leads at that moment. Numbers called perMille are shares of
// messages in thousandths.
//
// Operators send a change (order), two competing changes (race), a confirmed change again (resend), maxInFlight changes at the same time
// (burst), or a change every stormPause (storm). callers starts the applications of the other model.
const (
	stepOrder           = "order"
	stepRace            = "race"
	stepResend          = "resend"
	stepBurst           = "burst"
	stepStorm           = "storm"
	stepRead            = "read"
	stepCallers         = "callers"
	stepEvacuate        = "evacuate"
	stepKill            = "kill"
	stepPower           = "power"
	stepWipe            = "wipe"
	stepFreeze          = "freeze"
	stepSlow            = "slow"
	stepStall           = "disk-stall"
	stepSlowDisk        = "disk-slow"
	stepFullDisk        = "disk-full"
	stepCut             = "cut"
	stepCutOut          = "cut-outgoing"
	stepCutIn           = "cut-incoming"
	stepNetwork         = "weather"
	stepClock           = "clock-jump"
	stepPowerAll        = "power-all"
	stepKillAll         = "kill-all"
	stepPowerOnAck      = "power-after-ack"
	stepReplace         = "replace"
	stepReplaceLost     = "replace-lost"
	stepRestart         = "restart"
	stepGrow            = "grow"
	stepBulk            = "bulk"
	leaderIndex         = -1
	stormPause          = 25 * time.Millisecond
	triggerDuration     = time.Second
	maxAfterAckMs       = 5
	perMilleLost        = 80
	perMilleHeavilyLost = 300
	perMilleDuplicated  = 100
	perMilleDelayed     = 150
	minDelay            = 20 * time.Millisecond
)

// powerTrigger is a step that is applied within maxAfterAckMs of the next acknowledgement, unless none comes in time.
type powerTrigger struct {
	step  modelcheck.Step
	until time.Duration
}

// nodeAt returns the machine of a slot, or the leader for leaderIndex. Without a leader that is slot 0.
func (w *simCluster) nodeAt(index int) *simNode {
	if index == leaderIndex {
		if leader := w.leader(); leader != nil {
			return leader
		}
		index = 0
	}
	return w.slots[index%len(w.slots)]
}

// applyStep starts a step of the schedule and schedules its end.
func (w *simCluster) applyStep(step modelcheck.Step) {
	w.countCoverage("step " + step.Kind)
	length := clock.Milliseconds(int64(step.ForMs))
	n := w.nodeAt(step.Node)
	w.tracef("step %s of %s for %d ms, peer %d, value %d", step.Kind, n.name, step.ForMs, step.Peer, step.Value)
	defer w.recordFault(step)
	switch step.Kind {
	case stepOrder, stepRace, stepResend, stepBurst, stepStorm, stepRead, stepCallers, stepEvacuate:
		w.service.playStep(step)
	case stepKill, stepPower, stepWipe, stepFreeze, stepSlow:
		w.applyProcessFault(step, n, length)
	case stepStall, stepSlowDisk, stepFullDisk:
		w.applyDiskFault(step.Kind, n.disk, length)
	case stepCut, stepCutOut, stepCutIn:
		w.applyCut(step, n, length)
	case stepNetwork:
		w.networkFault = networkFault{until: w.now + length, lost: perMilleLost, doubled: perMilleDuplicated, delayed: perMilleDelayed,
			longest: minDelay + clock.Milliseconds(int64(step.Value))}
		if step.Peer == 1 {
			w.networkFault.lost = perMilleHeavilyLost
		}
	case stepClock:
		n.clock.jump += int64(step.Value)
	case stepPowerAll, stepKillAll:
		w.takeAllDown(step)
	case stepSplit:
		w.split(step, length)
	case stepEndOfDay:
		w.scheduleEndOfDay(step)
	case stepPowerOnAck:
		w.triggers = append(w.triggers, powerTrigger{step, w.now + triggerDuration})
	default:
		w.applyChange(step, n, length)
	}
}

// applyProcessFault kills, freezes or slows down one process, and schedules its recovery.
func (w *simCluster) applyProcessFault(step modelcheck.Step, n *simNode, length time.Duration) {
	switch step.Kind {
	case stepKill:
		n.kill()
		w.after(length, n.start)
	case stepPower:
		n.losePower()
		w.after(length, n.start)
	case stepWipe:
		n.kill()
		n.wipe()
		w.after(length, n.start)
	case stepFreeze:
		incarnation := n.incarnation
		n.freeze()
		w.after(length, func() {
			if n.incarnation == incarnation {
				n.unfreeze()
			}
		})
	case stepSlow:
		n.callDelay = time.Duration(step.Value) * 10 * time.Microsecond
		w.after(length, func() { n.callDelay = 0 })
	}
}

// applyChange replaces, restarts or adds a machine.
func (w *simCluster) applyChange(step modelcheck.Step, n *simNode, length time.Duration) {
	switch step.Kind {
	case stepReplace:
		index := step.Node % len(w.slots)
		successor := w.addNode()
		successor.start()
		w.after(length, func() {
			old := w.slots[index]
			w.slots[index] = successor
			old.isRemoved = true
			old.shutDown(func() {})
		})
	case stepReplaceLost:
		n.kill()
		n.isRemoved = true
		successor := w.addNode()
		w.slots[step.Node%len(w.slots)] = successor
		w.after(length, successor.start)
	case stepRestart:
		n.shutDown(func() { w.after(length, n.start) })
	case stepGrow:
		fresh := w.addNode()
		w.slots = append(w.slots, fresh)
		fresh.start()
	}
}

// applyDiskFault makes a disk stalled, slow or full for a time.
func (w *simCluster) applyDiskFault(kind string, d *disk, length time.Duration) {
	switch kind {
	case stepStall:
		d.isStalled = true
	case stepSlowDisk:
		d.isSlow = true
	default:
		d.isFull = true
	}
	w.after(length, func() {
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
func (w *simCluster) applyCut(step modelcheck.Step, n *simNode, length time.Duration) {
	newCut := cut{cutSilent, w.now + length}
	if step.Peer == 1 {
		newCut.kind = cutRefused
	}
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		if step.Kind != stepCutIn {
			w.cuts[pair{n.index, other.index}] = newCut
		}
		if step.Kind != stepCutOut {
			w.cuts[pair{other.index, n.index}] = newCut
		}
	}
}

// takeAllDown cuts the power of all machines or kills all processes. Value of them, from slot Node on, lose their disks as well.
func (w *simCluster) takeAllDown(step modelcheck.Step) {
	for index, node := range w.slots {
		if step.Kind == stepKillAll {
			node.kill()
		} else {
			node.losePower()
		}
		if offset := (index - max(0, step.Node) + len(w.slots)) % len(w.slots); offset < step.Value {
			w.countCoverage("disk wiped with all machines down")
			node.wipe()
		}
		w.after(clock.Milliseconds(int64(step.ForMs))-time.Duration(w.random.IntN(200))*time.Millisecond, node.start)
	}
}

// fireTriggers schedules the power losses that wait for an acknowledgement. With Peer 1 all machines lose power, else the step's machine,
// which is the leader.
func (w *simCluster) fireTriggers() {
	waiting := w.triggers
	w.triggers = nil
	for _, trigger := range waiting {
		if trigger.until < w.now {
			continue
		}
		w.countCoverage("power lost right after an acknowledgement")
		wait := time.Duration(w.random.IntN(maxAfterAckMs*1000)) * time.Microsecond
		step := trigger.step
		if step.Kind == stepEndOfDay {
			w.after(wait, func() { w.losePowerOfAll(step) })
			continue
		}
		step.Kind = stepPower
		if step.Peer == 1 {
			step.Kind = stepPowerAll
		}
		w.after(wait, func() { w.applyStep(step) })
	}
}

// healAll ends all faults and starts all machines that are down.
func (w *simCluster) healAll() {
	w.triggers, w.networkFault = nil, networkFault{}
	clear(w.cuts)
	for _, node := range w.nodes {
		node.callDelay = 0
		node.disk.isStalled, node.disk.isSlow, node.disk.isFull = false, false, false
		node.unfreeze()
		node.start()
		node.disk.sync()
	}
}

// playOperatorStep makes the calls of a step of the operators.
func (w *simCluster) playOperatorStep(step modelcheck.Step) {
	t := &w.operators
	switch step.Kind {
	case stepRead:
		w.readConfiguration(step.Node, ignoreResult)
	case stepEvacuate:
		w.sendEvacuation(step, step.Node, evacuationAttempts)
	case stepOrder:
		w.sendChange(w.newChange(t.newestVersion, t.newestVersion+1+int64(step.Value)), step.Node)
	case stepRace:
		w.sendChange(w.newChange(t.newestVersion, t.newestVersion+1), step.Node)
		w.sendChange(w.newChange(t.newestVersion, t.newestVersion+1), step.Peer)
	case stepBurst:
		for index := range maxInFlight {
			w.sendChange(w.newChange(t.newestVersion, t.newestVersion+1+int64(index%3)), step.Node+index)
		}
	case stepResend:
		if count := len(t.confirmed); count > 0 {
			again := t.confirmed[max(0, count-1-step.Value)]
			again.attempts = 0
			w.sendChange(again, step.Node)
		}
	case stepStorm:
		w.sendStorm(step.Node, w.now+clock.Milliseconds(int64(step.ForMs)))
	}
}

// sendStorm sends a change every stormPause until a time, each based on the newest confirmed version.
func (w *simCluster) sendStorm(via int, end time.Duration) {
	if w.now >= end {
		return
	}
	w.sendChange(w.newChange(w.operators.newestVersion, w.operators.newestVersion+1), via)
	w.after(stormPause, func() { w.sendStorm(via, end) })
}
