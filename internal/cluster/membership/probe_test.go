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

// tickNetwork is a set of tables that tick at the same times. Datagrams arrive within the same tick and without loss, except those from and
// to tables that are cut off.
type tickNetwork struct {
	clock  *clock.Fake
	tables map[string]*membership.Table
	views  map[string]*membership.View
	// versionAhead holds, by table, the newest configuration version that was reported as ahead of its own.
	versionAhead map[string]int64
	isCutOff     map[string]bool
	inFlight     []message
}

func newTickNetwork(count int) *tickNetwork {
	t := &tickNetwork{clock: clock.NewFake(1000), tables: map[string]*membership.Table{}, views: map[string]*membership.View{},
		versionAhead: map[string]int64{}, isCutOff: map[string]bool{}}
	for number := range count {
		address := fmt.Sprintf("n%d", number)
		self := wire.Member{Name: address, Role: "gate", Address: address, Incarnation: 1}
		t.tables[address] = membership.NewTable(self, t.clock, membership.DefaultTiming, uint64(number), membership.Events{
			Send: func(to string, datagram wire.Datagram) {
				t.inFlight = append(t.inFlight, message{address, to, datagram})
			},
			Publish:            func(view *membership.View) { t.views[address] = view },
			ConfigurationAhead: func(_ wire.Member, version int64) { t.versionAhead[address] = version },
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

// run ticks the tables for a while. After each tick it delivers the datagrams in flight in up to four rounds, so that tables can reply to
// replies.
func (t *tickNetwork) run(duration time.Duration) {
	for range duration / (350 * time.Millisecond) {
		t.clock.Advance(350 * time.Millisecond)
		for number := range len(t.tables) {
			if name := fmt.Sprintf("n%d", number); !t.isCutOff[name] {
				t.tables[name].Tick()
			}
		}
		for round := 0; round < 4 && len(t.inFlight) > 0; round++ {
			inFlight := t.inFlight
			t.inFlight = nil
			for _, message := range inFlight {
				if table := t.tables[message.to]; table != nil && !t.isCutOff[message.from] && !t.isCutOff[message.to] {
					table.HandleDatagram(message.datagram)
				}
			}
		}
	}
}

// state returns the state of a member in the view of a table, or -1 if it is not listed.
func (t *tickNetwork) state(of, name string) int {
	for _, member := range t.views[of].Members {
		if member.Name == name {
			return member.State
		}
	}
	return -1
}

var _ = Describe("the failure detector", func() {
	It("keeps all members alive while they answer", func() {
		t := newTickNetwork(8)
		t.run(60 * time.Second)
		for number := range 8 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("marks a silent member as gone, and as alive again after the member has refuted that", func() {
		t := newTickNetwork(8)
		t.isCutOff["n3"] = true
		t.run(20 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateGone))
		t.isCutOff["n3"] = false
		t.run(40 * time.Second)
		Expect(t.state("n0", "n3")).To(Equal(wire.StateAlive))
	})

	It("suspects no member after a freeze of its own process", func() {
		t := newTickNetwork(4)
		t.run(2 * time.Second)
		t.clock.Advance(30 * time.Second)
		t.tables["n0"].Tick()
		t.run(2 * time.Second)
		for number := range 4 {
			Expect(t.state("n0", fmt.Sprintf("n%d", number))).To(Equal(wire.StateAlive))
		}
	})

	It("spreads a configuration version and a leader to all processes, and ignores a leader of a lower epoch", func() {
		t := newTickNetwork(20)
		t.tables["n0"].AnnounceConfiguration(7)
		t.tables["n0"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n0"].Broadcast()
		t.run(4 * time.Second)
		for name := range t.tables {
			if name != "n0" {
				Expect(t.versionAhead[name]).To(Equal(int64(7)), name)
			}
			Expect(t.views[name].Leaders["plan"].Epoch).To(Equal(uint64(4)), name)
		}
		Expect(t.tables["n5"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 3, Name: "n9"})).To(BeFalse())
	})

	It("spreads the newest list of evacuations to all processes, and ignores an older one", func() {
		t := newTickNetwork(20)
		evacuations := &wire.Evacuations{Number: 2, Zones: []wire.EvacuatedZone{{Zone: "z", SinceMs: 5}}}
		t.tables["n0"].AnnounceEvacuations(evacuations)
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

	It("counts the time of an evacuation from the order for its zone, despite later orders for other zones", func() {
		t := newTickNetwork(3)
		first := wire.EvacuatedZone{Zone: "z", SinceMs: 5}
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 1, Zones: []wire.EvacuatedZone{first}})
		t.run(2 * time.Second)
		receivedAt := t.views["n1"].EvacuatedAt["z"]
		t.run(2 * time.Second)
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 2, Zones: []wire.EvacuatedZone{first, {Zone: "y", SinceMs: 4000}}})
		t.run(2 * time.Second)
		Expect(t.views["n1"].EvacuatedAt["z"]).To(Equal(receivedAt))
		Expect(t.views["n1"].EvacuatedAt["y"]).To(BeNumerically(">", receivedAt))
		t.tables["n0"].AnnounceEvacuations(&wire.Evacuations{Number: 3, Zones: []wire.EvacuatedZone{{Zone: "z", SinceMs: 6000}}})
		t.run(2 * time.Second)
		Expect(t.views["n1"].EvacuatedAt["z"]).To(BeNumerically(">", receivedAt), "ordered again")
		Expect(t.views["n1"].EvacuatedAt).NotTo(HaveKey("y"))
	})

	It("closes LeaderMoved of the previous view when a key has a new leader", func() {
		t := newTickNetwork(3)
		old := t.views["n1"]
		t.tables["n1"].MergeLeader(wire.KeyLeader{Key: "plan", Epoch: 4, Name: "n0"})
		t.tables["n1"].PublishIfChanged()
		Expect(old.LeaderMoved).To(BeClosed())
		Expect(t.views["n1"].LeaderMoved).NotTo(BeClosed())
	})

	It("keeps the former disks of a machine", func() {
		t := newTickNetwork(2)
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
