package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// play applies one step of the schedule.
func (c *simCluster) play(step modelcheck.Step) {
	c.count("step_" + step.Kind)
	c.tracef("step %s of %d for %d ms, value %d", step.Kind, step.Node, step.ForMs, step.Value)
	if c.playJob(step) {
		return
	}
	if step.Kind == kindEvacuate {
		c.evacuate(step)
		return
	}
	c.recordFault(step.ForMs)
	length := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindLoseMessages:
		c.messageFaults.lostPercent = step.Value
		c.queue.after(length, func() { c.messageFaults.lostPercent = 0 })
	case kindDoubleMessages:
		c.messageFaults.doubledPercent = step.Value
		c.queue.after(length, func() { c.messageFaults.doubledPercent = 0 })
	case kindDelayMessages:
		c.messageFaults.latePercent, c.messageFaults.maxDelayMs = 25, max(1, step.Value)
		c.queue.after(length, func() { c.messageFaults.latePercent = 0 })
	case kindCutGate:
		c.cut(&c.gates[step.Node%len(c.gates)].modelProcess, step.Value, length)
	case kindPartition:
		c.partition(step, length)
	case kindTransferLeadership:
		c.key.transferLeadership()
	case kindSlowSync:
		c.syncDelay = clock.Milliseconds(int64(step.Value))
		c.queue.after(length, func() { c.syncDelay = 0 })
	case kindSplitCore:
		c.splitCore(step, length)
	case kindEndOfDay:
		c.endDay(step, length)
	case kindLosePower:
		c.losePower(step.Value, length)
	default:
		c.playNode(step, length)
		return
	}
	c.recordCoreFault(length)
}

// playJob applies a step if it is one of the clients, and reports whether it was.
func (c *simCluster) playJob(step modelcheck.Step) bool {
	job := c.oracles.jobs[jobID(step.Node)]
	switch step.Kind {
	case kindSubmit:
		if job == nil {
			c.submitNew(step.Node, step.Value, step.Peer)
		}
		return true
	case kindStream:
		c.stream(step)
		return true
	case kindGiveUp:
		c.cancelSome(step)
		return true
	case kindSubmitAgain:
		if job != nil {
			c.submit(job, step.Peer, maxClientRetries)
		}
		return true
	case kindCancel:
		if job != nil {
			c.cancel(job, step.Peer, 0)
		}
		return true
	}
	return false
}

// playNode applies a fault of a steward or of a machine.
func (c *simCluster) playNode(step modelcheck.Step, length time.Duration) {
	steward, executor := c.stewards[step.Node%len(c.stewards)], c.executors[step.Node%len(c.executors)]
	switch step.Kind {
	case kindKillSteward, kindFreezeSteward, kindCutSteward, kindClockJump:
		c.recordCoreFault(length)
	}
	switch step.Kind {
	case kindKillSteward:
		c.killSteward(steward, length)
	case kindFreezeSteward:
		c.freeze(&steward.modelProcess, length)
	case kindCutSteward:
		c.cut(&steward.modelProcess, step.Value, length)
	case kindClockJump:
		c.oracles.hasClockJumped = true
		// The values 0 to 4000 stand for jumps by up to two seconds in both directions.
		steward.wallJumpMs = int64(step.Value) - 2000
		c.queue.after(length, func() { steward.wallJumpMs = 0 })
	case kindKillProxy:
		executor.recordMachineFault(length)
		executor.proxy.kill()
		c.queue.after(length, func() {
			if !executor.proxy.isUp {
				executor.proxy.start()
			}
		})
	case kindFreezeProxy:
		executor.recordMachineFault(length)
		c.freeze(&executor.proxy.modelProcess, length)
	case kindCutProxy:
		executor.recordMachineFault(length)
		c.cut(&executor.proxy.modelProcess, step.Value, length)
	default:
		c.playExecutor(step, executor, length)
	}
}

// playExecutor applies a fault of an executor.
func (c *simCluster) playExecutor(step modelcheck.Step, executor *modelExecutor, length time.Duration) {
	kind := step.Kind
	executor.recordMachineFault(length)
	flags := map[string]*bool{kindSlowExecutor: &executor.isSlow, kindLateExecutor: &executor.isLate, kindLoseAnswers: &executor.losesAnswers, kindBusyExecutor: &executor.isBusy,
		kindRefuseExecutor: &executor.isRefusing, kindStuckExecutor: &executor.isStuck, kindLateHeartbeats: &executor.isHeartbeatLate}
	switch flag := flags[kind]; {
	case flag != nil:
		*flag = true
		c.queue.after(length, func() { *flag = false })
	case kind == kindDrainExecutor && step.Value == drainUnannounced:
		executor.deregister(length)
	case kind == kindDrainExecutor:
		executor.drain()
	case kind == kindDeregister:
		executor.deregister(0)
	case kind == kindFreezeExecutor && executor.isUp && !executor.isFrozen:
		executor.isFrozen = true
		incarnation := executor.incarnation
		c.queue.after(length, func() {
			if executor.incarnation == incarnation {
				executor.wake()
			}
		})
	case kind == kindCrashExecutor && executor.isUp:
		executor.crash()
		if step.Value == staysAway && executor.number%2 == 1 {
			return
		}
		c.queue.after(length, func() {
			if !executor.isUp {
				executor.start()
			}
		})
	}
}

// recordFault records that there is a fault from now on for forMs.
func (c *simCluster) recordFault(forMs int) {
	until := c.queue.now() + clock.Milliseconds(int64(forMs))
	c.faultsUntil = max(c.faultsUntil, until)
}

// recordCoreFault records that stewards, gates or the network have a fault from now on, for a duration.
func (c *simCluster) recordCoreFault(length time.Duration) {
	c.coreFaultsUntil = max(c.coreFaultsUntil, c.queue.now()+length)
}

func (c *simCluster) killSteward(steward *modelSteward, length time.Duration) {
	steward.kill()
	c.queue.after(length, func() {
		if !steward.isUp {
			steward.start()
		}
	})
}

func (c *simCluster) freeze(process *modelProcess, length time.Duration) {
	if !process.isUp || process.isFrozen {
		return
	}
	process.isFrozen = true
	incarnation := process.incarnation
	c.queue.after(length, func() {
		if process.incarnation == incarnation && process.isFrozen {
			process.wake()
		}
	})
}

// cut cuts off the messages to and from a process for a while; direction 1 cuts off only those from it, direction 2 only those to it.
func (c *simCluster) cut(process *modelProcess, direction int, length time.Duration) {
	process.isCutIncoming, process.isCutOutgoing = direction != 1, direction != 2
	c.queue.after(length, func() { process.isCutIncoming, process.isCutOutgoing = false, false })
}

// partition separates some processes from all others for a while: one steward, and the machines and gates whose bits are set in
// the step's value.
func (c *simCluster) partition(step modelcheck.Step, length time.Duration) {
	isolated := []*modelProcess{&c.stewards[step.Node%len(c.stewards)].modelProcess}
	isIsolated := func(bit int) bool { return step.Value>>bit&1 == 1 }
	for number, proxy := range c.proxies {
		if isIsolated(number % c.profile.partitionBits) {
			isolated = append(isolated, &proxy.modelProcess)
			proxy.executor.recordMachineFault(length)
		}
	}
	for number, gate := range c.gates {
		if isIsolated(c.profile.partitionBits + number) {
			isolated = append(isolated, &gate.modelProcess)
		}
	}
	for _, process := range isolated {
		process.group = 1
	}
	c.queue.after(length, func() {
		for _, process := range isolated {
			process.group = 0
		}
	})
}

// losePower kills all stewards afterMs after the next commit is acknowledged to a leader, and starts them again after length.
func (c *simCluster) losePower(afterMs int, length time.Duration) {
	c.onCommit = func() {
		c.queue.after(clock.Milliseconds(int64(afterMs)), func() {
			c.count("power_lost")
			c.recordFault(int(length / time.Millisecond))
			c.recordCoreFault(length)
			for _, steward := range c.stewards {
				c.killSteward(steward, length)
			}
		})
	}
}
