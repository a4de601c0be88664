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
	kindAsk  = "ask"
	kindNews = "news"
)

const (
	// mostNews is how many records a datagram carries at most.
	mostNews = 5
	// newsTimes is how often a changed record is sent along.
	newsTimes = 4
)

// Hear takes one datagram.
func (t *Table) Hear(datagram wire.Datagram) {
	from := datagram.From
	if Name(from) == Name(t.self) {
		return
	}
	t.noteContact(from)
	for _, member := range datagram.Updates {
		t.Merge(member)
	}
	t.handleNews(from, datagram.Digest)
	reply := wire.Datagram{Digest: wire.Digest{Leaders: t.factsMissingAt(datagram.Digest)}}
	switch datagram.Kind {
	case kindPing:
		reply.Kind, reply.Number, reply.Updates = kindAck, datagram.Number, t.doubtOf(Name(from))
	case kindAck:
		t.handleAck(datagram)
		t.setPingPause(datagram.PingPauseMs)
	case kindAsk:
		t.probeFor(datagram)
	}
	if reply.Kind == "" && len(reply.Digest.Leaders) > 0 {
		reply.Kind = kindNews
	}
	if reply.Kind != "" {
		t.send(from, reply)
	}
	t.compareSums(from, datagram.Digest)
	t.Settle()
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

// doubtOf gives the record of a member that is not thought alive, so that it can refute it.
func (t *Table) doubtOf(name string) []Member {
	if known := t.records[name]; known != nil && known.member.State != wire.StateAlive {
		return []Member{known.member}
	}
	return nil
}

// send adds this process's record, digest and news to a datagram.
func (t *Table) send(to Member, datagram wire.Datagram) {
	facts := datagram.Digest.Leaders
	if len(facts) == 0 {
		facts = t.recentFacts()
	}
	if isLeaf(to) {
		datagram.PingPauseMs = t.pauseMs()
		datagram.Updates = append(datagram.Updates, t.recordsOf(facts)...)
	} else {
		datagram.Updates = t.withNews(datagram.Updates)
	}
	datagram.From, datagram.Digest = t.self, t.digestFor(to.Role)
	datagram.Digest.Leaders = facts
	t.events.Send(to.Address, datagram)
}

// withNews adds records that have changed of late, and counts that they were sent.
func (t *Table) withNews(news []Member) []Member {
	for name, timesLeft := range t.newsToSend {
		if len(news) >= mostNews {
			break
		}
		if known := t.records[name]; known != nil {
			news = append(news, known.member)
		}
		if timesLeft <= 1 {
			delete(t.newsToSend, name)
			continue
		}
		t.newsToSend[name] = timesLeft - 1
	}
	return news
}

// Spread passes news on to a few others at once.
func (t *Table) Spread() {
	if len(t.recentLeaders) == 0 {
		t.sendNews(t.timing.Fanout)
		return
	}
	t.sendNews(t.timing.OwnerFanout)
	t.pushToLeaves()
}

func (t *Table) sendNews(count int) {
	t.Settle()
	for _, member := range t.randomMembers(count, "") {
		t.send(member, wire.Datagram{Kind: kindNews})
	}
}

// randomMembers draws a few members that are alive, without walking the whole list unless most of it is not.
func (t *Table) randomMembers(count int, without string) []Member {
	all := t.everyone.members
	var chosen []Member
	take := func(member Member) {
		name := Name(member)
		isFit := member.State == wire.StateAlive && name != without && name != Name(t.self)
		if isFit && !slices.ContainsFunc(chosen, func(other Member) bool { return Name(other) == name }) {
			chosen = append(chosen, member)
		}
	}
	for try := 0; try < 8*count && len(chosen) < count; try++ {
		take(all[t.draw.IntN(len(all))])
	}
	if len(chosen) == count {
		return chosen
	}
	for _, place := range t.draw.Perm(len(all)) {
		if len(chosen) < count {
			take(all[place])
		}
	}
	return chosen
}
