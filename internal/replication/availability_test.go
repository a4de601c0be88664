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
})
