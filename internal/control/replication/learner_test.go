package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rush lets time pass with two changes each millisecond.
func (w *world) rush(length time.Duration) {
	for range length / time.Millisecond {
		w.write()
		w.write()
		w.step()
	}
}

// untilVoter rushes on until a disk is a voter, and gives the time that it took, or the limit.
func (w *world) untilVoter(disk string, limit time.Duration) time.Duration {
	began := w.clock.Monotonic()
	for w.clock.Monotonic()-began < limit {
		w.rush(10 * time.Millisecond)
		if slices.Contains(w.voters(), disk) {
			break
		}
	}
	return w.clock.Monotonic() - began
}

var _ = Describe("a new disk, with no other to spare", func() {
	It("becomes a voter although its answers take as long as hundreds of changes", func() {
		for _, late := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
			w := newWorldBearing(2, 1700, "a", "b", "c", "d", "e")
			w.run(3 * time.Second)
			wiped := w.others()[1]
			wiped.late = late
			w.rush(500 * time.Millisecond)
			wiped.wipe("disk-fresh")
			took := w.untilVoter("disk-fresh", 6*time.Second)
			Expect(took).To(BeNumerically("<", 4*time.Second), late.String())
			w.rush(6*time.Second - took)
			Expect(w.owner().disk.Shelf.Heads[key].Set.Old).To(BeEmpty())
			Expect(w.problems).To(BeEmpty())
			for place, one := range w.holders(2) {
				one.wipe([]string{"disk-second", "disk-third"}[place])
			}
			w.work(4 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("does not become one while it falls ever further behind", func() {
		w := newWorldBearing(2, 1710, "a", "b", "c", "d", "e")
		w.run(3 * time.Second)
		wiped := w.others()[1]
		w.rush(500 * time.Millisecond)
		wiped.wipe("disk-fresh")
		wiped.disk.syncTime = 5 * time.Second
		Expect(w.untilVoter("disk-fresh", 4*time.Second)).To(Equal(4 * time.Second))
		Expect(w.problems).To(BeEmpty())
	})

	It("gets a state of 20 MB although the changes made meanwhile are more than a leader keeps otherwise", func() {
		w := newWorldBearing(2, 1720, "a", "b", "c", "d", "e")
		w.run(3 * time.Second)
		w.bulk = 100 << 10
		for range 200 {
			w.write()
			w.run(15 * time.Millisecond)
		}
		w.bulk, w.bytesPerMs = 10<<10, 5000
		w.others()[1].wipe("disk-fresh")
		began := w.clock.Monotonic()
		for w.clock.Monotonic()-began < 40*time.Second && !slices.Contains(w.voters(), "disk-fresh") {
			w.work(50 * time.Millisecond)
		}
		AddReportEntry("a voter after", (w.clock.Monotonic() - began).String())
		Expect(w.clock.Monotonic() - began).To(BeNumerically("<", 40*time.Second))
		Expect(w.problems).To(BeEmpty())
	})
})
