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
	told := ""
	for _, member := range view.Members {
		if member.Role != "local-proxy" {
			told += fmt.Sprint(member.Name, member.Role, member.Address, member.Incarnation, member.State, " ")
		}
	}
	return told
}

func stewardsOf(view *membership.View) string {
	told := ""
	for _, member := range view.Stewards {
		told += fmt.Sprint(member.Name, member.Address, member.Incarnation, " ")
	}
	return told
}

func lone(self wire.Member, clock clock.Clock) (*membership.Table, *[]wire.Datagram, *int) {
	sent, differed := &[]wire.Datagram{}, new(int)
	return membership.NewTable(self, clock, membership.DefaultTiming, 1, membership.Events{
		Send:      func(_ string, datagram wire.Datagram) { *sent = append(*sent, datagram) },
		Show:      func(*membership.View) {},
		PlanAhead: func(wire.Member, int64) {},
		Differ:    func(wire.Member) { *differed++ },
	}), sent, differed
}

func gate(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("edge-%d", number), Role: "gate", Address: fmt.Sprintf("10.0.0.2:%d", number), Incarnation: 1}
}

func steward(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("control-%d", number), Role: "steward", Address: fmt.Sprintf("10.0.0.3:%d", number), Incarnation: 1}
}

var _ = Describe("a network of tables", func() {
	DescribeTable("an owner's change reaches every process at once, for a bounded number of datagrams",
		func(stewards, gates, proxies int) {
			n := newNetwork(7)
			n.loss = 0.01
			n.people(stewards, gates, proxies)
			n.acquaint()
			n.run(15 * time.Second)
			n.resetCounts()
			n.run(3 * time.Second)
			calm := n.total(func(one *resident) int { return one.datagrams })
			var worst time.Duration
			n.resetCounts()
			for epoch := uint64(1); epoch <= 10; epoch++ {
				lengths := n.moveOwner(n.all[int(epoch)%stewards], epoch, 3*time.Second)
				worst = max(worst, lengths[len(lengths)-1])
			}
			each := n.total(func(one *resident) int { return one.datagrams })/10 - calm
			GinkgoWriter.Printf("%d processes: worst %v, %d datagrams a change\n", len(n.all), worst, each)
			Expect(worst).To(BeNumerically("<", 100*time.Millisecond))
			Expect(each).To(BeNumerically("<", 14*(stewards+gates)+8*proxies))
		},
		Entry("20", 4, 4, 12), Entry("80", 8, 10, 62), Entry("1,000", 6, 14, 980))

	It("of 1,000 processes finds itself through the seeds, and then costs each the same little", func() {
		n := newNetwork(3)
		n.loss = 0.01
		n.people(6, 14, 980)
		for _, one := range n.all {
			for seed := range 3 {
				n.exchange(one, n.all[seed].member.Address)
			}
		}
		n.run(6 * time.Second)
		Expect(n.isAgreed(stewardsOf)).To(BeTrue())
		for _, one := range n.all[:20] {
			Expect(one.view.Members).To(HaveLen(20))
		}
		n.run(10 * time.Second)
		n.resetCounts()
		n.run(10 * time.Second)
		for _, one := range n.all {
			datagrams, bytes := one.datagrams/10, one.bytes/10
			if one.member.Role == "steward" {
				Expect(datagrams).To(BeNumerically("<", 60))
				Expect(bytes).To(BeNumerically("<", 10_000))
				continue
			}
			Expect(datagrams).To(BeNumerically("<=", 5), one.member.Name)
			Expect(bytes).To(BeNumerically("<", 1_200), one.member.Name)
		}
		Expect(n.total(func(one *resident) int { return one.calls })).To(BeNumerically("<", 10))
	})

	It("of 1,000 gates agrees on a death and a start, with messages that don't grow with their number", func() {
		n := newNetwork(5)
		n.loss = 0.01
		n.people(3, 997, 0)
		n.acquaint()
		n.run(11 * time.Second)
		n.all[500].isShut = true
		n.add("edge-new", "gate", 1)
		n.exchange(n.all[1000], n.all[0].member.Address)
		n.resetCounts()
		n.run(13 * time.Second)
		Expect(n.most(func(one *resident) int { return one.datagrams })).To(BeNumerically("<", 13*10))
		Expect(n.total(func(one *resident) int { return one.bytes }) / 1000 / 13).To(BeNumerically("<", 3_000))
		n.loss = 0
		n.run(5 * time.Second)
		first := n.all[0].table.Ask().Digest.MemberSum
		for _, one := range n.all {
			if !one.isShut {
				Expect(one.table.Ask().Digest.MemberSum).To(Equal(first))
			}
		}
		Expect(n.all[1].view.Members).To(HaveLen(1001))
	})

	It("agrees under loss, doubling and reordering", func() {
		n := newNetwork(11)
		n.loss, n.doubled, n.jitter = 0.05, 0.1, 60*time.Millisecond
		n.people(4, 6, 20)
		n.acquaint()
		n.run(30 * time.Second)
		lengths := n.moveOwner(n.all[2], 9, 2*time.Second)
		Expect(lengths[len(lengths)-1]).To(BeNumerically("<", 1500*time.Millisecond))
		n.loss = 0
		n.run(20 * time.Second)
		Expect(n.isAgreed(stewardsOf)).To(BeTrue())
		for _, one := range n.all[:10] {
			Expect(one.view.Members).To(HaveLen(10))
			Expect(membersOf(one.view)).To(Equal(membersOf(n.all[0].view)))
		}
	})

	It("mends the gap of those that were cut off", func() {
		n := newNetwork(13)
		n.people(4, 4, 8)
		n.acquaint()
		n.run(15 * time.Second)
		edge, side := n.all[6], n.all[12]
		edge.isShut, side.isShut = true, true
		n.add("control-new", "steward", 1)
		n.exchange(n.all[16], n.all[0].member.Address)
		n.run(2 * time.Second)
		n.moveOwner(n.all[16], 5, 8*time.Second)
		Expect(edge.view.Owners).To(BeEmpty())
		edge.isShut, side.isShut = false, false
		n.run(1500 * time.Millisecond)
		Expect(edge.view.Owners["plan"].Name).To(Equal("control-new"))
		Expect(side.view.Owners["plan"].Name).To(Equal("control-new"))
		_, isKnown := side.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
		n.run(6 * time.Second)
		_, isKnown = edge.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
	})

	It("takes a restarted steward by its new life, also where its clock went back", func() {
		for _, incarnation := range []uint64{7, 1} {
			n := newNetwork(17)
			n.people(3, 2, 6)
			n.acquaint()
			n.run(12 * time.Second)
			old := n.all[1]
			delete(n.by, old.member.Address)
			n.all = append(n.all[:1], n.all[2:]...)
			n.run(2 * time.Second)
			fresh := n.add("control-1", "steward", incarnation)
			n.exchange(fresh, n.all[0].member.Address)
			n.run(7 * time.Second)
			for _, one := range n.all {
				kept, isKnown := one.view.Steward("control-1")
				Expect(isKnown).To(BeTrue())
				Expect(kept.Address).To(Equal(fresh.member.Address), "%s, incarnation %d", one.member.Name, incarnation)
				Expect(kept.State).To(Equal(wire.StateAlive))
			}
		}
	})

	It("lists no local-proxy anywhere, and a local-proxy moves on from a silent steward", func() {
		n := newNetwork(19)
		n.people(4, 2, 5)
		n.acquaint()
		n.run(15 * time.Second)
		for _, one := range n.all[:6] {
			Expect(one.view.Members).To(HaveLen(6))
		}
		for _, one := range n.all[:3] {
			one.isShut = true
		}
		n.run(4 * time.Second)
		lengths := n.moveOwner(n.all[3], 3, 500*time.Millisecond)
		Expect(lengths[len(lengths)-1]).To(BeNumerically("<", 100*time.Millisecond))
		for _, one := range n.all[6:] {
			Expect(one.view.IsLonely).To(BeFalse())
		}
		n.all[3].isShut = true
		n.run(4 * time.Second)
		Expect(n.all[7].view.IsLonely).To(BeTrue())
	})
})

var _ = Describe("comparing lists", func() {
	var one, two *membership.Table
	BeforeEach(func() {
		clock := clock.NewFake(1)
		one, _, _ = lone(steward(0), clock)
		two, _, _ = lone(steward(1), clock)
		for number := range 200 {
			one.Merge(gate(number))
			two.Merge(gate(number))
		}
		one.Merge(steward(1))
		two.Merge(steward(0))
	})

	It("moves nothing where nothing differs", func() {
		ask := one.Ask()
		Expect(two.Answer(&ask).Members).To(BeEmpty())
	})

	It("moves only the buckets that differ, and the newer record both ways", func() {
		dead, risen := gate(7), gate(8)
		dead.State, risen.Incarnation = wire.StateSuspect, 2
		one.Merge(dead)
		two.Merge(risen)
		ask := one.Ask()
		answer := two.Answer(&ask)
		Expect(len(answer.Differing)).To(BeNumerically("<=", 2))
		Expect(len(answer.Members)).To(BeNumerically("<", 30))
		given := one.Take(steward(1), &answer)
		Expect(given.Members).To(ConsistOf(dead))
		Expect(one.All()).To(ContainElement(risen))
		two.Answer(given)
		Expect(two.All()).To(ContainElement(dead))
		Expect(one.Ask().Buckets).To(Equal(two.Ask().Buckets))
	})

	It("gives owners both ways, by the higher epoch", func() {
		one.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		one.MergeOwner(wire.KeyLeader{Key: "b", Epoch: 3, Name: "x"})
		two.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 4, Name: "y"})
		ask := one.Ask()
		answer := two.Answer(&ask)
		two.Answer(one.Take(steward(1), &answer))
		Expect(one.Ask().Digest.LeaderSum).To(Equal(two.Ask().Digest.LeaderSum))
		again := two.Ask()
		Expect(one.Answer(&again).Digest.Leaders).To(BeEmpty())
	})

	It("keeps sums by change as if they were worked out from nothing", func() {
		for number := range 60 {
			member := gate(number * 3)
			member.Incarnation, member.State = uint64(1+number%3), number%3
			one.Merge(member)
		}
		fresh, _, _ := lone(steward(0), clock.NewFake(1))
		for _, member := range one.All() {
			fresh.Merge(member)
		}
		Expect(fresh.Ask().Buckets).To(Equal(one.Ask().Buckets))
	})

	It("gives a peer of the older form the whole list and all owners, and takes such a list", func() {
		one.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		answer := one.Answer(&wire.MembersCall{From: gate(900), Members: []wire.Member{gate(901)}})
		Expect(answer.Members).To(HaveLen(204))
		Expect(answer.Digest.Leaders).To(HaveLen(1))
		older := &wire.MembersAnswer{Members: []wire.Member{gate(950)},
			Digest: wire.Digest{Leaders: []wire.KeyLeader{{Key: "a", Epoch: 9, Name: "z"}}}}
		Expect(one.Take(gate(900), older)).To(BeNil())
		Expect(one.All()).To(ContainElement(gate(950)))
		Expect(one.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 9, Name: "z"})).To(BeFalse())
	})
})

var _ = Describe("one table", func() {
	It("hears a peer of the older form without comparing, and lists no proxies that it tells of", func() {
		clock := clock.NewFake(1)
		table, sent, differed := lone(gate(0), clock)
		side := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 1}
		table.Hear(wire.Datagram{Kind: "ping", Number: 4, From: gate(1), Updates: []wire.Member{side},
			Digest: wire.Digest{Leaders: []wire.KeyLeader{{Key: "a", Epoch: 2, Name: "x"}}}})
		table.Hear(wire.Datagram{Kind: "ping", Number: 5, From: side})
		Expect(table.All()).To(ConsistOf(gate(0), gate(1)))
		Expect(table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})).To(BeFalse())
		Expect(*differed).To(BeZero())
		last := (*sent)[len(*sent)-1]
		Expect(last.Kind).To(Equal("ack"))
		Expect(last.Number).To(Equal(uint64(5)))
	})

	It("answers a peer of the older form without mending what it can't compare", func() {
		table, sent, differed := lone(gate(0), clock.NewFake(1))
		table.Merge(gate(1))
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		table.Hear(wire.Datagram{Kind: "ack", From: gate(1)})
		Expect(*sent).To(BeEmpty())
		Expect(*differed).To(BeZero())
	})

	It("forgets a member that is long gone", func() {
		clock := clock.NewFake(1)
		var shown *membership.View
		table := membership.NewTable(gate(0), clock, membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Show: func(view *membership.View) { shown = view }})
		empty := table.Ask().Buckets
		table.Merge(steward(1))
		for range 600 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		Expect(shown.Members).To(HaveLen(1))
		Expect(shown.Stewards).To(BeEmpty())
		Expect(table.Ask().Buckets).To(Equal(empty))
	})

	It("tells a local-proxy where a key's new owner is, and compares with no local-proxy", func() {
		clock := clock.NewFake(1)
		table, sent, differed := lone(steward(0), clock)
		side := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 5}
		clock.Advance(20 * time.Second)
		table.Hear(wire.Datagram{Kind: "ping", From: side, Digest: wire.Digest{MemberSum: 99}})
		Expect(*differed).To(BeZero())
		table.Merge(steward(1))
		table.Merge(gate(1))
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-1"})
		table.Spread()
		pushed := (*sent)[len(*sent)-1]
		Expect(pushed.Updates).To(ConsistOf(steward(1)))
		Expect(pushed.Digest.Leaders).To(HaveLen(1))
	})

	It("asks its leaves to wait longer the more they are, and keeps them as much longer", func() {
		clock := clock.NewFake(1)
		table, sent, _ := lone(steward(0), clock)
		for number := range 1600 {
			side := wire.Member{Name: fmt.Sprintf("side-%d", number), Role: "local-proxy", Address: "10.0.0.4:1"}
			table.Hear(wire.Datagram{Kind: "ping", From: side})
		}
		Expect((*sent)[0].PingPauseMs).To(BeZero())
		Expect((*sent)[1599].PingPauseMs).To(Equal(int64(14_000)))
		pushes := func(wait time.Duration, epoch uint64) int {
			for range wait / (350 * time.Millisecond) {
				clock.Advance(350 * time.Millisecond)
				table.Tick()
			}
			before := len(*sent)
			table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: epoch, Name: "control-0"})
			table.Spread()
			return len(*sent) - before
		}
		Expect(pushes(100*time.Second, 2)).To(Equal(1600))
		Expect(pushes(40*time.Second, 3)).To(BeZero())
	})

	It("waits between two pings as long as it was asked to, at a local-proxy", func() {
		clock := clock.NewFake(1)
		pings, isLonely := 0, false
		side := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Show: func(view *membership.View) { isLonely = isLonely || view.IsLonely }})
		side.Merge(steward(0))
		side.Settle()
		for range 80 {
			clock.Advance(350 * time.Millisecond)
			before := pings
			if side.Tick(); pings > before {
				side.Hear(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000})
			}
		}
		Expect(pings).To(Equal(4))
		Expect(isLonely).To(BeFalse())
	})

	It("compares at once when it is new, and keeps the usual pace while it differs, at a local-proxy", func() {
		clock := clock.NewFake(1)
		side, sent, differed := lone(wire.Member{Name: "side-1", Role: "local-proxy"}, clock)
		side.Merge(steward(0))
		side.Settle()
		for range 9 {
			clock.Advance(350 * time.Millisecond)
			before := len(*sent)
			if side.Tick(); len(*sent) > before {
				side.Hear(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000, Digest: wire.Digest{MemberSum: 5}})
			}
		}
		Expect(*sent).To(HaveLen(2))
		Expect(*differed).To(Equal(1))
		side.Tick()
		clock.Advance(1400 * time.Millisecond)
		side.Tick()
		side.Hear(wire.Datagram{Kind: "ack", From: steward(0), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(2))
	})

	It("compares with a peer at once when it has just begun", func() {
		table, _, differed := lone(gate(0), clock.NewFake(1))
		table.Hear(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
	})

	It("keeps its leaves over a freeze of its own", func() {
		clock := clock.NewFake(1)
		table, sent, _ := lone(steward(0), clock)
		table.Hear(wire.Datagram{Kind: "ping", From: wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1"}})
		clock.Advance(30 * time.Second)
		for range 20 {
			table.Tick()
			clock.Advance(350 * time.Millisecond)
		}
		before := len(*sent)
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-0"})
		table.Spread()
		Expect(*sent).To(HaveLen(before + 1))
	})

	It("does not think itself lonely after a freeze of its own, at a local-proxy, and pings at once", func() {
		clock := clock.NewFake(1)
		pings, isLonely := 0, false
		side := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Show: func(view *membership.View) { isLonely = view.IsLonely }})
		side.Merge(steward(0))
		side.Settle()
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
			membership.Events{Send: func(to string, _ wire.Datagram) { asked[to] = true }, Show: func(*membership.View) {}})
		for number := range 40 {
			one := steward(number)
			if number == 27 {
				one.Domain = "here"
			}
			side.Merge(one)
		}
		side.Settle()
		for range 60 {
			clock.Advance(350 * time.Millisecond)
			side.Tick()
			for number := range 40 {
				side.Hear(wire.Datagram{Kind: "ack", From: steward(number)})
			}
		}
		Expect(asked).To(HaveLen(3))
		Expect(asked).To(HaveKey(steward(27).Address))
	})

	It("drops at a local-proxy a steward that the answerer has forgotten, and gives it stewards alone", func() {
		control, _, _ := lone(steward(0), clock.NewFake(1))
		for number := range 60 {
			control.Merge(gate(number))
		}
		side, _, _ := lone(wire.Member{Name: "side-1", Role: "local-proxy"}, clock.NewFake(1))
		for number := range 60 {
			side.Merge(steward(number))
		}
		ask := side.Ask()
		answer := control.Answer(&ask)
		Expect(answer.Members).To(ConsistOf(steward(0)))
		Expect(side.Take(steward(0), &answer)).To(BeNil())
		Expect(side.All()).To(HaveLen(2))
	})

	It("leaves owners out of datagrams once they are no news, and gives them to a peer without", func() {
		clock := clock.NewFake(1)
		table, sent, _ := lone(gate(0), clock)
		table.Merge(gate(1))
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		for range 6 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		sum := table.Ask().Digest.LeaderSum
		table.Hear(wire.Datagram{Kind: "ping", From: gate(1), Digest: wire.Digest{LeaderSum: sum}})
		Expect((*sent)[len(*sent)-1].Digest.Leaders).To(BeEmpty())
		table.Hear(wire.Datagram{Kind: "ack", From: gate(1), Digest: wire.Digest{LeaderSum: 1}})
		Expect((*sent)[len(*sent)-1].Digest.Leaders).To(HaveLen(1))
	})

	It("compares with a peer that stays different, not while news is on its way", func() {
		clock := clock.NewFake(1)
		table, _, differed := lone(gate(0), clock)
		table.Merge(gate(1))
		clock.Advance(20 * time.Second)
		table.Hear(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
		clock.Advance(2 * time.Second)
		table.Merge(gate(2))
		table.Hear(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(1))
		clock.Advance(time.Second)
		table.Hear(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*differed).To(Equal(2))
	})

	It("does not take back a member that is long gone, and pushes to no leaf that fell silent", func() {
		clock := clock.NewFake(1)
		table, sent, _ := lone(steward(0), clock)
		table.Hear(wire.Datagram{Kind: "ping", From: wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1"}})
		before := len(*sent)
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		table.Spread()
		Expect(*sent).To(HaveLen(before + 1))
		for range 400 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		before = len(*sent)
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		table.Spread()
		Expect(*sent).To(HaveLen(before))
		gone := gate(3)
		gone.State = wire.StateGone
		Expect(table.Merge(gone)).To(BeFalse())
	})

	It("shows views that later changes leave alone", func() {
		var views []*membership.View
		table := membership.NewTable(steward(5), clock.NewFake(1), membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Show: func(view *membership.View) { views = append(views, view) }})
		for _, number := range []int{3, 9, 1} {
			table.Merge(steward(number))
			table.Settle()
		}
		risen := steward(3)
		risen.Incarnation, risen.Disk = 4, "d"
		table.Merge(risen)
		table.MergeOwner(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-3"})
		table.Settle()
		Expect(stewardsOf(views[0])).To(Equal("control-310.0.0.3:31 control-510.0.0.3:51 "))
		Expect(views[2].Owners).To(BeEmpty())
		last := views[len(views)-1]
		Expect(last.Members).To(HaveLen(4))
		kept, isKnown := last.Steward("control-3")
		Expect(isKnown).To(BeTrue())
		Expect(kept.Incarnation).To(Equal(uint64(4)))
		keeper, _ := last.StewardOf("d")
		Expect(keeper.Name).To(Equal("control-3"))
		for _, view := range views[:3] {
			for _, member := range view.Members {
				Expect(member.Incarnation).To(Equal(uint64(1)))
			}
		}
	})
})
