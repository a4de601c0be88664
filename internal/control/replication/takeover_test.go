package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// slowDownReading gives all nodes processors that need so long to read the state.
func (c *testCluster) slowDownReading(readTime time.Duration) {
	for _, node := range c.nodes {
		node.snapshotReadTime = readTime
	}
}

// timeToSettle is how long it takes until one leader has held its lease for two seconds on end; a limit ends the wait.
func (c *testCluster) timeToSettle(limit time.Duration) time.Duration {
	began, since := c.clock.Monotonic(), c.clock.Monotonic()
	var leader *testNode
	for c.clock.Monotonic()-began < limit {
		c.runWithWrites(time.Millisecond)
		if now := c.leader(); now == nil || now != leader {
			leader, since = now, c.clock.Monotonic()
		}
		if leader != nil && c.clock.Monotonic()-since >= 2*time.Second {
			return since - began
		}
	}
	return limit
}

// highestPromise is the highest epoch that any disk has promised.
func (c *testCluster) highestPromise() (highest uint64) {
	for _, node := range c.nodes {
		highest = max(highest, node.disk.DiskModel.Heads[key].Promised)
	}
	return highest
}

// leaderWhile prepares each node, and gives the first that has taken the lease over; the others are as before then.
func (c *testCluster) leaderWhile(prepare func(node *testNode)) *testNode {
	for _, node := range c.nodes {
		prepare(node)
	}
	var first *testNode
	c.runUntil(func() bool {
		for _, node := range c.nodes {
			if node.replicas.Status(key).LeaseHolderDisk == node.disk.name {
				first = node
			}
		}
		return first != nil
	})
	for _, node := range c.nodes {
		if node != first {
			node.snapshotReadTime = 0
		}
	}
	return first
}

var _ = Describe("a take-over on slow processors", func() {
	It("after a restart of all settles once one of them has read the state", func() {
		for seed := range uint64(5) {
			for _, readTime := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				c := newGrownCluster(1500 + seed)
				c.runWithWrites(500 * time.Millisecond)
				before := len(c.leaders)
				c.slowDownReading(readTime)
				c.restartAll()
				took := c.timeToSettle(60 * time.Second)
				AddReportEntry("settled after", readTime.String()+": "+took.String())
				Expect(took).To(BeNumerically("<", readTime+3*time.Second), "seed %d, read in %v", seed, readTime)
				Expect(len(c.leaders)-before).To(Equal(1), "leaderships, seed %d, read in %v", seed, readTime)
				Expect(c.violations).To(BeEmpty())
			}
		}
	})

	It("is left to another steward where the disk gives no state to begin with", func() {
		c := newGrownCluster(1520)
		c.run(time.Second)
		c.restartAll()
		stuck := c.leaderWhile(func(node *testNode) { node.snapshotReadTime = time.Hour })
		c.run(8 * time.Second)
		Expect(c.leader()).To(BeNil())
		c.run(4 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader()).NotTo(Equal(stuck))
		Expect(c.violations).To(BeEmpty())
	})

	It("sends nobody the state it began with where that would take back what a disk holds", func() {
		c := newTestClusterBearing(2, 1530, "a", "b", "c", "d", "e")
		c.run(2 * time.Second)
		c.valueBytes = 100 << 10
		c.runWithWrites(500 * time.Millisecond)
		c.valueBytes = 0
		c.run(100 * time.Millisecond)
		leader, others := c.leader(), c.others()
		behind, ahead := others[0], others[1]
		c.drops = func(to *testNode, call wire.AppendCall) bool { return to == behind && len(call.Changes) > 0 }
		c.write()
		c.run(200 * time.Millisecond)
		c.drops = func(to *testNode, call wire.AppendCall) bool {
			return to != ahead && to != leader && len(call.Changes) > 0
		}
		c.write()
		c.run(30 * time.Millisecond)
		Expect(behind.disk.DiskModel.Heads[key].Last.Below(others[2].disk.DiskModel.Heads[key].Last)).To(BeTrue())
		Expect(others[2].disk.DiskModel.Heads[key].Last.Below(ahead.disk.DiskModel.Heads[key].Last)).To(BeTrue())
		c.drops = nil
		c.slowDownReading(4 * time.Second)
		c.restartAll()
		c.bytesPerMs = 4000
		c.remove(leader)
		ahead.kill()
		c.run(2 * time.Second)
		ahead.start()
		c.runWithWrites(9 * time.Second)
		c.run(time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.violations).To(BeEmpty())
		c.expectSameState()
	})

	It("after a restart of all takes one epoch, also where the first candidate lacks changes and each call takes long", func() {
		for seed := range uint64(8) {
			for _, slowness := range []time.Duration{0, 100 * time.Millisecond, 150 * time.Millisecond} {
				c := newGrownCluster(1800 + seed)
				c.runWithWrites(500 * time.Millisecond)
				before := c.highestPromise()
				c.slowness = slowness
				c.restartAll()
				c.runUntil(func() bool { return c.leader() != nil })
				Expect(c.highestPromise()-before).To(Equal(uint64(1)), "seed %d, slowness %v", seed, slowness)
				c.runWithWrites(5 * time.Second)
				Expect(c.highestPromise()-before).To(Equal(uint64(1)), "seed %d, slowness %v", seed, slowness)
				Expect(c.violations).To(BeEmpty())
			}
		}
	})

	It("is left to others where the furthest voter does not send what it has", func() {
		c, late := restartedBehind(1540)
		c.silentFetches = true
		for _, node := range c.nodes {
			if node != late {
				node.engine.Leave()
			}
		}
		holds := func() bool {
			return slices.ContainsFunc(c.nodes, func(node *testNode) bool {
				status := node.replicas.Status(key)
				return status.LeaseHolderDisk == late.disk.name && c.clock.Monotonic() < status.LeaseUntil
			})
		}
		c.runUntil(holds)
		c.run(400 * time.Millisecond)
		Expect(holds()).To(BeTrue())
		c.run(400 * time.Millisecond)
		Expect(holds()).To(BeFalse())
		Expect(c.violations).To(BeEmpty())
	})

	It("holds its lease most of the time, where each answer takes longer than the pause between two heartbeats", func() {
		for seed := range uint64(5) {
			c := newGrownCluster(1800 + seed)
			c.slowness = 330 * time.Millisecond
			c.runWithWrites(5 * time.Second)
			led := time.Duration(0)
			for range 30000 {
				c.runWithWrites(time.Millisecond)
				if c.leader() != nil {
					led += time.Millisecond
				}
			}
			AddReportEntry("of 30 s, with calls of 330 to 660 ms", led.String())
			Expect(led).To(BeNumerically(">", 20*time.Second), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})
})
