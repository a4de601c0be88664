package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

type letter struct {
	from, to string
	datagram wire.Datagram
}

// town is a set of tables that hear each other on the next beat, unless a road is shut.
type town struct {
	clock  *clock.Fake
	tables map[string]*membership.Table
	views  map[string]*membership.View
	ahead  map[string]int64
	shut   map[string]bool
	post   []letter
}

func newTown(count int) *town {
	t := &town{clock: clock.NewFake(1000), tables: map[string]*membership.Table{}, views: map[string]*membership.View{},
		ahead: map[string]int64{}, shut: map[string]bool{}}
	for number := range count {
		address := fmt.Sprintf("n%d", number)
		self := wire.Member{Name: address, Role: "gate", Address: address, Incarnation: 1}
		t.tables[address] = membership.NewTable(self, t.clock, membership.DefaultTiming, uint64(number), membership.Events{
			Send:      func(to string, datagram wire.Datagram) { t.post = append(t.post, letter{address, to, datagram}) },
			Show:      func(view *membership.View) { t.views[address] = view },
			PlanAhead: func(_ wire.Member, version int64) { t.ahead[address] = version },
			Differ:    func(wire.Member) {},
		})
	}
	for _, one := range t.tables {
		for _, other := range t.tables {
			one.Merge(other.Self())
		}
		one.Settle()
	}
	return t
}

func (t *town) run(length time.Duration) {
	for range length / (350 * time.Millisecond) {
		t.clock.Advance(350 * time.Millisecond)
		for number := range len(t.tables) {
			if name := fmt.Sprintf("n%d", number); !t.shut[name] {
				t.tables[name].Tick()
			}
		}
		for round := 0; round < 4 && len(t.post) > 0; round++ {
			post := t.post
			t.post = nil
			for _, one := range post {
				if table := t.tables[one.to]; table != nil && !t.shut[one.from] && !t.shut[one.to] {
					table.Hear(one.datagram)
				}
			}
		}
	}
}

func (t *town) state(of, name string) int {
	for _, member := range t.views[of].Members {
		if member.Name == name {
			return member.State
		}
	}
	return -1
}

var _ = Describe("knowing one's peers", func() {
	It("thinks nobody gone while all answer", func() {
		t := newTown(8)
		t.run(60 * time.Second)
		for number := range 8 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("suspects a silent one, thinks it gone later, and takes it back when it refutes", func() {
		t := newTown(8)
		t.shut["n3"] = true
		t.run(20 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateGone))
		t.shut["n3"] = false
		t.run(40 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateAlive))
	})

	It("suspects nobody after a freeze of its own", func() {
		t := newTown(4)
		t.run(2 * time.Second)
		t.clock.Advance(30 * time.Second)
		t.tables["n0"].Tick()
		t.run(2 * time.Second)
		for number := range 4 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("spreads word of a plan and of a key's owner to all, and never goes back", func() {
		t := newTown(20)
		t.tables["n0"].HoldsPlan(7)
		t.tables["n0"].MergeOwner(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n0"].Spread()
		t.run(4 * time.Second)
		for name := range t.tables {
			if name != "n0" {
				Expect(t.ahead[name]).To(Equal(int64(7)), name)
			}
			Expect(t.views[name].Owners["plan"].Epoch).To(Equal(uint64(4)), name)
		}
		Expect(t.tables["n5"].MergeOwner(wire.KeyLeader{Key: "plan", Epoch: 3, Name: "n9"})).To(BeFalse())
	})

	It("tells who waits on an owner that the key has moved", func() {
		t := newTown(3)
		old := t.views["n1"]
		t.tables["n1"].MergeOwner(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n1"].Settle()
		Expect(old.Moved).To(BeClosed())
		Expect(t.views["n1"].Moved).NotTo(BeClosed())
	})

	It("remembers the disks that a machine has lost", func() {
		t := newTown(2)
		t.tables["n0"].Merge(wire.Member{Name: "n1", Role: "gate", Address: "n1", Incarnation: 5, Disk: "old"})
		t.tables["n0"].Merge(wire.Member{Name: "n1", Role: "gate", Address: "n1", Incarnation: 9, Disk: "new"})
		t.tables["n0"].Settle()
		for _, member := range t.views["n0"].Members {
			if member.Name == "n1" {
				Expect(member.FormerDisks).To(ContainElement("old"))
			}
		}
	})
})
