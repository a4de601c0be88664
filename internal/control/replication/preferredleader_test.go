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
		c = newTestClusterTolerating(2, 410)
		c.options = []replication.Option{replication.WithPreferredLeader()}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			c.add(name).start()
		}
		c.runWithWrites(10 * time.Second)
		preferred = c.leader()
		Expect(preferred).NotTo(BeNil())
	})
	// leaderlessTimeUntil runs the simulation until a wanted node leads the key, and returns how long there was no leader.
	leaderlessTimeUntil := func(isWanted func(*testNode) bool, timeout time.Duration) (leaderless time.Duration) {
		GinkgoHelper()
		for range timeout / time.Millisecond {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				leaderless += time.Millisecond
			} else if isWanted(c.leader()) {
				return leaderless
			}
		}
		Fail("the key was not transferred within the timeout")
		return leaderless
	}
	isOther := func(node *testNode) bool { return node != preferred }
	isPreferred := func(node *testNode) bool { return node == preferred }

	It("stays with that leader, and returns to it some time after its restart with a short gap", func() {
		c.runWithWrites(20 * time.Second)
		Expect(c.leader()).To(Equal(preferred))
		preferred.kill()
		leaderlessTimeUntil(isOther, 3*time.Second)
		preferred.start()
		c.runWithWrites(14 * time.Second)
		Expect(c.leader()).NotTo(Equal(preferred), "the preferred voter has not been eligible for long enough")
		Expect(leaderlessTimeUntil(isPreferred, 6*time.Second)).To(BeNumerically("<", 300*time.Millisecond))
		c.runWithWrites(10 * time.Second)
		Expect(c.leader()).To(Equal(preferred))
		Expect(c.violations).To(BeEmpty())
	})

	It("stays with another leader while the preferred voter is slower", func() {
		preferred.kill()
		leaderlessTimeUntil(isOther, 3*time.Second)
		preferred.start()
		preferred.delay = 60 * time.Millisecond
		c.runWithWrites(20 * time.Second)
		Expect(c.leader()).NotTo(Equal(preferred))
		preferred.delay = 0
		leaderlessTimeUntil(isPreferred, 20*time.Second)
		Expect(c.violations).To(BeEmpty())
	})
})
