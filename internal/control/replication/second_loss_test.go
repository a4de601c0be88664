package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// remove takes a node away for good, with its disk.
func (w *world) remove(lost *node) {
	lost.kill()
	w.wipedAt = w.clock.Monotonic()
	w.nodes = slices.DeleteFunc(w.nodes, func(one *node) bool { return one == lost })
}

var _ = Describe("a second loss", func() {
	It("in the moment of the swap that a cut of 20 s brought about, or just after its end, costs nothing acknowledged", func() {
		for moment := range 5 {
			w := newWorldBearing(2, 1100+uint64(moment), "a", "b", "c", "d", "e", "f")
			w.run(3 * time.Second)
			w.work(500 * time.Millisecond)
			cutOff := w.owner()
			w.cut[cutOff.name] = true
			w.work(1400*time.Millisecond + time.Duration(moment)*160*time.Millisecond)
			second := w.nodes[(slices.Index(w.nodes, cutOff)+1+moment%5)%6]
			second.wipe(fmt.Sprintf("disk-second-%d", moment))
			w.work(17 * time.Second)
			delete(w.cut, cutOff.name)
			w.work(4 * time.Second)
			Expect(w.problems).To(BeEmpty())
			Expect(w.voters()).To(HaveLen(5))
			for place, one := range w.holders(2) {
				one.wipe(fmt.Sprintf("disk-third-%d-%d", moment, place))
			}
			w.work(4 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("four seconds after a cut of 20 s finds all on the two others of three disks, with no fourth", func() {
		for seed := range uint64(2) {
			w := newWorld(1200+seed, "a", "b", "c")
			w.run(2 * time.Second)
			cutOff := w.nodes[seed%3]
			w.cut[cutOff.name] = true
			w.work(20 * time.Second)
			delete(w.cut, cutOff.name)
			w.work(4 * time.Second)
			Expect(w.voters()).To(HaveLen(3))
			lost := w.holders(1)[0]
			lost.wipe("disk-fresh")
			w.work(4 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.voters()).To(ContainElement("disk-fresh"))
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("while the successor of a replaced machine is still a learner leaves a leader and all that was acknowledged", func() {
		for moment := range 15 {
			w := newWorldBearing(2, 1300+uint64(moment), "a", "b", "c", "d", "e")
			w.run(2 * time.Second)
			w.work(500 * time.Millisecond)
			first := w.others()[moment%4]
			w.remove(first)
			w.add("fresh").start()
			w.work(time.Duration(moment) * 30 * time.Millisecond)
			second := w.holders(1)[0]
			w.remove(second)
			w.add("fresher").start()
			w.work(5 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.voters()).To(HaveLen(5))
			Expect(w.voters()).To(ContainElements("disk-fresh", "disk-fresher"))
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("four seconds after a replacement finds a large state on the new disk, over links of 2 MB/s", func() {
		for seed := range uint64(4) {
			w, one := laden(1400 + seed)
			w.bytesPerMs = 2000
			w.remove(one)
			w.add("fresh").start()
			began := w.clock.Monotonic()
			w.until(func() bool { return slices.Contains(w.voters(), "disk-fresh") && w.holdsAll(w.byDisk("disk-fresh")) })
			Expect(w.clock.Monotonic() - began).To(BeNumerically("<", 4*time.Second))
			AddReportEntry("replaced after", (w.clock.Monotonic() - began).String())
			w.work(began + 4*time.Second - w.clock.Monotonic())
			w.remove(w.owner())
			w.add("fresher").start()
			w.work(4 * time.Second)
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.problems).To(BeEmpty())
		}
	})
})
