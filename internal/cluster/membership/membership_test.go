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

// membersOf describes the listed members of a view other than local proxies, for comparisons of views.
func membersOf(view *membership.View) string {
	text := ""
	for _, member := range view.Members {
		if member.Role != "local-proxy" {
			text += fmt.Sprint(member.Name, member.Role, member.Address, member.Incarnation, member.State, " ")
		}
	}
	return text
}

// stewardsOf describes the listed stewards of a view, for comparisons of views.
func stewardsOf(view *membership.View) string {
	text := ""
	for _, member := range view.Stewards {
		text += fmt.Sprint(member.Name, member.Address, member.Incarnation, " ")
	}
	return text
}

// newLoneTable creates a table without a network. The second result collects the datagrams that the table sends. The third counts the
// comparisons that it asks for.
func newLoneTable(self wire.Member, clock clock.Clock) (*membership.Table, *[]wire.Datagram, *int) {
	sent, comparisons := &[]wire.Datagram{}, new(int)
	return membership.NewTable(self, clock, membership.DefaultTiming, 1, membership.Events{
		Send:               func(_ string, datagram wire.Datagram) { *sent = append(*sent, datagram) },
		Publish:            func(*membership.View) {},
		ConfigurationAhead: func(wire.Member, int64) {},
		ListsDiffer:        func(wire.Member) { *comparisons++ },
	}), sent, comparisons
}

func gate(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("edge-%d", number), Role: "gate", Address: fmt.Sprintf("10.0.0.2:%d", number), Incarnation: 1}
}

func steward(number int) wire.Member {
	return wire.Member{Name: fmt.Sprintf("control-%d", number), Role: "steward", Address: fmt.Sprintf("10.0.0.3:%d", number), Incarnation: 1}
}

var _ = Describe("a network of tables", func() {
	DescribeTable("announces a new leader to every process within 100 ms, with a bounded number of datagrams",
		func(stewards, gates, proxies int) {
			n := newNetwork(7)
			n.lossRate = 0.01
			n.addProcesses(stewards, gates, proxies)
			n.introduceAll()
			n.run(15 * time.Second)
			n.resetCounts()
			n.run(3 * time.Second)
			idleDatagrams := n.total(func(member *process) int { return member.datagrams })
			var worst time.Duration
			n.resetCounts()
			for epoch := uint64(1); epoch <= 10; epoch++ {
				delays := n.announceLeader(n.processes[int(epoch)%stewards], epoch, 3*time.Second)
				worst = max(worst, delays[len(delays)-1])
			}
			datagramsPerChange := n.total(func(member *process) int { return member.datagrams })/10 - idleDatagrams
			GinkgoWriter.Printf("%d processes: worst delay %v, %d datagrams per change\n", len(n.processes), worst, datagramsPerChange)
			Expect(worst).To(BeNumerically("<", 100*time.Millisecond))
			Expect(datagramsPerChange).To(BeNumerically("<", 14*(stewards+gates)+8*proxies))
		},
		Entry("20", 4, 4, 12), Entry("80", 8, 10, 62), Entry("1,000", 6, 14, 980))

	// If all pushes of a change to a process are lost, the next push comes with a tick of a peer.
	It("announces a new leader to every process within a tick, whichever datagrams are lost", func() {
		const seeds = 40
		var worst time.Duration
		for seed := range uint64(seeds) {
			n := newNetwork(seed)
			n.lossRate = 0.01
			n.addProcesses(8, 10, 62)
			n.introduceAll()
			n.run(5 * time.Second)
			for epoch := uint64(1); epoch <= 10; epoch++ {
				delays := n.announceLeader(n.processes[int(epoch)%8], epoch, 3*time.Second)
				worst = max(worst, delays[len(delays)-1])
			}
		}
		GinkgoWriter.Printf("worst delay of %d seeds: %v\n", seeds, worst)
		Expect(worst).To(BeNumerically("<=", halfPeriod+2*linkDelay))
	})

	It("of 1,000 processes joins through the seeds, then needs few datagrams and bytes per process", func() {
		n := newNetwork(3)
		n.lossRate = 0.01
		n.addProcesses(6, 14, 980)
		for _, member := range n.processes {
			for seed := range 3 {
				n.compareLists(member, n.processes[seed].self.Address)
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
			if member.self.Role == "steward" {
				Expect(datagrams).To(BeNumerically("<", 60))
				Expect(bytes).To(BeNumerically("<", 10_000))
				continue
			}
			Expect(datagrams).To(BeNumerically("<=", 5), member.self.Name)
			Expect(bytes).To(BeNumerically("<", 1_200), member.self.Name)
		}
		Expect(n.total(func(member *process) int { return member.calls })).To(BeNumerically("<", 10))
	})

	It("of 1,000 gates agrees on a failed and a new member, with few datagrams and bytes per process", func() {
		n := newNetwork(5)
		n.lossRate = 0.01
		n.addProcesses(3, 997, 0)
		n.introduceAll()
		n.run(11 * time.Second)
		n.processes[500].isStopped = true
		n.add("edge-new", "gate", 1)
		n.compareLists(n.processes[1000], n.processes[0].self.Address)
		n.resetCounts()
		n.run(13 * time.Second)
		Expect(n.maxCount(func(member *process) int { return member.datagrams })).To(BeNumerically("<", 13*10))
		Expect(n.total(func(member *process) int { return member.bytes }) / 1000 / 13).To(BeNumerically("<", 3_000))
		n.lossRate = 0
		n.run(5 * time.Second)
		first := n.processes[0].table.NewComparisonCall().Digest.MemberSum
		for _, member := range n.processes {
			if !member.isStopped {
				Expect(member.table.NewComparisonCall().Digest.MemberSum).To(Equal(first))
			}
		}
		Expect(n.processes[1].view.Members).To(HaveLen(1001))
	})

	It("agrees on leaders and members despite lost, duplicated and reordered datagrams", func() {
		n := newNetwork(11)
		n.lossRate, n.duplicateRate, n.maxJitter = 0.05, 0.1, 60*time.Millisecond
		n.addProcesses(4, 6, 20)
		n.introduceAll()
		n.run(30 * time.Second)
		delays := n.announceLeader(n.processes[2], 9, 2*time.Second)
		Expect(delays[len(delays)-1]).To(BeNumerically("<", 1500*time.Millisecond))
		n.lossRate = 0
		n.run(20 * time.Second)
		Expect(n.isAgreed(stewardsOf)).To(BeTrue())
		for _, member := range n.processes[:10] {
			Expect(member.view.Members).To(HaveLen(10))
			Expect(membersOf(member.view)).To(Equal(membersOf(n.processes[0].view)))
		}
	})

	It("brings processes that were cut off up to date", func() {
		n := newNetwork(13)
		n.addProcesses(4, 4, 8)
		n.introduceAll()
		n.run(15 * time.Second)
		edge, proxy := n.processes[6], n.processes[12]
		edge.isStopped, proxy.isStopped = true, true
		n.add("control-new", "steward", 1)
		n.compareLists(n.processes[16], n.processes[0].self.Address)
		n.run(2 * time.Second)
		n.announceLeader(n.processes[16], 5, 8*time.Second)
		Expect(edge.view.Leaders).To(BeEmpty())
		edge.isStopped, proxy.isStopped = false, false
		n.run(1500 * time.Millisecond)
		Expect(edge.view.Leaders["plan"].Name).To(Equal("control-new"))
		Expect(proxy.view.Leaders["plan"].Name).To(Equal("control-new"))
		_, isKnown := proxy.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
		n.run(6 * time.Second)
		_, isKnown = edge.view.Steward("control-new")
		Expect(isKnown).To(BeTrue())
	})

	It("replaces the record of a restarted steward, even if its clock went back", func() {
		for _, incarnation := range []uint64{7, 1} {
			n := newNetwork(17)
			n.addProcesses(3, 2, 6)
			n.introduceAll()
			n.run(12 * time.Second)
			old := n.processes[1]
			delete(n.byAddress, old.self.Address)
			n.processes = append(n.processes[:1], n.processes[2:]...)
			n.run(2 * time.Second)
			restarted := n.add("control-1", "steward", incarnation)
			n.compareLists(restarted, n.processes[0].self.Address)
			n.run(7 * time.Second)
			for _, member := range n.processes {
				listed, isKnown := member.view.Steward("control-1")
				Expect(isKnown).To(BeTrue())
				Expect(listed.Address).To(Equal(restarted.self.Address), "%s, incarnation %d", member.self.Name, incarnation)
				Expect(listed.State).To(Equal(wire.StateAlive))
			}
		}
	})

	It("lists no local proxies, and a local proxy switches to another steward if its own ones are silent", func() {
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
		delays := n.announceLeader(n.processes[3], 3, 500*time.Millisecond)
		Expect(delays[len(delays)-1]).To(BeNumerically("<", 100*time.Millisecond))
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

	It("transfers no records if nothing differs", func() {
		call := first.NewComparisonCall()
		Expect(second.AnswerCall(&call).Members).To(BeEmpty())
	})

	It("transfers only the buckets that differ, and the newer record in both directions", func() {
		suspected, restarted := gate(7), gate(8)
		suspected.State, restarted.Incarnation = wire.StateSuspect, 2
		first.Merge(suspected)
		second.Merge(restarted)
		call := first.NewComparisonCall()
		answer := second.AnswerCall(&call)
		Expect(len(answer.Differing)).To(BeNumerically("<=", 2))
		Expect(len(answer.Members)).To(BeNumerically("<", 30))
		followUp := first.HandleAnswer(steward(1), &answer)
		Expect(followUp.Members).To(ConsistOf(suspected))
		Expect(first.All()).To(ContainElement(restarted))
		second.AnswerCall(followUp)
		Expect(second.All()).To(ContainElement(suspected))
		Expect(first.NewComparisonCall().Buckets).To(Equal(second.NewComparisonCall().Buckets))
	})

	It("transfers leaders in both directions, and the higher epoch wins", func() {
		first.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 3, Name: "x"})
		first.MergeLeader(wire.KeyLeader{Key: "b", Epoch: 3, Name: "x"})
		second.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 4, Name: "y"})
		call := first.NewComparisonCall()
		answer := second.AnswerCall(&call)
		second.AnswerCall(first.HandleAnswer(steward(1), &answer))
		Expect(first.NewComparisonCall().Digest.LeaderSum).To(Equal(second.NewComparisonCall().Digest.LeaderSum))
		again := second.NewComparisonCall()
		Expect(first.AnswerCall(&again).Digest.Leaders).To(BeEmpty())
	})

	It("updates the sums incrementally to the same values as a full computation", func() {
		for number := range 60 {
			member := gate(number * 3)
			member.Incarnation, member.State = uint64(1+number%3), number%3
			first.Merge(member)
		}
		rebuilt, _, _ := newLoneTable(steward(0), clock.NewFake(1))
		for _, member := range first.All() {
			rebuilt.Merge(member)
		}
		Expect(rebuilt.NewComparisonCall().Buckets).To(Equal(first.NewComparisonCall().Buckets))
	})

	It("sends a peer of an earlier version the whole list and all leaders, and accepts the same from it", func() {
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
	It("merges the updates of a peer of an earlier version without a comparison, and ignores local proxies in them", func() {
		clock := clock.NewFake(1)
		table, sent, comparisons := newLoneTable(gate(0), clock)
		proxy := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 1}
		table.HandleDatagram(wire.Datagram{Kind: "ping", Number: 4, From: gate(1), Updates: []wire.Member{proxy},
			Digest: wire.Digest{Leaders: []wire.KeyLeader{{Key: "a", Epoch: 2, Name: "x"}}}})
		table.HandleDatagram(wire.Datagram{Kind: "ping", Number: 5, From: proxy})
		Expect(table.All()).To(ConsistOf(gate(0), gate(1)))
		Expect(table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})).To(BeFalse())
		Expect(*comparisons).To(BeZero())
		last := (*sent)[len(*sent)-1]
		Expect(last.Kind).To(Equal("ack"))
		Expect(last.Number).To(Equal(uint64(5)))
	})

	It("starts no comparison with a peer of an earlier version, and sends it no leaders, as its digest has no sums", func() {
		table, sent, comparisons := newLoneTable(gate(0), clock.NewFake(1))
		table.Merge(gate(1))
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "x"})
		table.HandleDatagram(wire.Datagram{Kind: "ack", From: gate(1)})
		Expect(*sent).To(BeEmpty())
		Expect(*comparisons).To(BeZero())
	})

	It("forgets a member that has been gone for long", func() {
		clock := clock.NewFake(1)
		var published *membership.View
		table := membership.NewTable(gate(0), clock, membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Publish: func(view *membership.View) { published = view }})
		empty := table.NewComparisonCall().Buckets
		table.Merge(steward(1))
		for range 600 {
			clock.Advance(350 * time.Millisecond)
			table.Tick()
		}
		Expect(published.Members).To(HaveLen(1))
		Expect(published.Stewards).To(BeEmpty())
		Expect(table.NewComparisonCall().Buckets).To(Equal(empty))
	})

	It("sends a local proxy the address of a key's new leader, and starts no comparison with it", func() {
		clock := clock.NewFake(1)
		table, sent, comparisons := newLoneTable(steward(0), clock)
		proxy := wire.Member{Name: "side-1", Role: "local-proxy", Address: "10.0.0.4:1", Incarnation: 5}
		clock.Advance(20 * time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "ping", From: proxy, Digest: wire.Digest{MemberSum: 99}})
		Expect(*comparisons).To(BeZero())
		table.Merge(steward(1))
		table.Merge(gate(1))
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-1"})
		table.Broadcast()
		pushed := (*sent)[len(*sent)-1]
		Expect(pushed.Updates).To(ConsistOf(steward(1)))
		Expect(pushed.Digest.Leaders).To(HaveLen(1))
	})

	It("sets longer ping pauses for many leaves, and keeps silent leaves for proportionally longer", func() {
		clock := clock.NewFake(1)
		table, sent, _ := newLoneTable(steward(0), clock)
		for number := range 1600 {
			proxy := wire.Member{Name: fmt.Sprintf("side-%d", number), Role: "local-proxy", Address: "10.0.0.4:1"}
			table.HandleDatagram(wire.Datagram{Kind: "ping", From: proxy})
		}
		Expect((*sent)[0].PingPauseMs).To(BeZero())
		Expect((*sent)[1599].PingPauseMs).To(Equal(int64(14_000)))
		// pushes returns the number of leaves that a new leader is pushed to after a wait.
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

	It("of a local proxy pings at the interval that the steward sets", func() {
		clock := clock.NewFake(1)
		pings, isIsolated := 0, false
		proxy := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Publish: func(view *membership.View) { isIsolated = isIsolated || view.IsIsolated }})
		proxy.Merge(steward(0))
		proxy.PublishIfChanged()
		for range 80 {
			clock.Advance(350 * time.Millisecond)
			before := pings
			if proxy.Tick(); pings > before {
				proxy.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000})
			}
		}
		Expect(pings).To(Equal(4))
		Expect(isIsolated).To(BeFalse())
	})

	It("of a local proxy compares lists at once after its start, and pings at the default rate while lists differ", func() {
		clock := clock.NewFake(1)
		proxy, sent, comparisons := newLoneTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock)
		proxy.Merge(steward(0))
		proxy.PublishIfChanged()
		for range 9 {
			clock.Advance(350 * time.Millisecond)
			before := len(*sent)
			if proxy.Tick(); len(*sent) > before {
				proxy.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), PingPauseMs: 7000, Digest: wire.Digest{MemberSum: 5}})
			}
		}
		Expect(*sent).To(HaveLen(2))
		Expect(*comparisons).To(Equal(1))
		proxy.Tick()
		clock.Advance(1400 * time.Millisecond)
		proxy.Tick()
		proxy.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(0), Digest: wire.Digest{MemberSum: 5}})
		Expect(*comparisons).To(Equal(2))
	})

	It("compares lists with a peer at once after its start", func() {
		table, _, comparisons := newLoneTable(gate(0), clock.NewFake(1))
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*comparisons).To(Equal(1))
	})

	It("keeps its leaves after a freeze of its own process", func() {
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

	It("of a local proxy is not isolated after a freeze of its own process, and pings at once", func() {
		clock := clock.NewFake(1)
		pings, isIsolated := 0, false
		proxy := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(string, wire.Datagram) { pings++ }, Publish: func(view *membership.View) { isIsolated = view.IsIsolated }})
		proxy.Merge(steward(0))
		proxy.PublishIfChanged()
		clock.Advance(1400 * time.Millisecond)
		proxy.Tick()
		clock.Advance(30 * time.Second)
		proxy.Tick()
		Expect(pings).To(Equal(2))
		Expect(isIsolated).To(BeFalse())
	})

	It("of a local proxy pings three stewards, one of them in its own zone", func() {
		clock := clock.NewFake(1)
		pinged := map[string]bool{}
		proxy := membership.NewTable(wire.Member{Name: "side-1", Role: "local-proxy", Domain: "here"}, clock, membership.DefaultTiming, 1,
			membership.Events{Send: func(to string, _ wire.Datagram) { pinged[to] = true }, Publish: func(*membership.View) {}})
		for number := range 40 {
			listed := steward(number)
			if number == 27 {
				listed.Domain = "here"
			}
			proxy.Merge(listed)
		}
		proxy.PublishIfChanged()
		for range 60 {
			clock.Advance(350 * time.Millisecond)
			proxy.Tick()
			for number := range 40 {
				proxy.HandleDatagram(wire.Datagram{Kind: "ack", From: steward(number)})
			}
		}
		Expect(pinged).To(HaveLen(3))
		Expect(pinged).To(HaveKey(steward(27).Address))
	})

	It("sends a local proxy stewards only, and the local proxy drops stewards that the answer lacks", func() {
		answering, _, _ := newLoneTable(steward(0), clock.NewFake(1))
		for number := range 60 {
			answering.Merge(gate(number))
		}
		proxy, _, _ := newLoneTable(wire.Member{Name: "side-1", Role: "local-proxy"}, clock.NewFake(1))
		for number := range 60 {
			proxy.Merge(steward(number))
		}
		call := proxy.NewComparisonCall()
		answer := answering.AnswerCall(&call)
		Expect(answer.Members).To(ConsistOf(steward(0)))
		Expect(proxy.HandleAnswer(steward(0), &answer)).To(BeNil())
		Expect(proxy.All()).To(HaveLen(2))
	})

	It("omits leaders from datagrams once they are no longer new, and sends them to a peer that lacks them", func() {
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

	It("compares lists with a peer that still differs after a while, but not while changes are in flight", func() {
		clock := clock.NewFake(1)
		table, _, comparisons := newLoneTable(gate(0), clock)
		table.Merge(gate(1))
		clock.Advance(20 * time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*comparisons).To(Equal(1))
		clock.Advance(2 * time.Second)
		table.Merge(gate(2))
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*comparisons).To(Equal(1))
		clock.Advance(time.Second)
		table.HandleDatagram(wire.Datagram{Kind: "news", From: gate(1), Digest: wire.Digest{MemberSum: 5}})
		Expect(*comparisons).To(Equal(2))
	})

	It("does not list a gone member long after its own start, and pushes nothing to a leaf that has stopped pinging", func() {
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

	It("publishes views that later changes do not modify", func() {
		var views []*membership.View
		table := membership.NewTable(steward(5), clock.NewFake(1), membership.DefaultTiming, 1, membership.Events{
			Send: func(string, wire.Datagram) {}, Publish: func(view *membership.View) { views = append(views, view) }})
		for _, number := range []int{3, 9, 1} {
			table.Merge(steward(number))
			table.PublishIfChanged()
		}
		restarted := steward(3)
		restarted.Incarnation, restarted.Disk = 4, "d"
		table.Merge(restarted)
		table.MergeLeader(wire.KeyLeader{Key: "a", Epoch: 2, Name: "control-3"})
		table.PublishIfChanged()
		Expect(stewardsOf(views[0])).To(Equal("control-310.0.0.3:31 control-510.0.0.3:51 "))
		Expect(views[2].Leaders).To(BeEmpty())
		last := views[len(views)-1]
		Expect(last.Members).To(HaveLen(4))
		found, isKnown := last.Steward("control-3")
		Expect(isKnown).To(BeTrue())
		Expect(found.Incarnation).To(Equal(uint64(4)))
		steward, _ := last.StewardOf("d")
		Expect(steward.Name).To(Equal("control-3"))
		for _, view := range views[:3] {
			for _, member := range view.Members {
				Expect(member.Incarnation).To(Equal(uint64(1)))
			}
		}
	})
})
