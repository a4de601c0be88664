package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// slowDownReading sets how long all nodes take to read the state.
func (c *testCluster) slowDownReading(readTime time.Duration) {
	for _, node := range c.nodes {
		node.snapshotReadTime = readTime
	}
}

// timeToSettle runs the simulation until one node has held the lease for two seconds without interruption. It returns how long it took
// until these two seconds began, or the timeout if there was no such node.
func (c *testCluster) timeToSettle(timeout time.Duration) time.Duration {
	startedAt, since := c.clock.Monotonic(), c.clock.Monotonic()
	var leader *testNode
	for c.clock.Monotonic()-startedAt < timeout {
		c.runWithWrites(time.Millisecond)
		if current := c.leader(); current == nil || current != leader {
			leader, since = current, c.clock.Monotonic()
		}
		if leader != nil && c.clock.Monotonic()-since >= 2*time.Second {
			return since - startedAt
		}
	}
	return timeout
}

// highestPromise returns the highest epoch that any disk has promised.
func (c *testCluster) highestPromise() (highest uint64) {
	for _, node := range c.nodes {
		highest = max(highest, node.disk.DiskModel.Heads[key].Promised)
	}
	return highest
}

// firstLeaseHolder calls prepare for each node and returns the first node that obtains a lease. It then resets the read time of the
// others.
func (c *testCluster) firstLeaseHolder(prepare func(node *testNode)) *testNode {
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

var _ = Describe("a takeover on slow processors", func() {
	It("after a restart of all nodes settles with one leadership once a node has read the state", func() {
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

	It("is left to another steward if reading the state from the disk hangs", func() {
		c := newGrownCluster(1520)
		c.run(time.Second)
		c.restartAll()
		stuck := c.firstLeaseHolder(func(node *testNode) { node.snapshotReadTime = time.Hour })
		c.run(8 * time.Second)
		Expect(c.leader()).To(BeNil())
		c.run(4 * time.Second)
		Expect(c.leader()).NotTo(BeNil())
		Expect(c.leader()).NotTo(Equal(stuck))
		Expect(c.violations).To(BeEmpty())
	})

	It("sends no follower a snapshot that is older than the follower's state", func() {
		c := newTestClusterTolerating(2, 1530, "a", "b", "c", "d", "e")
		c.run(2 * time.Second)
		c.valueBytes = 100 << 10
		c.runWithWrites(500 * time.Millisecond)
		c.valueBytes = 0
		c.run(100 * time.Millisecond)
		leader, others := c.leader(), c.others()
		behind, ahead := others[0], others[1]
		c.dropsCall = func(to *testNode, call wire.AppendCall) bool { return to == behind && len(call.Changes) > 0 }
		c.write()
		c.run(200 * time.Millisecond)
		c.dropsCall = func(to *testNode, call wire.AppendCall) bool {
			return to != ahead && to != leader && len(call.Changes) > 0
		}
		c.write()
		c.run(30 * time.Millisecond)
		Expect(behind.disk.DiskModel.Heads[key].Last.Below(others[2].disk.DiskModel.Heads[key].Last)).To(BeTrue())
		Expect(others[2].disk.DiskModel.Heads[key].Last.Below(ahead.disk.DiskModel.Heads[key].Last)).To(BeTrue())
		c.dropsCall = nil
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

	It("after a restart of all nodes takes one epoch, even if the first candidate lacks changes and calls are slow", func() {
		for seed := range uint64(8) {
			for _, extraDelay := range []time.Duration{0, 100 * time.Millisecond, 150 * time.Millisecond} {
				c := newGrownCluster(1800 + seed)
				c.runWithWrites(500 * time.Millisecond)
				before := c.highestPromise()
				c.extraDelay = extraDelay
				c.restartAll()
				c.runUntil(func() bool { return c.leader() != nil })
				Expect(c.highestPromise()-before).To(Equal(uint64(1)), "seed %d, extra delay %v", seed, extraDelay)
				c.runWithWrites(5 * time.Second)
				Expect(c.highestPromise()-before).To(Equal(uint64(1)), "seed %d, extra delay %v", seed, extraDelay)
				Expect(c.violations).To(BeEmpty())
			}
		}
	})

	It("is left to other voters if the most up-to-date voter does not answer fetches", func() {
		c, lagging := newClusterRestartedBehind(1540)
		c.dropsFetches = true
		for _, node := range c.nodes {
			if node != lagging {
				node.engine.Leave()
			}
		}
		holdsLease := func() bool {
			return slices.ContainsFunc(c.nodes, func(node *testNode) bool {
				status := node.replicas.Status(key)
				return status.LeaseHolderDisk == lagging.disk.name && c.clock.Monotonic() < status.LeaseUntil
			})
		}
		c.runUntil(holdsLease)
		c.run(400 * time.Millisecond)
		Expect(holdsLease()).To(BeTrue())
		c.run(400 * time.Millisecond)
		Expect(holdsLease()).To(BeFalse())
		Expect(c.violations).To(BeEmpty())
	})

	It("holds its lease most of the time if each answer takes longer than the heartbeat interval", func() {
		for seed := range uint64(5) {
			c := newGrownCluster(1800 + seed)
			c.extraDelay = 330 * time.Millisecond
			c.runWithWrites(5 * time.Second)
			leaderTime := time.Duration(0)
			for range 30000 {
				c.runWithWrites(time.Millisecond)
				if c.leader() != nil {
					leaderTime += time.Millisecond
				}
			}
			AddReportEntry("time with a lease, of 30 s with calls of 330 to 660 ms", leaderTime.String())
			Expect(leaderTime).To(BeNumerically(">", 20*time.Second), "seed %d", seed)
			Expect(c.violations).To(BeEmpty())
		}
	})
})
