package ordermodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/simulation/modelcheck"
)

// The traffic and the faults of a large schedule: durations in milliseconds, rates in jobs per second, counts of jobs, streams,
// waves and faults, and probabilities in percent.
const (
	minTrafficMs, maxTrafficMs = 4000, 9000
	minUrgentPerS              = 4
	maxUrgentPerS              = 30
	maxPlainPerS               = 5
	maxLongStreams             = 4
	maxBurst                   = 60
	maxNarrow                  = 1500
	jobNumbersPerStream        = 10000
	minWaves, maxWaves         = 1, 4
	maxCoreFaults              = 3
	percentBurst               = 50
	percentNarrow              = 20
	percentGiveUp              = 15
	maxGiveUpPercent           = 25
	maxGiveUpMs                = 5000
)

// wave is a fault that affects many machines at once, or one after another with gaps of up to maxGapMs. It affects at most
// maxPercent of the machines, but at least one.
type wave struct {
	kind         string
	minMs, maxMs int
	maxPercent   int
	maxGapMs     int
	maxValue     int
}

// waves are the machine faults of large schedules.
var waves = []wave{
	{kind: kindCutProxy, minMs: 1000, maxMs: 6000, maxPercent: 18, maxValue: 2},
	{kind: kindCutProxy, minMs: 4000, maxMs: 5500, maxPercent: 18},
	{kind: kindKillProxy, minMs: 100, maxMs: 1500, maxPercent: 30, maxGapMs: 150},
	{kind: kindKillProxy, minMs: 100, maxMs: 1500, maxPercent: 100},
	{kind: kindFreezeProxy, minMs: 500, maxMs: 4000, maxPercent: 12},
	{kind: kindCrashExecutor, minMs: 500, maxMs: 5000, maxPercent: 14, maxValue: staysAway},
	{kind: kindCrashExecutor, minMs: 500, maxMs: 3000, maxPercent: 100},
	{kind: kindFreezeExecutor, minMs: 500, maxMs: 4000, maxPercent: 12},
	{kind: kindLoseAnswers, minMs: 1000, maxMs: 5500, maxPercent: 45},
	{kind: kindLateExecutor, minMs: 1000, maxMs: 5500, maxPercent: 20},
	{kind: kindBusyExecutor, minMs: 500, maxMs: 4000, maxPercent: 30},
	{kind: kindRefuseExecutor, minMs: 500, maxMs: 4000, maxPercent: 15},
	{kind: kindSlowExecutor, minMs: 3000, maxMs: 7000, maxPercent: 18},
	{kind: kindStuckExecutor, minMs: 300, maxMs: 2000, maxPercent: 8},
	{kind: kindLateHeartbeats, minMs: 1000, maxMs: 5000, maxPercent: 50},
	{kind: kindDrainExecutor, minMs: 1, maxMs: 1, maxPercent: 8, maxGapMs: 100},
	{kind: kindDeregister, minMs: 1, maxMs: 1, maxPercent: 8, maxGapMs: 100},
}

// coreFaults are the faults of stewards, gates and the network in large schedules.
var coreFaults = []scheduledFault{
	{kind: kindKillSteward, weight: 3, minMs: 100, maxMs: 4000},
	{kind: kindFreezeSteward, weight: 2, minMs: 200, maxMs: 5000},
	{kind: kindCutSteward, weight: 3, minMs: 500, maxMs: 7000, maxValue: 2},
	{kind: kindPartition, weight: 2, minMs: 500, maxMs: 6000, maxValue: 1<<16 - 1},
	{kind: kindTransferLeadership, weight: 4, minMs: 1, maxMs: 1},
	{kind: kindSlowSync, weight: 2, minMs: 200, maxMs: 3500, maxValue: 400},
	{kind: kindLosePower, weight: 3, minMs: 100, maxMs: 1500, maxValue: 5},
	{kind: kindClockJump, weight: 1, minMs: 500, maxMs: 6000, maxValue: 4000},
	{kind: kindCutGate, weight: 1, minMs: 200, maxMs: 4000, maxValue: 2},
	{kind: kindLoseMessages, weight: 1, minMs: 300, maxMs: 3000, maxValue: 20},
	{kind: kindDoubleMessages, weight: 1, minMs: 300, maxMs: 3000, maxValue: 20},
	{kind: kindDelayMessages, weight: 1, minMs: 300, maxMs: 3000, maxValue: 2000},
}

// drawLarge draws the schedule of a seed for the large profile: streams of jobs, waves of machine faults, and some core faults.
func drawLarge(seed uint64, losses int) modelcheck.Schedule {
	random := rand.New(rand.NewPCG(seed, drawStream))
	schedule := modelcheck.Schedule{Model: modelName, Seed: seed, Losses: losses, Nodes: quorum.VotersFor(losses), Size: modelcheck.SizeLarge}
	plan := largePlan{Schedule: &schedule, random: random, trafficMs: between(random, minTrafficMs, maxTrafficMs)}
	plan.addTraffic()
	for range between(random, minWaves, maxWaves) {
		plan.addWave()
	}
	for range between(random, 0, maxCoreFaults) {
		plan.addCoreFault()
	}
	slices.SortStableFunc(schedule.Steps, func(a, b modelcheck.Step) int { return a.AtMs - b.AtMs })
	return schedule
}

// largePlan is a large schedule that is being drawn.
type largePlan struct {
	*modelcheck.Schedule
	random    *rand.Rand
	trafficMs int
	streams   int
}

func (p *largePlan) chance(percent int) bool { return p.random.IntN(100) < percent }

// drawTime draws a time within the traffic, in milliseconds.
func (p *largePlan) drawTime() int { return firstStepMs + p.random.IntN(p.trafficMs) }

// addStream adds a stream that submits count jobs of a shape within forMs; it adds none for a count of 0.
func (p *largePlan) addStream(atMs, forMs, shape, count int) {
	if count > 0 {
		p.Steps = append(p.Steps, modelcheck.Step{AtMs: atMs, Kind: kindStream, Node: p.streams * jobNumbersPerStream, Peer: count, ForMs: forMs, Value: shape})
		p.streams++
	}
}

// addTraffic draws the streams of jobs of a large system.
func (p *largePlan) addTraffic() {
	urgent, plain := between(p.random, minUrgentPerS, maxUrgentPerS), p.random.IntN(maxPlainPerS+1)
	for _, shape := range []int{shapeWide, shapeWideChain} {
		p.addStream(firstStepMs, p.trafficMs, shape, urgent*p.trafficMs/2000)
	}
	for _, shape := range []int{shapePlain, shapePlainNear} {
		p.addStream(firstStepMs, p.trafficMs, shape, plain*p.trafficMs/2000)
	}
	for range p.random.IntN(maxLongStreams + 1) {
		p.addStream(p.drawTime(), between(p.random, 1, 2000), between(p.random, shapeLong, shapeGang), between(p.random, 1, 3))
	}
	p.addStream(p.drawTime(), between(p.random, 1, 2000), between(p.random, shapePlainApart, shapeRepeated), between(p.random, 1, 4))
	if p.chance(percentBurst) {
		p.addStream(p.drawTime(), between(p.random, 1, 1500), between(p.random, shapeWide, shapePlain), between(p.random, 1, maxBurst))
	}
	if p.chance(percentNarrow) {
		p.addStream(p.drawTime(), between(p.random, 1000, 5000), shapeNarrow, between(p.random, 100, maxNarrow))
	}
	if p.chance(percentGiveUp) {
		p.Steps = append(p.Steps, modelcheck.Step{AtMs: p.drawTime(), Kind: kindGiveUp, ForMs: p.random.IntN(maxGiveUpMs), Value: 1 + p.random.IntN(maxGiveUpPercent)})
	}
}

// addWave draws a wave of faults. It affects neighbouring machines, or machines that are drawn one by one.
func (p *largePlan) addWave() {
	wave := waves[p.random.IntN(len(waves))]
	count := max(1, largeProfile.executors*between(p.random, 1, wave.maxPercent)/100)
	at, length, gap := p.drawTime(), between(p.random, wave.minMs, wave.maxMs), p.random.IntN(wave.maxGapMs+1)
	value, areNeighbours, first := p.random.IntN(wave.maxValue+1), p.chance(50), p.random.IntN(largeProfile.executors)
	for number := range count {
		machine := (first + number) % largeProfile.executors
		if !areNeighbours {
			machine = p.random.IntN(largeProfile.executors)
		}
		p.Steps = append(p.Steps, modelcheck.Step{AtMs: at + number*gap, Kind: wave.kind, Node: machine, ForMs: length, Value: value})
	}
}

// addCoreFault draws a fault of a steward, a gate or the network.
func (p *largePlan) addCoreFault() {
	fault := drawWeighted(p.random, coreFaults)
	p.Steps = append(p.Steps, modelcheck.Step{AtMs: p.drawTime(), Kind: fault.kind, Node: p.random.IntN(p.Nodes),
		ForMs: between(p.random, fault.minMs, fault.maxMs), Value: p.random.IntN(fault.maxValue + 1)})
}
