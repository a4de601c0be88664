package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// probeTicks is the number of ticks between two probes.
	probeTicks = 2
	// maxRelays bounds the relayed pings in flight. Once more than staleRelays of them are unanswered, checkProbes drops them all.
	maxRelays   = 64
	staleRelays = 32
)

// prober holds the pings in flight.
type prober struct {
	// probeOrder holds the names of the members that are still to be probed in the current round.
	probeOrder     []string
	lastPingNumber uint64
	// probes holds the pings of this process by their numbers, relays those that it sends for other members.
	probes map[uint64]probe
	relays map[uint64]relay
}

// probe is a ping in flight. hasAskedOthers is set once other members have been asked to probe the member as well.
type probe struct {
	name           string
	startedAt      time.Duration
	hasAskedOthers bool
}

// relay is a ping in flight for another member, the requester. The requester gets the ack under its own number.
type relay struct {
	requester Member
	number    uint64
}

// handleAck ends a probe, or relays the ack of an indirect probe to the requester.
func (t *Table) handleAck(datagram wire.Datagram) {
	if pending, exists := t.relays[datagram.Number]; exists {
		delete(t.relays, datagram.Number)
		t.send(pending.requester, wire.Datagram{Kind: kindAck, Number: pending.number})
		return
	}
	delete(t.probes, datagram.Number)
}

// relayPing pings a member on behalf of another one.
func (t *Table) relayPing(datagram wire.Datagram) {
	target := t.records[datagram.Target]
	if target == nil || len(t.relays) > maxRelays {
		return
	}
	t.lastPingNumber++
	t.relays[t.lastPingNumber] = relay{datagram.From, datagram.Number}
	t.send(target.member, wire.Datagram{Kind: kindPing, Number: t.lastPingNumber})
}

// checkProbes handles the timeouts of probes. Members that have not answered within Timing.AckTimeout are probed indirectly. They become
// suspect if neither a message from them nor a relayed ack has arrived within two such timeouts and half a period.
func (t *Table) checkProbes(now time.Duration) {
	for number, pending := range t.probes {
		known, waited := t.records[pending.name], now-pending.startedAt
		switch {
		case known == nil:
			delete(t.probes, number)
		case known.lastContactAt > pending.startedAt:
			delete(t.probes, number)
		case waited >= 2*t.timing.AckTimeout+t.timing.Period/2:
			delete(t.probes, number)
			t.suspect(pending.name)
		case waited >= t.timing.AckTimeout && !pending.hasAskedOthers:
			t.requestIndirectProbes(number, pending)
		}
	}
	if len(t.relays) > staleRelays {
		clear(t.relays)
	}
}

// requestIndirectProbes asks a few random members to probe the member of a probe.
func (t *Table) requestIndirectProbes(number uint64, pending probe) {
	pending.hasAskedOthers = true
	t.probes[number] = pending
	for _, helper := range t.randomMembers(t.timing.IndirectProbes, pending.name) {
		t.send(helper, wire.Datagram{Kind: kindPingRequest, Number: number, Target: pending.name})
	}
}

// probeNext pings the next listed member of the current round, and starts a new round if that has ended.
func (t *Table) probeNext(now time.Duration) {
	if len(t.probeOrder) == 0 {
		t.beginProbeRound()
	}
	for len(t.probeOrder) > 0 {
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if known := t.records[name]; known != nil {
			t.lastPingNumber++
			t.probes[t.lastPingNumber] = probe{name: name, startedAt: now}
			t.send(known.member, wire.Datagram{Kind: kindPing, Number: t.lastPingNumber, Updates: t.suspicionOf(name)})
			return
		}
	}
}

// beginProbeRound puts the members of the next round in a random order. It includes each member that is gone with a probability of one third,
// because that member may be back.
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
