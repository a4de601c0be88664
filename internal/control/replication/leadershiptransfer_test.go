package replication_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

// slowLeader is a cluster whose leader is slow, while one follower is the quickest of the others.
func slowLeader(seed uint64) (c *testCluster, leader, quickest *testNode) {
	c = newGrownCluster(seed)
	c.runWithWrites(5 * time.Second)
	leader = c.leader()
	for _, node := range c.nodes {
		if node == leader {
			node.delay = 200 * time.Millisecond
			continue
		}
		node.delay = 20 * time.Millisecond
		if slices.Contains(c.voters(), node.disk.name) {
			quickest = node
		}
	}
	quickest.delay = time.Millisecond
	return c, leader, quickest
}

// runWithWrites lets time pass with a change each ten milliseconds.
func (c *testCluster) runWithWrites(length time.Duration) {
	for range length / time.Millisecond {
		if c.clock.Monotonic()%(10*time.Millisecond) == 0 {
			c.write()
		}
		c.step()
	}
}

var _ = Describe("a leader that is slow", func() {
	It("hands its key on to the quickest follower, without a gap that matters", func() {
		c, _, quickest := slowLeader(300)
		c.runWithWrites(time.Second)
		without := 0
		for range 1500 {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				without++
			}
		}
		Expect(c.leader()).To(Equal(quickest))
		Expect(without).To(BeNumerically("<", 250))
		Expect(c.violations).To(BeEmpty())
	})

	It("stands back for a while, and then asks if nobody else does", func() {
		c, leader, quickest := slowLeader(301)
		c.runWithWrites(2500 * time.Millisecond)
		Expect(c.leader()).To(Equal(quickest))
		leader.delay = 0
		for _, node := range c.nodes {
			if node != leader && slices.Contains(c.voters(), node.disk.name) {
				node.engine.Leave()
			}
		}
		c.runWithWrites(3 * time.Second)
		Expect(c.leader()).To(BeNil())
		c.runWithWrites(3 * time.Second)
		Expect(c.leader()).To(Equal(leader))
		Expect(c.violations).To(BeEmpty())
	})

	It("keeps the key if it is slow for a moment only", func() {
		c, leader, _ := slowLeader(302)
		c.runWithWrites(700 * time.Millisecond)
		leader.delay = 0
		c.runWithWrites(3 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key while all are slow alike", func() {
		c, leader, _ := slowLeader(303)
		for _, node := range c.nodes {
			node.delay = 200 * time.Millisecond
		}
		c.runWithWrites(12 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key if it is only a little slow", func() {
		c, leader, _ := slowLeader(304)
		leader.delay = 8 * time.Millisecond
		c.runWithWrites(5 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key among peers of an earlier version, which say nothing of theirs", func() {
		c, leader, _ := slowLeader(305)
		for _, node := range c.nodes {
			node.lacksChunkSupport = true
		}
		c.runWithWrites(5 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key for long if it is the key that makes its leader slow", func() {
		c := newGrownCluster(306)
		c.runWithWrites(5 * time.Second)
		hands, last := 0, c.leader()
		for turn := range 60 * 20 {
			for _, node := range c.nodes {
				node.delay = 0
			}
			if leader := c.leader(); leader != nil {
				if turn%40 < 32 {
					leader.delay = 200 * time.Millisecond
				}
				if leader != last {
					hands, last = hands+1, leader
				}
			}
			c.runWithWrites(50 * time.Millisecond)
		}
		Expect(hands).To(BeNumerically(">=", 2))
		Expect(hands).To(BeNumerically("<=", 3))
		Expect(c.violations).To(BeEmpty())
	})

	It("hears from each voter how long its call has taken there", func() {
		table, err := replication.NewReplicas(mailbox.New(4), newDisk("disk-a"), clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go table.Mailbox().Run(ctx, clock.NewFake(1), mailbox.Owner{Every: time.Minute})
		response, err := table.AskAppend(ctx, wire.AppendCall{Key: key, Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.DelayUs).To(Equal(int64(1)))
	})
})
