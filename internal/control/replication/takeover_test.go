package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// slowReaders gives all nodes processors that need so long to read the state.
func (w *world) slowReaders(readTime time.Duration) {
	for _, one := range w.nodes {
		one.readTime = readTime
	}
}

// settleTime is how long it takes until one leader has held its lease for two seconds on end; a limit ends the wait.
func (w *world) settleTime(limit time.Duration) time.Duration {
	began, since := w.clock.Monotonic(), w.clock.Monotonic()
	var leader *node
	for w.clock.Monotonic()-began < limit {
		w.work(time.Millisecond)
		if now := w.owner(); now == nil || now != leader {
			leader, since = now, w.clock.Monotonic()
		}
		if leader != nil && w.clock.Monotonic()-since >= 2*time.Second {
			return since - began
		}
	}
	return limit
}

// highestPromise is the highest epoch that any disk has promised.
func (w *world) highestPromise() (highest uint64) {
	for _, one := range w.nodes {
		highest = max(highest, one.disk.Shelf.Heads[key].Promised)
	}
	return highest
}

// leaderWhile prepares each node, and gives the first that has taken the lease over; the others are as before then.
func (w *world) leaderWhile(prepare func(one *node)) *node {
	for _, one := range w.nodes {
		prepare(one)
	}
	var first *node
	w.until(func() bool {
		for _, one := range w.nodes {
			if one.replicas.Status(key).Disk == one.disk.name {
				first = one
			}
		}
		return first != nil
	})
	for _, one := range w.nodes {
		if one != first {
			one.readTime = 0
		}
	}
	return first
}

var _ = Describe("a take-over on slow processors", func() {
	It("after a restart of all settles once one of them has read the state", func() {
		for seed := range uint64(5) {
			for _, readTime := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				w := grown(1500 + seed)
				w.work(500 * time.Millisecond)
				before := len(w.owners)
				w.slowReaders(readTime)
				w.restartAll()
				took := w.settleTime(60 * time.Second)
				AddReportEntry("settled after", readTime.String()+": "+took.String())
				Expect(took).To(BeNumerically("<", readTime+3*time.Second), "seed %d, read in %v", seed, readTime)
				Expect(len(w.owners)-before).To(Equal(1), "leaderships, seed %d, read in %v", seed, readTime)
				Expect(w.problems).To(BeEmpty())
			}
		}
	})

	It("is left to another steward where the disk gives no state to begin with", func() {
		w := grown(1520)
		w.run(time.Second)
		w.restartAll()
		stuck := w.leaderWhile(func(one *node) { one.readTime = time.Hour })
		w.run(8 * time.Second)
		Expect(w.owner()).To(BeNil())
		w.run(4 * time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.owner()).NotTo(Equal(stuck))
		Expect(w.problems).To(BeEmpty())
	})

	It("sends nobody the state it began with where that would take back what a disk holds", func() {
		w := newWorldBearing(2, 1530, "a", "b", "c", "d", "e")
		w.run(2 * time.Second)
		w.bulk = 100 << 10
		w.work(500 * time.Millisecond)
		w.bulk = 0
		w.run(100 * time.Millisecond)
		owner, others := w.owner(), w.others()
		behind, ahead := others[0], others[1]
		w.eats = func(to *node, call wire.AppendCall) bool { return to == behind && len(call.Changes) > 0 }
		w.write()
		w.run(200 * time.Millisecond)
		w.eats = func(to *node, call wire.AppendCall) bool {
			return to != ahead && to != owner && len(call.Changes) > 0
		}
		w.write()
		w.run(30 * time.Millisecond)
		Expect(behind.disk.Shelf.Heads[key].Last.Below(others[2].disk.Shelf.Heads[key].Last)).To(BeTrue())
		Expect(others[2].disk.Shelf.Heads[key].Last.Below(ahead.disk.Shelf.Heads[key].Last)).To(BeTrue())
		w.eats = nil
		w.slowReaders(4 * time.Second)
		w.restartAll()
		w.bytesPerMs = 4000
		w.remove(owner)
		ahead.kill()
		w.run(2 * time.Second)
		ahead.start()
		w.work(9 * time.Second)
		w.run(time.Second)
		Expect(w.owner()).NotTo(BeNil())
		Expect(w.problems).To(BeEmpty())
		w.expectAlike()
	})

	It("after a restart of all takes one epoch, also where the first candidate lacks changes and each call takes long", func() {
		for seed := range uint64(8) {
			for _, slowness := range []time.Duration{0, 100 * time.Millisecond, 150 * time.Millisecond} {
				w := grown(1800 + seed)
				w.work(500 * time.Millisecond)
				before := w.highestPromise()
				w.slowness = slowness
				w.restartAll()
				w.until(func() bool { return w.owner() != nil })
				Expect(w.highestPromise()-before).To(Equal(uint64(1)), "seed %d, slowness %v", seed, slowness)
				w.work(5 * time.Second)
				Expect(w.highestPromise()-before).To(Equal(uint64(1)), "seed %d, slowness %v", seed, slowness)
				Expect(w.problems).To(BeEmpty())
			}
		}
	})

	It("is left to others where the furthest voter does not send what it has", func() {
		w, late := restartedBehind(1540)
		w.silentFetches = true
		for _, one := range w.nodes {
			if one != late {
				one.engine.Leave()
			}
		}
		holds := func() bool {
			return slices.ContainsFunc(w.nodes, func(one *node) bool {
				status := one.replicas.Status(key)
				return status.Disk == late.disk.name && w.clock.Monotonic() < status.LeaseEnd
			})
		}
		w.until(holds)
		w.run(400 * time.Millisecond)
		Expect(holds()).To(BeTrue())
		w.run(400 * time.Millisecond)
		Expect(holds()).To(BeFalse())
		Expect(w.problems).To(BeEmpty())
	})

	It("holds its lease most of the time, where each answer takes longer than the pause between two heartbeats", func() {
		for seed := range uint64(5) {
			w := grown(1800 + seed)
			w.slowness = 330 * time.Millisecond
			w.work(5 * time.Second)
			led := time.Duration(0)
			for range 30000 {
				w.work(time.Millisecond)
				if w.owner() != nil {
					led += time.Millisecond
				}
			}
			AddReportEntry("of 30 s, with calls of 330 to 660 ms", led.String())
			Expect(led).To(BeNumerically(">", 20*time.Second), "seed %d", seed)
			Expect(w.problems).To(BeEmpty())
		}
	})
})
