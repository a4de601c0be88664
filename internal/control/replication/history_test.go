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

// others are all nodes but the leader.
func (c *testCluster) others() []*testNode {
	leader := c.leader()
	return slices.DeleteFunc(slices.Clone(c.nodes), func(node *testNode) bool { return node == leader })
}

func (c *testCluster) expectSameState() {
	GinkgoHelper()
	snapshot, _ := c.leader().disk.Read(key)
	for _, node := range c.nodes {
		count, _ := node.disk.Read(key)
		Expect(count.Pairs).To(Equal(snapshot.Pairs))
	}
}

// takeOverBy is a cluster whose leader dies while one follower is some changes behind the other.
func takeOverBy(seed uint64) (c *testCluster, dead *testNode) {
	c = newTestCluster(seed, "a", "b", "c")
	c.run(2 * time.Second)
	c.runWithWrites(500 * time.Millisecond)
	dead = c.leader()
	late := c.others()[0]
	c.isolated[late.name] = true
	c.runWithWrites(100 * time.Millisecond)
	c.snapshotsSent, c.snapshotsInstalled = 0, 0
	dead.kill()
	delete(c.isolated, late.name)
	c.runWithWrites(3 * time.Second)
	Expect(c.leader()).NotTo(BeNil())
	return c, dead
}

var _ = Describe("a follower that is behind", func() {
	It("is sent what it misses and no snapshot, though the leader is another", func() {
		for seed := range uint64(6) {
			c, dead := takeOverBy(400 + seed)
			Expect(c.snapshotsSent + c.snapshotsInstalled).To(BeZero())
			dead.start()
			c.runWithWrites(3 * time.Second)
			c.run(time.Second)
			Expect(c.violations).To(BeEmpty())
			c.expectSameState()
		}
	})

	It("is sent what it misses and no snapshot when it comes back after hundreds of changes", func() {
		c := newTestCluster(405, "a", "b", "c")
		c.run(2 * time.Second)
		away := c.others()[0]
		away.kill()
		c.runWithWrites(8 * time.Second)
		Expect(len(c.acknowledged)).To(BeNumerically(">", 500))
		c.snapshotsSent, c.chunksSent = 0, nil
		away.start()
		c.run(time.Second)
		Expect(c.snapshotsSent).To(BeZero())
		Expect(c.chunksSent).To(BeEmpty())
		c.expectSameState()
		Expect(c.violations).To(BeEmpty())
	})

	It("fetches what it misses and no snapshot when it takes over itself, unless its peer is of an earlier version", func() {
		for _, isOld := range []bool{false, true} {
			c := newTestCluster(420, "a", "b", "c")
			c.run(2 * time.Second)
			c.runWithWrites(500 * time.Millisecond)
			for _, node := range c.others() {
				node.lacksChunkSupport = isOld
			}
			dead, late := c.leader(), c.others()[0]
			c.isolated[late.name] = true
			c.runWithWrites(100 * time.Millisecond)
			c.others()[1].engine.Leave()
			c.snapshotsInstalled = 0
			dead.kill()
			delete(c.isolated, late.name)
			c.runWithWrites(3 * time.Second)
			Expect(c.leader()).To(Equal(late))
			Expect(c.snapshotsInstalled > 0).To(Equal(isOld))
			Expect(c.violations).To(BeEmpty())
		}
	})

	It("is sent the snapshot if it holds changes that were never agreed to", func() {
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

	It("finds the last changes there, one after the other and not without bound", func() {
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
		count := table.History(key)
		Expect(len(count.Changes)).To(BeNumerically(">", 1000))
		Expect(len(count.Changes)).To(BeNumerically("<=", 4000))
		Expect(count.Changes[0].Position.Index).To(Equal(count.Base.Index + 1))
		Expect(count.Changes[len(count.Changes)-1].Position).To(Equal(prev))
		table.Append(wire.AppendCall{Key: key, Epoch: 3, Snapshot: &wire.Snapshot{Last: prev}}, func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		Expect(table.History(key)).To(Equal(replication.History{Base: prev}))
	})

	It("forgets its history on a restart, and starts it where its disk stands", func() {
		disk := newDisk("disk-a")
		disk.DiskModel.Apply(storage.Write{Key: key, Epoch: 1, Changes: []wire.Change{{Position: wire.LogPosition{Epoch: 1, Index: 1}}}})
		table, err := replication.NewReplicas(mailbox.New(64), disk, clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 2}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}},
			func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		count := replication.History{Base: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}}
		Expect(table.History(key)).To(Equal(count))
		disk.pendingWrites = nil
		refused := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 9}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 8}, Changes: []wire.Change{refused}},
			func(wire.AppendAnswer) {})
		disk.pendingWrites[0]()
		table.Mailbox().Drain()
		Expect(table.History(key)).To(Equal(count))
	})
})
