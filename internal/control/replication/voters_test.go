package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// grown is a world of five voters out of six stewards, whose first voters are a, b and c.
func grown(seed uint64) *world {
	w := newWorldBearing(2, seed, "a", "b", "c", "d", "e", "f")
	w.run(3 * time.Second)
	Expect(w.voters()).To(HaveLen(5))
	return w
}

func (w *world) voters() []string {
	owner := w.owner()
	if owner == nil {
		return nil
	}
	return owner.disk.Shelf.Heads[key].Set.Now
}

// holders are up to count nodes whose disks hold all that was acknowledged, the owner the first.
func (w *world) holders(count int) []*node {
	var all []*node
	for _, one := range append([]*node{w.owner()}, w.nodes...) {
		if len(all) < count && !slices.Contains(all, one) && w.holdsAll(one) {
			all = append(all, one)
		}
	}
	return all
}

func (w *world) holdsAll(one *node) bool {
	whole, _ := one.disk.Read(key)
	for name := range w.acked {
		if !slices.ContainsFunc(whole.Pairs, func(pair wire.Op) bool { return pair.Name == name }) {
			return false
		}
	}
	return true
}

var _ = Describe("the voters of a key", func() {
	It("grow from three to five in one change and well under a second, while commits flow", func() {
		w := newWorldBearing(2, 1, "a", "b", "c", "d", "e")
		w.until(func() bool { return w.owner() != nil })
		began := w.clock.Monotonic()
		for len(w.voters()) < 5 {
			w.write()
			w.run(5 * time.Millisecond)
			Expect(w.voters()).NotTo(HaveLen(4))
			Expect(w.clock.Monotonic() - began).To(BeNumerically("<", 600*time.Millisecond))
		}
		w.run(200 * time.Millisecond)
		Expect(w.owner().disk.Shelf.Heads[key].Set.Old).To(BeEmpty())
		Expect(len(w.acked)).To(BeNumerically(">", 5))
		Expect(w.problems).To(BeEmpty())
	})

	It("need three disks of five for a commit", func() {
		w := grown(2)
		for _, one := range w.nodes {
			if one != w.owner() && (slices.Contains(w.voters(), one.disk.name)) && len(w.stalled()) < 3 {
				one.disk.stalls = true
			}
		}
		w.write()
		w.run(150 * time.Millisecond)
		Expect(w.acked).To(BeEmpty())
		w.stalled()[0].disk.stalls = false
		w.run(100 * time.Millisecond)
		Expect(w.acked).To(HaveLen(1))
	})

	for seed := range uint64(6) {
		It(fmt.Sprintf("keep what was acknowledged when two disks that hold it are wiped and all others lose power, seed %d", seed), func() {
			w := grown(10 + seed)
			before := len(w.acked)
			w.until(func() bool {
				w.write()
				w.run(6 * time.Millisecond)
				return len(w.acked) > before
			})
			struck := w.holders(2)
			Expect(struck).To(HaveLen(2))
			for place, one := range struck {
				one.wipe(fmt.Sprintf("disk-%s-%d", one.name, place))
			}
			for _, one := range w.nodes {
				if !slices.Contains(struck, one) {
					one.kill()
					one.start()
				}
			}
			w.run(5 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.problems).To(BeEmpty())
			Expect(w.voters()).To(HaveLen(5))
			for _, one := range struck {
				for _, past := range one.past {
					Expect(w.voters()).NotTo(ContainElement(past))
				}
			}
		})
	}

	It("are made whole after two are lost, so that the next two may be lost", func() {
		w := grown(20)
		w.write()
		w.run(100 * time.Millisecond)
		for round := range 3 {
			for place, one := range w.holders(2) {
				one.wipe(fmt.Sprintf("disk-%s-%d-%d", one.name, round, place))
			}
			w.run(4 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.voters()).To(HaveLen(5))
		}
		Expect(w.problems).To(BeEmpty())
	})

	It("grow during a loss of all power", func() {
		for cut := range 40 {
			w := newWorldBearing(2, uint64(30+cut), "a", "b", "c", "d", "e")
			w.until(func() bool { return w.owner() != nil })
			for range cut {
				w.write()
				w.run(8 * time.Millisecond)
			}
			for _, one := range w.nodes {
				one.kill()
				one.start()
			}
			w.run(4 * time.Second)
			Expect(w.problems).To(BeEmpty())
			Expect(w.voters()).To(HaveLen(5))
		}
	})

	It("are swapped while a cut lasts, and the one that comes back disturbs nobody", func() {
		w := grown(3)
		owner := w.owner()
		w.cut[owner.name] = true
		for range 40 {
			w.write()
			w.run(100 * time.Millisecond)
		}
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.voters()).To(HaveLen(5))
		Expect(w.voters()).NotTo(ContainElement(owner.disk.name))
		now, epoch := w.owner(), w.owner().machine.tenure.Epoch()
		delete(w.cut, owner.name)
		w.trials = 0
		w.run(4 * time.Second)
		Expect(w.owner()).To(Equal(now))
		Expect(now.machine.tenure.Epoch()).To(Equal(epoch))
		Expect(w.trials).To(BeNumerically("<=", 3*5))
		Expect(w.problems).To(BeEmpty())
	})

	It("change once at a time: a change that the old voters have not agreed to is not followed by another", func() {
		w := newWorldBearing(2, 9, "a", "b", "c", "d", "e", "f")
		w.until(func() bool { return w.owner() != nil && len(w.owner().engine.Belief().Set.Old) > 0 })
		owner := w.owner()
		for _, one := range w.nodes[:3] {
			w.cut[one.name] = one != owner
		}
		for range 25 {
			w.write()
			w.run(100 * time.Millisecond)
		}
		Expect(w.acked).To(BeEmpty())
		Expect(owner.engine.Belief().Set.Old).To(ConsistOf("disk-a", "disk-b", "disk-c"))
		w.heal()
		w.run(4 * time.Second)
		Expect(w.voters()).To(HaveLen(5))
		Expect(w.problems).To(BeEmpty())
	})

	It("are not the new ones alone before the old ones have agreed", func() {
		w := newWorldBearing(2, 40, "a", "b", "c", "d", "e")
		w.eats = func(to *node, call wire.AppendCall) bool {
			isJoint := func(change wire.Change) bool { return change.Set != nil && len(change.Set.Old) > 0 }
			return slices.Contains(w.nodes[:3], to) && to.disk.name != call.Disk && slices.ContainsFunc(call.Changes, isJoint)
		}
		for range 600 {
			w.write()
			w.run(5 * time.Millisecond)
		}
		Expect(w.acked).NotTo(BeEmpty())
		Expect(w.problems).To(BeEmpty())
		w.eats = nil
		w.run(4 * time.Second)
		Expect(w.voters()).To(HaveLen(5))
		Expect(w.problems).To(BeEmpty())
	})

	It("are spread so that a domain holds as few as can be", func() {
		w := newWorldBearing(2, 4, "a", "b", "c")
		for place, name := range []string{"d", "e", "f", "g", "h"} {
			w.add(name).domain = []string{"one", "one", "two", "two", "four"}[place]
		}
		for place, domain := range []string{"one", "two", "three"} {
			w.nodes[place].domain = domain
		}
		for _, one := range w.nodes[3:] {
			one.start()
		}
		w.run(3 * time.Second)
		Expect(w.voters()).To(HaveLen(5))
		held := map[string]int{}
		for _, disk := range w.voters() {
			held[w.byDisk(disk).domain]++
		}
		Expect(held).To(HaveKeyWithValue("four", 1))
		Expect(held).To(HaveLen(4))
	})

	It("stay an odd number while there are too few disks", func() {
		w := newWorldBearing(2, 5, "a", "b", "c", "d")
		w.run(3 * time.Second)
		Expect(w.voters()).To(HaveLen(3))
		w.add("e").start()
		w.run(2 * time.Second)
		Expect(w.voters()).To(HaveLen(5))
	})

	It("shrink by those that are lost, and by no live one", func() {
		w := grown(6)
		for _, one := range w.nodes {
			one.kill()
			w.losses = 1
			one.start()
		}
		w.run(4 * time.Second)
		Expect(w.voters()).To(HaveLen(5))
		for _, one := range slices.Clone(w.nodes) {
			if one != w.owner() && slices.Contains(w.voters(), one.disk.name) && len(w.voters()) > 3 {
				one.kill()
				w.run(3 * time.Second)
			}
		}
		Expect(w.voters()).To(HaveLen(3))
		Expect(w.problems).To(BeEmpty())
	})

	It("never count a steward without a disk", func() {
		w := newWorldBearing(2, 7, "a", "b", "c", "d", "e")
		w.diskless = []wire.Member{{Name: "x", Role: "steward", Domain: "far"}, {Name: "y", Role: "steward", Domain: "off"}}
		w.until(func() bool { return w.owner() != nil })
		w.run(600 * time.Millisecond)
		Expect(w.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("never wait for a machine that is known to be gone", func() {
		w := newWorldBearing(2, 11, "a", "b", "c", "d", "e")
		for _, name := range []string{"g", "h", "i", "j", "k", "l"} {
			w.add(name)
		}
		w.until(func() bool { return w.owner() != nil })
		w.run(600 * time.Millisecond)
		Expect(w.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("take a machine's new disk for its old one as soon as that is known", func() {
		w := newWorldBearing(2, 13, "a", "b", "c", "d", "e")
		w.run(2 * time.Second)
		owner := w.owner()
		victim := w.nodes[(slices.Index(w.nodes, owner)+1)%5]
		victim.wipe("disk-fresh")
		w.run(time.Second)
		Expect(w.voters()).To(HaveLen(5))
		Expect(w.voters()).To(ContainElement("disk-fresh"))
	})

	It("are sent nothing once they are voted out", func() {
		w := grown(14)
		victim := w.nodes[slices.IndexFunc(w.nodes, func(one *node) bool {
			return one != w.owner() && slices.Contains(w.voters(), one.disk.name)
		})]
		victim.isFrozen = true
		w.until(func() bool {
			w.write()
			w.run(9 * time.Millisecond)
			return !slices.Contains(w.voters(), victim.disk.name)
		})
		victim.isFrozen = false
		var last [2]wire.LogPosition
		for place := range last {
			for range 100 {
				w.write()
				w.run(5 * time.Millisecond)
			}
			last[place] = victim.disk.Shelf.Heads[key].Last
		}
		Expect(last[1]).To(Equal(last[0]))
	})

	It("leave alone a newcomer that is no longer needed", func() {
		w := grown(15)
		isVoter := func(one *node) bool { return slices.Contains(w.voters(), one.disk.name) }
		spare := w.nodes[slices.IndexFunc(w.nodes, func(one *node) bool { return !isVoter(one) })]
		victim := w.nodes[slices.IndexFunc(w.nodes, func(one *node) bool { return one != w.owner() && isVoter(one) })]
		w.cut[spare.name], victim.isFrozen = true, true
		w.run(1900 * time.Millisecond)
		victim.isFrozen = false
		w.run(300 * time.Millisecond)
		delete(w.cut, spare.name)
		w.write()
		w.run(500 * time.Millisecond)
		Expect(isVoter(victim)).To(BeTrue())
		Expect(spare.disk.Shelf.Heads[key].Last).To(Equal(wire.LogPosition{}))
	})

	It("keep a lost one while there is none to take its place", func() {
		w := newWorldBearing(2, 12, "a", "b", "c", "d", "e")
		w.run(2 * time.Second)
		for _, one := range w.nodes {
			if one != w.owner() {
				one.kill()
				break
			}
		}
		w.run(3 * time.Second)
		Expect(w.voters()).To(ConsistOf("disk-a", "disk-b", "disk-c", "disk-d", "disk-e"))
	})

	It("pass over a newcomer that does not answer", func() {
		for place := range 3 {
			w := newWorldBearing(2, 8, "a", "b", "c", "d", "e", "f")
			silent := w.nodes[3+place]
			w.cut[silent.name] = true
			w.run(5 * time.Second)
			Expect(w.voters()).To(HaveLen(5))
			Expect(w.voters()).NotTo(ContainElement(silent.disk.name))
		}
	})

	for seed := range uint64(24) {
		It(fmt.Sprintf("keep their promises through a random schedule of faults on two at once, seed %d", seed), func() {
			w := newWorldBearing(2, 200+seed, "a", "b", "c", "d", "e", "f")
			w.loss = 0.1
			wipes := 0
			for range 40 {
				w.misfortunes(&wipes)
				for range 5 {
					w.write()
					w.run(time.Duration(20+w.draw.IntN(80)) * time.Millisecond)
				}
				Expect(w.problems).To(BeEmpty())
			}
			w.heal()
			w.loss = 0
			w.run(8 * time.Second)
			Expect(w.voters()).To(HaveLen(5))
			Expect(w.acked).NotTo(BeEmpty())
			Expect(w.problems).To(BeEmpty())
		})
	}
})

// until lets time pass until something is so.
func (w *world) until(isSo func() bool) {
	for end := w.clock.Monotonic() + 5*time.Second; !isSo(); w.step() {
		Expect(w.clock.Monotonic()).To(BeNumerically("<", end))
	}
}

func (w *world) stalled() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(one *node) bool { return !one.disk.stalls })
}

func (w *world) heal() {
	clear(w.cut)
	for _, one := range w.nodes {
		one.isFrozen, one.disk.stalls = false, false
		if !one.isUp {
			one.start()
		}
	}
}

// misfortunes strikes two nodes at once, and at times all others with them.
func (w *world) misfortunes(wipes *int) {
	w.heal()
	place := w.draw.IntN(len(w.nodes))
	struck := []*node{w.nodes[place], w.nodes[(place+1+w.draw.IntN(len(w.nodes)-1))%len(w.nodes)]}
	if *wipes < 8 && w.draw.IntN(4) == 0 && w.areVotersWhole() {
		for _, one := range struck {
			*wipes++
			one.wipe(fmt.Sprintf("disk-%s-%d", one.name, *wipes))
		}
		if w.draw.IntN(2) == 0 {
			for _, one := range w.nodes {
				if !slices.Contains(struck, one) {
					one.kill()
					one.start()
				}
			}
		}
		w.run(7 * time.Second)
		return
	}
	for _, one := range struck {
		switch w.draw.IntN(5) {
		case 0:
			one.kill()
		case 1:
			w.cut[one.name] = true
		case 2:
			one.isFrozen = true
		case 3:
			one.disk.stalls = true
		case 4:
			one.kill()
			one.start()
		}
	}
}

// areVotersWhole tells whether five live voters stand by what the owner holds, so that two more may be lost.
func (w *world) areVotersWhole() bool {
	owner := w.owner()
	if owner == nil {
		return false
	}
	head := owner.disk.Shelf.Heads[key]
	isBehind := func(disk string) bool {
		one := w.byDisk(disk)
		return one == nil || one.disk.Shelf.Heads[key].Last.Epoch != head.Last.Epoch
	}
	return len(head.Set.Now) == 5 && len(head.Set.Old) == 0 && !slices.ContainsFunc(head.Set.Now, isBehind)
}
