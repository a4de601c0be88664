package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a key and its owner", func() {
	It("finds one owner, and commits on a majority", func() {
		w := newWorld(1, "a", "b", "c")
		w.run(2 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		w.write()
		w.run(100 * time.Millisecond)
		Expect(w.acked).To(HaveLen(1))
		Expect(w.problems).To(BeEmpty())
	})

	It("does not commit while the owner is alone", func() {
		w := newWorld(2, "a", "b", "c")
		w.run(2 * time.Second)
		w.cut[w.owner().name] = true
		old := w.owner()
		w.run(30 * time.Millisecond)
		w.write()
		w.run(300 * time.Millisecond)
		Expect(w.acked).To(BeEmpty())
		w.run(3 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.owner().name).NotTo(Equal(old.name))
		Expect(w.problems).To(BeEmpty())
	})

	It("is not deposed by a steward that comes back from a cut", func() {
		w := newWorld(3, "a", "b", "c")
		w.run(2 * time.Second)
		owner := w.owner()
		epoch := owner.machine.tenure.Epoch()
		other := w.nodes[(slices.Index(w.nodes, owner)+1)%3]
		w.cut[other.name] = true
		w.run(8 * time.Second)
		delete(w.cut, other.name)
		w.run(4 * time.Second)
		Expect(w.owner()).To(Equal(owner))
		Expect(owner.machine.tenure.Epoch()).To(Equal(epoch))
	})

	It("changes hands soon when the owner leaves in order", func() {
		w := newWorld(4, "a", "b", "c")
		w.run(2 * time.Second)
		old := w.owner()
		old.engine.Leave()
		w.run(700 * time.Millisecond)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.owner()).NotTo(Equal(old))
		Expect(w.problems).To(BeEmpty())
	})

	It("keeps what it acknowledged when all lose power at once", func() {
		w := newWorld(5, "a", "b", "c")
		w.run(2 * time.Second)
		for range 20 {
			w.write()
			w.run(40 * time.Millisecond)
		}
		Expect(len(w.acked)).To(BeNumerically(">", 10))
		for _, one := range w.nodes {
			one.kill()
		}
		for _, one := range w.nodes {
			one.start()
		}
		w.run(4 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.problems).To(BeEmpty())
	})

	It("takes a wiped disk for a new voter, and then survives the next loss", func() {
		w := newWorld(6, "a", "b", "c")
		w.run(2 * time.Second)
		w.write()
		w.run(100 * time.Millisecond)
		w.nodes[0].wipe("disk-a2")
		w.run(6 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.nodes[0].disk.Shelf.Heads[key].Set.Now).To(ContainElement("disk-a2"))
		w.write()
		w.run(100 * time.Millisecond)
		w.nodes[1].kill()
		w.run(4 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.problems).To(BeEmpty())
	})

	It("replaces a machine that is gone for good, before the next one may be lost", func() {
		w := newWorld(7, "a", "b", "c")
		w.run(2 * time.Second)
		w.nodes[2].kill()
		w.run(2 * time.Second)
		w.add("d").start()
		w.run(4 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.owner().disk.Shelf.Heads[key].Set.Now).To(ConsistOf("disk-a", "disk-b", "disk-d"))
		Expect(w.problems).To(BeEmpty())
	})

	It("goes on while one disk hangs, the owner's too", func() {
		w := newWorld(8, "a", "b", "c")
		w.run(2 * time.Second)
		w.owner().disk.stalls = true
		w.write()
		w.run(200 * time.Millisecond)
		Expect(w.acked).To(HaveLen(1))
		Expect(w.problems).To(BeEmpty())
	})

	It("carries the time of day as the median of the voters', whichever clock jumps", func() {
		w := newWorld(9, "a", "b", "c")
		w.run(2 * time.Second)
		for _, one := range w.nodes {
			for _, jump := range []int64{5000, -5000} {
				one.clock.jump = jump
				w.run(time.Second)
				Expect(w.owner().machine.tenure.WallMs()).To(BeNumerically("~", w.clock.WallMs(), 20))
			}
			one.clock.jump = 0
			w.run(time.Second)
		}
	})

	for seed := range uint64(24) {
		It(fmt.Sprintf("keeps its promises through a random schedule of faults, seed %d", seed), func() {
			w := newWorld(100+seed, "a", "b", "c")
			w.loss = 0.1
			wipes := 0
			for range 60 {
				w.misfortune(&wipes)
				for range 5 {
					w.write()
					w.run(time.Duration(20+w.draw.IntN(80)) * time.Millisecond)
				}
				Expect(w.problems).To(BeEmpty())
			}
			clear(w.cut)
			for _, one := range w.nodes {
				one.isFrozen, one.disk.stalls = false, false
				if !one.isUp {
					one.start()
				}
			}
			w.loss = 0
			w.run(8 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.acked).NotTo(BeEmpty())
			Expect(w.problems).To(BeEmpty())
		})
	}
})

// misfortune strikes one node at a time, as much as may be lost at once.
func (w *world) misfortune(wipes *int) {
	for _, one := range w.nodes {
		if !one.isUp {
			one.start()
		}
		one.isFrozen, one.disk.stalls = false, false
	}
	clear(w.cut)
	victim := w.nodes[w.draw.IntN(len(w.nodes))]
	switch w.draw.IntN(7) {
	case 0:
		victim.kill()
	case 1:
		w.cut[victim.name] = true
	case 2:
		victim.isFrozen = true
	case 3:
		victim.disk.stalls = true
	case 4:
		for _, one := range w.nodes {
			one.kill()
			one.start()
		}
	case 5:
		if *wipes < 6 && w.healthy() {
			*wipes++
			victim.wipe(fmt.Sprintf("disk-%s-%d", victim.name, *wipes))
			w.run(7 * time.Second)
		}
	}
}

// healthy tells whether every disk is a voter that has caught up, so that one more may be lost.
func (w *world) healthy() bool {
	owner := w.owner()
	if owner == nil {
		return false
	}
	head := owner.disk.Shelf.Heads[key]
	for _, one := range w.nodes {
		isVoter := slices.Contains(head.Set.Now, one.disk.name)
		if !isVoter || one.disk.Shelf.Heads[key].Last.Epoch != head.Last.Epoch || len(head.Set.Old) > 0 {
			return false
		}
	}
	return true
}
