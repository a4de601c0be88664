package membership

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxLeaders is how many leaders of keys a datagram names at most.
	maxLeaders = 12
	// recentTicks is for how many ticks a new leader of a key is sent along with each datagram.
	recentTicks = 4
)

// MergeLeader takes a leader of a key; the higher epoch counts. It tells whether that is new.
func (t *Table) MergeLeader(leader wire.KeyLeader) bool {
	known, exists := t.leaders[leader.Key]
	if exists && known.Epoch >= leader.Epoch {
		return false
	}
	if t.areLeadersPublished {
		t.leaders, t.areLeadersPublished = maps.Clone(t.leaders), false
	}
	if exists {
		t.leaderSum ^= hashOfLeader(known)
	}
	t.leaderSum ^= hashOfLeader(leader)
	t.leaders[leader.Key] = leader
	t.recentLeaders[leader.Key] = recentTicks
	t.isDirty, t.hasLeaderMoved = true, true
	return true
}

func (t *Table) publishedLeaderSum() uint32 { return nonZero(t.leaderSum) }

func (t *Table) allLeaders() []wire.KeyLeader { return slices.Collect(maps.Values(t.leaders)) }

// newLeaders lists the leaders that were learned lately, at most maxLeaders of them, to be sent on.
func (t *Table) newLeaders() []wire.KeyLeader {
	var leaders []wire.KeyLeader
	for key := range t.recentLeaders {
		if len(leaders) == maxLeaders {
			break
		}
		leaders = append(leaders, t.leaders[key])
	}
	return leaders
}

// leadersMissingAt gives all leaders to a peer whose sum of them differs; if it holds newer ones, it does the same in turn.
func (t *Table) leadersMissingAt(digest wire.Digest) []wire.KeyLeader {
	if digest.LeaderSum == 0 || digest.LeaderSum == t.publishedLeaderSum() || len(t.leaders) > maxLeaders {
		return nil
	}
	return t.allLeaders()
}

// ageLeaders lets leaders cease to be new; it tells whether some are to be spread once more.
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

// recordsOf gives the records of those leaders, so that a local-proxy can call them at once.
func (t *Table) recordsOf(leaders []wire.KeyLeader) []Member {
	var members []Member
	for _, leader := range leaders {
		known := t.records[Name(Member{Name: leader.Name, Role: RoleSteward})]
		if known == nil || len(members) >= maxUpdates {
			continue
		}
		if !slices.ContainsFunc(members, func(listed Member) bool { return listed.Name == leader.Name }) {
			members = append(members, known.member)
		}
	}
	return members
}
