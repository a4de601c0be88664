package controlmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The kinds of steps. Node is a place of a machine, or leaderIndex for whoever leads at that moment.
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

// powerTrigger is a fault that comes within 5 ms of the next acknowledgement.
type powerTrigger struct {
	step  modelcheck.Step
	until time.Duration
}

// at is the machine that a step means.
func (w *simCluster) nodeAt(index int) *simNode {
	if index == leaderIndex {
		if leader := w.leader(); leader != nil {
			return leader
		}
		index = 0
	}
	return w.slots[index%len(w.slots)]
}

// apply begins a step of the schedule, and plans its end.
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

// troubleProcess is what befalls one process.
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

// applyChange is what planned work does to machines.
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

// troubleDisk lets a disk stall, be slow or be full for a while.
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

// cutOff cuts one machine from all others; Peer is 1 where connections are refused and not silent.
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
			w.links[pair{n.index, other.index}] = newCut
		}
		if step.Kind != stepCutOut {
			w.links[pair{other.index, n.index}] = newCut
		}
	}
}

// endAll takes power from all machines, or kills all; Value of them, from Node on, lose their disks as well.
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

// fireTriggers lets what waits for an acknowledgement happen: Peer is 1 for all machines, else it is the leader.
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

// healAll ends all faults.
func (w *simCluster) healAll() {
	w.triggers, w.networkFault = nil, networkFault{}
	clear(w.links)
	for _, node := range w.nodes {
		node.callDelay = 0
		node.disk.isStalled, node.disk.isSlow, node.disk.isFull = false, false, false
		node.unfreeze()
		node.start()
		node.disk.sync()
	}
}

// operateStep plays a step of operators.
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

// storm sends a change as soon as the one before it is confirmed.
func (w *simCluster) sendStorm(via int, end time.Duration) {
	if w.now >= end {
		return
	}
	w.sendChange(w.newChange(w.operators.newestVersion, w.operators.newestVersion+1), via)
	w.after(stormPause, func() { w.sendStorm(via, end) })
}
