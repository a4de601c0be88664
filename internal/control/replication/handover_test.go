package replication_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

// slowOwner is a world whose owner is slow, while one follower is the quickest of the others.
func slowOwner(seed uint64) (w *world, owner, quickest *node) {
	w = grown(seed)
	w.work(5 * time.Second)
	owner = w.owner()
	for _, one := range w.nodes {
		if one == owner {
			one.late = 200 * time.Millisecond
			continue
		}
		one.late = 20 * time.Millisecond
		if slices.Contains(w.voters(), one.disk.name) {
			quickest = one
		}
	}
	quickest.late = time.Millisecond
	return w, owner, quickest
}

// work lets time pass with a change each ten milliseconds.
func (w *world) work(length time.Duration) {
	for range length / time.Millisecond {
		if w.clock.Monotonic()%(10*time.Millisecond) == 0 {
			w.write()
		}
		w.step()
	}
}

var _ = Describe("an owner that is slow", func() {
	It("hands its key on to the quickest follower, without a gap that matters", func() {
		w, _, quickest := slowOwner(300)
		w.work(time.Second)
		without := 0
		for range 1500 {
			w.work(time.Millisecond)
			if w.owner() == nil {
				without++
			}
		}
		Expect(w.owner()).To(Equal(quickest))
		Expect(without).To(BeNumerically("<", 250))
		Expect(w.problems).To(BeEmpty())
	})

	It("stands back for a while, and then asks if nobody else does", func() {
		w, owner, quickest := slowOwner(301)
		w.work(2500 * time.Millisecond)
		Expect(w.owner()).To(Equal(quickest))
		owner.late = 0
		for _, one := range w.nodes {
			if one != owner && slices.Contains(w.voters(), one.disk.name) {
				one.engine.Leave()
			}
		}
		w.work(3 * time.Second)
		Expect(w.owner()).To(BeNil())
		w.work(3 * time.Second)
		Expect(w.owner()).To(Equal(owner))
		Expect(w.problems).To(BeEmpty())
	})

	It("keeps the key if it is slow for a moment only", func() {
		w, owner, _ := slowOwner(302)
		w.work(700 * time.Millisecond)
		owner.late = 0
		w.work(3 * time.Second)
		Expect(w.owner()).To(Equal(owner))
	})

	It("keeps the key while all are slow alike", func() {
		w, owner, _ := slowOwner(303)
		for _, one := range w.nodes {
			one.late = 200 * time.Millisecond
		}
		w.work(12 * time.Second)
		Expect(w.owner()).To(Equal(owner))
	})

	It("keeps the key if it is only a little slow", func() {
		w, owner, _ := slowOwner(304)
		owner.late = 8 * time.Millisecond
		w.work(5 * time.Second)
		Expect(w.owner()).To(Equal(owner))
	})

	It("keeps the key among siblings of the older form, which say nothing of theirs", func() {
		w, owner, _ := slowOwner(305)
		for _, one := range w.nodes {
			one.isOld = true
		}
		w.work(5 * time.Second)
		Expect(w.owner()).To(Equal(owner))
	})

	It("keeps the key for long if it is the key that makes its owner slow", func() {
		w := grown(306)
		w.work(5 * time.Second)
		hands, last := 0, w.owner()
		for turn := range 60 * 20 {
			for _, one := range w.nodes {
				one.late = 0
			}
			if owner := w.owner(); owner != nil {
				if turn%40 < 32 {
					owner.late = 200 * time.Millisecond
				}
				if owner != last {
					hands, last = hands+1, owner
				}
			}
			w.work(50 * time.Millisecond)
		}
		Expect(hands).To(BeNumerically(">=", 2))
		Expect(hands).To(BeNumerically("<=", 3))
		Expect(w.problems).To(BeEmpty())
	})

	It("hears from each voter how long its call has taken there", func() {
		table, err := replication.NewReplicas(mailbox.New(4), newDisk("disk-a"), clock.NewFake(1), time.Second)
		Expect(err).NotTo(HaveOccurred())
		ctx, end := context.WithCancel(context.Background())
		defer end()
		go table.Box().Run(ctx, clock.NewFake(1), mailbox.Owner{Every: time.Minute})
		told, err := table.AskAppend(ctx, wire.AppendCall{Key: key, Epoch: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(told.DelayUs).To(Equal(int64(1)))
	})
})
