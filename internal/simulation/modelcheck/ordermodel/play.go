package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// play applies one step of the schedule.
func (w *simCluster) play(step modelcheck.Step) {
	w.count("step_" + step.Kind)
	w.tracef("step %s of %d for %d ms, value %d", step.Kind, step.Node, step.ForMs, step.Value)
	if w.playJob(step) {
		return
	}
	if step.Kind == kindEvacuate {
		w.evacuate(step)
		return
	}
	w.recordFault(step.ForMs)
	length := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindLoseMessages:
		w.messageFaults.lostPercent = step.Value
		w.queue.after(length, func() { w.messageFaults.lostPercent = 0 })
	case kindDoubleMessages:
		w.messageFaults.doubledPercent = step.Value
		w.queue.after(length, func() { w.messageFaults.doubledPercent = 0 })
	case kindDelayMessages:
		w.messageFaults.latePercent, w.messageFaults.maxDelayMs = 25, max(1, step.Value)
		w.queue.after(length, func() { w.messageFaults.latePercent = 0 })
	case kindCutGate:
		w.cut(&w.gates[step.Node%len(w.gates)].modelProcess, step.Value, length)
	case kindPartition:
		w.partition(step, length)
	case kindTransferLeadership:
		w.key.transferLeadership()
	case kindSlowSync:
		w.syncDelay = clock.Milliseconds(int64(step.Value))
		w.queue.after(length, func() { w.syncDelay = 0 })
	case kindSplitCore:
		w.splitCore(step, length)
	case kindEndOfDay:
		w.endDay(step, length)
	case kindLosePower:
		w.losePower(step.Value, length)
	default:
		w.playNode(step, length)
		return
	}
	w.recordCoreFault(length)
}

// playJob applies a step of the clients, and returns false for any other step.
func (w *simCluster) playJob(step modelcheck.Step) bool {
	job := w.oracles.jobs[jobID(step.Node)]
	switch step.Kind {
	case kindSubmit:
		if job == nil {
			w.submitNew(step.Node, step.Value, step.Peer)
		}
		return true
	case kindStream:
		w.stream(step)
		return true
	case kindGiveUp:
		w.cancelSome(step)
		return true
	case kindSubmitAgain:
		if job != nil {
			w.submit(job, step.Peer, clientAttempts)
		}
		return true
	case kindCancel:
		if job != nil {
			w.cancel(job, step.Peer, 0)
		}
		return true
	}
	return false
}

// playNode applies a fault of a steward or of a machine.
func (w *simCluster) playNode(step modelcheck.Step, length time.Duration) {
	steward, machine := w.stewards[step.Node%len(w.stewards)], w.executors[step.Node%len(w.executors)]
	switch step.Kind {
	case kindKillSteward, kindFreezeSteward, kindCutSteward, kindClockJump:
		w.recordCoreFault(length)
	}
	switch step.Kind {
	case kindKillSteward:
		w.killSteward(steward, length)
	case kindFreezeSteward:
		w.freeze(&steward.modelProcess, length)
	case kindCutSteward:
		w.cut(&steward.modelProcess, step.Value, length)
	case kindClockJump:
		w.oracles.hasClockJumped = true
		steward.wallJumpMs = int64(step.Value) - 2000
		w.queue.after(length, func() { steward.wallJumpMs = 0 })
	case kindKillProxy:
		machine.recordMachineFault(length)
		machine.proxy.kill()
		w.queue.after(length, func() {
			if !machine.proxy.isUp {
				machine.proxy.start()
			}
		})
	case kindFreezeProxy:
		machine.recordMachineFault(length)
		w.freeze(&machine.proxy.modelProcess, length)
	case kindCutProxy:
		machine.recordMachineFault(length)
		w.cut(&machine.proxy.modelProcess, step.Value, length)
	default:
		w.playExecutor(step, machine, length)
	}
}

// playExecutor applies a fault of an executor.
func (w *simCluster) playExecutor(step modelcheck.Step, executor *modelExecutor, length time.Duration) {
	kind := step.Kind
	executor.recordMachineFault(length)
	flags := map[string]*bool{kindSlowExecutor: &executor.isSlow, kindLateExecutor: &executor.isLate, kindMuteExecutor: &executor.losesAnswers, kindBusyExecutor: &executor.isBusy,
		kindRefuseExecutor: &executor.isRefusing, kindStuckExecutor: &executor.isStuck, kindLateBeats: &executor.isHeartbeatLate}
	switch flag := flags[kind]; {
	case flag != nil:
		*flag = true
		w.queue.after(length, func() { *flag = false })
	case kind == kindDrainExecutor && step.Value == drainUnannounced:
		executor.deregister(length)
	case kind == kindDrainExecutor:
		executor.drain()
	case kind == kindDeregister:
		executor.deregister(0)
	case kind == kindFreezeExecutor && executor.isUp && !executor.isFrozen:
		executor.isFrozen = true
		incarnation := executor.incarnation
		w.queue.after(length, func() {
			if executor.incarnation == incarnation {
				executor.wake()
			}
		})
	case kind == kindCrashExecutor && executor.isUp:
		executor.crash()
		if step.Value == staysAway && executor.number%2 == 1 {
			return
		}
		w.queue.after(length, func() {
			if !executor.isUp {
				executor.start()
			}
		})
	}
}

// recordFault records that there is a fault from now on, for so many milliseconds.
func (w *simCluster) recordFault(forMs int) {
	until := w.queue.now() + clock.Milliseconds(int64(forMs))
	w.faultsUntil = max(w.faultsUntil, until)
}

// recordCoreFault records that stewards, gates or the network have a fault from now on, for a duration.
func (w *simCluster) recordCoreFault(length time.Duration) {
	w.coreFaultsUntil = max(w.coreFaultsUntil, w.queue.now()+length)
}

func (w *simCluster) killSteward(steward *modelSteward, length time.Duration) {
	steward.kill()
	w.queue.after(length, func() {
		if !steward.isUp {
			steward.start()
		}
	})
}

func (w *simCluster) freeze(process *modelProcess, length time.Duration) {
	if !process.isUp || process.isFrozen {
		return
	}
	process.isFrozen = true
	incarnation := process.incarnation
	w.queue.after(length, func() {
		if process.incarnation == incarnation && process.isFrozen {
			process.wake()
		}
	})
}

// cut interrupts messages to and from a process; direction 1 interrupts only those it sends, 2 only those to it.
func (w *simCluster) cut(process *modelProcess, direction int, length time.Duration) {
	process.isCutIncoming, process.isCutOutgoing = direction != 1, direction != 2
	w.queue.after(length, func() { process.isCutIncoming, process.isCutOutgoing = false, false })
}

// partition separates one steward from the others, with the machines and gates whose bits are set in the value.
func (w *simCluster) partition(step modelcheck.Step, length time.Duration) {
	apart := []*modelProcess{&w.stewards[step.Node%len(w.stewards)].modelProcess}
	isApart := func(bit int) bool { return step.Value>>bit&1 == 1 }
	for number, proxy := range w.proxies {
		if isApart(number % w.profile.partitionBits) {
			apart = append(apart, &proxy.modelProcess)
			proxy.executor.recordMachineFault(length)
		}
	}
	for number, gate := range w.gates {
		if isApart(w.profile.partitionBits + number) {
			apart = append(apart, &gate.modelProcess)
		}
	}
	for _, process := range apart {
		process.group = 1
	}
	w.queue.after(length, func() {
		for _, process := range apart {
			process.group = 0
		}
	})
}

// losePower kills all stewards, so many milliseconds after the next commit that is acknowledged to a leader.
func (w *simCluster) losePower(withinMs int, length time.Duration) {
	w.onCommit = func() {
		w.queue.after(clock.Milliseconds(int64(withinMs)), func() {
			w.count("power_lost")
			w.recordFault(int(length / time.Millisecond))
			w.recordCoreFault(length)
			for _, steward := range w.stewards {
				w.killSteward(steward, length)
			}
		})
	}
}
