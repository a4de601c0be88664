package ordermodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/jobs"
	"gannetline/internal/modelcheck"
	"gannetline/internal/pulse"
)

const drawStream = 7

const (
	leastJobs, mostJobs     = 2, 6
	leastFaults, mostFaults = 1, 6
	firstStepMs             = 1200
	lastStepMs              = 12000
	cancelPercent           = 35
	percentFailing          = 8
)

// Kinds of steps. Node is a steward, a gate, a machine or a job, as the kind says; ForMs is how long the fault lasts.
const (
	kindHandIn         = "hand-in"
	kindHandInAgain    = "hand-in-again"
	kindCancel         = "cancel"
	kindKillSteward    = "kill-steward"
	kindFreezeSteward  = "freeze-steward"
	kindCutSteward     = "cut-steward"
	kindPartition      = "partition"
	kindHandOver       = "hand-over"
	kindSlowSync       = "slow-sync"
	kindLosePower      = "lose-power"
	kindClockJump      = "clock-jump"
	kindCutGate        = "cut-gate"
	kindKillProxy      = "kill-proxy"
	kindFreezeProxy    = "freeze-proxy"
	kindCutProxy       = "cut-proxy"
	kindCrashExecutor  = "crash-executor"
	kindFreezeExecutor = "freeze-executor"
	kindDrainExecutor  = "drain-executor"
	kindLateExecutor   = "late-executor"
	kindMuteExecutor   = "mute-executor"
	kindBusyExecutor   = "busy-executor"
	kindRefuseExecutor = "refuse-executor"
	kindStuckExecutor  = "stuck-executor"
	kindLateBeats      = "late-beats"
	kindLoseMessages   = "lose-messages"
	kindDoubleMessages = "double-messages"
	kindDelayMessages  = "delay-messages"
)

// drainUnannounced is the value of a drain that begins with the farewell: the executor serves on as long as the step says,
// beyond the time of a drain.
const drainUnannounced = 1

// fault is a kind of trouble with the bounds of its length; those with more weight come more often.
type fault struct {
	kind          string
	weight        int
	least, most   int
	mostValue     int
	isOfExecutors bool
}

var faults = []fault{
	{kind: kindKillSteward, weight: 3, least: 100, most: 3000},
	{kind: kindFreezeSteward, weight: 3, least: 200, most: 9000},
	{kind: kindCutSteward, weight: 4, least: 200, most: 12000, mostValue: 2},
	{kind: kindPartition, weight: 4, least: 500, most: 14000, mostValue: 1<<(executorCount+gateCount) - 1},
	{kind: kindHandOver, weight: 2, least: 1, most: 1},
	{kind: kindSlowSync, weight: 2, least: 200, most: 3000, mostValue: 400},
	{kind: kindLosePower, weight: 3, least: 100, most: 1500, mostValue: 5},
	{kind: kindClockJump, weight: 1, least: 500, most: 8000, mostValue: 4000},
	{kind: kindCutGate, weight: 1, least: 200, most: 4000, mostValue: 2},
	{kind: kindKillProxy, weight: 4, least: 50, most: 3000, isOfExecutors: true},
	{kind: kindFreezeProxy, weight: 3, least: 200, most: 9000, isOfExecutors: true},
	{kind: kindCutProxy, weight: 4, least: 200, most: 12000, mostValue: 2, isOfExecutors: true},
	{kind: kindCrashExecutor, weight: 3, least: 50, most: 4000, isOfExecutors: true},
	{kind: kindFreezeExecutor, weight: 2, least: 200, most: 9000, isOfExecutors: true},
	{kind: kindDrainExecutor, weight: 2, least: 1, most: 10000, mostValue: drainUnannounced, isOfExecutors: true},
	{kind: kindLateExecutor, weight: 5, least: 500, most: 6000, isOfExecutors: true},
	{kind: kindMuteExecutor, weight: 4, least: 300, most: 5000, isOfExecutors: true},
	{kind: kindBusyExecutor, weight: 3, least: 200, most: 4000, isOfExecutors: true},
	{kind: kindRefuseExecutor, weight: 2, least: 100, most: 4000, isOfExecutors: true},
	{kind: kindStuckExecutor, weight: 1, least: 300, most: 2000, isOfExecutors: true},
	{kind: kindLateBeats, weight: 2, least: 500, most: 5000, isOfExecutors: true},
	{kind: kindLoseMessages, weight: 3, least: 300, most: 5000, mostValue: 40},
	{kind: kindDoubleMessages, weight: 3, least: 300, most: 5000, mostValue: 40},
	{kind: kindDelayMessages, weight: 3, least: 300, most: 5000, mostValue: 3000},
}

// themes are kinds that bring about more together than each alone.
var themes = [][]string{
	{kindLateExecutor, kindBusyExecutor, kindHandOver, kindKillSteward, kindPartition, kindLateExecutor, kindHandOver},
	{kindLateExecutor, kindHandOver, kindBusyExecutor},
	{kindPartition, kindCutProxy, kindDelayMessages, kindFreezeProxy},
	{kindCutProxy, kindFreezeProxy},
	{kindKillProxy, kindCrashExecutor, kindMuteExecutor, kindLateExecutor, kindFreezeProxy, kindRefuseExecutor},
	{kindLosePower, kindSlowSync, kindKillSteward, kindLoseMessages, kindCutSteward},
	{kindLateExecutor, kindMuteExecutor, kindKillProxy, kindCutProxy, kindBusyExecutor},
	{kindFreezeSteward, kindCutSteward, kindHandOver, kindSlowSync, kindCutGate},
	{kindLateBeats, kindCrashExecutor, kindKillProxy, kindFreezeProxy},
	{kindDrainExecutor, kindCrashExecutor, kindFreezeExecutor, kindCutProxy, kindKillProxy},
}

const percentOfTheme = 75

// drawFault draws from the theme, if there is one, and at times from all kinds.
func drawFault(random *rand.Rand, theme []string) fault {
	if len(theme) > 0 && random.IntN(100) < percentOfTheme {
		kind := theme[random.IntN(len(theme))]
		return faults[slices.IndexFunc(faults, func(one fault) bool { return one.kind == kind })]
	}
	total := 0
	for _, one := range faults {
		total += one.weight
	}
	left := random.IntN(total)
	for _, one := range faults {
		if left -= one.weight; left < 0 {
			return one
		}
	}
	return faults[0]
}

func between(random *rand.Rand, least, most int) int { return least + random.IntN(most-least+1) }

// draw makes the schedule of a seed: jobs, their cancels, and faults; in half of them all gather about one time.
func draw(seed uint64, losses int) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: 2*max(1, losses) + 1}
	plan := plan{Schedule: &schedule, random: random, centre: between(random, firstStepMs, lastStepMs), machine: random.IntN(executorCount),
		isFocused: random.IntN(2) == 0}
	if which := random.IntN(len(themes) + 2); which < len(themes) {
		plan.theme = themes[which]
	}
	for number := range between(random, leastJobs, mostJobs) {
		plan.addJob(number)
	}
	for range between(random, leastFaults, mostFaults) {
		plan.addFault()
	}
	slices.SortStableFunc(schedule.Steps, func(one, two modelcheck.Step) int { return one.AtMs - two.AtMs })
	return schedule
}

// plan is a schedule that is being drawn.
type plan struct {
	*modelcheck.Schedule
	random    *rand.Rand
	centre    int
	machine   int
	isFocused bool
	theme     []string
}

func (p *plan) add(step modelcheck.Step) { p.Steps = append(p.Steps, step) }

func (p *plan) addJob(number int) {
	random := p.random
	at := between(random, firstStepMs, lastStepMs)
	if p.isFocused && random.IntN(2) == 0 {
		at = max(firstStepMs, p.centre+between(random, -1500, 700))
	}
	p.add(modelcheck.Step{AtMs: at, Kind: kindHandIn, Node: number, Peer: random.IntN(gateCount), Value: random.IntN(len(shapes))})
	if random.IntN(100) < cancelPercent {
		p.add(modelcheck.Step{AtMs: at + between(random, 20, 9000), Kind: kindCancel, Node: number, Peer: random.IntN(gateCount)})
	}
	if random.IntN(100) < cancelPercent {
		p.add(modelcheck.Step{AtMs: at + between(random, 1, 1500), Kind: kindHandInAgain, Node: number, Peer: random.IntN(gateCount)})
	}
}

func (p *plan) addFault() {
	random, one, spread := p.random, drawFault(p.random, p.theme), 3000
	if p.isFocused {
		spread = 800
	}
	step := modelcheck.Step{AtMs: max(firstStepMs, p.centre+between(random, -spread, spread)), Kind: one.kind, Node: random.IntN(p.Nodes),
		ForMs: between(random, one.least, one.most), Value: random.IntN(one.mostValue + 1)}
	if one.isOfExecutors {
		step.Node = p.machine
		if random.IntN(4) == 0 {
			step.Node = random.IntN(executorCount)
		}
	}
	p.add(step)
}

// shapes are the kinds of jobs that clients hand in.
var shapes = []func(*jobs.Spec){
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 3, CPU: 1000, Memory: 100, EstimatedMs: 500}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 1, CPU: 3000, Memory: 100, EstimatedMs: 500}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 8, CPU: 1500, Memory: 100, EstimatedMs: 400}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 2, CPU: 500, EstimatedMs: 300}, {Tasks: 2, CPU: 1000, EstimatedMs: 300, DependsOn: []int{0}}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 3, CPU: 1500, EstimatedMs: 400, Gang: true, Checkpointing: true}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 2, CPU: 1000, EstimatedMs: 300, Redundant: true}, {Tasks: 1, CPU: 500, EstimatedMs: 100, DependsOn: []int{0}}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 2, CPU: 1000, EstimatedMs: 1500, Checkpointing: true}}
	},
	func(spec *jobs.Spec) { spec.Steps = []jobs.Step{{Tasks: 2, CPU: 500, Lasting: true}} },
	func(spec *jobs.Spec) { spec.Steps = []jobs.Step{{Tasks: 3, CPU: 1000, EstimatedMs: longMs}} },
	func(spec *jobs.Spec) { spec.Steps = []jobs.Step{{Tasks: 3, CPU: 500, EstimatedMs: 800, Apart: 1}} },
	func(spec *jobs.Spec) { spec.Steps = []jobs.Step{{Tasks: 1, CPU: 500, EstimatedMs: hopelessMs}} },
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 2, CPU: 500, EstimatedMs: 800, Labels: jobs.Words{rackOf(1)}}}
	},
	func(spec *jobs.Spec) {
		spec.Steps = []jobs.Step{{Tasks: 1, CPU: 500, EstimatedMs: 200}}
		spec.RepeatCount, spec.PeriodMs = 3, 1200
	},
}

// rackOf is the label of a machine's rack.
func rackOf(machine int) string { return fmt.Sprintf("rack-%d", machine) }

// makeJob gives job number of a schedule its shape; a timed one is due a little after it was handed in.
func makeJob(number, shape, atMs int) *job {
	spec := &jobs.Spec{Descriptor: fmt.Sprintf("descriptor-%d", number)}
	shapes[shape%len(shapes)](spec)
	if spec.RepeatCount > 0 {
		spec.FirstRunMs = beginWallMs + int64(atMs) + 800
	}
	return &job{id: fmt.Sprintf("%016x", number+1), spec: spec, maxAttempts: 4, priority: number % 2}
}

// play carries out one step.
func (w *world) play(step modelcheck.Step) {
	w.count("step_" + step.Kind)
	w.note("step %s of %d for %d ms, value %d", step.Kind, step.Node, step.ForMs, step.Value)
	if w.playJob(step) {
		return
	}
	w.trouble(step.ForMs)
	length := pulse.Ms(int64(step.ForMs))
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
		w.cut(&w.gates[step.Node%gateCount].process, step.Value, length)
	case kindPartition:
		w.partition(step, length)
	case kindHandOver:
		w.key.handOver()
	case kindSlowSync:
		w.slowSync = pulse.Ms(int64(step.Value))
		w.queue.after(length, func() { w.slowSync = 0 })
	case kindLosePower:
		w.losePower(step.Value, length)
	default:
		w.playNode(step, length)
	}
}

func (w *world) playJob(step modelcheck.Step) bool {
	id := fmt.Sprintf("%016x", step.Node+1)
	one := w.oracles.jobs[id]
	switch step.Kind {
	case kindHandIn:
		if one == nil {
			one = makeJob(step.Node, step.Value, step.AtMs)
			one.isHandedIn = true
			w.oracles.jobs[id] = one
			w.handIn(one, step.Peer, 0)
		}
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
	one, machine := w.stewards[step.Node%len(w.stewards)], w.executors[step.Node%executorCount]
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
		machine.proxy.kill()
		w.queue.after(length, func() {
			if !machine.proxy.isUp {
				machine.proxy.start()
			}
		})
	case kindFreezeProxy:
		w.freeze(&machine.proxy.process, length)
	case kindCutProxy:
		w.cut(&machine.proxy.process, step.Value, length)
	default:
		w.playExecutor(step, machine, length)
	}
}

func (w *world) playExecutor(step modelcheck.Step, one *executor, length time.Duration) {
	kind := step.Kind
	flags := map[string]*bool{kindLateExecutor: &one.isLate, kindMuteExecutor: &one.isMute, kindBusyExecutor: &one.isBusy,
		kindRefuseExecutor: &one.isRefusing, kindStuckExecutor: &one.isStuck, kindLateBeats: &one.isBeatLate}
	switch flag := flags[kind]; {
	case flag != nil:
		*flag = true
		w.queue.after(length, func() { *flag = false })
	case kind == kindDrainExecutor && step.Value == drainUnannounced:
		one.leaveUnannounced(length)
	case kind == kindDrainExecutor:
		one.drain()
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
		w.queue.after(length, func() {
			if !one.isUp {
				one.start()
			}
		})
	}
}

// trouble notes that something is wrong from now on for a while.
func (w *world) trouble(forMs int) {
	until := w.queue.now() + pulse.Ms(int64(forMs))
	w.troubledAt = max(w.troubledAt, until)
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
	for number := range executorCount + gateCount {
		switch {
		case step.Value>>number&1 == 0:
		case number < executorCount:
			apart = append(apart, &w.proxies[number].process)
		default:
			apart = append(apart, &w.gates[number-executorCount].process)
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
		w.queue.after(pulse.Ms(int64(withinMs)), func() {
			w.count("power_lost")
			w.trouble(int(length / time.Millisecond))
			for _, one := range w.stewards {
				w.killSteward(one, length)
			}
		})
	}
}
