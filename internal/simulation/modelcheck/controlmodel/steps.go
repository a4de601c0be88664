package controlmodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The kinds of steps. Node is a place of a machine, or leaderIndex for whoever leads at that moment.
const (
	stepOrder          = "order"
	stepRace           = "race"
	stepResend         = "resend"
	stepBurst          = "burst"
	stepStorm          = "storm"
	stepRead           = "read"
	stepCallers        = "callers"
	stepEvacuate       = "evacuate"
	stepKill           = "kill"
	stepPower          = "power"
	stepWipe           = "wipe"
	stepFreeze         = "freeze"
	stepSlow           = "slow"
	stepStall          = "disk-stall"
	stepSlowDisk       = "disk-slow"
	stepFullDisk       = "disk-full"
	stepCut            = "cut"
	stepCutOut         = "cut-outgoing"
	stepCutIn          = "cut-incoming"
	stepNetwork        = "weather"
	stepClock          = "clock-jump"
	stepPowerAll       = "power-all"
	stepKillAll        = "kill-all"
	stepPowerOnAck     = "power-after-ack"
	stepReplace        = "replace"
	stepReplaceLost    = "replace-lost"
	stepRestart        = "restart"
	stepGrow           = "grow"
	stepBulk           = "bulk"
	leaderIndex        = -1
	stormPause         = 25 * time.Millisecond
	triggerDuration    = time.Second
	longestAfterAck    = 5
	percentLost        = 80
	percentHeavilyLost = 300
	percentDuplicated  = 100
	percentDelayed     = 150
	minDelay           = 20 * time.Millisecond
)

// powerTrigger is a fault that comes within 5 ms of the next acknowledgement.
type powerTrigger struct {
	step  modelcheck.Step
	until time.Duration
}

// at is the machine that a step means.
func (w *simCluster) at(index int) *simNode {
	if index == leaderIndex {
		if leader := w.leader(); leader != nil {
			return leader
		}
		index = 0
	}
	return w.slots[index%len(w.slots)]
}

// apply begins a step of the schedule, and plans its end.
func (w *simCluster) apply(step modelcheck.Step) {
	w.cover("step " + step.Kind)
	length := clock.Milliseconds(int64(step.ForMs))
	n := w.at(step.Node)
	w.tell("step %s of %s for %d ms, peer %d, value %d", step.Kind, n.name, step.ForMs, step.Peer, step.Value)
	defer w.noteFault(step)
	switch step.Kind {
	case stepOrder, stepRace, stepResend, stepBurst, stepStorm, stepRead, stepCallers, stepEvacuate:
		w.service.act(step)
	case stepKill, stepPower, stepWipe, stepFreeze, stepSlow:
		w.troubleProcess(step, n, length)
	case stepStall, stepSlowDisk, stepFullDisk:
		w.troubleDisk(step.Kind, n.disk, length)
	case stepCut, stepCutOut, stepCutIn:
		w.cutOff(step, n, length)
	case stepNetwork:
		w.trouble = networkTrouble{until: w.now + length, lost: percentLost, doubled: percentDuplicated, delayed: percentDelayed,
			longest: minDelay + clock.Milliseconds(int64(step.Value))}
		if step.Peer == 1 {
			w.trouble.lost = percentHeavilyLost
		}
	case stepClock:
		n.clock.jump += int64(step.Value)
	case stepPowerAll, stepKillAll:
		w.endAll(step)
	case stepSplit:
		w.split(step, length)
	case stepEndOfDay:
		w.endDay(step)
	case stepPowerOnAck:
		w.triggers = append(w.triggers, powerTrigger{step, w.now + triggerDuration})
	default:
		w.applyChange(step, n, length)
	}
}

// troubleProcess is what befalls one process.
func (w *simCluster) troubleProcess(step modelcheck.Step, n *simNode, length time.Duration) {
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
				n.wake()
			}
		})
	case stepSlow:
		n.slowed = time.Duration(step.Value) * 10 * time.Microsecond
		w.after(length, func() { n.slowed = 0 })
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
			old.leave(func() {})
		})
	case stepReplaceLost:
		n.kill()
		n.isRemoved = true
		successor := w.addNode()
		w.slots[step.Node%len(w.slots)] = successor
		w.after(length, successor.start)
	case stepRestart:
		n.leave(func() { w.after(length, n.start) })
	case stepGrow:
		fresh := w.addNode()
		w.slots = append(w.slots, fresh)
		fresh.start()
	}
}

// troubleDisk lets a disk stall, be slow or be full for a while.
func (w *simCluster) troubleDisk(kind string, d *disk, length time.Duration) {
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
func (w *simCluster) cutOff(step modelcheck.Step, n *simNode, length time.Duration) {
	now := cut{cutSilent, w.now + length}
	if step.Peer == 1 {
		now.kind = cutRefused
	}
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		if step.Kind != stepCutIn {
			w.links[pair{n.index, other.index}] = now
		}
		if step.Kind != stepCutOut {
			w.links[pair{other.index, n.index}] = now
		}
	}
}

// endAll takes power from all machines, or kills all; Value of them, from Node on, lose their disks as well.
func (w *simCluster) endAll(step modelcheck.Step) {
	for index, node := range w.slots {
		if step.Kind == stepKillAll {
			node.kill()
		} else {
			node.losePower()
		}
		if offset := (index - max(0, step.Node) + len(w.slots)) % len(w.slots); offset < step.Value {
			w.cover("disk wiped with all machines down")
			node.wipe()
		}
		w.after(clock.Milliseconds(int64(step.ForMs))-time.Duration(w.draw.IntN(200))*time.Millisecond, node.start)
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
		w.cover("power lost right after an acknowledgement")
		wait := time.Duration(w.draw.IntN(longestAfterAck*1000)) * time.Microsecond
		step := trigger.step
		if step.Kind == stepEndOfDay {
			w.after(wait, func() { w.loseAll(step) })
			continue
		}
		step.Kind = stepPower
		if step.Peer == 1 {
			step.Kind = stepPowerAll
		}
		w.after(wait, func() { w.apply(step) })
	}
}

// healAll ends all faults.
func (w *simCluster) healAll() {
	w.triggers, w.trouble = nil, networkTrouble{}
	clear(w.links)
	for _, node := range w.nodes {
		node.slowed = 0
		node.disk.isStalled, node.disk.isSlow, node.disk.isFull = false, false, false
		node.wake()
		node.start()
		node.disk.sync()
	}
}

// operateStep plays a step of operators.
func (w *simCluster) operateStep(step modelcheck.Step) {
	t := &w.traffic
	switch step.Kind {
	case stepRead:
		w.read(step.Node, ignore)
	case stepEvacuate:
		w.sendEvacuation(step, step.Node, evacuationAttempts)
	case stepOrder:
		w.send(w.newOrder(t.newest, t.newest+1+int64(step.Value)), step.Node)
	case stepRace:
		w.send(w.newOrder(t.newest, t.newest+1), step.Node)
		w.send(w.newOrder(t.newest, t.newest+1), step.Peer)
	case stepBurst:
		for index := range maxInFlight {
			w.send(w.newOrder(t.newest, t.newest+1+int64(index%3)), step.Node+index)
		}
	case stepResend:
		if count := len(t.confirmed); count > 0 {
			again := t.confirmed[max(0, count-1-step.Value)]
			again.attempts = 0
			w.send(again, step.Node)
		}
	case stepStorm:
		w.storm(step.Node, w.now+clock.Milliseconds(int64(step.ForMs)))
	}
}

// storm sends a change as soon as the one before it is confirmed.
func (w *simCluster) storm(via int, end time.Duration) {
	if w.now >= end {
		return
	}
	w.send(w.newOrder(w.traffic.newest, w.traffic.newest+1), via)
	w.after(stormPause, func() { w.storm(via, end) })
}
