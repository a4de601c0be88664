package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a leader", func() {
	It("keeps its leadership while syncs take longer than a lease", func() {
		w := newWorld(910, "a", "b", "c")
		w.run(2 * time.Second)
		leader := w.owner()
		epoch := leader.machine.tenure.Epoch()
		for _, one := range w.nodes {
			one.disk.syncTime = 900 * time.Millisecond
		}
		without := 0
		for range 10000 {
			w.work(time.Millisecond)
			if w.owner() == nil {
				without++
			}
		}
		Expect(w.owner()).To(Equal(leader))
		Expect(leader.machine.tenure.Epoch()).To(Equal(epoch))
		Expect(without).To(BeZero())
		Expect(len(w.acked)).To(BeNumerically(">", 100))
		Expect(w.problems).To(BeEmpty())
	})

	It("does not call without end a disk that refuses, its own or a follower's, and goes on with it afterwards", func() {
		for _, isUnclear := range []bool{false, true} {
			for place := range 2 {
				w := newWorld(920, "a", "b", "c")
				w.run(2 * time.Second)
				struck := append([]*node{w.owner()}, w.others()...)[place]
				struck.disk.refuses, struck.disk.unclear = true, isUnclear
				w.write()
				w.run(time.Second)
				w.appends = 0
				w.run(time.Second)
				Expect(w.appends).To(BeNumerically("<", 40))
				struck.disk.refuses, struck.disk.unclear = false, false
				w.work(time.Second)
				w.run(500 * time.Millisecond)
				w.expectAlike()
				Expect(w.problems).To(BeEmpty())
			}
		}
	})

	It("replaces a voter whose disk stalls", func() {
		w := newWorld(930, "a", "b", "c", "d")
		w.run(2 * time.Second)
		var stalled *node
		for _, one := range w.others() {
			if slices.Contains(w.voters(), one.disk.name) {
				stalled = one
			}
		}
		stalled.disk.stalls = true
		w.work(5 * time.Second)
		Expect(w.voters()).NotTo(ContainElement(stalled.disk.name))
	})

	It("is found within two seconds of a restart of all, though the first candidate can't fetch the large state", func() {
		for seed := range uint64(6) {
			w, _ := restartedBehind(940 + seed)
			w.bytesPerMs = 50
			w.run(2 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.problems).To(BeEmpty())
		}
	})
})

// restartedBehind is a world in which the voter that asks first lacks a change, and all have forgotten their history.
func restartedBehind(seed uint64) (w *world, late *node) {
	w, _ = laden(seed)
	late = w.owner()
	late.kill()
	w.run(3 * time.Second)
	late.start()
	w.run(time.Second)
	Expect(w.owner()).NotTo(Equal(late))
	w.cut[late.name] = true
	w.write()
	w.run(200 * time.Millisecond)
	w.restartAll()
	w.heal()
	return w, late
}

func (w *world) restartAll() {
	for _, one := range w.nodes {
		one.kill()
	}
	for _, one := range w.nodes {
		one.start()
	}
}

var _ = Describe("a candidate whose state is far behind", func() {
	It("lets the voter lead that is furthest, and fetches nothing", func() {
		for seed := range uint64(6) {
			w, _ := restartedBehind(950 + seed)
			w.run(2 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.fetched).To(BeZero())
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("fetches the state in chunks if nobody else asks, and goes on where a broken call stopped", func() {
		for seed := range uint64(6) {
			w, late := restartedBehind(960 + seed)
			w.bytesPerMs, w.chunks = 400, nil
			for _, one := range w.nodes {
				if one != late {
					one.engine.Leave()
				}
			}
			w.until(func() bool { return slices.Contains(w.chunks, 3) })
			w.cut[late.name] = true
			w.run(4 * time.Second)
			w.heal()
			w.run(12 * time.Second)
			Expect(w.owner()).To(Equal(late))
			Expect(w.fetched).To(Equal(1))
			Expect(slices.IndexFunc(w.chunks[slices.Index(w.chunks, 3):], func(number int) bool { return number == 0 })).To(Equal(-1))
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("gives up at once when another leads meanwhile", func() {
		w, late := restartedBehind(970)
		w.bytesPerMs = 400
		for _, one := range w.nodes {
			if one != late {
				one.engine.Leave()
			}
		}
		w.until(func() bool { return slices.Contains(w.chunks, 3) })
		for _, one := range w.others() {
			if one != late {
				one.kill()
				one.start()
			}
		}
		w.run(3 * time.Second)
		w.chunks = nil
		Expect(w.owner()).NotTo(BeNil())
		w.run(2 * time.Second)
		Expect(w.chunks).To(BeEmpty())
		Expect(w.problems).To(BeEmpty())
	})
})
