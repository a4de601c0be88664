package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// retire starts to empty the node's machine, which runs on, as an operator's order does.
func (n *testNode) retire() {
	n.replicas.Leave()
	n.engine.Retire()
}

// votersIn returns the nodes of a cluster whose disks are voters.
func (c *testCluster) votersIn() (voters []*testNode) {
	for _, node := range c.nodes {
		if slices.Contains(c.voters(), node.disk.name) {
			voters = append(voters, node)
		}
	}
	return voters
}

// retireVoters starts to empty the machines of all voters, with a pause between two orders, and expects the other disks to replace them.
func (c *testCluster) retireVoters(pause time.Duration) {
	c.run(2 * time.Second)
	c.runWithWrites(500 * time.Millisecond)
	retiring := c.votersIn()
	Expect(retiring).To(HaveLen(3))
	for _, node := range retiring {
		node.retire()
		c.run(pause)
	}
	c.expectReplaced(retiring)
}

// expectReplaced expects that retiring nodes are soon voters no more, and that the others lead and commit writes.
func (c *testCluster) expectReplaced(retiring []*testNode) {
	for _, node := range retiring {
		Expect(c.runUntilRemoved(node, 6*time.Second)).To(BeTrue(), node.disk.name)
	}
	c.run(2 * time.Second)
	Expect(c.leader()).NotTo(BeNil())
	Expect(retiring).NotTo(ContainElement(c.leader()))
	acknowledged := len(c.acknowledged)
	c.runWithWrites(500 * time.Millisecond)
	Expect(len(c.acknowledged)).To(BeNumerically(">", acknowledged))
	Expect(c.violations).To(BeEmpty())
}

var _ = Describe("machines that are being emptied", func() {
	// Guards against a key that nobody leads any more, because all its voters gave up the leadership at once and none campaigned again.
	DescribeTable("are replaced as voters although they are all voters of the key", func(pause time.Duration) {
		for seed := range uint64(12) {
			newTestCluster(3000+seed, "a", "b", "c", "d", "e", "f").retireVoters(pause)
		}
	},
		Entry("ordered at the same moment", time.Duration(0)),
		Entry("ordered within a call", 20*time.Millisecond),
		Entry("ordered a little later", 150*time.Millisecond),
		Entry("ordered one after the other", time.Second),
	)

	It("are replaced as voters after a restart of all of them", func() {
		for seed := range uint64(12) {
			c := newTestCluster(3100+seed, "a", "b", "c", "d", "e", "f")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			retiring := c.votersIn()
			for _, node := range retiring {
				node.retire()
			}
			c.run(time.Duration(seed) * 20 * time.Millisecond)
			for _, node := range retiring {
				node.kill()
			}
			c.run(time.Second)
			for _, node := range retiring {
				node.start()
				node.retire()
			}
			c.expectReplaced(retiring)
		}
	})

	It("lead the key as long as no other disk can", func() {
		for seed := range uint64(8) {
			c := newTestCluster(3200+seed, "a", "b", "c")
			c.run(2 * time.Second)
			for _, node := range c.nodes {
				node.retire()
			}
			c.run(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			acknowledged := len(c.acknowledged)
			c.runWithWrites(500 * time.Millisecond)
			Expect(len(c.acknowledged)).To(BeNumerically(">", acknowledged))
			added := c.add("d")
			added.start()
			c.run(3 * time.Second)
			Expect(c.voters()).To(ContainElement(added.disk.name))
			Expect(c.leader()).To(Equal(added))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("leave the key to a voter that stays", func() {
		for seed := range uint64(8) {
			c := newTestCluster(3300+seed, "a", "b", "c")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			retiring := c.leader()
			retiring.retire()
			c.run(2 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.leader()).NotTo(Equal(retiring))
		}
	})

	It("learn after a restart that they are no voters any more", func() {
		for seed := range uint64(8) {
			c := newTestCluster(3400+seed, "a", "b", "c", "d")
			c.run(2 * time.Second)
			retiring := c.anyVoter()
			retiring.retire()
			Expect(c.runUntilRemoved(retiring, 6*time.Second)).To(BeTrue())
			retiring.kill()
			c.run(time.Second)
			retiring.start()
			retiring.retire()
			Expect(c.runUntilRemoved(retiring, 6*time.Second)).To(BeTrue())
			Expect(c.violations).To(BeEmpty())
		}
	})
})
