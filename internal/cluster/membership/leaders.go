package membership

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// mostFacts is how many leaders of keys a datagram names at most.
	mostFacts = 12
	// recentTicks is for how many ticks a new leader of a key is sent along with each datagram.
	recentTicks = 4
)

// MergeOwner takes word of a key's leader; the higher epoch counts. It tells whether it was news.
func (t *Table) MergeOwner(fact wire.KeyLeader) bool {
	known, isThere := t.leaders[fact.Key]
	if isThere && known.Epoch >= fact.Epoch {
		return false
	}
	if t.isLeadersShown {
		t.leaders, t.isLeadersShown = maps.Clone(t.leaders), false
	}
	if isThere {
		t.leaderSum ^= factHash(known)
	}
	t.leaderSum ^= factHash(fact)
	t.leaders[fact.Key] = fact
	t.recentLeaders[fact.Key] = recentTicks
	t.isDirty, t.hasLeaderMoved = true, true
	return true
}

func (t *Table) shownLeaderSum() uint32 { return shown(t.leaderSum) }

func (t *Table) allFacts() []wire.KeyLeader { return slices.Collect(maps.Values(t.leaders)) }

func (t *Table) recentFacts() []wire.KeyLeader {
	var facts []wire.KeyLeader
	for key := range t.recentLeaders {
		if len(facts) == mostFacts {
			break
		}
		facts = append(facts, t.leaders[key])
	}
	return facts
}

// factsMissingAt gives all facts to a peer whose sum of them differs; if it holds newer ones, it does the same in turn.
func (t *Table) factsMissingAt(digest wire.Digest) []wire.KeyLeader {
	if digest.LeaderSum == 0 || digest.LeaderSum == t.shownLeaderSum() || len(t.leaders) > mostFacts {
		return nil
	}
	return t.allFacts()
}

// ageLeaders lets facts about leaders cease to be news; it tells whether some are to be spread once more.
func (t *Table) ageLeaders() bool {
	isSpreadDue := false
	for key, ticksLeft := range t.recentLeaders {
		isSpreadDue = isSpreadDue || ticksLeft == recentTicks
		if t.recentLeaders[key] = ticksLeft - 1; ticksLeft <= 1 {
			delete(t.recentLeaders, key)
		}
	}
	return isSpreadDue
}

// recordsOf gives the records of the leaders that the facts name, so that a local-proxy can call them at once.
func (t *Table) recordsOf(facts []wire.KeyLeader) []Member {
	var leaders []Member
	for _, fact := range facts {
		known := t.records[Name(Member{Name: fact.Name, Role: RoleSteward})]
		if known == nil || len(leaders) >= mostNews {
			continue
		}
		if !slices.ContainsFunc(leaders, func(listed Member) bool { return listed.Name == fact.Name }) {
			leaders = append(leaders, known.member)
		}
	}
	return leaders
}
