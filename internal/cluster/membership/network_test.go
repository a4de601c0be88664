package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	oneWay  = time.Millisecond
	halfway = 350 * time.Millisecond
)

type happening struct {
	at     time.Duration
	number int
	occur  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(one any) { *a = append(*a, one.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// resident is a table of the network, and what was counted and seen of it.
type resident struct {
	member    wire.Member
	table     *membership.Table
	view      *membership.View
	datagrams int
	bytes     int
	calls     int
	learnedAt map[uint64]time.Duration
	isShut    bool
}

// network carries datagrams and calls between tables; it loses, doubles and delays datagrams as it is told.
type network struct {
	clock   *clock.Fake
	draw    *rand.Rand
	all     []*resident
	by      map[string]*resident
	agenda  agenda
	number  int
	homes   int
	loss    float64
	doubled float64
	jitter  time.Duration
}

func newNetwork(seed uint64) *network {
	return &network{clock: clock.NewFake(1000), draw: rand.New(rand.NewPCG(seed, 1)), by: map[string]*resident{}}
}

func (n *network) add(name, role string, incarnation uint64) *resident {
	n.homes++
	one := &resident{member: wire.Member{Name: name, Role: role, Domain: fmt.Sprintf("zone-%d", len(n.all)%4),
		Address: fmt.Sprintf("10.0.0.1:%d", 7000+n.homes), Incarnation: incarnation}, learnedAt: map[uint64]time.Duration{}}
	if role == "steward" {
		one.member.Disk = "disk-" + name
	}
	one.table = membership.NewTable(one.member, n.clock, membership.DefaultTiming, n.draw.Uint64(), membership.Events{
		Send: func(to string, datagram wire.Datagram) { n.carry(one, to, datagram) },
		Show: func(view *membership.View) {
			one.view = view
			epoch := view.Owners["plan"].Epoch
			if _, isThere := one.learnedAt[epoch]; !isThere {
				one.learnedAt[epoch] = n.clock.Monotonic()
			}
		},
		PlanAhead: func(wire.Member, int64) {},
		Differ:    func(peer wire.Member) { n.exchange(one, peer.Address) },
	})
	n.all = append(n.all, one)
	n.by[one.member.Address] = one
	one.table.Settle()
	n.after(time.Duration(n.draw.Int64N(int64(halfway))), func() { n.tick(one) })
	return one
}

func (n *network) acquaint() {
	for _, one := range n.all {
		for _, other := range n.all {
			one.table.Merge(other.member)
		}
		one.table.Settle()
	}
}

func (n *network) after(wait time.Duration, occur func()) {
	n.number++
	heap.Push(&n.agenda, happening{n.clock.Monotonic() + wait, n.number, occur})
}

func (n *network) tick(one *resident) {
	if n.by[one.member.Address] != one {
		return
	}
	if !one.isShut {
		one.table.Tick()
	}
	n.after(halfway, func() { n.tick(one) })
}

func (n *network) carry(from *resident, to string, datagram wire.Datagram) {
	text, err := easyjson.Marshal(datagram)
	if err != nil {
		panic(err)
	}
	from.datagrams++
	from.bytes += len(text)
	times := 1
	if n.draw.Float64() < n.doubled {
		times = 2
	}
	for range times {
		if n.draw.Float64() < n.loss {
			continue
		}
		wait := oneWay
		if n.jitter > 0 {
			wait += time.Duration(n.draw.Int64N(int64(n.jitter)))
		}
		n.after(wait, func() {
			if there := n.by[to]; there != nil && !there.isShut && !from.isShut {
				there.table.Hear(datagram)
			}
		})
	}
}

func (n *network) exchange(one *resident, address string) {
	call := one.table.Ask()
	n.call(one, address, &call, func(answer *wire.MembersAnswer) {
		if given := one.table.Take(wire.Member{Address: address}, answer); given != nil {
			n.call(one, address, given, func(*wire.MembersAnswer) {})
		}
	})
}

func (n *network) call(one *resident, address string, call *wire.MembersCall, take func(*wire.MembersAnswer)) {
	text, _ := easyjson.Marshal(call)
	one.calls++
	one.bytes += len(text)
	n.after(oneWay, func() {
		there := n.by[address]
		if there == nil || there.isShut || one.isShut {
			return
		}
		answer := there.table.Answer(call)
		text, _ := easyjson.Marshal(answer)
		there.bytes += len(text)
		n.after(oneWay, func() { take(&answer) })
	})
}

func (n *network) run(length time.Duration) {
	end := n.clock.Monotonic() + length
	for len(n.agenda) > 0 && n.agenda[0].at <= end {
		next := heap.Pop(&n.agenda).(happening)
		n.clock.Advance(next.at - n.clock.Monotonic())
		next.occur()
	}
	n.clock.Advance(end - n.clock.Monotonic())
}

func (n *network) resetCounts() {
	for _, one := range n.all {
		one.datagrams, one.bytes, one.calls = 0, 0, 0
	}
}

func (n *network) most(count func(*resident) int) int {
	most := 0
	for _, one := range n.all {
		most = max(most, count(one))
	}
	return most
}

func (n *network) total(count func(*resident) int) int {
	total := 0
	for _, one := range n.all {
		total += count(one)
	}
	return total
}

// moveOwner lets a steward announce a key, and gives how long each that runs took to learn it.
func (n *network) moveOwner(to *resident, epoch uint64, patience time.Duration) []time.Duration {
	began := n.clock.Monotonic()
	if to.table.MergeOwner(wire.KeyLeader{Key: "plan", Epoch: epoch, Name: to.member.Name}) {
		to.table.Spread()
	}
	n.run(patience)
	var lengths []time.Duration
	for _, one := range n.all {
		if one.isShut {
			continue
		}
		at, isThere := one.learnedAt[epoch]
		if !isThere {
			at = began + time.Hour
		}
		lengths = append(lengths, at-began)
	}
	slices.Sort(lengths)
	return lengths
}

func (n *network) people(stewards, gates, proxies int) {
	for number := range stewards {
		n.add(fmt.Sprintf("control-%d", number), "steward", 1)
	}
	for number := range gates {
		n.add(fmt.Sprintf("edge-%d", number), "gate", 1)
	}
	for number := range proxies {
		n.add(fmt.Sprintf("side-%d", number), "local-proxy", 1)
	}
}

func (n *network) isAgreed(about func(*membership.View) string) bool {
	first := ""
	for _, one := range n.all {
		if one.isShut {
			continue
		}
		if told := about(one.view); first == "" {
			first = told
		} else if told != first {
			return false
		}
	}
	return true
}
