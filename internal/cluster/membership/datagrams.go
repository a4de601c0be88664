package membership

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// The kinds of datagrams, by their names on the wire.
const (
	kindPing = "ping"
	kindAck  = "ack"
	// kindPingRequest asks for an indirect probe: the receiver pings the target and relays its ack.
	kindPingRequest = "ask"
	// kindUpdate carries changes and has no ack.
	kindUpdate = "news"
)

const (
	// maxUpdates is the maximum number of records in a datagram.
	maxUpdates = 5
	// updateRepeats is the number of datagrams that carry a changed record.
	updateRepeats = 4
)

// HandleDatagram merges what a datagram carries, and answers it if its kind needs an answer or the sender lacks leaders.
func (t *Table) HandleDatagram(datagram wire.Datagram) {
	from := datagram.From
	if Name(from) == Name(t.self) {
		return
	}
	t.recordContact(from)
	for _, member := range datagram.Updates {
		t.Merge(member)
	}
	t.handleDigest(from, datagram.Digest)
	reply := wire.Datagram{Digest: wire.Digest{Leaders: t.leadersMissingAt(datagram.Digest)}}
	switch datagram.Kind {
	case kindPing:
		reply.Kind, reply.Number, reply.Updates = kindAck, datagram.Number, t.suspicionOf(Name(from))
	case kindAck:
		t.handleAck(datagram)
		t.setPingPause(datagram.PingPauseMs)
	case kindPingRequest:
		t.relayPing(datagram)
	}
	if reply.Kind == "" && len(reply.Digest.Leaders) > 0 {
		reply.Kind = kindUpdate
	}
	if reply.Kind != "" {
		t.send(from, reply)
	}
	t.startComparisonIfDue(from, datagram.Digest)
	t.PublishIfChanged()
}

// recordContact records that a peer has sent a message, which proves that the peer is alive and counts as an answer to a local proxy's ping.
func (t *Table) recordContact(from Member) {
	if isLeaf(from) {
		t.trackLeaf(from)
		return
	}
	t.Merge(from)
	now := t.clock.Monotonic()
	if known := t.records[Name(from)]; known != nil {
		known.lastContactAt = now
		t.isPingAnswered = true
	}
}

// suspicionOf returns the record of a member if it is suspect or gone, so that it can be sent to the member, which then refutes it. For a
// live member it returns nil.
func (t *Table) suspicionOf(name string) []Member {
	if known := t.records[name]; known != nil && known.member.State != wire.StateAlive {
		return []Member{known.member}
	}
	return nil
}

// send adds the record of this process, its digest and recent changes to a datagram, and sends it. A local proxy gets the records of new
// leaders and its ping pause in place of the changes.
func (t *Table) send(to Member, datagram wire.Datagram) {
	leaders := datagram.Digest.Leaders
	if len(leaders) == 0 {
		leaders = t.leadersToSend()
	}
	if isLeaf(to) {
		datagram.PingPauseMs = t.pingPauseMs()
		datagram.Updates = append(datagram.Updates, t.recordsOfLeaders(leaders)...)
	} else {
		datagram.Updates = t.withRecentChanges(datagram.Updates)
	}
	datagram.From, datagram.Digest = t.self, t.digestFor(to.Role)
	datagram.Digest.Leaders = leaders
	t.events.Send(to.Address, datagram)
}

// withRecentChanges adds recently changed records up to maxUpdates, and counts down how often each is still sent.
func (t *Table) withRecentChanges(updates []Member) []Member {
	for name, timesLeft := range t.pendingUpdates {
		if len(updates) >= maxUpdates {
			break
		}
		if known := t.records[name]; known != nil {
			updates = append(updates, known.member)
		}
		if timesLeft <= 1 {
			delete(t.pendingUpdates, name)
			continue
		}
		t.pendingUpdates[name] = timesLeft - 1
	}
	return updates
}

// Broadcast sends recent changes to a few random members without waiting for the next probe. If leaders have changed, it sends to more
// members, and to all attached local proxies.
func (t *Table) Broadcast() {
	if len(t.recentLeaders) == 0 {
		t.sendUpdates(t.timing.Fanout)
		return
	}
	t.sendUpdates(t.timing.LeaderFanout)
	t.sendToLeaves()
}

// sendUpdates sends an update to a number of random members.
func (t *Table) sendUpdates(count int) {
	t.PublishIfChanged()
	for _, member := range t.randomMembers(count, "") {
		t.send(member, wire.Datagram{Kind: kindUpdate})
	}
}

// randomMembers returns up to count random live members other than this process and the excluded one. It walks the whole list only if
// random draws find too few, which happens if most members are not alive.
func (t *Table) randomMembers(count int, excluded string) []Member {
	all := t.members.members
	var chosen []Member
	addIfEligible := func(member Member) {
		name := Name(member)
		isEligible := member.State == wire.StateAlive && name != excluded && name != Name(t.self)
		if isEligible && !slices.ContainsFunc(chosen, func(other Member) bool { return Name(other) == name }) {
			chosen = append(chosen, member)
		}
	}
	for draws := 0; draws < 8*count && len(chosen) < count; draws++ {
		addIfEligible(all[t.random.IntN(len(all))])
	}
	if len(chosen) == count {
		return chosen
	}
	for _, index := range t.random.Perm(len(all)) {
		if len(chosen) < count {
			addIfEligible(all[index])
		}
	}
	return chosen
}
