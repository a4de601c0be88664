package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// remove removes a node and its disk permanently.
func (c *testCluster) remove(lost *testNode) {
	lost.kill()
	c.lastWipeAt = c.clock.Monotonic()
	c.nodes = slices.DeleteFunc(c.nodes, func(node *testNode) bool { return node == lost })
}

var _ = Describe("a second loss", func() {
	It("during or after the voter change that a partition of 20 s causes loses no acknowledged change", func() {
		for moment := range 5 {
			c := newTestClusterTolerating(2, 1100+uint64(moment), "a", "b", "c", "d", "e", "f")
			c.run(3 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			isolatedNode := c.leader()
			c.isolated[isolatedNode.name] = true
			c.runWithWrites(1400*time.Millisecond + time.Duration(moment)*160*time.Millisecond)
			second := c.nodes[(slices.Index(c.nodes, isolatedNode)+1+moment%5)%6]
			second.wipe(fmt.Sprintf("disk-second-%d", moment))
			c.runWithWrites(17 * time.Second)
			delete(c.isolated, isolatedNode.name)
			c.runWithWrites(4 * time.Second)
			Expect(c.violations).To(BeEmpty())
			Expect(c.voters()).To(HaveLen(5))
			for index, node := range c.nodesHolding(2) {
				node.wipe(fmt.Sprintf("disk-third-%d-%d", moment, index))
			}
			c.runWithWrites(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("four seconds after a partition of 20 s loses nothing in a cluster of just three disks", func() {
		for seed := range uint64(2) {
			c := newTestCluster(1200+seed, "a", "b", "c")
			c.run(2 * time.Second)
			isolatedNode := c.nodes[seed%3]
			c.isolated[isolatedNode.name] = true
			c.runWithWrites(20 * time.Second)
			delete(c.isolated, isolatedNode.name)
			c.runWithWrites(4 * time.Second)
			Expect(c.voters()).To(HaveLen(3))
			lost := c.nodesHolding(1)[0]
			lost.wipe("disk-fresh")
			c.runWithWrites(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.voters()).To(ContainElement("disk-fresh"))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("while the replacement of the first loss is still a learner loses no acknowledged change and leaves a leader", func() {
		for moment := range 15 {
			c := newTestClusterTolerating(2, 1300+uint64(moment), "a", "b", "c", "d", "e")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			first := c.others()[moment%4]
			c.remove(first)
			c.add("fresh").start()
			c.runWithWrites(time.Duration(moment) * 30 * time.Millisecond)
			second := c.nodesHolding(1)[0]
			c.remove(second)
			c.add("fresher").start()
			c.runWithWrites(5 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.voters()).To(HaveLen(5))
			Expect(c.voters()).To(ContainElements("disk-fresh", "disk-fresher"))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("four seconds after a replacement loses nothing of a large state, over links of 2 MB/s", func() {
		for seed := range uint64(4) {
			c, node := newLoadedCluster(1400 + seed)
			c.bytesPerMs = 2000
			c.remove(node)
			c.add("fresh").start()
			startedAt := c.clock.Monotonic()
			c.runUntil(func() bool {
				return slices.Contains(c.voters(), "disk-fresh") && c.holdsAllAcknowledged(c.byDisk("disk-fresh"))
			})
			Expect(c.clock.Monotonic() - startedAt).To(BeNumerically("<", 4*time.Second))
			AddReportEntry("replaced after", (c.clock.Monotonic() - startedAt).String())
			c.runWithWrites(startedAt + 4*time.Second - c.clock.Monotonic())
			c.remove(c.leader())
			c.add("fresher").start()
			c.runWithWrites(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
		}
	})
})
