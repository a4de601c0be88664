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

func membersOf(view *membership.View) string {
	text := ""
	for _, member := range view.Members {
		if member.Role != "local-proxy" {
			text += fmt.Sprint(member.Name, member.Role, member.Address, member.Incarnation, member.State, " ")
		}
	}
	return text
}

func stewardsOf(view *membership.View) string {
	text := ""
	for _, member := range view.Stewards {
		text += fmt.Sprint(member.Name, member.Address, member.Incarnation, " ")
	}
	return text
}

func newLoneTable(self wire.Member, clock clock.Clock) (*membership.Table, *[]wire.Datagram, *int) {
	sent, differed := &[]wire.Datagram{}, new(int)
	return membership.NewTable(self, clock, membership.DefaultTiming, 1, membership.Events{
		Send:               func(_ string, datagram wire.Datagram) { *sent = append(*sent, datagram) },
		Publish:            func(*membership.View) {},
		ConfigurationAhead: func(wire.Member, int64) {},
		ListsDiffer:        func(wire.Member) { *differed++ },
	}), sent, differed
}

func gate(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("edge-%d", number), Role: "gate", Address: fmt.Sprintf("10.0.0.2:%d", number), Incarnation: 1}
}

func steward(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("control-%d", number), Role: "steward", Address: fmt.Sprintf("10.0.0.3:%d", number), Incarnation: 1}
}

var _ = Describe("a network of tables", func() {
	DescribeTable("a leader's change reaches every process at once, for a bounded number of datagrams",
		func(stewards, gates, proxies int) {
			n := newNetwork(7)
			n.loss = 0.01
			n.addProcesses(stewards, gates, proxies)
			n.introduceAll()
			n.run(15 * time.Second)
			n.resetCounts()
			n.run(3 * time.Second)
			calm := n.total(func(member *process) int { return member.datagrams })
			var worst time.Duration
			n.resetCounts()
			for epoch := uint64(1); epoch <= 10; epoch++ {
				lengths := n.moveLeader(n.processes[int(epoch)%stewards], epoch, 3*time.Second)
				worst = max(worst, lengths[len(lengths)-1])
			}
			each := n.total(func(member *process) int { return member.datagrams })/10 - calm
			GinkgoWriter.Printf("%d processes: worst %v, %d datagrams a change\n", len(n.processes), worst, each)
			Expect(worst).To(BeNumerically("<", 100*time.Millisecond))
			Expect(each).To(BeNumerically("<", 14*(stewards+gates)+8*proxies))
		},
		Entry("20", 4, 4, 12), Entry("80", 8, 10, 62), Entry("1,000", 6, 14, 980))

	It("of 1,000 processes finds itself through the seeds, and then costs each the same little", func() {
		n := newNetwork(3)
		n.loss = 0.01
		n.addProcesses(6, 14, 980)
		for _, member := range n.processes {
			for seed := range 3 {
				n.exchange(member, n.processes[seed].member.Address)
			}
		}
		n.run(6 * time.Second)
		Expect(n.isAgreed(stewardsOf)).To(BeTrue())
		for _, member := range n.processes[:20] {
			Expect(member.view.Members).To(HaveLen(20))
		}
		n.run(10 * time.Second)
		n.resetCounts()
		n.run(10 * time.Second)
		for _, member := range n.processes {
			datagrams, bytes := member.datagrams/10, member.bytes/10
			if member.member.Role == "steward" {
				Expect(datagrams).To(BeNumerically("<", 60))
				Expect(bytes).To(BeNumerically("<", 10_000))
				continue
			}
			Expect(datagrams).To(BeNumerically("<=", 5), member.member.Name)
			Expect(bytes).To(BeNumerically("<", 1_200), member.member.Name)
		}
		Expect(n.total(func(member *process) int { return member.calls })).To(BeNumerically("<", 10))
	})

	It("of 1,000 gates agrees on a death and a start, with messages that don't grow with their number", func() {
		n := newNetwork(5)
		n.loss = 0.01
		n.addProcesses(3, 997, 0)
		n.introduceAll()
		n.run(11 * time.Second)
		n.processes[500].isStopped = true
		n.add("edge-new", "gate", 1)
		n.exchange(n.processes[1000], n.processes[0].member.Address)
		n.resetCounts()
		n.run(13 * time.Second)
		Expect(n.maxCount(func(member *process) int { return member.datagrams })).To(BeNumerically("<", 13*10))
		Expect(n.total(func(member *process) int { return member.bytes }) / 1000 / 13).To(BeNumerically("<", 3_000))
		n.loss = 0
		n.run(5 * time.Second)
		first := n.processes[0].table.NewComparisonCall().Digest.MemberSum
		for _, member := range n.processes {
			if !member.isStopped {
				Expect(member.table.NewComparisonCall().Digest.MemberSum).To(Equal(first))
			}
		}
		Expect(n.processes[1].view.Members).To(HaveLen(1001))
	})

	It("agrees under loss, doubling and reordering", func() {
		n := newNetwork(11)
		n.loss, n.doubled, n.jitter = 0.05, 0.1, 60*time.Millisecond
		n.addProcesses(4, 6, 20)
		n.introduceAll()
		n.run(30 * time.Second)
		lengths := n.moveLeader(n.processes[2], 9, 2*time.Second)
		Expect(lengths[len(lengths)-1]).To(BeNumerically("<", 1500*time.Millisecond))
		n.loss = 0
		n.run(20 * time.Second)
		Expect(n.isAgreed(stewardsOf)).To(BeTrue())
		for _, member := range n.processes[:10] {
			Expect(member.view.Members).To(HaveLen(10))
			Expect(membersOf(member.view)).To(Equal(membersOf(n.processes[0].view)))
		}
	})

	It("mends the gap of those that were cut off", func() {
		n := newNetwork(13)
		n.addProcesses(4, 4, 8)
		n.introduceAll()
		n.run(15 * time.Second)
		edge, side := n.processes[6], n.processes[12]
		edge.isStopped, side.isStopped = true, true
		n.add("control-new", "steward", 1)
		n.exchange(n.processes[16], n.processes[0].member.Address)
		n.run(2 * time.Second)
		n.moveLeader(n.processes[16], 5, 8*time.Second)
		Expect(edge.view.Leaders).To(BeEmpty())
		edge.isStopped, side.isStopped = false, false
		n.run(1500 * time.Millisecond)
		Expect(edge.view.Leaders["plan"].Name).To(Equal("control-new"))
		Expect(side.view.Leaders["plan"].Name).To(Equal("control-new"))
		_, isKnown := side.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
		n.run(6 * time.Second)
		_, isKnown = edge.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
	})

	It("takes a restarted steward by its new incarnation, also where its clock went back", func() {
		for _, incarnation := range []uint64{7, 1} {
			n := newNetwork(17)
			n.addProcesses(3, 2, 6)
			n.introduceAll()
			n.run(12 * time.Second)
			old := n.processes[1]
			delete(n.byAddress, old.member.Address)
			n.processes = append(n.processes[:1], n.processes[2:]...)
			n.run(2 * time.Second)
			fresh := n.add("control-1", "steward", incarnation)
			n.exchange(fresh, n.processes[0].member.Address)
			n.run(7 * time.Second)
			for _, member := range n.processes {
				kept, isKnown := member.view.Steward("control-1")
				Expect(isKnown).To(BeTrue())
				Expect(kept.Address).To(Equal(fresh.member.Address), "%s, incarnation %d", member.member.Name, incarnation)
				Expect(kept.State).To(Equal(wire.StateAlive))
			}
		}
	})

	It("lists no local-proxy anywhere, and a local-proxy moves on from a silent steward", func() {
		n := newNetwork(19)
		n.addProcesses(4, 2, 5)
		n.introduceAll()
		n.run(15 * time.Second)
		for _, member := range n.processes[:6] {
			Expect(member.view.Members).To(HaveLen(6))
		}
		for _, member := range n.processes[:3] {
			member.isStopped = true
		}
		n.run(4 * time.Second)
		lengths := n.moveLeader(n.processes[3], 3, 500*time.Millisecond)
		Expect(lengths[len(lengths)-1]).To(BeNumerically("<", 100*time.Millisecond))
		for _, member := range n.processes[6:] {
			Expect(member.view.IsIsolated).To(BeFalse())
		}
		n.processes[3].isStopped = true
		n.run(4 * time.Second)
		Expect(n.processes[7].view.IsIsolated).To(BeTrue())
	})
})

var _ = Describe("comparing lists", func() {
	var first, second *membership.Table
	BeforeEach(func() {
		clock := clock.NewFake(1)
		first, _, _ = newLoneTable(steward(0), clock)
		second, _, _ = newLoneTable(steward(1), clock)
		for number := range 200 {
			first.Merge(gate(number))
			second.Merge(gate(number))
		}
		first.Merge(steward(1))
		second.Merge(steward(0))
	})

	It("moves nothing where nothing differs", func() {
		ask := first.NewComparisonCall()
		Expect(second.AnswerCall(&ask).Members).To(BeEmpty())
	})

	It("moves only the buckets that differ, and the newer record both ways", func() {
		dead, risen := gate(7), gate(8)
		dead.State, risen.Incarnation = wire.StateSuspect, 2
		first.Merge(dead)
		second.Merge(risen)
		ask := first.NewComparisonCall()
		answer := second.AnswerCall(&ask)
		Expect(len(answer.Differing)).To(BeNumerically("<=", 2))
		Expect(len(answer.Members)).To(BeNumerically("<", 30))
		given := first.HandleAnswer(steward(1), &answer)
		Expect(given.Members).To(ConsistOf(dead))
		Expect(first.All()).To(ContainElement(risen))
		second.AnswerCall(given)
		Expect(second.All()).To(ContainElement(dead))
		Expect(first.NewComparisonCall().Buckets).To(Equal(second.NewComparisonCall().Buckets))
	})

	It("gives leaders both ways, by the higher epoch", func() {
		first.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		first.MergeLeader(wire.KeyLeader{Key: "b", Epoch: 3, Name: "x"})
		second.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 4, Name: "y"})
		ask := first.NewComparisonCall()
		answer := second.AnswerCall(&ask)
		second.AnswerCall(first.HandleAnswer(steward(1), &answer))
		Expect(first.NewComparisonCall().Digest.LeaderSum).To(Equal(second.NewComparisonCall().Digest.LeaderSum))
		again := second.NewComparisonCall()
		Expect(first.AnswerCall(&again).Digest.Leaders).To(BeEmpty())
	})

	It("keeps sums by change as if they were worked out from nothing", func() {
		for number := range 60 {
			member := gate(number * 3)
			member.Incarnation, member.State = uint64(1+number%3), number%3
			first.Merge(member)
		}
		fresh, _, _ := newLoneTable(steward(0), clock.NewFake(1))
		for _, member := range first.All() {
			fresh.Merge(member)
		}
		Expect(fresh.NewComparisonCall().Buckets).To(Equal(first.NewComparisonCall().Buckets))
	})

	It("gives a peer of an earlier version the whole list and all leaders, and takes such a list", func() {
		first.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		answer := first.AnswerCall(&wire.MembersCall{From: gate(900), Members: []wire.Member{gate(901)}})
		Expect(answer.Members).To(HaveLen(204))
		Expect(answer.Digest.Leaders).To(HaveLen(1))
		older := &wire.MembersAnswer{Members: []wire.Member{gate(950)},
			Digest: wire.Digest{Leaders: []wire.KeyLeader{{Key: "a", Epoch: 9, Name: "z"}}}}
		Expect(first.HandleAnswer(gate(900), older)).To(BeNil())
		Expect(first.All()).To(ContainElement(gate(950)))
		Expect(first.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 9, Name: "z"})).To(BeFalse())
	})
})

var _ = Describe("one table", func() {
	It("hears a peer of an earlier version without comparing, and lists no proxies that it tells of", func() {
		clock := clock.NewFake(1)
		table, sent, differed := newLoneTable(gate(0), clock)
		side := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 1}
		table.HandleDatagram(wire.Datagram{Kind: "ping", Number: 4, From: gate(1), Updates: []wire.Member{side},
			Digest: wire.Digest{Leaders: []wire.KeyLeader{{Key: "a", Epoch: 2, Name: "x"}}}})
		table.HandleDatagram(wire.Datagram{Kind: "ping", Number: 5, From: side})
		Expect(table.All()).To(ConsistOf(gate(0), gate(1)))
		Expect(table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})).To(BeFalse())
		Expect(*differed).To(BeZero())
		last := (*sent)[len(*sent)-1]
		Expect(last.Kind).To(Equal("ack"))
		Expect(last.Number).To(Equal(uint64(5)))
	})

	It("answers a peer of an earlier version without mending what it can't compare", func() {
		table, sent, differed := newLoneTable(gate(0), clock.NewFake(1))
		table.Merge(gate(1))
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		table.HandleDatagram(wire.Datagram{Kind: "ack", From: gate(1)})
		Expect(*sent).To(BeEmpty())
		Expect(*differed).To(BeZero())
	})

	It("forgets a member that is long gone", func() {
		clock := clock.NewFake(1)
		var shown *membership.View
		table := membership.NewTable(gate(0), clock, membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Publish: func(view *membership.View) { shown = view }})
		empty := table.NewComparisonCall().Buckets
		table.Merge(steward(1))
		for range 600 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		Expect(shown.Members).To(HaveLen(1))
		Expect(shown.Stewards).To(BeEmpty())
		Expect(table.NewComparisonCall().Buckets).To(Equal(empty))
	})

	It("tells a local-proxy where a key's new leader is, and compares with no local-proxy", func() {
		clock := clock.NewFake(1)
		table, sent, differed := newLoneTable(steward(0), clock)
		side := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 5}
		clock.Advance(20 * time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "ping", From: side, Digest: wire.Digest{MemberSum: 99}})
		Expect(*differed).To(BeZero())
		table.Merge(steward(1))
		table.Merge(gate(1))
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-1"})
		table.Broadcast()
		pushed := (*sent)[len(*sent)-1]
		Expect(pushed.Updates).To(ConsistOf(steward(1)))
		Expect(pushed.Digest.Leaders).To(HaveLen(1))
	})

	It("asks its leaves to wait longer the more they are, and keeps them as much longer", func() {
		clock := clock.NewFake(1)
		table, sent, _ := newLoneTable(steward(0), clock)
		for number := range 1600 {
			side := wire.Member{Name: fmt.Sprintf("side-%d", number), Role: "local-proxy", Address: "10.0.0.4:1"}
			table.HandleDatagram(wire.Datagram{Kind: "ping", From: side})
		}
		Expect((*sent)[0].PingPauseMs).To(BeZero())
		Expect((*sent)[1599].PingPauseMs).To(Equal(int64(14_000)))
		pushes := func(wait time.Duration, epoch uint64) int {
			for range wait / (350 * time.Millisecond) {
				clock.Advance(350 * time.Millisecond)
				table.Tick()
			}
			before := len(*sent)
			table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: epoch, Name: "control-0"})
			table.Broadcast()
			return len(*sent) - before
		}
		Expect(pushes(100*time.Second, 2)).To(Equal(1600))
		Expect(pushes(40*time.Second, 3)).To(BeZero())
	})

	It("waits between two pings as long as it was asked to, at a local-proxy", func() {
		clock := clock.NewFake(1)
		pings, isLonely := 0, false
		side := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Publish: func(view *membership.View) { isLonely = isLonely || view.IsIsolated }})
		side.Merge(steward(0))
		side.PublishIfChanged()
		for range 80 {
			clock.Advance(350 * time.Millisecond)
			before := pings
			if side.Tick(); pings > before {
				side.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000})
			}
		}
		Expect(pings).To(Equal(4))
		Expect(isLonely).To(BeFalse())
	})

	It("compares at once when it is new, and keeps the usual pace while it differs, at a local-proxy", func() {
		clock := clock.NewFake(1)
		side, sent, differed := newLoneTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock)
		side.Merge(steward(0))
		side.PublishIfChanged()
		for range 9 {
			clock.Advance(350 * time.Millisecond)
			before := len(*sent)
			if side.Tick(); len(*sent) > before {
				side.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000, Digest: wire.Digest{MemberSum: 5}})
			}
		}
		Expect(*sent).To(HaveLen(2))
		Expect(*differed).To(Equal(1))
		side.Tick()
		clock.Advance(1400 * time.Millisecond)
		side.Tick()
		side.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(2))
	})

	It("compares with a peer at once when it has just begun", func() {
		table, _, differed := newLoneTable(gate(0), clock.NewFake(1))
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
	})

	It("keeps its leaves over a freeze of its own", func() {
		clock := clock.NewFake(1)
		table, sent, _ := newLoneTable(steward(0), clock)
		table.HandleDatagram(wire.Datagram{Kind: "ping", From: wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1"}})
		clock.Advance(30 * time.Second)
		for range 20 {
			table.Tick()
			clock.Advance(350 * time.Millisecond)
		}
		before := len(*sent)
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-0"})
		table.Broadcast()
		Expect(*sent).To(HaveLen(before + 1))
	})

	It("does not think itself isolated after a freeze of its own, at a local-proxy, and pings at once", func() {
		clock := clock.NewFake(1)
		pings, isLonely := 0, false
		side := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Publish: func(view *membership.View) { isLonely = view.IsIsolated }})
		side.Merge(steward(0))
		side.PublishIfChanged()
		clock.Advance(1400 * time.Millisecond)
		side.Tick()
		clock.Advance(30 * time.Second)
		side.Tick()
		Expect(pings).To(Equal(2))
		Expect(isLonely).To(BeFalse())
	})

	It("pings the steward of its own domain among three, at a local-proxy", func() {
		clock := clock.NewFake(1)
		asked := map[string]bool{}
		side := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy", Domain: "here"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(to string, _ wire.Datagram) { asked[to] = true }, Publish: func(*membership.View) {}})
		for number := range 40 {
			listed := steward(number)
			if number == 27 {
				listed.Domain = "here"
			}
			side.Merge(listed)
		}
		side.PublishIfChanged()
		for range 60 {
			clock.Advance(350 * time.Millisecond)
			side.Tick()
			for number := range 40 {
				side.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(number)})
			}
		}
		Expect(asked).To(HaveLen(3))
		Expect(asked).To(HaveKey(steward(27).Address))
	})

	It("drops at a local-proxy a steward that the answerer has forgotten, and gives it stewards alone", func() {
		control, _, _ := newLoneTable(steward(0), clock.NewFake(1))
		for number := range 60 {
			control.Merge(gate(number))
		}
		side, _, _ := newLoneTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock.NewFake(1))
		for number := range 60 {
			side.Merge(steward(number))
		}
		ask := side.NewComparisonCall()
		answer := control.AnswerCall(&ask)
		Expect(answer.Members).To(ConsistOf(steward(0)))
		Expect(side.HandleAnswer(steward(0), &answer)).To(BeNil())
		Expect(side.All()).To(HaveLen(2))
	})

	It("leaves leaders out of datagrams once they are no longer new, and gives them to a peer without", func() {
		clock := clock.NewFake(1)
		table, sent, _ := newLoneTable(gate(0), clock)
		table.Merge(gate(1))
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		for range 6 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		sum := table.NewComparisonCall().Digest.LeaderSum
		table.HandleDatagram(wire.Datagram{Kind: "ping", From: gate(1), Digest: wire.Digest{LeaderSum: sum}})
		Expect((*sent)[len(*sent)-1].Digest.Leaders).To(BeEmpty())
		table.HandleDatagram(wire.Datagram{Kind: "ack", From: gate(1), Digest: wire.Digest{LeaderSum: 1}})
		Expect((*sent)[len(*sent)-1].Digest.Leaders).To(HaveLen(1))
	})

	It("compares with a peer that stays different, not while changes are on their way", func() {
		clock := clock.NewFake(1)
		table, _, differed := newLoneTable(gate(0), clock)
		table.Merge(gate(1))
		clock.Advance(20 * time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
		clock.Advance(2 * time.Second)
		table.Merge(gate(2))
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
		clock.Advance(time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(2))
	})

	It("does not take back a member that is long gone, and pushes to no leaf that fell silent", func() {
		clock := clock.NewFake(1)
		table, sent, _ := newLoneTable(steward(0), clock)
		table.HandleDatagram(wire.Datagram{Kind: "ping", From: wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1"}})
		before := len(*sent)
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		table.Broadcast()
		Expect(*sent).To(HaveLen(before + 1))
		for range 400 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		before = len(*sent)
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		table.Broadcast()
		Expect(*sent).To(HaveLen(before))
		gone := gate(3)
		gone.State = wire.StateGone
		Expect(table.Merge(gone)).To(BeFalse())
	})

	It("shows views that later changes leave alone", func() {
		var views []*membership.View
		table := membership.NewTable(steward(5), clock.NewFake(1), membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Publish: func(view *membership.View) { views = append(views, view) }})
		for _, number := range []int{3, 9, 1} {
			table.Merge(steward(number))
			table.PublishIfChanged()
		}
		risen := steward(3)
		risen.Incarnation, risen.Disk = 4, "d"
		table.Merge(risen)
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-3"})
		table.PublishIfChanged()
		Expect(stewardsOf(views[0])).To(Equal("control-310.0.0.3:31 control-510.0.0.3:51 "))
		Expect(views[2].Leaders).To(BeEmpty())
		last := views[len(views)-1]
		Expect(last.Members).To(HaveLen(4))
		kept, isKnown := last.Steward("control-3")
		Expect(isKnown).To(BeTrue())
		Expect(kept.Incarnation).To(Equal(uint64(4)))
		steward, _ := last.StewardOf("d")
		Expect(steward.Name).To(Equal("control-3"))
		for _, view := range views[:3] {
			for _, member := range view.Members {
				Expect(member.Incarnation).To(Equal(uint64(1)))
			}
		}
	})
})
