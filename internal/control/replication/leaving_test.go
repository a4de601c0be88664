package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leave starts a graceful shutdown, as a steward does on SIGTERM.
func (n *testNode) leave() {
	n.replicas.Leave()
	n.engine.Leave()
}

// runUntilRemoved runs the simulation with writes until a leaving node votes on no key, and reports whether that happens before the
// timeout.
func (c *testCluster) runUntilRemoved(leaving *testNode, timeout time.Duration) bool {
	for end := c.clock.Monotonic() + timeout; c.clock.Monotonic() < end; c.runWithWrites(10 * time.Millisecond) {
		if len(leaving.replicas.VotingKeys()) == 0 {
			return true
		}
	}
	return false
}

// anyVoter returns a voter that is not the leader.
func (c *testCluster) anyVoter() *testNode {
	for _, node := range c.others() {
		if slices.Contains(c.voters(), node.disk.name) {
			return node
		}
	}
	return nil
}

var _ = Describe("a steward that shuts down gracefully", func() {
	for index, role := range []string{"the leader", "a follower"} {
		It("as "+role+" is replaced as a voter before it exits, so that another disk can be lost at once", func() {
			for seed := range uint64(8) {
				c := newTestCluster(1000+seed, "a", "b", "c", "d")
				c.run(2 * time.Second)
				c.runWithWrites(500 * time.Millisecond)
				leaving := []*testNode{c.leader(), c.anyVoter()}[index]
				leaving.leave()
				Expect(c.runUntilRemoved(leaving, 2*time.Second)).To(BeTrue())
				leaving.kill()
				lost := c.leader()
				Expect(lost).NotTo(BeNil())
				Expect(c.voters()).NotTo(ContainElement(leaving.disk.name))
				lost.kill()
				c.nodes = slices.DeleteFunc(c.nodes, func(node *testNode) bool { return node == lost || node == leaving })
				c.run(3 * time.Second)
				Expect(c.leader()).NotTo(BeNil())
				Expect(c.violations).To(BeEmpty())
			}
		})
	}

	It("transfers its key to the most up-to-date follower if there is no replacement for its disk", func() {
		for seed := range uint64(8) {
			c := newTestCluster(1020+seed, "a", "b", "c")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			leaving := c.leader()
			voters := c.voters()
			behind := c.anyVoter()
			behind.disk.isStalled = true
			c.runWithWrites(100 * time.Millisecond)
			leaving.leave()
			Expect(c.runUntilRemoved(leaving, 600*time.Millisecond)).To(BeFalse())
			behind.disk.isStalled = false
			leaving.kill()
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.leader()).NotTo(Equal(behind))
			Expect(c.voters()).To(Equal(voters))
			Expect(c.snapshotsInstalled).To(BeZero())
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("waits for pending commits for a short time only", func() {
		c := newTestCluster(1040, "a", "b", "c")
		c.run(2 * time.Second)
		leaving := c.leader()
		c.write()
		leaving.leave()
		c.run(100 * time.Millisecond)
		Expect(c.acknowledged).To(HaveLen(1))
		c = newTestCluster(1041, "a", "b", "c")
		c.run(2 * time.Second)
		leaving = c.leader()
		c.write()
		leaving.leave()
		for _, node := range c.nodes {
			node.disk.isStalled = true
		}
		c.run(300 * time.Millisecond)
		Expect(leaving.engine.IsLeader()).To(BeFalse())
	})

	It("ends its campaign", func() {
		c := newTestCluster(1050, "a", "b", "c")
		for _, node := range c.nodes {
			node.disk.isStalled = true
		}
		c.runUntil(func() bool { return c.preVotes > 0 })
		c.run(30 * time.Millisecond)
		for _, node := range c.nodes {
			node.engine.Leave()
			node.disk.isStalled = false
		}
		c.run(3 * time.Second)
		Expect(c.leader()).To(BeNil())
	})

	It("stays a voter until two other nodes hold all acknowledged changes", func() {
		for seed := range uint64(8) {
			c := newTestCluster(1060+seed, "a", "b", "c", "d")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			leaving, stalled := c.leader(), c.anyVoter()
			stalled.disk.isStalled = true
			leaving.leave()
			Expect(c.runUntilRemoved(leaving, 4*time.Second)).To(BeTrue())
			holders := 0
			for _, node := range c.nodes {
				if node != leaving && c.holdsAllAcknowledged(node) {
					holders++
				}
			}
			Expect(holders).To(BeNumerically(">=", 2))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("needs a snapshot only for the first node of a rolling restart, with less than 1.5 s without a leader", func() {
		c := newTestCluster(1080, "a", "b", "c", "d")
		c.run(2 * time.Second)
		c.runWithWrites(500 * time.Millisecond)
		leaderless := 0
		for position, node := range c.nodes {
			if position == 1 {
				c.snapshotsSent, c.chunksSent = 0, nil
			}
			node.leave()
			for end := c.clock.Monotonic() + 2*time.Second; c.clock.Monotonic() < end && len(node.replicas.VotingKeys()) > 0; c.runWithWrites(time.Millisecond) {
				if c.leader() == nil {
					leaderless++
				}
			}
			node.kill()
			for range 3000 {
				c.runWithWrites(time.Millisecond)
				if c.leader() == nil {
					leaderless++
				}
			}
			node.start()
			c.runWithWrites(4 * time.Second)
		}
		c.run(time.Second)
		Expect(c.snapshotsSent).To(BeZero())
		Expect(c.chunksSent).To(BeEmpty())
		Expect(leaderless).To(BeNumerically("<", 1500))
		Expect(c.voters()).To(HaveLen(3))
		Expect(c.violations).To(BeEmpty())
	})

	It("is a normal voter after its return", func() {
		c := newTestCluster(1090, "a", "b", "c")
		c.run(2 * time.Second)
		leaving := c.leader()
		leaving.leave()
		c.run(time.Second)
		leaving.kill()
		leaving.start()
		c.run(2 * time.Second)
		c.add("d").start()
		c.run(3 * time.Second)
		Expect(c.voters()).To(ContainElement(leaving.disk.name))
	})
})
