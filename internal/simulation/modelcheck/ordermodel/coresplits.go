package ordermodel

import (
	"math/rand/v2"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	// kindSplitCore separates a minority of the stewards, nearly half, from the others. All other processes reach both sides.
	kindSplitCore = "split-core"
	// kindEndOfDay cuts the power of all processes but the executors soon after a commit. Some disks count as lost; see endDay.
	kindEndOfDay = "end-of-day"
)

const (
	coreSplitStream = 53
	endOfDayStream  = 59
	// coreSplitsPerTen of ten schedules have splits of the core, and endsOfDayPerTen of ten have an end of the day.
	coreSplitsPerTen = 3
	endsOfDayPerTen  = 3
	// maxCoreSplits is the highest number of splits in a schedule.
	maxCoreSplits = 3
	// The shortest and the longest split, and the longest pause between two, in milliseconds.
	minCoreSplitMs, maxCoreSplitMs = 300, 7000
	maxCoreSplitPauseMs            = 2000
	// The power is cut up to maxAfterCommitMs after a commit, and the processes start again minDarkMs to maxDarkMs later. Within
	// lastJobMs before the step, jobsAtEnd jobs are submitted, with numbers from firstJobNumberAtEnd on.
	maxAfterCommitMs               = 5
	lastJobMs                      = 300
	minDarkMs, maxDarkMs           = 250, 1750
	firstJobNumberAtEnd, jobsAtEnd = 90, 3
)

// addCoreSplits adds one or more splits of the core to some schedules. It draws from a random stream of its own, so that the rest
// of a schedule doesn't depend on it.
func (p *plan) addCoreSplits(seed uint64) {
	random := rand.New(rand.NewPCG(seed, coreSplitStream))
	if random.IntN(10) >= coreSplitsPerTen {
		return
	}
	at := between(random, firstStepMs, lastStepMs)
	for range between(random, 1, maxCoreSplits) {
		length := between(random, minCoreSplitMs, maxCoreSplitMs)
		p.add(modelcheck.Step{AtMs: at, Kind: kindSplitCore, Node: random.IntN(p.Nodes), ForMs: length})
		at += length + random.IntN(maxCoreSplitPauseMs)
	}
}

// addEndOfDay adds an end of the day to some schedules, and submits some more jobs shortly before. It draws from a random stream
// of its own.
func (p *plan) addEndOfDay(seed uint64) {
	random := rand.New(rand.NewPCG(seed, endOfDayStream))
	if random.IntN(10) >= endsOfDayPerTen {
		return
	}
	at := between(random, firstStepMs, lastStepMs)
	for index := range jobsAtEnd {
		p.add(modelcheck.Step{AtMs: at - random.IntN(lastJobMs), Kind: kindSubmit, Node: firstJobNumberAtEnd + index, Peer: random.IntN(smallProfile.gates),
			Value: random.IntN(len(smallShapes))})
	}
	p.add(modelcheck.Step{AtMs: at, Kind: kindEndOfDay, ForMs: between(random, minDarkMs, maxDarkMs), Value: random.IntN(maxAfterCommitMs + 1)})
}

// splitCore separates a minority of the stewards from the others for a while.
func (c *simCluster) splitCore(step modelcheck.Step, length time.Duration) {
	count := len(c.stewards)
	for number, steward := range c.stewards {
		if (number+step.Node)%count < count/2 {
			steward.coreSide = 1
		} else {
			steward.coreSide = 0
		}
	}
	c.coreSplits++
	split := c.coreSplits
	c.queue.after(length, func() {
		if c.coreSplits != split {
			return
		}
		for _, steward := range c.stewards {
			steward.coreSide = 0
		}
	})
}

// endDay cuts the power of all stewards, gates and proxies, as many milliseconds after the next acknowledged commit as the step's
// Value says, and starts them again after length. Some disks count as lost with the power, but never more than the schedule's
// losses, so that all that was committed is kept.
func (c *simCluster) endDay(step modelcheck.Step, length time.Duration) {
	c.onCommit = func() {
		c.queue.after(clock.Milliseconds(int64(step.Value)), func() {
			c.count("end_of_day")
			c.recordFault(int(length / time.Millisecond))
			c.recordCoreFault(length)
			c.key.losePower()
			for _, steward := range c.stewards {
				c.killSteward(steward, length)
			}
			for _, gate := range c.gates {
				c.restart(&gate.modelProcess, gate.start, length)
			}
			for _, proxy := range c.proxies {
				proxy.executor.recordMachineFault(length)
				c.restart(&proxy.modelProcess, proxy.start, length)
			}
		})
	}
}

// restart kills a process and starts it again after a while.
func (c *simCluster) restart(process *modelProcess, start func(), length time.Duration) {
	process.kill()
	c.queue.after(length, func() {
		if !process.isUp {
			start()
		}
	})
}

// losePower changes nothing, as all that was committed is kept. With faultCommitOnLostDisks it undoes the newest commit, which was
// only on disks that are lost.
func (k *replicatedKey) losePower() {
	if k.cluster.fault.name == faultCommitOnLostDisks && k.pairsBeforeLastCommit != nil {
		k.pairs = k.pairsBeforeLastCommit
	}
}
