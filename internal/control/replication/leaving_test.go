package replication_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leave is what a steward does at SIGTERM.
func (n *node) leave() {
	n.replicas.Leave()
	n.engine.Leave()
}

// untilVotedOut lets work go on until a leaving node has nothing left to vote on, or the limit has passed.
func (w *world) untilVotedOut(leaving *node, limit time.Duration) bool {
	for end := w.clock.Monotonic() + limit; w.clock.Monotonic() < end; w.work(10 * time.Millisecond) {
		if len(leaving.replicas.VotingOn()) == 0 {
			return true
		}
	}
	return false
}

// aVoter is a voter that does not lead.
func (w *world) aVoter() *node {
	for _, one := range w.others() {
		if slices.Contains(w.voters(), one.disk.name) {
			return one
		}
	}
	return nil
}

var _ = Describe("a steward that leaves in order", func() {
	for place, role := range []string{"the leader", "a follower"} {
		It("is replaced as a voter before it goes, "+role+", so that the next disk may be lost at once", func() {
			for seed := range uint64(8) {
				w := newWorld(1000+seed, "a", "b", "c", "d")
				w.run(2 * time.Second)
				w.work(500 * time.Millisecond)
				leaving := []*node{w.owner(), w.aVoter()}[place]
				leaving.leave()
				Expect(w.untilVotedOut(leaving, 2*time.Second)).To(BeTrue())
				leaving.kill()
				lost := w.owner()
				Expect(lost).NotTo(BeNil())
				Expect(w.voters()).NotTo(ContainElement(leaving.disk.name))
				lost.kill()
				w.nodes = slices.DeleteFunc(w.nodes, func(one *node) bool { return one == lost || one == leaving })
				w.run(3 * time.Second)
				Expect(w.owner()).NotTo(BeNil())
				Expect(w.problems).To(BeEmpty())
			}
		})
	}

	It("hands its key to the follower that holds most if no disk is left to replace its own", func() {
		for seed := range uint64(8) {
			w := newWorld(1020+seed, "a", "b", "c")
			w.run(2 * time.Second)
			w.work(500 * time.Millisecond)
			leaving := w.owner()
			voters := w.voters()
			behind := w.aVoter()
			behind.disk.stalls = true
			w.work(100 * time.Millisecond)
			leaving.leave()
			Expect(w.untilVotedOut(leaving, 600*time.Millisecond)).To(BeFalse())
			behind.disk.stalls = false
			leaving.kill()
			Expect(w.owner()).NotTo(BeNil())
			Expect(w.owner()).NotTo(Equal(behind))
			Expect(w.voters()).To(Equal(voters))
			Expect(w.fetched).To(BeZero())
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("waits for the changes that are under way, but not long", func() {
		w := newWorld(1040, "a", "b", "c")
		w.run(2 * time.Second)
		leaving := w.owner()
		w.write()
		leaving.leave()
		w.run(100 * time.Millisecond)
		Expect(w.acked).To(HaveLen(1))
		w = newWorld(1041, "a", "b", "c")
		w.run(2 * time.Second)
		leaving = w.owner()
		w.write()
		leaving.leave()
		for _, one := range w.nodes {
			one.disk.stalls = true
		}
		w.run(300 * time.Millisecond)
		Expect(leaving.engine.IsLeader()).To(BeFalse())
	})

	It("does not go on as a candidate", func() {
		w := newWorld(1050, "a", "b", "c")
		for _, one := range w.nodes {
			one.disk.stalls = true
		}
		w.until(func() bool { return w.trials > 0 })
		w.run(30 * time.Millisecond)
		for _, one := range w.nodes {
			one.engine.Leave()
			one.disk.stalls = false
		}
		w.run(3 * time.Second)
		Expect(w.owner()).To(BeNil())
	})

	It("is not told that it may go while the new voters lack what was acknowledged", func() {
		for seed := range uint64(8) {
			w := newWorld(1060+seed, "a", "b", "c", "d")
			w.run(2 * time.Second)
			w.work(500 * time.Millisecond)
			leaving, hung := w.owner(), w.aVoter()
			hung.disk.stalls = true
			leaving.leave()
			Expect(w.untilVotedOut(leaving, 4*time.Second)).To(BeTrue())
			holders := 0
			for _, one := range w.nodes {
				if one != leaving && w.holdsAll(one) {
					holders++
				}
			}
			Expect(holders).To(BeNumerically(">=", 2))
			Expect(w.problems).To(BeEmpty())
		}
	})

	It("costs no snapshot but the first when all restart in turn, and no more than moments without a leader", func() {
		w := newWorld(1080, "a", "b", "c", "d")
		w.run(2 * time.Second)
		w.work(500 * time.Millisecond)
		without := 0
		for turn, one := range w.nodes {
			if turn == 1 {
				w.wholes, w.pieces = 0, nil
			}
			one.leave()
			for end := w.clock.Monotonic() + 2*time.Second; w.clock.Monotonic() < end && len(one.replicas.VotingOn()) > 0; w.work(time.Millisecond) {
				if w.owner() == nil {
					without++
				}
			}
			one.kill()
			for range 3000 {
				w.work(time.Millisecond)
				if w.owner() == nil {
					without++
				}
			}
			one.start()
			w.work(4 * time.Second)
		}
		w.run(time.Second)
		Expect(w.wholes).To(BeZero())
		Expect(w.pieces).To(BeEmpty())
		Expect(without).To(BeNumerically("<", 1500))
		Expect(w.voters()).To(HaveLen(3))
		Expect(w.problems).To(BeEmpty())
	})

	It("is a voter like others once it is back", func() {
		w := newWorld(1090, "a", "b", "c")
		w.run(2 * time.Second)
		leaving := w.owner()
		leaving.leave()
		w.run(time.Second)
		leaving.kill()
		leaving.start()
		w.run(2 * time.Second)
		w.add("d").start()
		w.run(3 * time.Second)
		Expect(w.voters()).To(ContainElement(leaving.disk.name))
	})
})
