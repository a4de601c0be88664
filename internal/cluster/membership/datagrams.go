package membership

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// The kinds of datagrams, as they are on the wire.
const (
	kindPing = "ping"
	kindAck  = "ack"
	// kindAsk asks for an indirect probe: the receiver pings the target and passes its answer on.
	kindAsk    = "ask"
	kindUpdate = "news"
)

const (
	// maxUpdates is how many records a datagram carries at most.
	maxUpdates = 5
	// updateRepeats is how often a changed record is sent along.
	updateRepeats = 4
)

// HandleDatagram takes one datagram.
func (t *Table) HandleDatagram(datagram wire.Datagram) {
	from := datagram.From
	if Name(from) == Name(t.self) {
		return
	}
	t.noteContact(from)
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
	case kindAsk:
		t.probeFor(datagram)
	}
	if reply.Kind == "" && len(reply.Digest.Leaders) > 0 {
		reply.Kind = kindUpdate
	}
	if reply.Kind != "" {
		t.send(from, reply)
	}
	t.compareSums(from, datagram.Digest)
	t.PublishIfChanged()
}

// noteContact notes that a peer has sent something.
func (t *Table) noteContact(from Member) {
	if isLeaf(from) {
		t.noteLeaf(from)
		return
	}
	t.Merge(from)
	now := t.clock.Monotonic()
	if known := t.records[Name(from)]; known != nil {
		known.lastContactAt = now
		t.isPingAnswered = true
	}
}

// suspicionOf gives the record of a member that is not thought alive, so that it can refute it.
func (t *Table) suspicionOf(name string) []Member {
	if known := t.records[name]; known != nil && known.member.State != wire.StateAlive {
		return []Member{known.member}
	}
	return nil
}

// send adds this process's record, digest and recent changes to a datagram.
func (t *Table) send(to Member, datagram wire.Datagram) {
	leaders := datagram.Digest.Leaders
	if len(leaders) == 0 {
		leaders = t.newLeaders()
	}
	if isLeaf(to) {
		datagram.PingPauseMs = t.pauseMs()
		datagram.Updates = append(datagram.Updates, t.recordsOf(leaders)...)
	} else {
		datagram.Updates = t.withRecentChanges(datagram.Updates)
	}
	datagram.From, datagram.Digest = t.self, t.digestFor(to.Role)
	datagram.Digest.Leaders = leaders
	t.events.Send(to.Address, datagram)
}

// withRecentChanges adds records that have changed of late, and counts that they were sent.
func (t *Table) withRecentChanges(updates []Member) []Member {
	for name, timesLeft := range t.changesToSend {
		if len(updates) >= maxUpdates {
			break
		}
		if known := t.records[name]; known != nil {
			updates = append(updates, known.member)
		}
		if timesLeft <= 1 {
			delete(t.changesToSend, name)
			continue
		}
		t.changesToSend[name] = timesLeft - 1
	}
	return updates
}

// Broadcast sends recent changes to a few others at once.
func (t *Table) Broadcast() {
	if len(t.recentLeaders) == 0 {
		t.sendUpdates(t.timing.Fanout)
		return
	}
	t.sendUpdates(t.timing.LeaderFanout)
	t.sendToLeaves()
}

func (t *Table) sendUpdates(count int) {
	t.PublishIfChanged()
	for _, member := range t.randomMembers(count, "") {
		t.send(member, wire.Datagram{Kind: kindUpdate})
	}
}

// randomMembers draws a few members that are alive, without walking the whole list unless most of it is not.
func (t *Table) randomMembers(count int, without string) []Member {
	all := t.members.members
	var chosen []Member
	take := func(member Member) {
		name := Name(member)
		isFit := member.State == wire.StateAlive && name != without && name != Name(t.self)
		if isFit && !slices.ContainsFunc(chosen, func(other Member) bool { return Name(other) == name }) {
			chosen = append(chosen, member)
		}
	}
	for try := 0; try < 8*count && len(chosen) < count; try++ {
		take(all[t.random.IntN(len(all))])
	}
	if len(chosen) == count {
		return chosen
	}
	for _, index := range t.random.Perm(len(all)) {
		if len(chosen) < count {
			take(all[index])
		}
	}
	return chosen
}
