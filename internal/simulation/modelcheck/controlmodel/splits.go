package controlmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepSplit cuts half of the machines off from the other half, while operators reach both. Node and Value are the seed of the random choice
// of the half. With Peer 1 connections are refused, else messages are lost or delayed until the end of the split.
const stepSplit = "split"

const (
	splitStream = 53
	// splitsPerTen of ten schedules have splits, up to maxSplits each. In half of them an isolated split follows once all faults are over.
	splitsPerTen = 3
	maxSplits    = 3
	// A split lasts from minSplitMs to maxSplitMs. maxSplitPauseMs is the longest pause between two splits.
	minSplitMs      = 300
	maxSplitMs      = 7000
	maxSplitPauseMs = 3000
	// isolatedSplitMs is the length of an isolated split, one without other faults. It is long enough for the larger half to elect a leader
	// and to be checked after electionTimeout.
	isolatedSplitMs = 7000
	// meanSplitPauseMs is the mean time between two calls of operators during an isolated split.
	meanSplitPauseMs = 300
	// electionTimeout is the time from the start of a split until the half with a quorum must serve, if there is no other fault.
	electionTimeout = 5 * time.Second
)

// addSplits draws splits for some schedules. It has a random stream of its own, so that it does not change what else a seed draws.
func (d *drawing) addSplits(seed uint64) {
	random := rand.New(rand.NewPCG(seed, splitStream))
	if random.IntN(10) >= splitsPerTen {
		return
	}
	at := d.firstFaultMs() + random.IntN(max(1, d.endMs-d.firstFaultMs()))
	for range 1 + random.IntN(maxSplits) {
		length := minSplitMs + random.IntN(maxSplitMs-minSplitMs)
		d.addSplit(random, at, length)
		at += length + random.IntN(maxSplitPauseMs)
	}
	if random.IntN(2) == 0 {
		d.addIsolatedSplit(random, d.faultsOverMs()+catchUpMs)
	}
}

// addSplit adds a split. Machines that are lost during it or shortly before it count as lost until catchUpMs after it, since they may not
// catch up earlier. If that makes too many machines lost at the same time, the split is left out.
func (d *drawing) addSplit(random *rand.Rand, at, length int) {
	end := at + length + catchUpMs
	extended := slices.Clone(d.lossIntervals)
	for index, loss := range extended {
		if loss.from < end && at < loss.to {
			extended[index].to = max(loss.to, end)
		}
	}
	if !staysWithin(extended, d.losses) {
		return
	}
	d.lossIntervals = extended
	d.add(modelcheck.Step{AtMs: at, Kind: stepSplit, Node: random.IntN(d.nodes), Value: random.IntN(1 << 16), Peer: random.IntN(2), ForMs: length})
}

// faultsOverMs returns when all steps drawn so far are over and no machine counts as lost any more.
func (d *drawing) faultsOverMs() int {
	end := max(d.endMs, d.lastLostUntil())
	for _, step := range d.steps {
		end = max(end, step.AtMs+step.ForMs)
	}
	return end
}

// staysWithin reports whether at no time more than losses machines count as lost.
func staysWithin(lost []lossInterval, losses int) bool {
	for _, loss := range lost {
		count := 0
		for _, other := range lost {
			if other.from <= loss.from && loss.from < other.to {
				count++
			}
		}
		if count > losses {
			return false
		}
	}
	return true
}

// addIsolatedSplit adds a split without other faults, during which operators call machines of both halves.
func (d *drawing) addIsolatedSplit(random *rand.Rand, at int) {
	d.add(modelcheck.Step{AtMs: at, Kind: stepSplit, Node: random.IntN(d.nodes), Value: random.IntN(1 << 16), Peer: random.IntN(2), ForMs: isolatedSplitMs})
	for call := at - meanSplitPauseMs; call < at+isolatedSplitMs; call += 1 + random.IntN(2*meanSplitPauseMs) {
		step := modelcheck.Step{AtMs: call, Kind: stepRead, Node: random.IntN(d.nodes)}
		if random.IntN(2) == 0 {
			step.Kind, step.Peer = stepRace, random.IntN(d.nodes)
		}
		d.add(step)
	}
}

// drawHalf draws half of the machines, as a set of node indices.
func (sim *simCluster) drawHalf(step modelcheck.Step) map[int]bool {
	order := rand.New(rand.NewPCG(uint64(step.Value), uint64(step.Node))).Perm(len(sim.slots))
	half := map[int]bool{}
	for _, position := range order[:len(order)/2] {
		half[sim.slots[position].index] = true
	}
	return half
}

// split cuts the two halves off from each other. Machines that are added later reach both halves. If the split is long enough and no other
// fault is under way, it is checked after electionTimeout.
func (sim *simCluster) split(step modelcheck.Step, length time.Duration) {
	half, newCut := sim.drawHalf(step), cut{cutSilent, sim.now + length}
	if step.Peer == 1 {
		newCut.kind = cutRefused
	}
	for _, from := range sim.slots {
		for _, to := range sim.slots {
			link := direction{from.index, to.index}
			if half[from.index] != half[to.index] && sim.cuts[link].until < newCut.until {
				sim.cuts[link] = newCut
			}
		}
	}
	if length < electionTimeout || sim.faultyUntil > sim.now {
		return
	}
	sim.countCoverage("split with nothing else wrong")
	startedAt := sim.now
	sim.after(electionTimeout, func() { sim.checkSplit(half, startedAt) })
}

// checkSplit is an oracle: without other faults since the split began, the half with a quorum of the voters, if there is one, has a leader,
// and its machines serve reads.
func (sim *simCluster) checkSplit(half map[int]bool, startedAt time.Duration) {
	if sim.otherFaultAt > startedAt {
		return
	}
	for _, isFirstHalf := range []bool{true, false} {
		members := slices.DeleteFunc(slices.Clone(sim.slots), func(node *simNode) bool { return half[node.index] != isFirstHalf })
		if !sim.haveQuorum(members) {
			continue
		}
		if leader := sim.leader(); leader == nil || half[leader.index] != isFirstHalf {
			sim.reportViolation("larger half leads", "no machine of the half with a quorum holds a lease %v after the split", electionTimeout)
			return
		}
		for _, node := range members {
			sim.readDuringSplit(slices.Index(sim.slots, node))
		}
	}
}

// readDuringSplit is an oracle: a machine in the leader's half answers a read, if any change was confirmed.
func (sim *simCluster) readDuringSplit(via int) {
	sim.readConfiguration(via, func(isRead bool) {
		if !isRead && sim.oracleState.highestConfirmed > 0 {
			sim.reportViolation("larger half leads", "machine %d of the half with a leader does not answer a read", via)
		}
	})
}

// haveQuorum reports whether these machines have a quorum of the voters according to the newest replica of the whole system.
func (sim *simCluster) haveQuorum(members []*simNode) bool {
	var newest *simNode
	for _, node := range sim.slots {
		if newest == nil || lastPositionOf(newest.disk).Below(lastPositionOf(node.disk)) {
			newest = node
		}
	}
	set := newest.disk.model.Heads[sim.service.key()].Voters
	return quorum.Reached(set, func(disk string) bool {
		return slices.ContainsFunc(members, func(node *simNode) bool { return node.isUp && node.disk.name == disk })
	})
}

// recordFault records how long the system counts as faulty because of a step. Calls and large pairs are no faults.
func (sim *simCluster) recordFault(step modelcheck.Step) {
	switch step.Kind {
	case stepOrder, stepRace, stepResend, stepBurst, stepStorm, stepRead, stepCallers, stepEvacuate, stepBulk:
		return
	}
	sim.faultyUntil = max(sim.faultyUntil, sim.now+clock.Milliseconds(int64(step.ForMs+catchUpMs)))
	if step.Kind != stepSplit {
		sim.otherFaultAt = sim.now
	}
}
