package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// probeTicks lie between two probes.
	probeTicks = 2
	// maxRelays is how many indirect probes are taken on at once; beyond staleRelays, unanswered ones are dropped.
	maxRelays   = 64
	staleRelays = 32
)

// prober knows which pings are under way.
type prober struct {
	// probeOrder are the members that the present round has still to probe.
	probeOrder []string
	lastNumber uint64
	// probes are this process's own pings by their numbers, relays those that it sends for others.
	probes map[uint64]probe
	relays map[uint64]relay
}

// probe is a ping that has not been answered yet; isAsked is set once others were asked to probe as well.
type probe struct {
	name    string
	began   time.Duration
	isAsked bool
}

// relay is a ping sent for another member, which gets the answer under its own number.
type relay struct {
	requester Member
	number    uint64
}

func (t *Table) handleAck(datagram wire.Datagram) {
	if pending, exists := t.relays[datagram.Number]; exists {
		delete(t.relays, datagram.Number)
		t.send(pending.requester, wire.Datagram{Kind: kindAck, Number: pending.number})
		return
	}
	delete(t.probes, datagram.Number)
}

// probeFor pings a member because another one asks for it.
func (t *Table) probeFor(datagram wire.Datagram) {
	target := t.records[datagram.Target]
	if target == nil || len(t.relays) > maxRelays {
		return
	}
	t.lastNumber++
	t.relays[t.lastNumber] = relay{datagram.From, datagram.Number}
	t.send(target.member, wire.Datagram{Kind: kindPing, Number: t.lastNumber})
}

// followProbes asks others about members that do not answer, and suspects those that go on not answering.
func (t *Table) followProbes(now time.Duration) {
	for number, pending := range t.probes {
		known, waited := t.records[pending.name], now-pending.began
		switch {
		case known == nil:
			delete(t.probes, number)
		case known.lastContactAt > pending.began:
			delete(t.probes, number)
		case waited >= 2*t.timing.AnswerWait+t.timing.Period/2:
			delete(t.probes, number)
			t.suspect(pending.name)
		case waited >= t.timing.AnswerWait && !pending.isAsked:
			t.askOthers(number, pending)
		}
	}
	if len(t.relays) > staleRelays {
		clear(t.relays)
	}
}

func (t *Table) askOthers(number uint64, pending probe) {
	pending.isAsked = true
	t.probes[number] = pending
	for _, helper := range t.randomMembers(t.timing.IndirectProbes, pending.name) {
		t.send(helper, wire.Datagram{Kind: kindAsk, Number: number, Target: pending.name})
	}
}

// probeNext pings the next member of a round; each round takes all members in a new order.
func (t *Table) probeNext(now time.Duration) {
	if len(t.probeOrder) == 0 {
		t.beginProbeRound()
	}
	for len(t.probeOrder) > 0 {
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if known := t.records[name]; known != nil {
			t.lastNumber++
			t.probes[t.lastNumber] = probe{name: name, began: now}
			t.send(known.member, wire.Datagram{Kind: kindPing, Number: t.lastNumber, Updates: t.suspicionOf(name)})
			return
		}
	}
}

// beginProbeRound shuffles the members, with a third of those that are gone, as one of them may be back.
func (t *Table) beginProbeRound() {
	for _, member := range t.members.members {
		isDue := member.State != wire.StateGone || t.random.IntN(3) == 0
		if name := Name(member); isDue && name != Name(t.self) {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	t.random.Shuffle(len(t.probeOrder), func(i, j int) {
		t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
	})
}
