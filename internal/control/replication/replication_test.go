package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a key and its leader", func() {
	It("elects one leader and commits changes", func() {
		c := newTestCluster(1, "a", "b", "c")
		c.run(2 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		c.write()
		c.run(100 * time.Millisecond)
		Expect(c.acknowledged).To(HaveLen(1))
		Expect(c.violations).To(BeEmpty())
	})

	It("does not commit while the leader is isolated, and elects another leader", func() {
		c := newTestCluster(2, "a", "b", "c")
		c.run(2 * time.Second)
		c.isolated[c.leader().name] = true
		old := c.leader()
		c.run(30 * time.Millisecond)
		c.write()
		c.run(300 * time.Millisecond)
		Expect(c.acknowledged).To(BeEmpty())
		c.run(3 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().name).NotTo(Equal(old.name))
		Expect(c.violations).To(BeEmpty())
	})

	It("keeps its leader when a steward returns from a partition", func() {
		c := newTestCluster(3, "a", "b", "c")
		c.run(2 * time.Second)
		leader := c.leader()
		epoch := leader.machine.leadership.Epoch()
		other := c.nodes[(slices.Index(c.nodes, leader)+1)%3]
		c.isolated[other.name] = true
		c.run(8 * time.Second)
		delete(c.isolated, other.name)
		c.run(4 * time.Second)
		Expect(c.leader()).To(Equal(leader))
		Expect(leader.machine.leadership.Epoch()).To(Equal(epoch))
	})

	It("has another leader within 700 ms after the leader leaves", func() {
		c := newTestCluster(4, "a", "b", "c")
		c.run(2 * time.Second)
		old := c.leader()
		old.engine.Leave()
		c.run(700 * time.Millisecond)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader()).NotTo(Equal(old))
		Expect(c.violations).To(BeEmpty())
	})

	It("keeps acknowledged changes when all nodes lose power at once", func() {
		c := newTestCluster(5, "a", "b", "c")
		c.run(2 * time.Second)
		for range 20 {
			c.write()
			c.run(40 * time.Millisecond)
		}
		Expect(len(c.acknowledged)).To(BeNumerically(">", 10))
		for _, node := range c.nodes {
			node.kill()
		}
		for _, node := range c.nodes {
			node.start()
		}
		c.run(4 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.violations).To(BeEmpty())
	})

	It("adds a wiped disk as a new voter, and survives the next loss", func() {
		c := newTestCluster(6, "a", "b", "c")
		c.run(2 * time.Second)
		c.write()
		c.run(100 * time.Millisecond)
		c.nodes[0].wipe("disk-a2")
		c.run(6 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.nodes[0].disk.DiskModel.Heads[key].Voters.Current).To(ContainElement("disk-a2"))
		c.write()
		c.run(100 * time.Millisecond)
		c.nodes[1].kill()
		c.run(4 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.violations).To(BeEmpty())
	})

	It("replaces a voter whose machine is gone", func() {
		c := newTestCluster(7, "a", "b", "c")
		c.run(2 * time.Second)
		c.nodes[2].kill()
		c.run(2 * time.Second)
		c.add("d").start()
		c.run(4 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader().disk.DiskModel.Heads[key].Voters.Current).To(ConsistOf("disk-a", "disk-b", "disk-d"))
		Expect(c.violations).To(BeEmpty())
	})

	It("commits while the leader's disk hangs", func() {
		c := newTestCluster(8, "a", "b", "c")
		c.run(2 * time.Second)
		c.leader().disk.isStalled = true
		c.write()
		c.run(200 * time.Millisecond)
		Expect(c.acknowledged).To(HaveLen(1))
		Expect(c.violations).To(BeEmpty())
	})

	It("has a time of day that is unaffected by a jump of any single clock", func() {
		c := newTestCluster(9, "a", "b", "c")
		c.run(2 * time.Second)
		for _, node := range c.nodes {
			for _, wallJumpMs := range []int64{5000, -5000} {
				node.clock.wallJumpMs = wallJumpMs
				c.run(time.Second)
				Expect(c.leader().machine.leadership.WallMs()).To(BeNumerically("~", c.clock.WallMs(), 20))
			}
			node.clock.wallJumpMs = 0
			c.run(time.Second)
		}
	})

	for seed := range uint64(24) {
		It(fmt.Sprintf("keeps the invariants under random faults, seed %d", seed), func() {
			c := newTestCluster(100+seed, "a", "b", "c")
			c.lossRate = 0.1
			wipes := 0
			for range 60 {
				c.injectFault(&wipes)
				for range 5 {
					c.write()
					c.run(time.Duration(20+c.random.IntN(80)) * time.Millisecond)
				}
				Expect(c.violations).To(BeEmpty())
			}
			clear(c.isolated)
			for _, node := range c.nodes {
				node.isFrozen, node.disk.isStalled = false, false
				if !node.isUp {
					node.start()
				}
			}
			c.lossRate = 0
			c.run(8 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.acknowledged).NotTo(BeEmpty())
			Expect(c.violations).To(BeEmpty())
		})
	}
})

// injectFault ends all faults and then injects at most one: a fault of a single node, since the cluster must tolerate no more, or a loss
// of power of all nodes.
func (c *testCluster) injectFault(wipes *int) {
	for _, node := range c.nodes {
		if !node.isUp {
			node.start()
		}
		node.isFrozen, node.disk.isStalled = false, false
	}
	clear(c.isolated)
	victim := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(7) {
	case 0:
		victim.kill()
	case 1:
		c.isolated[victim.name] = true
	case 2:
		victim.isFrozen = true
	case 3:
		victim.disk.isStalled = true
	case 4:
		for _, node := range c.nodes {
			node.kill()
			node.start()
		}
	case 5:
		if *wipes < 6 && c.areAllNodesHealthy() {
			*wipes++
			victim.wipe(fmt.Sprintf("disk-%s-%d", victim.name, *wipes))
			c.run(7 * time.Second)
		}
	}
}

// areAllNodesHealthy reports whether every node is a voter that holds changes of the leader's epoch, so that one more can be lost.
func (c *testCluster) areAllNodesHealthy() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	state := leader.disk.DiskModel.Heads[key]
	for _, node := range c.nodes {
		isVoter := slices.Contains(state.Voters.Current, node.disk.name)
		if !isVoter || node.disk.DiskModel.Heads[key].Last.Epoch != state.Last.Epoch || len(state.Voters.Old) > 0 {
			return false
		}
	}
	return true
}
