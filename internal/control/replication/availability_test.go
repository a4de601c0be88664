package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a leader", func() {
	It("keeps its lease while syncs take longer than a lease", func() {
		c := newTestCluster(910, "a", "b", "c")
		c.run(2 * time.Second)
		leader := c.leader()
		epoch := leader.machine.leadership.Epoch()
		for _, node := range c.nodes {
			node.disk.syncTime = 900 * time.Millisecond
		}
		leaderless := 0
		for range 10000 {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				leaderless++
			}
		}
		Expect(c.leader()).To(Equal(leader))
		Expect(leader.machine.leadership.Epoch()).To(Equal(epoch))
		Expect(leaderless).To(BeZero())
		Expect(len(c.acknowledged)).To(BeNumerically(">", 100))
		Expect(c.violations).To(BeEmpty())
	})

	It("limits the calls to a disk that fails writes, its own or a follower's, and resumes replication afterwards", func() {
		for _, isUnclear := range []bool{false, true} {
			for index := range 2 {
				c := newTestCluster(920, "a", "b", "c")
				c.run(2 * time.Second)
				affected := append([]*testNode{c.leader()}, c.others()...)[index]
				affected.disk.failsWrites, affected.disk.isOutcomeUnclear = true, isUnclear
				c.write()
				c.run(time.Second)
				c.appendCount = 0
				c.run(time.Second)
				Expect(c.appendCount).To(BeNumerically("<", 40))
				affected.disk.failsWrites, affected.disk.isOutcomeUnclear = false, false
				c.runWithWrites(time.Second)
				c.run(500 * time.Millisecond)
				c.expectSameState()
				Expect(c.violations).To(BeEmpty())
			}
		}
	})

	It("replaces a voter whose disk stalls", func() {
		c := newTestCluster(930, "a", "b", "c", "d")
		c.run(2 * time.Second)
		var stalled *testNode
		for _, node := range c.others() {
			if slices.Contains(c.voters(), node.disk.name) {
				stalled = node
			}
		}
		stalled.disk.isStalled = true
		c.runWithWrites(5 * time.Second)
		Expect(c.voters()).NotTo(ContainElement(stalled.disk.name))
	})

	It("is elected within two seconds of a restart of all nodes though the first candidate can't fetch the large state in time", func() {
		for seed := range uint64(6) {
			c, _ := newClusterRestartedBehind(940 + seed)
			c.bytesPerMs = 50
			c.run(2 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
		}
	})
})

// newClusterRestartedBehind returns a simulated cluster that has just restarted, so that no replica has a history, and its lagging
// node: the voter that campaigns first and lacks a change.
func newClusterRestartedBehind(seed uint64) (c *testCluster, lagging *testNode) {
	c, _ = newLoadedCluster(seed)
	lagging = c.leader()
	lagging.kill()
	c.run(3 * time.Second)
	lagging.start()
	c.run(time.Second)
	Expect(c.leader()).NotTo(Equal(lagging))
	c.isolated[lagging.name] = true
	c.write()
	c.run(200 * time.Millisecond)
	c.restartAll()
	c.heal()
	return c, lagging
}

func (c *testCluster) restartAll() {
	for _, node := range c.nodes {
		node.kill()
	}
	for _, node := range c.nodes {
		node.start()
	}
}

var _ = Describe("a candidate whose state is far behind", func() {
	It("yields to the most up-to-date voter without fetching a snapshot", func() {
		for seed := range uint64(6) {
			c, _ := newClusterRestartedBehind(950 + seed)
			c.run(2 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.snapshotsInstalled).To(BeZero())
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("fetches the state in chunks if there is no other candidate, and resumes after an interruption", func() {
		for seed := range uint64(6) {
			c, lagging := newClusterRestartedBehind(960 + seed)
			c.bytesPerMs, c.chunksFetched = 400, nil
			for _, node := range c.nodes {
				if node != lagging {
					node.engine.Leave()
				}
			}
			c.runUntil(func() bool { return slices.Contains(c.chunksFetched, 3) })
			c.isolated[lagging.name] = true
			c.run(4 * time.Second)
			c.heal()
			c.run(12 * time.Second)
			Expect(c.leader()).To(Equal(lagging))
			Expect(c.snapshotsInstalled).To(Equal(1))
			Expect(slices.IndexFunc(c.chunksFetched[slices.Index(c.chunksFetched, 3):], func(number int) bool { return number == 0 })).To(Equal(-1))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("stops fetching when another voter leads", func() {
		c, lagging := newClusterRestartedBehind(970)
		c.bytesPerMs = 400
		for _, node := range c.nodes {
			if node != lagging {
				node.engine.Leave()
			}
		}
		c.runUntil(func() bool { return slices.Contains(c.chunksFetched, 3) })
		for _, node := range c.others() {
			if node != lagging {
				node.kill()
				node.start()
			}
		}
		c.run(3 * time.Second)
		c.chunksFetched = nil
		Expect(c.leader()).NotTo(BeNil())
		c.run(2 * time.Second)
		Expect(c.chunksFetched).To(BeEmpty())
		Expect(c.violations).To(BeEmpty())
	})
})
