package ordermodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/simulation/modelcheck"
)

// drawStream is the random stream that schedules are drawn from; evacuations, splits of the core and ends of days have streams of
// their own.
const drawStream = 7

// The numbers of jobs and faults of a small schedule, the times in milliseconds between which it submits jobs and has its centre,
// and the percentage of jobs that are cancelled; the same percentage is submitted again.
const (
	minJobs, maxJobs     = 2, 6
	minFaults, maxFaults = 1, 6
	firstStepMs          = 1200
	lastStepMs           = 12000
	cancelPercent        = 35
)

// Kinds of steps. Node is the number of a steward, a gate, a machine or a job, depending on the kind; ForMs is how long the fault
// lasts.
const (
	kindSubmit             = "hand-in"
	kindSubmitAgain        = "hand-in-again"
	kindCancel             = "cancel"
	kindStream             = "job-stream" // submits many jobs of one shape
	kindGiveUp             = "give-up"    // cancels some of the jobs that are not over
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
	kindLateExecutor       = "late-executor"   // delays some calls to the executor and loses their answers
	kindLoseAnswers        = "mute-executor"   // loses some answers of the executor
	kindBusyExecutor       = "busy-executor"   // some calls are answered with status 503
	kindRefuseExecutor     = "refuse-executor" // calls are refused and do not reach the executor
	kindStuckExecutor      = "stuck-executor"  // runs that begin now do not end by themselves
	kindLateHeartbeats     = "late-beats"
	kindSlowExecutor       = "slow-executor"       // runs that begin now take longer
	kindDeregister         = "deregister-executor" // deregisters the executor without a drain before
	kindLoseMessages       = "lose-messages"
	kindDoubleMessages     = "double-messages"
	kindDelayMessages      = "delay-messages"
	kindEvacuate           = "evacuate"
)

// staysAway is the value of a crash after which a machine with an odd number gets no new executor. Machines with an even number
// always get a new one, so that each rack keeps some executors.
const staysAway = 1

// drainUnannounced is the value of a drain that begins with the deregistration. The executor continues to serve for drainTimeMs
// and then for the step's ForMs.
const drainUnannounced = 1

// scheduledFault is a kind of fault with the bounds of its length and its value. Kinds are drawn in proportion to their weights.
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
	{kind: kindLoseAnswers, weight: 4, minMs: 300, maxMs: 5000, isMachineFault: true},
	{kind: kindBusyExecutor, weight: 3, minMs: 200, maxMs: 4000, isMachineFault: true},
	{kind: kindRefuseExecutor, weight: 2, minMs: 100, maxMs: 4000, isMachineFault: true},
	{kind: kindStuckExecutor, weight: 1, minMs: 300, maxMs: 2000, isMachineFault: true},
	{kind: kindLateHeartbeats, weight: 2, minMs: 500, maxMs: 5000, isMachineFault: true},
	{kind: kindLoseMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 40},
	{kind: kindDoubleMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 40},
	{kind: kindDelayMessages, weight: 3, minMs: 300, maxMs: 5000, maxValue: 3000},
}

// faultCombinations are kinds of faults that reach more states together than each does alone. A kind that is listed twice is drawn
// twice as often.
var faultCombinations = [][]string{
	{kindLateExecutor, kindBusyExecutor, kindTransferLeadership, kindKillSteward, kindPartition, kindLateExecutor, kindTransferLeadership},
	{kindLateExecutor, kindTransferLeadership, kindBusyExecutor},
	{kindPartition, kindCutProxy, kindDelayMessages, kindFreezeProxy},
	{kindCutProxy, kindFreezeProxy},
	{kindKillProxy, kindCrashExecutor, kindLoseAnswers, kindLateExecutor, kindFreezeProxy, kindRefuseExecutor},
	{kindLosePower, kindSlowSync, kindKillSteward, kindLoseMessages, kindCutSteward},
	{kindLateExecutor, kindLoseAnswers, kindKillProxy, kindCutProxy, kindBusyExecutor},
	{kindFreezeSteward, kindCutSteward, kindTransferLeadership, kindSlowSync, kindCutGate},
	{kindLateHeartbeats, kindCrashExecutor, kindKillProxy, kindFreezeProxy},
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
func between(random *rand.Rand, minimum, maximum int) int {
	return minimum + random.IntN(maximum-minimum+1)
}

// draw draws the small schedule of a seed: jobs, their cancels, and faults. Half of the schedules are focused: their faults and
// half of their jobs are close to one time.
func draw(seed uint64, losses int) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: quorum.VotersFor(losses)}
	plan := plan{Schedule: &schedule, random: random, centre: between(random, firstStepMs, lastStepMs), machine: random.IntN(smallProfile.executors),
		isFocused: random.IntN(2) == 0}
	if choice := random.IntN(len(faultCombinations) + 2); choice < len(faultCombinations) {
		plan.combination = faultCombinations[choice]
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
	// centre is the time around which faults happen, in milliseconds. machine is the number of the machine that has most of the
	// machine faults.
	centre  int
	machine int
	// isFocused is set if faults are closer to the centre, and half of the jobs are close to it too.
	isFocused bool
	// combination holds the kinds that most faults are drawn from; it is nil if all faults are drawn from all kinds.
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
