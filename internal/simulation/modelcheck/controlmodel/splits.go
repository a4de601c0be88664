package controlmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepSplit cuts half of the machines off from the other half, while operators reach both. Node and Value seed the choice of the half.
// With Peer 1 connections are refused, else messages are lost or delayed until the end of the split.
const stepSplit = "split"

const (
	splitStream = 53
	// splitsPerTen of ten schedules have splits, each up to maxSplits. In half of them another split follows once all other faults are over.
	splitsPerTen = 3
	maxSplits    = 3
	// A split lasts from minSplitMs to maxSplitMs. maxSplitPauseMs is the longest pause between two splits.
	minSplitMs      = 300
	maxSplitMs      = 7000
	maxSplitPauseMs = 3000
	// isolatedSplitMs is the length of the split without other faults, long enough for the larger half to elect a leader.
	isolatedSplitMs = 7000
	// meanSplitPauseMs is the mean time between two calls of operators during that split.
	meanSplitPauseMs = 300
	// electionTimeout is the longest time until the half with a quorum must serve, if there is no other fault.
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
func (w *simCluster) drawHalf(step modelcheck.Step) map[int]bool {
	order := rand.New(rand.NewPCG(uint64(step.Value), uint64(step.Node))).Perm(len(w.slots))
	half := map[int]bool{}
	for _, position := range order[:len(order)/2] {
		half[w.slots[position].index] = true
	}
	return half
}

// split cuts the two halves off from each other. Machines that are added later reach both halves.
func (w *simCluster) split(step modelcheck.Step, length time.Duration) {
	half, newCut := w.drawHalf(step), cut{cutSilent, w.now + length}
	if step.Peer == 1 {
		newCut.kind = cutRefused
	}
	for _, from := range w.slots {
		for _, to := range w.slots {
			link := pair{from.index, to.index}
			if half[from.index] != half[to.index] && w.cuts[link].until < newCut.until {
				w.cuts[link] = newCut
			}
		}
	}
	if length < electionTimeout || w.faultyUntil > w.now {
		return
	}
	w.countCoverage("split with nothing else wrong")
	startedAt := w.now
	w.after(electionTimeout, func() { w.checkSplit(half, startedAt) })
}

// checkSplit is an oracle: without other faults, the half with a quorum of the voters has a leader, and its machines serve reads.
func (w *simCluster) checkSplit(half map[int]bool, startedAt time.Duration) {
	if w.otherFaultAt > startedAt {
		return
	}
	for _, isFirstHalf := range []bool{true, false} {
		members := slices.DeleteFunc(slices.Clone(w.slots), func(node *simNode) bool { return half[node.index] != isFirstHalf })
		if !w.haveQuorum(members) {
			continue
		}
		if leader := w.leader(); leader == nil || half[leader.index] != isFirstHalf {
			w.reportViolation("larger half leads", "no machine of the half with a quorum holds a lease %v after the split", electionTimeout)
			return
		}
		for _, node := range members {
			w.readDuringSplit(slices.Index(w.slots, node))
		}
	}
}

// readDuringSplit is an oracle: a machine in the leader's half answers a read, if any change was confirmed.
func (w *simCluster) readDuringSplit(via int) {
	w.readConfiguration(via, func(isRead bool) {
		if !isRead && w.oracleState.highestConfirmed > 0 {
			w.reportViolation("larger half leads", "machine %d of the half with a leader does not answer a read", via)
		}
	})
}

// haveQuorum reports whether these machines have a quorum of the voters according to the newest replica of the whole system.
func (w *simCluster) haveQuorum(members []*simNode) bool {
	var newest *simNode
	for _, node := range w.slots {
		if newest == nil || lastPositionOf(newest.disk).Below(lastPositionOf(node.disk)) {
			newest = node
		}
	}
	set := newest.disk.model.Heads[w.service.key()].Voters
	return quorum.Reached(set, func(disk string) bool {
		return slices.ContainsFunc(members, func(node *simNode) bool { return node.isUp && node.disk.name == disk })
	})
}

// recordFault records how long the system counts as faulty because of a step. Steps of callers are no faults.
func (w *simCluster) recordFault(step modelcheck.Step) {
	switch step.Kind {
	case stepOrder, stepRace, stepResend, stepBurst, stepStorm, stepRead, stepCallers, stepEvacuate, stepBulk:
		return
	}
	w.faultyUntil = max(w.faultyUntil, w.now+clock.Milliseconds(int64(step.ForMs+catchUpMs)))
	if step.Kind != stepSplit {
		w.otherFaultAt = w.now
	}
}
