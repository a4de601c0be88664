package ordermodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/simulation/modelcheck"
)

// drawStream is the random stream of schedules; evacuations, splits of the core and ends of days draw from their own streams.
const drawStream = 7

// The numbers of jobs and faults of a small schedule, the range of its times in milliseconds, and the share of jobs that are
// cancelled; as many are submitted again.
const (
	minJobs, maxJobs     = 2, 6
	minFaults, maxFaults = 1, 6
	firstStepMs          = 1200
	lastStepMs           = 12000
	cancelPercent        = 35
)

// Kinds of steps. Node is a steward, a gate, a machine or a job, depending on the kind; ForMs is how long the fault lasts.
const (
	kindSubmit             = "hand-in"
	kindSubmitAgain        = "hand-in-again"
	kindCancel             = "cancel"
	kindStream             = "job-stream"
	kindGiveUp             = "give-up"
	kindKillSteward        = "kill-steward"
	kindFreezeSteward      = "freeze-steward"
	kindCutSteward         = "cut-steward"
	kindPartition          = "partition"
	kindTransferLeadership = "hand-over"
	kindSlowSync           = "slow-sync"
	kindLosePower          = "lose-power"
	kindClockJump          = "clock-jump"
	kindCutGate            = "cut-gate"
	kindKillProxy          = "kill-proxy"
	kindFreezeProxy        = "freeze-proxy"
	kindCutProxy           = "cut-proxy"
	kindCrashExecutor      = "crash-executor"
	kindFreezeExecutor     = "freeze-executor"
	kindDrainExecutor      = "drain-executor"
	kindLateExecutor       = "late-executor"
	kindMuteExecutor       = "mute-executor"
	kindBusyExecutor       = "busy-executor"
	kindRefuseExecutor     = "refuse-executor"
	kindStuckExecutor      = "stuck-executor"
	kindLateBeats          = "late-beats"
	kindSlowExecutor       = "slow-executor"
	kindDeregister         = "deregister-executor"
	kindLoseMessages       = "lose-messages"
	kindDoubleMessages     = "double-messages"
	kindDelayMessages      = "delay-messages"
	kindEvacuate           = "evacuate"
)

// staysAway is the value of a crash after which machines with an odd number get no new executor. The machines with an even
// number do, so that each rack keeps some executors.
const staysAway = 1

// drainUnannounced is the value of a drain that begins with the deregistration. The executor continues to serve for the time
// of a drain and for as long as the step says.
const drainUnannounced = 1

// scheduledFault is a kind of fault with the bounds of its length and value; it is drawn in proportion to its weight.
type scheduledFault struct {
	kind           string
	weight         int
	minMs, maxMs   int
	maxValue       int
	isMachineFault bool
}

var faults = []scheduledFault{
	{kind: kindKillSteward, weight: 3, minMs: 100, maxMs: 3000},
	{kind: kindFreezeSteward, weight: 3, minMs: 200, maxMs: 9000},
	{kind: kindCutSteward, weight: 4, minMs: 200, maxMs: 12000, maxValue: 2},
	{kind: kindPartition, weight: 4, minMs: 500, maxMs: 14000, maxValue: 1<<(smallProfile.partitionBits+smallProfile.gates) - 1},
	{kind: kindTransferLeadership, weight: 2, minMs: 1, maxMs: 1},
	{kind: kindSlowSync, weight: 2, minMs: 200, maxMs: 3000, maxValue: 400},
	{kind: kindLosePower, weight: 3, minMs: 100, maxMs: 1500, maxValue: 5},
	{kind: kindClockJump, weight: 1, minMs: 500, maxMs: 8000, maxValue: 4000},
	{kind: kindCutGate, weight: 1, minMs: 200, maxMs: 4000, maxValue: 2},
	{kind: kindKillProxy, weight: 4, minMs: 50, maxMs: 3000, isMachineFault: true},
	{kind: kindFreezeProxy, weight: 3, minMs: 200, maxMs: 9000, isMachineFault: true},
	{kind: kindCutProxy, weight: 4, minMs: 200, maxMs: 12000, maxValue: 2, isMachineFault: true},
	{kind: kindCrashExecutor, weight: 3, minMs: 50, maxMs: 4000, isMachineFault: true},
	{kind: kindFreezeExecutor, weight: 2, minMs: 200, maxMs: 9000, isMachineFault: true},
	{kind: kindDrainExecutor, weight: 2, minMs: 1, maxMs: 10000, maxValue: drainUnannounced, isMachineFault: true},
	{kind: kindLateExecutor, weight: 5, minMs: 500, maxMs: 6000, isMachineFault: true},
	{kind: kindMuteExecutor, weight: 4, minMs: 300, maxMs: 5000, isMachineFault: true},
	{kind: kindBusyExecutor, weight: 3, minMs: 200, maxMs: 4000, isMachineFault: true},
	{kind: kindRefuseExecutor, weight: 2, minMs: 100, maxMs: 4000, isMachineFault: true},
	{kind: kindStuckExecutor, weight: 1, minMs: 300, maxMs: 2000, isMachineFault: true},
	{kind: kindLateBeats, weight: 2, minMs: 500, maxMs: 5000, isMachineFault: true},
	{kind: kindLoseMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 40},
	{kind: kindDoubleMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 40},
	{kind: kindDelayMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 3000},
}

// faultCombinations are kinds of faults that reach more states together than each does alone.
var faultCombinations = [][]string{
	{kindLateExecutor, kindBusyExecutor, kindTransferLeadership, kindKillSteward, kindPartition, kindLateExecutor, kindTransferLeadership},
	{kindLateExecutor, kindTransferLeadership, kindBusyExecutor},
	{kindPartition, kindCutProxy, kindDelayMessages, kindFreezeProxy},
	{kindCutProxy, kindFreezeProxy},
	{kindKillProxy, kindCrashExecutor, kindMuteExecutor, kindLateExecutor, kindFreezeProxy, kindRefuseExecutor},
	{kindLosePower, kindSlowSync, kindKillSteward, kindLoseMessages, kindCutSteward},
	{kindLateExecutor, kindMuteExecutor, kindKillProxy, kindCutProxy, kindBusyExecutor},
	{kindFreezeSteward, kindCutSteward, kindTransferLeadership, kindSlowSync, kindCutGate},
	{kindLateBeats, kindCrashExecutor, kindKillProxy, kindFreezeProxy},
	{kindDrainExecutor, kindCrashExecutor, kindFreezeExecutor, kindCutProxy, kindKillProxy},
}

const percentFromCombination = 75

// drawFault draws a fault from the combination in most cases, and from all kinds otherwise or if there is no combination.
func drawFault(random *rand.Rand, combination []string) scheduledFault {
	if len(combination) > 0 && random.IntN(100) < percentFromCombination {
		kind := combination[random.IntN(len(combination))]
		return faults[slices.IndexFunc(faults, func(fault scheduledFault) bool { return fault.kind == kind })]
	}
	return drawWeighted(random, faults)
}

// drawWeighted draws a fault by its weight.
func drawWeighted(random *rand.Rand, all []scheduledFault) scheduledFault {
	total := 0
	for _, fault := range all {
		total += fault.weight
	}
	left := random.IntN(total)
	for _, fault := range all {
		if left -= fault.weight; left < 0 {
			return fault
		}
	}
	return all[0]
}

// between draws a number between two bounds, both included.
func between(random *rand.Rand, least, most int) int { return least + random.IntN(most-least+1) }

// draw draws the small schedule of a seed: jobs, their cancels, and faults. In half of the schedules they are close to one time.
func draw(seed uint64, losses int) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: quorum.VotersFor(losses)}
	plan := plan{Schedule: &schedule, random: random, centre: between(random, firstStepMs, lastStepMs), machine: random.IntN(smallProfile.executors),
		isFocused: random.IntN(2) == 0}
	if which := random.IntN(len(faultCombinations) + 2); which < len(faultCombinations) {
		plan.combination = faultCombinations[which]
	}
	for number := range between(random, minJobs, maxJobs) {
		plan.addJob(number)
	}
	for range between(random, minFaults, maxFaults) {
		plan.addFault()
	}
	plan.addEvacuation(seed)
	plan.addCoreSplits(seed)
	plan.addEndOfDay(seed)
	slices.SortStableFunc(schedule.Steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return schedule
}

// plan is a schedule that is being drawn.
type plan struct {
	*modelcheck.Schedule
	random *rand.Rand
	// centre is the time that faults are close to, in milliseconds, and machine the one that has most machine faults.
	centre  int
	machine int
	// isFocused is set if faults and half of the jobs are closer to the centre.
	isFocused bool
	// combination are the kinds that most faults are drawn from; nil for all kinds.
	combination []string
}

func (p *plan) add(step modelcheck.Step) { p.Steps = append(p.Steps, step) }

// addJob draws a job, and sometimes a cancel or a second submission of it.
func (p *plan) addJob(number int) {
	random := p.random
	at := between(random, firstStepMs, lastStepMs)
	if p.isFocused && random.IntN(2) == 0 {
		at = max(firstStepMs, p.centre+between(random, -1500, 700))
	}
	p.add(modelcheck.Step{AtMs: at, Kind: kindSubmit, Node: number, Peer: random.IntN(smallProfile.gates), Value: random.IntN(len(smallShapes))})
	if random.IntN(100) < cancelPercent {
		p.add(modelcheck.Step{AtMs: at + between(random, 20, 9000), Kind: kindCancel, Node: number, Peer: random.IntN(smallProfile.gates)})
	}
	if random.IntN(100) < cancelPercent {
		p.add(modelcheck.Step{AtMs: at + between(random, 1, 1500), Kind: kindSubmitAgain, Node: number, Peer: random.IntN(smallProfile.gates)})
	}
}

// addFault draws a fault near the centre of the schedule.
func (p *plan) addFault() {
	random, fault, spread := p.random, drawFault(p.random, p.combination), 3000
	if p.isFocused {
		spread = 800
	}
	step := modelcheck.Step{AtMs: max(firstStepMs, p.centre+between(random, -spread, spread)), Kind: fault.kind, Node: random.IntN(p.Nodes),
		ForMs: between(random, fault.minMs, fault.maxMs), Value: random.IntN(fault.maxValue + 1)}
	if fault.isMachineFault {
		step.Node = p.machine
		if random.IntN(4) == 0 {
			step.Node = random.IntN(smallProfile.executors)
		}
	}
	p.add(step)
}
