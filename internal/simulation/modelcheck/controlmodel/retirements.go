package controlmodel

import (
	"math/rand/v2"
	"slices"

	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// stepRetire orders the first Value voters of the key to be emptied, while their processes run on. Two orders are ForMs apart; with 0 they come
// at the same moment.
const stepRetire = "retire"

const (
	retireStream = 59
	// retirementsPerTen of ten schedules have such orders. In half of them the orders are for all voters.
	retirementsPerTen = 3
	// maxOrderPauseMs is the longest pause between two orders.
	maxOrderPauseMs = 400
)

// addRetirements draws orders to empty machines for some schedules. It has a random stream of its own, so that it does not change what else a
// seed draws.
func (d *drawing) addRetirements(seed uint64) {
	random := rand.New(rand.NewPCG(seed, retireStream))
	if random.IntN(10) >= retirementsPerTen {
		return
	}
	step := modelcheck.Step{AtMs: d.firstFaultMs() + random.IntN(max(1, d.endMs-d.firstFaultMs())), Kind: stepRetire, Value: 2*d.losses + 1}
	if random.IntN(2) == 0 {
		step.Value = 1 + random.IntN(step.Value)
	}
	if random.IntN(2) == 0 {
		step.ForMs = random.IntN(maxOrderPauseMs)
	}
	d.add(step)
}

// retireVoters orders voters to be emptied, as a step says. Without a leader, the first machines get the orders.
func (sim *simCluster) retireVoters(step modelcheck.Step) {
	for index, node := range sim.voterNodes()[:min(step.Value, len(sim.voterNodes()))] {
		sim.after(clock.Milliseconds(int64(step.ForMs*index)), node.orderRetirement)
	}
}

// voterNodes returns the machines in slots, with those that are voters according to the leader first.
func (sim *simCluster) voterNodes() []*simNode {
	leader := sim.leader()
	if leader == nil {
		return sim.slots
	}
	voters := leader.disk.model.Heads[sim.service.key()].Voters.Current
	isOther := func(node *simNode) int {
		if slices.Contains(voters, node.disk.name) {
			return 0
		}
		return 1
	}
	return slices.SortedStableFunc(slices.Values(sim.slots), func(a, b *simNode) int { return isOther(a) - isOther(b) })
}

// orderRetirement starts to empty the machine, unless its process doesn't run or too few machines would remain. The order is on the machine's
// disk, and outlives the process.
func (n *simNode) orderRetirement() {
	if !n.isUp || n.isFrozen || n.cluster.countRemaining(n) < quorum.VotersFor(n.cluster.schedule.Losses) {
		return
	}
	n.cluster.countCoverage("machine emptied")
	n.disk.isRetiring = true
	n.retire()
}

// retire makes the process leave its keys to others. With the injected fault retiresAsLeaving it does so as a process that ends.
func (n *simNode) retire() {
	n.enter(n.incarnation, func() {
		n.replicas.Leave()
		if n.cluster.fault.retiresAsLeaving {
			n.engine.Leave()
			return
		}
		n.engine.Retire()
	})
}

// countRemaining returns the number of machines that run and aren't being emptied, without one of them, which may be nil.
func (sim *simCluster) countRemaining(without *simNode) (count int) {
	for _, node := range sim.slots {
		if node != without && node.isUp && !node.disk.isRetiring {
			count++
		}
	}
	return count
}

// hasRetiringVoter reports whether one of the voters is a machine that is being emptied, though enough others could replace it.
func (sim *simCluster) hasRetiringVoter(voters []string) bool {
	return sim.countRemaining(nil) >= quorum.VotersFor(sim.schedule.Losses) && slices.ContainsFunc(sim.slots, func(node *simNode) bool {
		return node.disk.isRetiring && slices.Contains(voters, node.disk.name)
	})
}
