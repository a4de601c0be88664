package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a call to a follower that was lost", func() {
	var c *testCluster
	var leader, follower *testNode
	BeforeEach(func() {
		c = newTestCluster(71, "a", "b", "c")
		c.runWithWrites(3 * time.Second)
		leader = c.leader()
		Expect(leader).NotTo(BeNil())
		for _, node := range c.nodes {
			if node != leader {
				follower = node
			}
		}
	})
	// catchUpTime plays on until the follower holds what the leader held at the call.
	catchUpTime := func(limit time.Duration) time.Duration {
		GinkgoHelper()
		goal := leader.disk.Heads[key].Last.Index
		for waited := time.Duration(0); waited < limit; waited += 5 * time.Millisecond {
			if follower.disk.Heads[key].Last.Index >= goal {
				return waited
			}
			c.run(5 * time.Millisecond)
		}
		Fail("it did not catch up")
		return limit
	}
	write := func() {
		c.runWithWrites(30 * time.Millisecond)
	}

	It("is sent again soon, as heartbeats are answered, and not after the limit of a call only", func() {
		isLost := false
		c.drops = func(to *testNode, call wire.AppendCall) bool {
			if to != follower || isLost || len(call.Changes) == 0 {
				return false
			}
			isLost = true
			return true
		}
		for !isLost {
			write()
		}
		Expect(catchUpTime(time.Second)).To(BeNumerically("<", 650*time.Millisecond))
		Expect(c.violations).To(BeEmpty())
	})

	It("is waited for while nothing else is answered", func() {
		c.drops = func(to *testNode, _ wire.AppendCall) bool { return to == follower }
		write()
		before := c.appendCount
		c.run(900 * time.Millisecond)
		// Five heartbeats to each of the two followers and to the leader's own disk, with some to spare.
		Expect(c.appendCount - before).To(BeNumerically("<", 20))
	})

	It("makes no disk that is slow be given the same changes without end", func() {
		changesSent := 0
		c.drops = func(to *testNode, call wire.AppendCall) bool {
			if to == follower && len(call.Changes) > 0 {
				changesSent++
			}
			return false
		}
		follower.disk.syncTime = 3 * time.Second
		c.runWithWrites(8 * time.Second)
		Expect(changesSent).To(BeNumerically("<=", 2*8), "two calls at most within the limit of a call, which is 1 s")
		follower.disk.syncTime = 0
		catchUpTime(2 * time.Second)
		Expect(c.violations).To(BeEmpty())
	})
})
