package replication_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/replication"
)

var _ = Describe("a key with a preferred leader", func() {
	var c *testCluster
	var preferred *testNode
	BeforeEach(func() {
		c = newTestClusterBearing(2, 410)
		c.options = []replication.Option{replication.WithPreferredLeader()}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			c.add(name).start()
		}
		c.runWithWrites(10 * time.Second)
		preferred = c.leader()
		Expect(preferred).NotTo(BeNil())
	})
	// gap plays on until the key is led by a node, and gives how long nobody led it.
	gap := func(by func(*testNode) bool, limit time.Duration) (without time.Duration) {
		GinkgoHelper()
		for range limit / time.Millisecond {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				without += time.Millisecond
			} else if by(c.leader()) {
				return without
			}
		}
		Fail("it did not move")
		return without
	}
	isOther := func(node *testNode) bool { return node != preferred }
	isPreferred := func(node *testNode) bool { return node == preferred }

	It("stays with it, and comes back to it some time after it was away, with a short gap", func() {
		c.runWithWrites(20 * time.Second)
		Expect(c.leader()).To(Equal(preferred))
		preferred.kill()
		gap(isOther, 3*time.Second)
		preferred.start()
		c.runWithWrites(14 * time.Second)
		Expect(c.leader()).NotTo(Equal(preferred), "it must have been fit to lead for a while")
		Expect(gap(isPreferred, 6*time.Second)).To(BeNumerically("<", 300*time.Millisecond))
		c.runWithWrites(10 * time.Second)
		Expect(c.leader()).To(Equal(preferred))
		Expect(c.violations).To(BeEmpty())
	})

	It("is left where it is while the preferred one is slower", func() {
		preferred.kill()
		gap(isOther, 3*time.Second)
		preferred.start()
		preferred.delay = 60 * time.Millisecond
		c.runWithWrites(20 * time.Second)
		Expect(c.leader()).NotTo(Equal(preferred))
		preferred.delay = 0
		gap(isPreferred, 20*time.Second)
		Expect(c.violations).To(BeEmpty())
	})
})
