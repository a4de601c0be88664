package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a lost call to a follower", func() {
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
	// catchUpTime runs the simulation until the follower holds the changes that the leader holds now, and returns the elapsed time.
	catchUpTime := func(timeout time.Duration) time.Duration {
		GinkgoHelper()
		goal := leader.disk.Heads[key].Last.Index
		for waited := time.Duration(0); waited < timeout; waited += 5 * time.Millisecond {
			if follower.disk.Heads[key].Last.Index >= goal {
				return waited
			}
			c.run(5 * time.Millisecond)
		}
		Fail("the follower did not catch up within the timeout")
		return timeout
	}
	write := func() {
		c.runWithWrites(30 * time.Millisecond)
	}

	It("is sent again before its timeout if later heartbeats are answered", func() {
		isLost := false
		c.dropsCall = func(to *testNode, call wire.AppendCall) bool {
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

	It("is not sent again while heartbeats are not answered", func() {
		c.dropsCall = func(to *testNode, _ wire.AppendCall) bool { return to == follower }
		write()
		before := c.appendCount
		c.run(900 * time.Millisecond)
		// Five heartbeats to each of the two followers and to the leader's own disk make 15 calls. The limit leaves some to spare.
		Expect(c.appendCount - before).To(BeNumerically("<", 20))
	})

	It("is not sent again more than once per timeout to a slow disk", func() {
		changesSent := 0
		c.dropsCall = func(to *testNode, call wire.AppendCall) bool {
			if to == follower && len(call.Changes) > 0 {
				changesSent++
			}
			return false
		}
		follower.disk.syncTime = 3 * time.Second
		c.runWithWrites(8 * time.Second)
		Expect(changesSent).To(BeNumerically("<=", 2*8), "at most two calls within the timeout of a call, which is 1 s")
		follower.disk.syncTime = 0
		catchUpTime(2 * time.Second)
		Expect(c.violations).To(BeEmpty())
	})
})
