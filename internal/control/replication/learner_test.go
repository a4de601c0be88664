package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeBurst runs the simulation with two writes every millisecond.
func (c *testCluster) writeBurst(length time.Duration) {
	for range length / time.Millisecond {
		c.write()
		c.write()
		c.step()
	}
}

// runUntilVoter runs the simulation with bursts of writes until a disk is a voter. It returns the elapsed time, at most the timeout.
func (c *testCluster) runUntilVoter(disk string, timeout time.Duration) time.Duration {
	startedAt := c.clock.Monotonic()
	for c.clock.Monotonic()-startedAt < timeout {
		c.writeBurst(10 * time.Millisecond)
		if slices.Contains(c.voters(), disk) {
			break
		}
	}
	return c.clock.Monotonic() - startedAt
}

var _ = Describe("a new disk without alternatives", func() {
	It("becomes a voter though hundreds of changes are made while it answers", func() {
		for _, answerDelay := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
			c := newTestClusterTolerating(2, 1700, "a", "b", "c", "d", "e")
			c.run(3 * time.Second)
			wiped := c.others()[1]
			wiped.delay = answerDelay
			c.writeBurst(500 * time.Millisecond)
			wiped.wipe("disk-fresh")
			took := c.runUntilVoter("disk-fresh", 6*time.Second)
			Expect(took).To(BeNumerically("<", 4*time.Second), answerDelay.String())
			c.writeBurst(6*time.Second - took)
			Expect(c.leader().disk.DiskModel.Heads[key].Voters.Old).To(BeEmpty())
			Expect(c.violations).To(BeEmpty())
			for index, node := range c.nodesHolding(2) {
				node.wipe([]string{"disk-second", "disk-third"}[index])
			}
			c.runWithWrites(4 * time.Second)
			Expect(c.leader()).NotTo(BeNil())
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("does not become a voter while its lag grows", func() {
		c := newTestClusterTolerating(2, 1710, "a", "b", "c", "d", "e")
		c.run(3 * time.Second)
		wiped := c.others()[1]
		c.writeBurst(500 * time.Millisecond)
		wiped.wipe("disk-fresh")
		wiped.disk.syncTime = 5 * time.Second
		Expect(c.runUntilVoter("disk-fresh", 4*time.Second)).To(Equal(4 * time.Second))
		Expect(c.violations).To(BeEmpty())
	})

	It("gets a snapshot of 20 MB though the changes made meanwhile exceed the leader's usual retention", func() {
		c := newTestClusterTolerating(2, 1720, "a", "b", "c", "d", "e")
		c.run(3 * time.Second)
		c.valueBytes = 100 << 10
		for range 200 {
			c.write()
			c.run(15 * time.Millisecond)
		}
		c.valueBytes, c.bytesPerMs = 10<<10, 5000
		c.others()[1].wipe("disk-fresh")
		startedAt := c.clock.Monotonic()
		for c.clock.Monotonic()-startedAt < 40*time.Second && !slices.Contains(c.voters(), "disk-fresh") {
			c.runWithWrites(50 * time.Millisecond)
		}
		AddReportEntry("became a voter after", (c.clock.Monotonic() - startedAt).String())
		Expect(c.clock.Monotonic() - startedAt).To(BeNumerically("<", 40*time.Second))
		Expect(c.violations).To(BeEmpty())
	})
})
