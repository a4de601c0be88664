package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a leader", func() {
	It("keeps its leadership while syncs take longer than a lease", func() {
		c := newTestCluster(910, "a", "b", "c")
		c.run(2 * time.Second)
		leader := c.leader()
		epoch := leader.machine.leadership.Epoch()
		for _, node := range c.nodes {
			node.disk.syncTime = 900 * time.Millisecond
		}
		without := 0
		for range 10000 {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				without++
			}
		}
		Expect(c.leader()).To(Equal(leader))
		Expect(leader.machine.leadership.Epoch()).To(Equal(epoch))
		Expect(without).To(BeZero())
		Expect(len(c.acknowledged)).To(BeNumerically(">", 100))
		Expect(c.violations).To(BeEmpty())
	})

	It("does not call without end a disk that refuses, its own or a follower's, and goes on with it afterwards", func() {
		for _, isUnclear := range []bool{false, true} {
			for index := range 2 {
				c := newTestCluster(920, "a", "b", "c")
				c.run(2 * time.Second)
				struck := append([]*testNode{c.leader()}, c.others()...)[index]
				struck.disk.failsWrites, struck.disk.isOutcomeUnclear = true, isUnclear
				c.write()
				c.run(time.Second)
				c.appendCount = 0
				c.run(time.Second)
				Expect(c.appendCount).To(BeNumerically("<", 40))
				struck.disk.failsWrites, struck.disk.isOutcomeUnclear = false, false
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

	It("is found within two seconds of a restart of all, though the first candidate can't fetch the large state", func() {
		for seed := range uint64(6) {
			c, _ := restartedBehind(940 + seed)
			c.bytesPerMs = 50
			c.run(2 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
		}
	})
})

// restartedBehind is a simulated cluster in which the voter that asks first lacks a change, and all have forgotten their history.
func restartedBehind(seed uint64) (c *testCluster, late *testNode) {
	c, _ = newLoadedCluster(seed)
	late = c.leader()
	late.kill()
	c.run(3 * time.Second)
	late.start()
	c.run(time.Second)
	Expect(c.leader()).NotTo(Equal(late))
	c.isolated[late.name] = true
	c.write()
	c.run(200 * time.Millisecond)
	c.restartAll()
	c.heal()
	return c, late
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
	It("lets the voter lead that is furthest, and fetches nothing", func() {
		for seed := range uint64(6) {
			c, _ := restartedBehind(950 + seed)
			c.run(2 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.snapshotsInstalled).To(BeZero())
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("fetches the state in chunks if nobody else asks, and goes on where a broken call stopped", func() {
		for seed := range uint64(6) {
			c, late := restartedBehind(960 + seed)
			c.bytesPerMs, c.chunksFetched = 400, nil
			for _, node := range c.nodes {
				if node != late {
					node.engine.Leave()
				}
			}
			c.runUntil(func() bool { return slices.Contains(c.chunksFetched, 3) })
			c.isolated[late.name] = true
			c.run(4 * time.Second)
			c.heal()
			c.run(12 * time.Second)
			Expect(c.leader()).To(Equal(late))
			Expect(c.snapshotsInstalled).To(Equal(1))
			Expect(slices.IndexFunc(c.chunksFetched[slices.Index(c.chunksFetched, 3):], func(number int) bool { return number == 0 })).To(Equal(-1))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("gives up at once when another leads meanwhile", func() {
		c, late := restartedBehind(970)
		c.bytesPerMs = 400
		for _, node := range c.nodes {
			if node != late {
				node.engine.Leave()
			}
		}
		c.runUntil(func() bool { return slices.Contains(c.chunksFetched, 3) })
		for _, node := range c.others() {
			if node != late {
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
