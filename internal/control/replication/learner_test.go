package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeBurst lets time pass with two changes each millisecond.
func (c *testCluster) writeBurst(length time.Duration) {
	for range length / time.Millisecond {
		c.write()
		c.write()
		c.step()
	}
}

// runUntilVoter rushes on until a disk is a voter, and gives the time that it took, or the limit.
func (c *testCluster) runUntilVoter(disk string, limit time.Duration) time.Duration {
	began := c.clock.Monotonic()
	for c.clock.Monotonic()-began < limit {
		c.writeBurst(10 * time.Millisecond)
		if slices.Contains(c.voters(), disk) {
			break
		}
	}
	return c.clock.Monotonic() - began
}

var _ = Describe("a new disk, with no other to spare", func() {
	It("becomes a voter although its answers take as long as hundreds of changes", func() {
		for _, late := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
			c := newTestClusterBearing(2, 1700, "a", "b", "c", "d", "e")
			c.run(3 * time.Second)
			wiped := c.others()[1]
			wiped.delay = late
			c.writeBurst(500 * time.Millisecond)
			wiped.wipe("disk-fresh")
			took := c.runUntilVoter("disk-fresh", 6*time.Second)
			Expect(took).To(BeNumerically("<", 4*time.Second), late.String())
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

	It("does not become one while it falls ever further behind", func() {
		c := newTestClusterBearing(2, 1710, "a", "b", "c", "d", "e")
		c.run(3 * time.Second)
		wiped := c.others()[1]
		c.writeBurst(500 * time.Millisecond)
		wiped.wipe("disk-fresh")
		wiped.disk.syncTime = 5 * time.Second
		Expect(c.runUntilVoter("disk-fresh", 4*time.Second)).To(Equal(4 * time.Second))
		Expect(c.violations).To(BeEmpty())
	})

	It("gets a state of 20 MB although the changes made meanwhile are more than a leader keeps otherwise", func() {
		c := newTestClusterBearing(2, 1720, "a", "b", "c", "d", "e")
		c.run(3 * time.Second)
		c.valueBytes = 100 << 10
		for range 200 {
			c.write()
			c.run(15 * time.Millisecond)
		}
		c.valueBytes, c.bytesPerMs = 10<<10, 5000
		c.others()[1].wipe("disk-fresh")
		began := c.clock.Monotonic()
		for c.clock.Monotonic()-began < 40*time.Second && !slices.Contains(c.voters(), "disk-fresh") {
			c.runWithWrites(50 * time.Millisecond)
		}
		AddReportEntry("a voter after", (c.clock.Monotonic() - began).String())
		Expect(c.clock.Monotonic() - began).To(BeNumerically("<", 40*time.Second))
		Expect(c.violations).To(BeEmpty())
	})
})
