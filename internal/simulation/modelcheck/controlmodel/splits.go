package controlmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepSplit cuts half of the machines off from the other half, while operators reach both. Node and Value draw the half; Peer is 1 where
// connections are refused and not silent.
const stepSplit = "split"

const (
	splitStream = 53
	// splitsOfTen schedules in ten have splits, each up to maxSplits in a row; in half of them a last one comes once all other faults are over.
	splitsPerTen = 3
	maxSplits    = 3
	// A split lasts from minSplitMs to maxSplitMs; maxSplitPauseMs is the longest pause between two in a row.
	minSplitMs      = 300
	maxSplitMs      = 7000
	maxSplitPauseMs = 3000
	// calmSplitMs is how long the last split lasts, so that its larger half has the time to elect a leader.
	isolatedSplitMs = 7000
	// splitTrafficMs is the mean time between two calls of operators during the last split.
	meanSplitPauseMs = 300
	// electionLimit is within how long the half with a quorum must serve, if nothing else is wrong.
	electionTimeout = 5 * time.Second
)

// addSplits draws splits for some schedules from a stream of its own, so that all else of a schedule is as it was.
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

// addSplit adds a split, unless what is lost then could not catch up before more is lost: machines lost during a split, or shortly before
// it, count as lost until some time after it.
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

// allOverMs is when all that was drawn so far is over, and no machine counts as lost any more.
func (d *drawing) faultsOverMs() int {
	end := max(d.endMs, d.lastLostUntil())
	for _, step := range d.steps {
		end = max(end, step.AtMs+step.ForMs)
	}
	return end
}

// isWithin tells whether never more are lost at once than the losses to be borne.
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

// addCalmSplit adds a split with nothing else wrong, during which operators call machines of both halves.
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

// halfOf draws half of the machines, by index.
func (w *simCluster) drawHalf(step modelcheck.Step) map[int]bool {
	order := rand.New(rand.NewPCG(uint64(step.Value), uint64(step.Node))).Perm(len(w.slots))
	half := map[int]bool{}
	for _, position := range order[:len(order)/2] {
		half[w.slots[position].index] = true
	}
	return half
}

// split cuts the two halves off from each other. Machines that are added later reach both.
func (w *simCluster) split(step modelcheck.Step, length time.Duration) {
	half, newCut := w.drawHalf(step), cut{cutSilent, w.now + length}
	if step.Peer == 1 {
		newCut.kind = cutRefused
	}
	for _, from := range w.slots {
		for _, to := range w.slots {
			link := pair{from.index, to.index}
			if half[from.index] != half[to.index] && w.links[link].until < newCut.until {
				w.links[link] = newCut
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

// checkSplit is an oracle: with nothing else wrong, the half that holds a quorum of the voters has a leader, and its machines serve reads.
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

// readDuringSplit reads through a machine of the half that has a leader.
func (w *simCluster) readDuringSplit(via int) {
	w.readConfiguration(via, func(isRead bool) {
		if !isRead && w.oracleState.highestConfirmed > 0 {
			w.reportViolation("larger half leads", "machine %d of the half with a leader does not answer a read", via)
		}
	})
}

// haveQuorum tells whether these machines hold a quorum of the voters that the newest replica among all knows.
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

// noteFault takes down that something other than a split is wrong from now on until some time after the step.
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
