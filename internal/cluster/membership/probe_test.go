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

type message struct {
	from, to string
	datagram wire.Datagram
}

// pairNetwork is a set of tables that hear each other on the next beat, unless a road is shut.
type pairNetwork struct {
	clock  *clock.Fake
	tables map[string]*membership.Table
	views  map[string]*membership.View
	ahead  map[string]int64
	shut   map[string]bool
	post   []message
}

func newPairNetwork(count int) *pairNetwork {
	t := &pairNetwork{clock: clock.NewFake(1000), tables: map[string]*membership.Table{}, views: map[string]*membership.View{},
		ahead: map[string]int64{}, shut: map[string]bool{}}
	for number := range count {
		address := fmt.Sprintf("n%d", number)
		self := wire.Member{Name: address, Role: "gate", Address: address, Incarnation: 1}
		t.tables[address] = membership.NewTable(self, t.clock, membership.DefaultTiming, uint64(number), membership.Events{
			Send:               func(to string, datagram wire.Datagram) { t.post = append(t.post, message{address, to, datagram}) },
			Publish:            func(view *membership.View) { t.views[address] = view },
			ConfigurationAhead: func(_ wire.Member, version int64) { t.ahead[address] = version },
			ListsDiffer:        func(wire.Member) {},
		})
	}
	for _, first := range t.tables {
		for _, other := range t.tables {
			first.Merge(other.Self())
		}
		first.PublishIfChanged()
	}
	return t
}

func (t *pairNetwork) run(length time.Duration) {
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
			for _, message := range post {
				if table := t.tables[message.to]; table != nil && !t.shut[message.from] && !t.shut[message.to] {
					table.HandleDatagram(message.datagram)
				}
			}
		}
	}
}

func (t *pairNetwork) state(of, name string) int {
	for _, member := range t.views[of].Members {
		if member.Name == name {
			return member.State
		}
	}
	return -1
}

var _ = Describe("knowing one's peers", func() {
	It("thinks nobody gone while all answer", func() {
		t := newPairNetwork(8)
		t.run(60 * time.Second)
		for number := range 8 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("suspects a silent one, thinks it gone later, and takes it back when it refutes", func() {
		t := newPairNetwork(8)
		t.shut["n3"] = true
		t.run(20 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateGone))
		t.shut["n3"] = false
		t.run(40 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateAlive))
	})

	It("suspects nobody after a freeze of its own", func() {
		t := newPairNetwork(4)
		t.run(2 * time.Second)
		t.clock.Advance(30 * time.Second)
		t.tables["n0"].Tick()
		t.run(2 * time.Second)
		for number := range 4 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("spreads the version of a configuration and of a key's leader to all, and never goes back", func() {
		t := newPairNetwork(20)
		t.tables["n0"].AnnounceConfiguration(7)
		t.tables["n0"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n0"].Broadcast()
		t.run(4 * time.Second)
		for name := range t.tables {
			if name != "n0" {
				Expect(t.ahead[name]).To(Equal(int64(7)), name)
			}
			Expect(t.views[name].Leaders["plan"].Epoch).To(Equal(uint64(4)), name)
		}
		Expect(t.tables["n5"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 3, Name: "n9"})).To(BeFalse())
	})

	It("spreads evacuations to all, with whom starts later, and never goes back", func() {
		t := newPairNetwork(20)
		emptied := &wire.Evacuations{Number: 2, Zones: []wire.EvacuatedZone{{Zone: "z", SinceMs: 5}}}
		t.tables["n0"].AnnounceEvacuations(emptied)
		t.run(3 * time.Second)
		for name, view := range t.views {
			Expect(view.Evacuations.Has("z")).To(BeTrue(), name)
			Expect(view.EvacuatedAt["z"]).To(BeNumerically("<", 3*time.Second), name)
		}
		t.tables["n3"].AnnounceEvacuations(&wire.Evacuations{Number: 1})
		t.tables["n4"].AnnounceEvacuations(&wire.Evacuations{Number: 3})
		t.run(3 * time.Second)
		for name, view := range t.views {
			Expect(view.Evacuations.Number).To(Equal(int64(3)), name)
			Expect(view.Evacuations.Has("z")).To(BeFalse(), name)
		}
	})

	It("counts the time of an evacuation from its own order, whatever is ordered for other zones", func() {
		t := newPairNetwork(3)
		first := wire.EvacuatedZone{Zone: "z", SinceMs: 5}
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 1, Zones: []wire.EvacuatedZone{first}})
		t.run(2 * time.Second)
		learned := t.views["n1"].EvacuatedAt["z"]
		t.run(2 * time.Second)
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 2, Zones: []wire.EvacuatedZone{first, {Zone: "y", SinceMs: 4000}}})
		t.run(2 * time.Second)
		Expect(t.views["n1"].EvacuatedAt["z"]).To(Equal(learned))
		Expect(t.views["n1"].EvacuatedAt["y"]).To(BeNumerically(">", learned))
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 3, Zones: []wire.EvacuatedZone{{Zone: "z", SinceMs: 6000}}})
		t.run(2 * time.Second)
		Expect(t.views["n1"].EvacuatedAt["z"]).To(BeNumerically(">", learned), "ordered again")
		Expect(t.views["n1"].EvacuatedAt).NotTo(HaveKey("y"))
	})

	It("tells who waits on a leader that the key has moved", func() {
		t := newPairNetwork(3)
		old := t.views["n1"]
		t.tables["n1"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n1"].PublishIfChanged()
		Expect(old.LeaderMoved).To(BeClosed())
		Expect(t.views["n1"].LeaderMoved).NotTo(BeClosed())
	})

	It("remembers the disks that a machine has lost", func() {
		t := newPairNetwork(2)
		t.tables["n0"].Merge(wire.Member{Name: "n1", Role: "gate", Address: "n1", Incarnation: 5, Disk: "old"})
		t.tables["n0"].Merge(wire.Member{Name: "n1", Role: "gate", Address: "n1", Incarnation: 9, Disk: "new"})
		t.tables["n0"].PublishIfChanged()
		for _, member := range t.views["n0"].Members {
			if member.Name == "n1" {
				Expect(member.FormerDisks).To(ContainElement("old"))
			}
		}
	})
})
