package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// play carries out one step.
func (w *world) play(step modelcheck.Step) {
	w.count("step_" + step.Kind)
	w.note("step %s of %d for %d ms, value %d", step.Kind, step.Node, step.ForMs, step.Value)
	if w.playJob(step) {
		return
	}
	w.trouble(step.ForMs)
	length := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindLoseMessages:
		w.hop.lost = step.Value
		w.queue.after(length, func() { w.hop.lost = 0 })
	case kindDoubleMessages:
		w.hop.doubled = step.Value
		w.queue.after(length, func() { w.hop.doubled = 0 })
	case kindDelayMessages:
		w.hop.late, w.hop.lateMs = 25, max(1, step.Value)
		w.queue.after(length, func() { w.hop.late = 0 })
	case kindCutGate:
		w.cut(&w.gates[step.Node%len(w.gates)].process, step.Value, length)
	case kindPartition:
		w.partition(step, length)
	case kindHandOver:
		w.key.handOver()
	case kindSlowSync:
		w.slowSync = clock.Milliseconds(int64(step.Value))
		w.queue.after(length, func() { w.slowSync = 0 })
	case kindLosePower:
		w.losePower(step.Value, length)
	default:
		w.playNode(step, length)
		return
	}
	w.coreTrouble(length)
}

func (w *world) playJob(step modelcheck.Step) bool {
	one := w.oracles.jobs[jobID(step.Node)]
	switch step.Kind {
	case kindHandIn:
		if one == nil {
			w.handInFirst(step.Node, step.Value, step.Peer)
		}
		return true
	case kindStream:
		w.stream(step)
		return true
	case kindGiveUp:
		w.giveUp(step)
		return true
	case kindHandInAgain:
		if one != nil {
			w.handIn(one, step.Peer, clientTries)
		}
		return true
	case kindCancel:
		if one != nil {
			w.cancel(one, step.Peer, 0)
		}
		return true
	}
	return false
}

func (w *world) playNode(step modelcheck.Step, length time.Duration) {
	one, machine := w.stewards[step.Node%len(w.stewards)], w.executors[step.Node%len(w.executors)]
	switch step.Kind {
	case kindKillSteward, kindFreezeSteward, kindCutSteward, kindClockJump:
		w.coreTrouble(length)
	}
	switch step.Kind {
	case kindKillSteward:
		w.killSteward(one, length)
	case kindFreezeSteward:
		w.freeze(&one.process, length)
	case kindCutSteward:
		w.cut(&one.process, step.Value, length)
	case kindClockJump:
		w.oracles.isTimeOdd = true
		one.wallJumpMs = int64(step.Value) - 2000
		w.queue.after(length, func() { one.wallJumpMs = 0 })
	case kindKillProxy:
		machine.disturb(length)
		machine.proxy.kill()
		w.queue.after(length, func() {
			if !machine.proxy.isUp {
				machine.proxy.start()
			}
		})
	case kindFreezeProxy:
		machine.disturb(length)
		w.freeze(&machine.proxy.process, length)
	case kindCutProxy:
		machine.disturb(length)
		w.cut(&machine.proxy.process, step.Value, length)
	default:
		w.playExecutor(step, machine, length)
	}
}

func (w *world) playExecutor(step modelcheck.Step, one *executor, length time.Duration) {
	kind := step.Kind
	one.disturb(length)
	flags := map[string]*bool{kindSlowExecutor: &one.isSlow, kindLateExecutor: &one.isLate, kindMuteExecutor: &one.isMute, kindBusyExecutor: &one.isBusy,
		kindRefuseExecutor: &one.isRefusing, kindStuckExecutor: &one.isStuck, kindLateBeats: &one.isBeatLate}
	switch flag := flags[kind]; {
	case flag != nil:
		*flag = true
		w.queue.after(length, func() { *flag = false })
	case kind == kindDrainExecutor && step.Value == drainUnannounced:
		one.deregister(length)
	case kind == kindDrainExecutor:
		one.drain()
	case kind == kindDeregister:
		one.deregister(0)
	case kind == kindFreezeExecutor && one.isUp && !one.isFrozen:
		one.isFrozen = true
		incarnation := one.incarnation
		w.queue.after(length, func() {
			if one.incarnation == incarnation {
				one.wake()
			}
		})
	case kind == kindCrashExecutor && one.isUp:
		one.crash()
		if step.Value == staysAway && one.number%2 == 1 {
			return
		}
		w.queue.after(length, func() {
			if !one.isUp {
				one.start()
			}
		})
	}
}

// trouble notes that something is wrong from now on for a while.
func (w *world) trouble(forMs int) {
	until := w.queue.now() + clock.Milliseconds(int64(forMs))
	w.troubledAt = max(w.troubledAt, until)
}

// coreTrouble notes that something is wrong with stewards, gates or the network from now on for a while.
func (w *world) coreTrouble(length time.Duration) {
	w.coreTroubledAt = max(w.coreTroubledAt, w.queue.now()+length)
}

func (w *world) killSteward(one *steward, length time.Duration) {
	one.kill()
	w.queue.after(length, func() {
		if !one.isUp {
			one.start()
		}
	})
}

func (w *world) freeze(one *process, length time.Duration) {
	if !one.isUp || one.isFrozen {
		return
	}
	one.isFrozen = true
	incarnation := one.incarnation
	w.queue.after(length, func() {
		if one.incarnation == incarnation && one.isFrozen {
			one.wake()
		}
	})
}

// cut takes both directions away from a process, or one of them.
func (w *world) cut(one *process, direction int, length time.Duration) {
	one.isDeaf, one.isMute = direction != 1, direction != 2
	w.queue.after(length, func() { one.isDeaf, one.isMute = false, false })
}

// partition sets one steward apart with the machines and gates that the value names bit by bit.
func (w *world) partition(step modelcheck.Step, length time.Duration) {
	apart := []*process{&w.stewards[step.Node%len(w.stewards)].process}
	isApart := func(bit int) bool { return step.Value>>bit&1 == 1 }
	for number, one := range w.proxies {
		if isApart(number % w.profile.partitionBits) {
			apart = append(apart, &one.process)
			one.executor.disturb(length)
		}
	}
	for number, one := range w.gates {
		if isApart(w.profile.partitionBits + number) {
			apart = append(apart, &one.process)
		}
	}
	for _, one := range apart {
		one.group = 1
	}
	w.queue.after(length, func() {
		for _, one := range apart {
			one.group = 0
		}
	})
}

// losePower kills all stewards within a few milliseconds of the next acknowledgement of a commit.
func (w *world) losePower(withinMs int, length time.Duration) {
	w.onCommit = func() {
		w.queue.after(clock.Milliseconds(int64(withinMs)), func() {
			w.count("power_lost")
			w.trouble(int(length / time.Millisecond))
			w.coreTrouble(length)
			for _, one := range w.stewards {
				w.killSteward(one, length)
			}
		})
	}
}
