package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

// others returns all nodes except the leader.
func (c *testCluster) others() []*testNode {
	leader := c.leader()
	return slices.DeleteFunc(slices.Clone(c.nodes), func(node *testNode) bool { return node == leader })
}

func (c *testCluster) expectSameState() {
	GinkgoHelper()
	snapshot, _ := c.leader().disk.Read(key)
	for _, node := range c.nodes {
		other, _ := node.disk.Read(key)
		Expect(other.Pairs).To(Equal(snapshot.Pairs))
	}
}

// newFailoverCluster returns a cluster whose leader was killed while one follower lacked some changes that the other held. A new leader
// has been elected.
func newFailoverCluster(seed uint64) (c *testCluster, oldLeader *testNode) {
	c = newTestCluster(seed, "a", "b", "c")
	c.run(2 * time.Second)
	c.runWithWrites(500 * time.Millisecond)
	oldLeader = c.leader()
	lagging := c.others()[0]
	c.isolated[lagging.name] = true
	c.runWithWrites(100 * time.Millisecond)
	c.snapshotsSent, c.snapshotsInstalled = 0, 0
	oldLeader.kill()
	delete(c.isolated, lagging.name)
	c.runWithWrites(3 * time.Second)
	Expect(c.leader()).NotTo(BeNil())
	return c, oldLeader
}

var _ = Describe("a follower that is behind", func() {
	It("is sent the missing changes and no snapshot by a new leader", func() {
		for seed := range uint64(6) {
			c, oldLeader := newFailoverCluster(400 + seed)
			Expect(c.snapshotsSent + c.snapshotsInstalled).To(BeZero())
			oldLeader.start()
			c.runWithWrites(3 * time.Second)
			c.run(time.Second)
			Expect(c.violations).To(BeEmpty())
			c.expectSameState()
		}
	})

	It("is sent the missing changes and no snapshot when it returns after hundreds of changes", func() {
		c := newTestCluster(405, "a", "b", "c")
		c.run(2 * time.Second)
		follower := c.others()[0]
		follower.kill()
		c.runWithWrites(8 * time.Second)
		Expect(len(c.acknowledged)).To(BeNumerically(">", 500))
		c.snapshotsSent, c.chunksSent = 0, nil
		follower.start()
		c.run(time.Second)
		Expect(c.snapshotsSent).To(BeZero())
		Expect(c.chunksSent).To(BeEmpty())
		c.expectSameState()
		Expect(c.violations).To(BeEmpty())
	})

	It("fetches the missing changes and no snapshot when it becomes leader, unless its peer is of an earlier version", func() {
		for _, isEarlierVersion := range []bool{false, true} {
			c := newTestCluster(420, "a", "b", "c")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			for _, node := range c.others() {
				node.isEarlierVersion = isEarlierVersion
			}
			oldLeader, lagging := c.leader(), c.others()[0]
			c.isolated[lagging.name] = true
			c.runWithWrites(100 * time.Millisecond)
			c.others()[1].engine.Leave()
			c.snapshotsInstalled = 0
			oldLeader.kill()
			delete(c.isolated, lagging.name)
			c.runWithWrites(3 * time.Second)
			Expect(c.leader()).To(Equal(lagging))
			Expect(c.snapshotsInstalled > 0).To(Equal(isEarlierVersion))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("is sent a snapshot if it holds changes that were never committed", func() {
		c := newTestCluster(410, "a", "b", "c")
		c.run(2 * time.Second)
		c.runWithWrites(500 * time.Millisecond)
		old := c.leader()
		c.isolated[old.name] = true
		c.runWithWrites(100 * time.Millisecond)
		old.isFrozen = true
		c.runUntil(func() bool { return c.leader() != nil })
		c.runWithWrites(500 * time.Millisecond)
		Expect(c.leader().disk.DiskModel.Heads[key].Last.Index).To(BeNumerically(">", old.disk.DiskModel.Heads[key].Last.Index))
		delete(c.isolated, old.name)
		old.isFrozen, c.snapshotsSent = false, 0
		c.runWithWrites(3 * time.Second)
		c.run(time.Second)
		Expect(c.snapshotsSent).To(BeNumerically(">", 0))
		Expect(c.violations).To(BeEmpty())
		c.expectSameState()
	})

	It("has a bounded history of consecutive changes, which a snapshot resets", func() {
		disk := newDisk("disk-a")
		table, err := replication.NewReplicas(mailbox.New(64), disk, clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		prev := wire.LogPosition{}
		for step := range uint64(9000) {
			next := wire.LogPosition{Epoch: 1 + step/5000, Index: step + 1}
			change := wire.Change{Position: next, Ops: []wire.Op{{Name: fmt.Sprint(step % 7), Value: []byte("1")}}}
			table.Append(wire.AppendCall{Key: key, Epoch: next.Epoch, Prev: prev, Changes: []wire.Change{change}},
				func(wire.AppendAnswer) {})
			disk.pendingWrites[0]()
			disk.pendingWrites = nil
			table.Mailbox().Drain()
			prev = next
		}
		history := table.History(key)
		Expect(len(history.Changes)).To(BeNumerically(">", 1000))
		Expect(len(history.Changes)).To(BeNumerically("<=", 4000))
		Expect(history.Changes[0].Position.Index).To(Equal(history.Base.Index + 1))
		Expect(history.Changes[len(history.Changes)-1].Position).To(Equal(prev))
		table.Append(wire.AppendCall{Key: key, Epoch: 3, Snapshot: &wire.Snapshot{Last: prev}}, func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		Expect(table.History(key)).To(Equal(replication.History{Base: prev}))
	})

	It("starts a new history at the position of its disk after a restart, without rejected changes", func() {
		disk := newDisk("disk-a")
		disk.DiskModel.Apply(storage.Write{Key: key, Epoch: 1, Changes: []wire.Change{{Position: wire.LogPosition{Epoch: 1, Index: 1}}}})
		table, err := replication.NewReplicas(mailbox.New(64), disk, clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 2}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}},
			func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		history := replication.History{Base: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}}
		Expect(table.History(key)).To(Equal(history))
		disk.pendingWrites = nil
		refused := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 9}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 8}, Changes: []wire.Change{refused}},
			func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		Expect(table.History(key)).To(Equal(history))
	})
})
