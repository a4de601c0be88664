package membership

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxLeaders is the maximum number of leaders in a datagram. A table with more leaders can't send a peer that lacks some all of them in
	// one, and compares lists with it instead.
	maxLeaders = 12
	// recentTicks is the number of ticks for which each datagram carries a new leader.
	recentTicks = 4
)

// MergeLeader records the leader of a key if its epoch is higher than the known one, and reports whether it was new.
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

// digestLeaderSum returns the sum of all leaders for a digest; it is never 0.
func (t *Table) digestLeaderSum() uint32 { return nonZero(t.leaderSum) }

func (t *Table) allLeaders() []wire.KeyLeader { return slices.Collect(maps.Values(t.leaders)) }

// leadersToSend returns the leaders that have changed recently, at most maxLeaders of them.
func (t *Table) leadersToSend() []wire.KeyLeader {
	var leaders []wire.KeyLeader
	for key := range t.recentLeaders {
		if len(leaders) == maxLeaders {
			break
		}
		leaders = append(leaders, t.leaders[key])
	}
	return leaders
}

// leadersMissingAt returns all leaders if the sum of the leaders in a peer's digest differs, unless they are too many for a datagram. If the
// peer knows newer leaders, it sends them in return. A peer of an earlier version has no sum, and gets no leaders.
func (t *Table) leadersMissingAt(digest wire.Digest) []wire.KeyLeader {
	if digest.LeaderSum == 0 || digest.LeaderSum == t.digestLeaderSum() || len(t.leaders) > maxLeaders {
		return nil
	}
	return t.allLeaders()
}

// ageRecentLeaders counts down the ticks of recent leaders. It reports whether any leader became known since the last tick, and so has to
// be broadcast once more.
func (t *Table) ageRecentLeaders() bool {
	isBroadcastDue := false
	for key, ticksLeft := range t.recentLeaders {
		isBroadcastDue = isBroadcastDue || ticksLeft == recentTicks
		if t.recentLeaders[key] = ticksLeft - 1; ticksLeft <= 1 {
			delete(t.recentLeaders, key)
		}
	}
	return isBroadcastDue
}

// recordsOfLeaders returns the records of leaders, at most maxUpdates and each once, so that a local proxy can call a new leader without
// looking up its address first.
func (t *Table) recordsOfLeaders(leaders []wire.KeyLeader) []Member {
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
