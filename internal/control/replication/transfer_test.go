package replication_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
)

// laden is a world whose state takes some ten pieces, and a follower that is not the owner.
func laden(seed uint64) (w *world, one *node) {
	w = newWorld(seed, "a", "b", "c")
	w.run(2 * time.Second)
	w.bulk = 100 << 10
	for range 25 {
		w.write()
		w.run(40 * time.Millisecond)
	}
	w.bulk = 0
	Expect(len(w.acked)).To(BeNumerically(">", 20))
	w.wholes = 0
	return w, w.others()[0]
}

var _ = Describe("a whole state", func() {
	It("travels in pieces, through loss, doubling and another order", func() {
		for seed := range uint64(5) {
			w, one := laden(500 + seed)
			w.loss = 0.4
			one.wipe("disk-fresh")
			w.work(6 * time.Second)
			w.loss = 0
			w.run(4 * time.Second)
			Expect(w.wholes).To(BeZero())
			Expect(slices.Max(w.pieces)).To(BeNumerically(">", 6))
			Expect(w.voters()).To(ContainElement("disk-fresh"))
			Expect(w.problems).To(BeEmpty())
			w.expectAlike()
		}
	})

	It("goes on with the piece that is missing once the way is open again, and is installed at the last", func() {
		w, one := laden(510)
		hasEaten := false
		w.eats = func(_ *node, call wire.AppendCall) bool {
			isNext := !hasEaten && call.Chunk != nil && call.Chunk.Number == 4
			hasEaten = hasEaten || isNext
			return isNext
		}
		one.wipe("disk-fresh")
		w.work(800 * time.Millisecond)
		Expect(hasEaten).To(BeTrue())
		Expect(one.disk.Shelf.Heads[key].Last).To(Equal(wire.LogPosition{}))
		w.work(3 * time.Second)
		w.run(time.Second)
		Expect(slices.Index(w.pieces, 5)).To(BeNumerically(">", 0))
		Expect(slices.IndexFunc(w.pieces[1:], func(number int) bool { return number == 0 })).To(Equal(-1))
		Expect(w.voters()).To(ContainElement("disk-fresh"))
		w.expectAlike()
	})

	It("arrives while changes flow, and they lead on from it", func() {
		w, one := laden(550)
		one.kill()
		w.work(2 * time.Second)
		w.add("d").start()
		w.work(1500 * time.Millisecond)
		Expect(w.voters()).To(ContainElement("disk-d"))
		Expect(slices.Index(w.pieces[1:], 0)).To(Equal(-1))
	})

	It("is not sent into silence, but as soon as the silent one speaks", func() {
		w, one := laden(560)
		w.cut[one.name] = true
		w.bulk = 10 << 10
		w.work(3 * time.Second)
		w.bulk, w.pieces = 0, nil
		w.work(3 * time.Second)
		Expect(w.pieces).To(BeEmpty())
		delete(w.cut, one.name)
		w.work(2 * time.Second)
		w.run(time.Second)
		Expect(w.pieces).NotTo(BeEmpty())
		w.expectAlike()
	})

	It("starts again with a newer one once the changes no longer lead on from it", func() {
		w, one := laden(540)
		w.eats = func(_ *node, call wire.AppendCall) bool { return call.Chunk != nil && call.Chunk.Number == 4 }
		one.wipe("disk-fresh")
		w.work(3 * time.Second)
		w.eats = nil
		w.work(3 * time.Second)
		w.run(time.Second)
		again := slices.Index(w.pieces[1:], 0) + 1
		Expect(again).To(BeNumerically(">", 0))
		Expect(w.pieces[:again]).NotTo(ContainElement(5))
		Expect(w.voters()).To(ContainElement("disk-fresh"))
		w.expectAlike()
	})

	It("starts again under another owner, and when the disk it was for is wiped", func() {
		for place, strike := range []func(w *world, one *node){
			func(w *world, _ *node) { w.owner().engine.Leave() },
			func(_ *world, one *node) { one.wipe("disk-fresher") },
			func(_ *world, one *node) { one.kill(); one.start() },
		} {
			w, one := laden(520 + uint64(place))
			one.wipe("disk-fresh")
			w.until(func() bool { return slices.Contains(w.pieces, 3) })
			strike(w, one)
			w.work(5 * time.Second)
			w.run(time.Second)
			Expect(w.voters()).To(ContainElement(one.disk.name), fmt.Sprint(place))
			Expect(w.problems).To(BeEmpty())
			w.expectAlike()
		}
	})

	It("is sent in one call to a sibling of the older form", func() {
		w, one := laden(530)
		one.isOld = true
		one.wipe("disk-fresh")
		w.work(4 * time.Second)
		w.run(time.Second)
		Expect(w.wholes).To(BeNumerically(">", 0))
		Expect(w.voters()).To(ContainElement("disk-fresh"))
		w.expectAlike()
	})
})
