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

// newSlowLeaderCluster returns a cluster, its leader, which is slow, and the voter with the shortest delay.
func newSlowLeaderCluster(seed uint64) (c *testCluster, leader, fastest *testNode) {
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
			fastest = node
		}
	}
	fastest.delay = time.Millisecond
	return c, leader, fastest
}

// runWithWrites runs the simulation with a write every ten milliseconds.
func (c *testCluster) runWithWrites(length time.Duration) {
	for range length / time.Millisecond {
		if c.clock.Monotonic()%(10*time.Millisecond) == 0 {
			c.write()
		}
		c.step()
	}
}

var _ = Describe("a leader that is slow", func() {
	It("transfers its key to the fastest follower, with less than 250 ms without a leader", func() {
		c, _, fastest := newSlowLeaderCluster(300)
		c.runWithWrites(time.Second)
		leaderless := 0
		for range 1500 {
			c.runWithWrites(time.Millisecond)
			if c.leader() == nil {
				leaderless++
			}
		}
		Expect(c.leader()).To(Equal(fastest))
		Expect(leaderless).To(BeNumerically("<", 250))
		Expect(c.violations).To(BeEmpty())
	})

	It("does not campaign for a while after the transfer, and then does if there is no leader", func() {
		c, leader, fastest := newSlowLeaderCluster(301)
		c.runWithWrites(2500 * time.Millisecond)
		Expect(c.leader()).To(Equal(fastest))
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

	It("keeps the key if it is slow for less than a second", func() {
		c, leader, _ := newSlowLeaderCluster(302)
		c.runWithWrites(700 * time.Millisecond)
		leader.delay = 0
		c.runWithWrites(3 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key if all nodes are equally slow", func() {
		c, leader, _ := newSlowLeaderCluster(303)
		for _, node := range c.nodes {
			node.delay = 200 * time.Millisecond
		}
		c.runWithWrites(12 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key if it is only a little slow", func() {
		c, leader, _ := newSlowLeaderCluster(304)
		leader.delay = 8 * time.Millisecond
		c.runWithWrites(5 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("keeps the key among peers of an earlier version, which report no sync delay", func() {
		c, leader, _ := newSlowLeaderCluster(305)
		for _, node := range c.nodes {
			node.isEarlierVersion = true
		}
		c.runWithWrites(5 * time.Second)
		Expect(c.leader()).To(Equal(leader))
	})

	It("rarely transfers a key whose load makes any leader slow", func() {
		c := newGrownCluster(306)
		c.runWithWrites(5 * time.Second)
		transfers, last := 0, c.leader()
		for round := range 60 * 20 {
			for _, node := range c.nodes {
				node.delay = 0
			}
			if leader := c.leader(); leader != nil {
				if round%40 < 32 {
					leader.delay = 200 * time.Millisecond
				}
				if leader != last {
					transfers, last = transfers+1, leader
				}
			}
			c.runWithWrites(50 * time.Millisecond)
		}
		Expect(transfers).To(BeNumerically(">=", 2))
		Expect(transfers).To(BeNumerically("<=", 3))
		Expect(c.violations).To(BeEmpty())
	})

	It("gets the processing time of a call from the voter's answer", func() {
		table, err := replication.NewReplicas(mailbox.New(4), newDisk("disk-a"), clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go table.Mailbox().Run(ctx, clock.NewFake(1), mailbox.Owner{Every: time.Minute})
		response, err := table.AskAppend(ctx, wire.AppendCall{Key: key, Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.DelayUs).To(Equal(int64(1)))
	})
})
