package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// newLoadedCluster returns a cluster whose state takes about ten chunks, and one of its followers.
func newLoadedCluster(seed uint64) (c *testCluster, node *testNode) {
	c = newTestCluster(seed, "a", "b", "c")
	c.run(2 * time.Second)
	c.valueBytes = 100 << 10
	for range 25 {
		c.write()
		c.run(40 * time.Millisecond)
	}
	c.valueBytes = 0
	Expect(len(c.acknowledged)).To(BeNumerically(">", 20))
	c.snapshotsSent = 0
	return c, c.others()[0]
}

var _ = Describe("a snapshot", func() {
	It("is sent in chunks, despite loss, duplication and reordering", func() {
		for seed := range uint64(5) {
			c, node := newLoadedCluster(500 + seed)
			c.lossRate = 0.4
			node.wipe("disk-fresh")
			c.runWithWrites(6 * time.Second)
			c.lossRate = 0
			c.run(4 * time.Second)
			Expect(c.snapshotsSent).To(BeZero())
			Expect(slices.Max(c.chunksSent)).To(BeNumerically(">", 6))
			Expect(c.voters()).To(ContainElement("disk-fresh"))
			Expect(c.violations).To(BeEmpty())
			c.expectSameState()
		}
	})

	It("is resumed at a lost chunk, and installed only after the last chunk", func() {
		c, node := newLoadedCluster(510)
		hasDropped := false
		c.dropsCall = func(_ *testNode, call wire.AppendCall) bool {
			isNext := !hasDropped && call.Chunk != nil && call.Chunk.Number == 4
			hasDropped = hasDropped || isNext
			return isNext
		}
		node.wipe("disk-fresh")
		c.runWithWrites(800 * time.Millisecond)
		Expect(hasDropped).To(BeTrue())
		Expect(node.disk.DiskModel.Heads[key].Last).To(Equal(wire.LogPosition{}))
		c.runWithWrites(3 * time.Second)
		c.run(time.Second)
		Expect(slices.Index(c.chunksSent, 5)).To(BeNumerically(">", 0))
		Expect(slices.IndexFunc(c.chunksSent[1:], func(number int) bool { return number == 0 })).To(Equal(-1))
		Expect(c.voters()).To(ContainElement("disk-fresh"))
		c.expectSameState()
	})

	It("is sent once during writes, and the changes after it follow", func() {
		c, node := newLoadedCluster(550)
		node.kill()
		c.runWithWrites(2 * time.Second)
		c.add("d").start()
		c.runWithWrites(1500 * time.Millisecond)
		Expect(c.voters()).To(ContainElement("disk-d"))
		Expect(slices.Index(c.chunksSent[1:], 0)).To(Equal(-1))
	})

	It("is not sent to a follower that does not answer, but as soon as it answers", func() {
		c, node := newLoadedCluster(560)
		c.isolated[node.name] = true
		c.valueBytes = 10 << 10
		c.runWithWrites(3 * time.Second)
		c.valueBytes, c.chunksSent = 0, nil
		c.runWithWrites(3 * time.Second)
		Expect(c.chunksSent).To(BeEmpty())
		delete(c.isolated, node.name)
		c.runWithWrites(2 * time.Second)
		c.run(time.Second)
		Expect(c.chunksSent).NotTo(BeEmpty())
		c.expectSameState()
	})

	It("is replaced by a newer one once the log no longer contains the changes that follow it", func() {
		c, node := newLoadedCluster(540)
		c.dropsCall = func(_ *testNode, call wire.AppendCall) bool { return call.Chunk != nil && call.Chunk.Number == 4 }
		node.wipe("disk-fresh")
		c.runWithWrites(3 * time.Second)
		c.dropsCall = nil
		c.runWithWrites(3 * time.Second)
		c.run(time.Second)
		again := slices.Index(c.chunksSent[1:], 0) + 1
		Expect(again).To(BeNumerically(">", 0))
		Expect(c.chunksSent[:again]).NotTo(ContainElement(5))
		Expect(c.voters()).To(ContainElement("disk-fresh"))
		c.expectSameState()
	})

	It("is sent again by a new leader, and after the follower is wiped or restarted", func() {
		for index, disrupt := range []func(c *testCluster, node *testNode){
			func(c *testCluster, _ *testNode) { c.leader().engine.Leave() },
			func(_ *testCluster, node *testNode) { node.wipe("disk-fresher") },
			func(_ *testCluster, node *testNode) { node.kill(); node.start() },
		} {
			c, node := newLoadedCluster(520 + uint64(index))
			node.wipe("disk-fresh")
			c.runUntil(func() bool { return slices.Contains(c.chunksSent, 3) })
			disrupt(c, node)
			c.runWithWrites(5 * time.Second)
			c.run(time.Second)
			Expect(c.voters()).To(ContainElement(node.disk.name), fmt.Sprint(index))
			Expect(c.violations).To(BeEmpty())
			c.expectSameState()
		}
	})

	It("is sent in one call to a peer of an earlier version", func() {
		c, node := newLoadedCluster(530)
		node.isEarlierVersion = true
		node.wipe("disk-fresh")
		c.runWithWrites(4 * time.Second)
		c.run(time.Second)
		Expect(c.snapshotsSent).To(BeNumerically(">", 0))
		Expect(c.voters()).To(ContainElement("disk-fresh"))
		c.expectSameState()
	})
})
