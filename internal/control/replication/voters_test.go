package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// newGrownCluster returns a simulated cluster of six stewards whose voters have grown from a, b and c to five.
func newGrownCluster(seed uint64) *testCluster {
	c := newTestClusterTolerating(2, seed, "a", "b", "c", "d", "e", "f")
	c.run(3 * time.Second)
	Expect(c.voters()).To(HaveLen(5))
	return c
}

func (c *testCluster) voters() []string {
	leader := c.leader()
	if leader == nil {
		return nil
	}
	return leader.disk.DiskModel.Heads[key].Voters.Current
}

// nodesHolding returns up to count nodes whose disks hold all acknowledged changes, the leader first.
func (c *testCluster) nodesHolding(count int) []*testNode {
	var holders []*testNode
	for _, node := range append([]*testNode{c.leader()}, c.nodes...) {
		if len(holders) < count && !slices.Contains(holders, node) && c.holdsAllAcknowledged(node) {
			holders = append(holders, node)
		}
	}
	return holders
}

func (c *testCluster) holdsAllAcknowledged(node *testNode) bool {
	snapshot, _ := node.disk.Read(key)
	for name := range c.acknowledged {
		if !slices.ContainsFunc(snapshot.Pairs, func(pair wire.Op) bool { return pair.Name == name }) {
			return false
		}
	}
	return true
}

var _ = Describe("the voters of a key", func() {
	It("grow from three to five in one change within 600 ms during writes", func() {
		c := newTestClusterTolerating(2, 1, "a", "b", "c", "d", "e")
		c.runUntil(func() bool { return c.leader() != nil })
		startedAt := c.clock.Monotonic()
		for len(c.voters()) < 5 {
			c.write()
			c.run(5 * time.Millisecond)
			Expect(c.voters()).NotTo(HaveLen(4))
			Expect(c.clock.Monotonic() - startedAt).To(BeNumerically("<", 600*time.Millisecond))
		}
		c.run(200 * time.Millisecond)
		Expect(c.leader().disk.DiskModel.Heads[key].Voters.Old).To(BeEmpty())
		Expect(len(c.acknowledged)).To(BeNumerically(">", 5))
		Expect(c.violations).To(BeEmpty())
	})

	It("commit a change with three of five disks, not with two", func() {
		c := newGrownCluster(2)
		for _, node := range c.nodes {
			if node != c.leader() && (slices.Contains(c.voters(), node.disk.name)) && len(c.stalledNodes()) < 3 {
				node.disk.isStalled = true
			}
		}
		c.write()
		c.run(150 * time.Millisecond)
		Expect(c.acknowledged).To(BeEmpty())
		c.stalledNodes()[0].disk.isStalled = false
		c.run(100 * time.Millisecond)
		Expect(c.acknowledged).To(HaveLen(1))
	})

	for seed := range uint64(6) {
		It(fmt.Sprintf("keep acknowledged changes when two disks that hold them are wiped and all other nodes lose power, seed %d", seed), func() {
			c := newGrownCluster(10 + seed)
			before := len(c.acknowledged)
			c.runUntil(func() bool {
				c.write()
				c.run(6 * time.Millisecond)
				return len(c.acknowledged) > before
			})
			affected := c.nodesHolding(2)
			Expect(affected).To(HaveLen(2))
			for index, node := range affected {
				node.wipe(fmt.Sprintf("disk-%s-%d", node.name, index))
			}
			for _, node := range c.nodes {
				if !slices.Contains(affected, node) {
					node.kill()
					node.start()
				}
			}
			c.run(5 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
			Expect(c.voters()).To(HaveLen(5))
			for _, node := range affected {
				for _, formerDisk := range node.formerDisks {
					Expect(c.voters()).NotTo(ContainElement(formerDisk))
				}
			}
		})
	}

	It("are replaced after the loss of two, so that two more can be lost", func() {
		c := newGrownCluster(20)
		c.write()
		c.run(100 * time.Millisecond)
		for round := range 3 {
			for index, node := range c.nodesHolding(2) {
				node.wipe(fmt.Sprintf("disk-%s-%d-%d", node.name, round, index))
			}
			c.run(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.voters()).To(HaveLen(5))
		}
		Expect(c.violations).To(BeEmpty())
	})

	It("grow to five if all nodes lose power during the voter change", func() {
		for writes := range 40 {
			c := newTestClusterTolerating(2, uint64(30+writes), "a", "b", "c", "d", "e")
			c.runUntil(func() bool { return c.leader() != nil })
			for range writes {
				c.write()
				c.run(8 * time.Millisecond)
			}
			for _, node := range c.nodes {
				node.kill()
				node.start()
			}
			c.run(4 * time.Second)
			Expect(c.violations).To(BeEmpty())
			Expect(c.voters()).To(HaveLen(5))
		}
	})

	It("are replaced during a partition, and the replaced leader doesn't disrupt the new one on its return", func() {
		c := newGrownCluster(3)
		leader := c.leader()
		c.isolated[leader.name] = true
		for range 40 {
			c.write()
			c.run(100 * time.Millisecond)
		}
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.voters()).To(HaveLen(5))
		Expect(c.voters()).NotTo(ContainElement(leader.disk.name))
		newLeader, epoch := c.leader(), c.leader().machine.leadership.Epoch()
		delete(c.isolated, leader.name)
		c.preVotes = 0
		c.run(4 * time.Second)
		Expect(c.leader()).To(Equal(newLeader))
		Expect(newLeader.machine.leadership.Epoch()).To(Equal(epoch))
		Expect(c.preVotes).To(BeNumerically("<=", 3*5))
		Expect(c.violations).To(BeEmpty())
	})

	It("don't change again before the old voters have committed the previous change", func() {
		c := newTestClusterTolerating(2, 9, "a", "b", "c", "d", "e", "f")
		c.runUntil(func() bool { return c.leader() != nil && len(c.leader().engine.Belief().Voters.Old) > 0 })
		leader := c.leader()
		for _, node := range c.nodes[:3] {
			c.isolated[node.name] = node != leader
		}
		for range 25 {
			c.write()
			c.run(100 * time.Millisecond)
		}
		Expect(c.acknowledged).To(BeEmpty())
		Expect(leader.engine.Belief().Voters.Old).To(ConsistOf("disk-a", "disk-b", "disk-c"))
		c.heal()
		c.run(4 * time.Second)
		Expect(c.voters()).To(HaveLen(5))
		Expect(c.violations).To(BeEmpty())
	})

	It("stay joint until a majority of the old voters holds the change", func() {
		c := newTestClusterTolerating(2, 40, "a", "b", "c", "d", "e")
		c.dropsCall = func(to *testNode, call wire.AppendCall) bool {
			isJoint := func(change wire.Change) bool { return change.Voters != nil && len(change.Voters.Old) > 0 }
			return slices.Contains(c.nodes[:3], to) && to.disk.name != call.Disk && slices.ContainsFunc(call.Changes, isJoint)
		}
		for range 600 {
			c.write()
			c.run(5 * time.Millisecond)
		}
		Expect(c.acknowledged).NotTo(BeEmpty())
		Expect(c.violations).To(BeEmpty())
		c.dropsCall = nil
		c.run(4 * time.Second)
		Expect(c.voters()).To(HaveLen(5))
		Expect(c.violations).To(BeEmpty())
	})

	It("are spread evenly over zones", func() {
		c := newTestClusterTolerating(2, 4, "a", "b", "c")
		for index, name := range []string{"d", "e", "f", "g", "h"} {
			c.add(name).domain = []string{"one", "one", "two", "two", "four"}[index]
		}
		for index, domain := range []string{"one", "two", "three"} {
			c.nodes[index].domain = domain
		}
		for _, node := range c.nodes[3:] {
			node.start()
		}
		c.run(3 * time.Second)
		Expect(c.voters()).To(HaveLen(5))
		count := map[string]int{}
		for _, disk := range c.voters() {
			count[c.byDisk(disk).domain]++
		}
		Expect(count).To(HaveKeyWithValue("four", 1))
		Expect(count).To(HaveLen(4))
	})

	It("stay odd in number while there are too few disks", func() {
		c := newTestClusterTolerating(2, 5, "a", "b", "c", "d")
		c.run(3 * time.Second)
		Expect(c.voters()).To(HaveLen(3))
		c.add("e").start()
		c.run(2 * time.Second)
		Expect(c.voters()).To(HaveLen(5))
	})

	It("shrink by lost voters only, not by live ones", func() {
		c := newGrownCluster(6)
		for _, node := range c.nodes {
			node.kill()
			c.machineLosses = 1
			node.start()
		}
		c.run(4 * time.Second)
		Expect(c.voters()).To(HaveLen(5))
		for _, node := range slices.Clone(c.nodes) {
			if node != c.leader() && slices.Contains(c.voters(), node.disk.name) && len(c.voters()) > 3 {
				node.kill()
				c.run(3 * time.Second)
			}
		}
		Expect(c.voters()).To(HaveLen(3))
		Expect(c.violations).To(BeEmpty())
	})

	It("never include a steward without a disk", func() {
		c := newTestClusterTolerating(2, 7, "a", "b", "c", "d", "e")
		c.diskless = []wire.Member{{Name: "x", Role: "steward", Domain: "far"}, {Name: "y", Role: "steward", Domain: "off"}}
		c.runUntil(func() bool { return c.leader() != nil })
		c.run(600 * time.Millisecond)
		Expect(c.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("grow without waiting for machines that are known to be gone", func() {
		c := newTestClusterTolerating(2, 11, "a", "b", "c", "d", "e")
		for _, name := range []string{"g", "h", "i", "j", "k", "l"} {
			c.add(name)
		}
		c.runUntil(func() bool { return c.leader() != nil })
		c.run(600 * time.Millisecond)
		Expect(c.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("include a machine's new disk instead of its old one as soon as the replacement is known", func() {
		c := newTestClusterTolerating(2, 13, "a", "b", "c", "d", "e")
		c.run(2 * time.Second)
		leader := c.leader()
		victim := c.nodes[(slices.Index(c.nodes, leader)+1)%5]
		victim.wipe("disk-fresh")
		c.run(time.Second)
		Expect(c.voters()).To(HaveLen(5))
		Expect(c.voters()).To(ContainElement("disk-fresh"))
	})

	It("are sent no changes after they are removed", func() {
		c := newGrownCluster(14)
		victim := c.nodes[slices.IndexFunc(c.nodes, func(node *testNode) bool {
			return node != c.leader() && slices.Contains(c.voters(), node.disk.name)
		})]
		victim.isFrozen = true
		c.runUntil(func() bool {
			c.write()
			c.run(9 * time.Millisecond)
			return !slices.Contains(c.voters(), victim.disk.name)
		})
		victim.isFrozen = false
		var last [2]wire.LogPosition
		for index := range last {
			for range 100 {
				c.write()
				c.run(5 * time.Millisecond)
			}
			last[index] = victim.disk.DiskModel.Heads[key].Last
		}
		Expect(last[1]).To(Equal(last[0]))
	})

	It("send nothing to a replacement that is no longer needed", func() {
		c := newGrownCluster(15)
		isVoter := func(node *testNode) bool { return slices.Contains(c.voters(), node.disk.name) }
		replacement := c.nodes[slices.IndexFunc(c.nodes, func(node *testNode) bool { return !isVoter(node) })]
		victim := c.nodes[slices.IndexFunc(c.nodes, func(node *testNode) bool { return node != c.leader() && isVoter(node) })]
		c.isolated[replacement.name], victim.isFrozen = true, true
		c.run(1900 * time.Millisecond)
		victim.isFrozen = false
		c.run(300 * time.Millisecond)
		delete(c.isolated, replacement.name)
		c.write()
		c.run(500 * time.Millisecond)
		Expect(isVoter(victim)).To(BeTrue())
		Expect(replacement.disk.DiskModel.Heads[key].Last).To(Equal(wire.LogPosition{}))
	})

	It("keep a lost voter while there is no replacement", func() {
		c := newTestClusterTolerating(2, 12, "a", "b", "c", "d", "e")
		c.run(2 * time.Second)
		for _, node := range c.nodes {
			if node != c.leader() {
				node.kill()
				break
			}
		}
		c.run(3 * time.Second)
		Expect(c.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("don't include a new disk that does not answer", func() {
		for index := range 3 {
			c := newTestClusterTolerating(2, 8, "a", "b", "c", "d", "e", "f")
			silent := c.nodes[3+index]
			c.isolated[silent.name] = true
			c.run(5 * time.Second)
			Expect(c.voters()).To(HaveLen(5))
			Expect(c.voters()).NotTo(ContainElement(silent.disk.name))
		}
	})

	for seed := range uint64(24) {
		It(fmt.Sprintf("keep the invariants under random faults on two nodes at once, seed %d", seed), func() {
			c := newTestClusterTolerating(2, 200+seed, "a", "b", "c", "d", "e", "f")
			c.lossRate = 0.1
			wipes := 0
			for range 40 {
				c.injectFaults(&wipes)
				for range 5 {
					c.write()
					c.run(time.Duration(20+c.random.IntN(80)) * time.Millisecond)
				}
				Expect(c.violations).To(BeEmpty())
			}
			c.heal()
			c.lossRate = 0
			c.run(8 * time.Second)
			Expect(c.voters()).To(HaveLen(5))
			Expect(c.acknowledged).NotTo(BeEmpty())
			Expect(c.violations).To(BeEmpty())
		})
	}
})

// runUntil runs the simulation until a condition holds, for at most five seconds.
func (c *testCluster) runUntil(condition func() bool) {
	for end := c.clock.Monotonic() + 5*time.Second; !condition(); c.step() {
		Expect(c.clock.Monotonic()).To(BeNumerically("<", end))
	}
}

func (c *testCluster) stalledNodes() []*testNode {
	return slices.DeleteFunc(slices.Clone(c.nodes), func(node *testNode) bool { return !node.disk.isStalled })
}

func (c *testCluster) heal() {
	clear(c.isolated)
	for _, node := range c.nodes {
		node.isFrozen, node.disk.isStalled = false, false
		if !node.isUp {
			node.start()
		}
	}
}

// injectFaults ends all faults and then injects a fault into each of two nodes. Sometimes it wipes both nodes instead, and in half of
// these cases all other nodes lose power.
func (c *testCluster) injectFaults(wipes *int) {
	c.heal()
	index := c.random.IntN(len(c.nodes))
	affected := []*testNode{c.nodes[index], c.nodes[(index+1+c.random.IntN(len(c.nodes)-1))%len(c.nodes)]}
	if *wipes < 8 && c.random.IntN(4) == 0 && c.haveAllVotersCaughtUp() {
		for _, node := range affected {
			*wipes++
			node.wipe(fmt.Sprintf("disk-%s-%d", node.name, *wipes))
		}
		if c.random.IntN(2) == 0 {
			for _, node := range c.nodes {
				if !slices.Contains(affected, node) {
					node.kill()
					node.start()
				}
			}
		}
		c.run(7 * time.Second)
		return
	}
	for _, node := range affected {
		switch c.random.IntN(5) {
		case 0:
			node.kill()
		case 1:
			c.isolated[node.name] = true
		case 2:
			node.isFrozen = true
		case 3:
			node.disk.isStalled = true
		case 4:
			node.kill()
			node.start()
		}
	}
}

// haveAllVotersCaughtUp reports whether there are five voters that hold changes of the leader's epoch, so that two more can be lost.
func (c *testCluster) haveAllVotersCaughtUp() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	state := leader.disk.DiskModel.Heads[key]
	isBehind := func(disk string) bool {
		node := c.byDisk(disk)
		return node == nil || node.disk.DiskModel.Heads[key].Last.Epoch != state.Last.Epoch
	}
	return len(state.Voters.Current) == 5 && len(state.Voters.Old) == 0 && !slices.ContainsFunc(state.Voters.Current, isBehind)
}
