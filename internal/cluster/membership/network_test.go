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
	linkDelay  = time.Millisecond
	halfPeriod = 350 * time.Millisecond
)

type event struct {
	at     time.Duration
	number int
	occur  func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].number < a[j].number
}
func (a eventQueue) Swap(i, j int)     { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(element any) { *a = append(*a, element.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// process is a table of the network, and what was counted and seen of it.
type process struct {
	member    wire.Member
	table     *membership.Table
	view      *membership.View
	datagrams int
	bytes     int
	calls     int
	learnedAt map[uint64]time.Duration
	isStopped bool
}

// network carries datagrams and calls between tables; it loses, doubles and delays datagrams as it is told.
type network struct {
	clock        *clock.Fake
	random       *rand.Rand
	processes    []*process
	byAddress    map[string]*process
	agenda       eventQueue
	number       int
	addressCount int
	loss         float64
	doubled      float64
	jitter       time.Duration
}

func newNetwork(seed uint64) *network {
	return &network{clock: clock.NewFake(1000), random: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*process{}}
}

func (n *network) add(name, role string, incarnation uint64) *process {
	n.addressCount++
	member := &process{member: wire.Member{Name: name, Role: role, Domain: fmt.Sprintf("zone-%d", len(n.processes)%4),
		Address: fmt.Sprintf("10.0.0.1:%d", 7000+n.addressCount), Incarnation: incarnation}, learnedAt: map[uint64]time.Duration{}}
	if role == "steward" {
		member.member.Disk = "disk-" + name
	}
	member.table = membership.NewTable(member.member, n.clock, membership.DefaultTiming, n.random.Uint64(), membership.Events{
		Send: func(to string, datagram wire.Datagram) { n.carry(member, to, datagram) },
		Publish: func(view *membership.View) {
			member.view = view
			epoch := view.Leaders["plan"].Epoch
			if _, exists := member.learnedAt[epoch]; !exists {
				member.learnedAt[epoch] = n.clock.Monotonic()
			}
		},
		ConfigurationAhead: func(wire.Member, int64) {},
		ListsDiffer:        func(peer wire.Member) { n.exchange(member, peer.Address) },
	})
	n.processes = append(n.processes, member)
	n.byAddress[member.member.Address] = member
	member.table.PublishIfChanged()
	n.after(time.Duration(n.random.Int64N(int64(halfPeriod))), func() { n.tick(member) })
	return member
}

func (n *network) introduceAll() {
	for _, member := range n.processes {
		for _, other := range n.processes {
			member.table.Merge(other.member)
		}
		member.table.PublishIfChanged()
	}
}

func (n *network) after(wait time.Duration, occur func()) {
	n.number++
	heap.Push(&n.agenda, event{n.clock.Monotonic() + wait, n.number, occur})
}

func (n *network) tick(member *process) {
	if n.byAddress[member.member.Address] != member {
		return
	}
	if !member.isStopped {
		member.table.Tick()
	}
	n.after(halfPeriod, func() { n.tick(member) })
}

func (n *network) carry(from *process, to string, datagram wire.Datagram) {
	text, err := easyjson.Marshal(datagram)
	if err != nil {
		panic(err)
	}
	from.datagrams++
	from.bytes += len(text)
	times := 1
	if n.random.Float64() < n.doubled {
		times = 2
	}
	for range times {
		if n.random.Float64() < n.loss {
			continue
		}
		wait := linkDelay
		if n.jitter > 0 {
			wait += time.Duration(n.random.Int64N(int64(n.jitter)))
		}
		n.after(wait, func() {
			if there := n.byAddress[to]; there != nil && !there.isStopped && !from.isStopped {
				there.table.HandleDatagram(datagram)
			}
		})
	}
}

func (n *network) exchange(member *process, address string) {
	call := member.table.NewComparisonCall()
	n.call(member, address, &call, func(answer *wire.MembersAnswer) {
		if given := member.table.HandleAnswer(wire.Member{Address: address}, answer); given != nil {
			n.call(member, address, given, func(*wire.MembersAnswer) {})
		}
	})
}

func (n *network) call(member *process, address string, call *wire.MembersCall, take func(*wire.MembersAnswer)) {
	text, _ := easyjson.Marshal(call)
	member.calls++
	member.bytes += len(text)
	n.after(linkDelay, func() {
		there := n.byAddress[address]
		if there == nil || there.isStopped || member.isStopped {
			return
		}
		answer := there.table.AnswerCall(call)
		text, _ := easyjson.Marshal(answer)
		there.bytes += len(text)
		n.after(linkDelay, func() { take(&answer) })
	})
}

func (n *network) run(length time.Duration) {
	end := n.clock.Monotonic() + length
	for len(n.agenda) > 0 && n.agenda[0].at <= end {
		next := heap.Pop(&n.agenda).(event)
		n.clock.Advance(next.at - n.clock.Monotonic())
		next.occur()
	}
	n.clock.Advance(end - n.clock.Monotonic())
}

func (n *network) resetCounts() {
	for _, member := range n.processes {
		member.datagrams, member.bytes, member.calls = 0, 0, 0
	}
}

func (n *network) maxCount(count func(*process) int) int {
	maximum := 0
	for _, member := range n.processes {
		maximum = max(maximum, count(member))
	}
	return maximum
}

func (n *network) total(count func(*process) int) int {
	total := 0
	for _, member := range n.processes {
		total += count(member)
	}
	return total
}

// moveLeader lets a steward announce a key, and gives how long each that runs took to learn it.
func (n *network) moveLeader(to *process, epoch uint64, patience time.Duration) []time.Duration {
	began := n.clock.Monotonic()
	if to.table.MergeLeader(wire.KeyLeader{Key: "plan", Epoch: epoch, Name: to.member.Name}) {
		to.table.Broadcast()
	}
	n.run(patience)
	var lengths []time.Duration
	for _, member := range n.processes {
		if member.isStopped {
			continue
		}
		at, exists := member.learnedAt[epoch]
		if !exists {
			at = began + time.Hour
		}
		lengths = append(lengths, at-began)
	}
	slices.Sort(lengths)
	return lengths
}

func (n *network) addProcesses(stewards, gates, proxies int) {
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
	for _, member := range n.processes {
		if member.isStopped {
			continue
		}
		if text := about(member.view); first == "" {
			first = text
		} else if text != first {
			return false
		}
	}
	return true
}
