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

// others are all nodes but the owner.
func (w *world) others() []*node {
	owner := w.owner()
	return slices.DeleteFunc(slices.Clone(w.nodes), func(one *node) bool { return one == owner })
}

func (w *world) expectAlike() {
	GinkgoHelper()
	whole, _ := w.owner().disk.Read(key)
	for _, one := range w.nodes {
		held, _ := one.disk.Read(key)
		Expect(held.Pairs).To(Equal(whole.Pairs))
	}
}

// takenOver is a world whose owner dies while one follower is some changes behind the other.
func takenOver(seed uint64) (w *world, dead *node) {
	w = newWorld(seed, "a", "b", "c")
	w.run(2 * time.Second)
	w.work(500 * time.Millisecond)
	dead = w.owner()
	late := w.others()[0]
	w.cut[late.name] = true
	w.work(100 * time.Millisecond)
	w.wholes, w.fetched = 0, 0
	dead.kill()
	delete(w.cut, late.name)
	w.work(3 * time.Second)
	Expect(w.owner()).NotTo(BeNil())
	return w, dead
}

var _ = Describe("a follower that is behind", func() {
	It("is sent what it misses and no whole state, though the owner is another", func() {
		for seed := range uint64(6) {
			w, dead := takenOver(400 + seed)
			Expect(w.wholes + w.fetched).To(BeZero())
			dead.start()
			w.work(3 * time.Second)
			w.run(time.Second)
			Expect(w.problems).To(BeEmpty())
			w.expectAlike()
		}
	})

	It("is sent what it misses and no whole state when it comes back after hundreds of changes", func() {
		w := newWorld(405, "a", "b", "c")
		w.run(2 * time.Second)
		away := w.others()[0]
		away.kill()
		w.work(8 * time.Second)
		Expect(len(w.acked)).To(BeNumerically(">", 500))
		w.wholes, w.pieces = 0, nil
		away.start()
		w.run(time.Second)
		Expect(w.wholes).To(BeZero())
		Expect(w.pieces).To(BeEmpty())
		w.expectAlike()
		Expect(w.problems).To(BeEmpty())
	})

	It("fetches what it misses and no whole state when it takes over itself, unless its sibling is of the older form", func() {
		for _, isOld := range []bool{false, true} {
			w := newWorld(420, "a", "b", "c")
			w.run(2 * time.Second)
			w.work(500 * time.Millisecond)
			for _, one := range w.others() {
				one.isOld = isOld
			}
			dead, late := w.owner(), w.others()[0]
			w.cut[late.name] = true
			w.work(100 * time.Millisecond)
			w.others()[1].engine.Leave()
			w.fetched = 0
			dead.kill()
			delete(w.cut, late.name)
			w.work(3 * time.Second)
			Expect(w.owner()).To(Equal(late))
			Expect(w.fetched > 0).To(Equal(isOld))
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("is sent the whole state if it holds changes that were never agreed to", func() {
		w := newWorld(410, "a", "b", "c")
		w.run(2 * time.Second)
		w.work(500 * time.Millisecond)
		old := w.owner()
		w.cut[old.name] = true
		w.work(100 * time.Millisecond)
		old.isFrozen = true
		w.until(func() bool { return w.owner() != nil })
		w.work(500 * time.Millisecond)
		Expect(w.owner().disk.Shelf.Heads[key].Last.Index).To(BeNumerically(">", old.disk.Shelf.Heads[key].Last.Index))
		delete(w.cut, old.name)
		old.isFrozen, w.wholes = false, 0
		w.work(3 * time.Second)
		w.run(time.Second)
		Expect(w.wholes).To(BeNumerically(">", 0))
		Expect(w.problems).To(BeEmpty())
		w.expectAlike()
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
			disk.line[0]()
			disk.line = nil
			table.Box().Drain()
			prev = next
		}
		held := table.History(key)
		Expect(len(held.Changes)).To(BeNumerically(">", 1000))
		Expect(len(held.Changes)).To(BeNumerically("<=", 4000))
		Expect(held.Changes[0].Position.Index).To(Equal(held.Base.Index + 1))
		Expect(held.Changes[len(held.Changes)-1].Position).To(Equal(prev))
		table.Append(wire.AppendCall{Key: key, Epoch: 3, Snapshot: &wire.Snapshot{Last: prev}}, func(wire.AppendAnswer) {})
		disk.line[0]()
		table.Box().Drain()
		Expect(table.History(key)).To(Equal(replication.History{Base: prev}))
	})

	It("forgets its history on a restart, and starts it where its disk stands", func() {
		disk := newDisk("disk-a")
		disk.Shelf.Apply(storage.Write{Key: key, Epoch: 1, Changes: []wire.Change{{Position: wire.LogPosition{Epoch: 1, Index: 1}}}})
		table, err := replication.NewReplicas(mailbox.New(64), disk, clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		change := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 2}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}},
			func(wire.AppendAnswer) {})
		disk.line[0]()
		table.Box().Drain()
		held := replication.History{Base: wire.LogPosition{Epoch: 1, Index: 1}, Changes: []wire.Change{change}}
		Expect(table.History(key)).To(Equal(held))
		disk.line = nil
		refused := wire.Change{Position: wire.LogPosition{Epoch: 1, Index: 9}}
		table.Append(wire.AppendCall{Key: key, Epoch: 1, Prev: wire.LogPosition{Epoch: 1, Index: 8}, Changes: []wire.Change{refused}},
			func(wire.AppendAnswer) {})
		disk.line[0]()
		table.Box().Drain()
		Expect(table.History(key)).To(Equal(held))
	})
})
