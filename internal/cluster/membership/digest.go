package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// announceTicks is the number of ticks in which a new configuration version or list of evacuations is announced.
	announceTicks = 4
	// startupPeriod is the time after the start in which a process compares lists as soon as they differ.
	startupPeriod = 10 * time.Second
)

// AnnounceConfiguration records that this process holds a version of the configuration, and announces it to other processes if it is new.
func (t *Table) AnnounceConfiguration(version int64) {
	if version > t.configVersion {
		t.configVersion = version
		t.announceTicksLeft = announceTicks
		t.announceDigest()
	}
}

// announceDigest sends an update, whose digest has the configuration version and the evacuations, to twice Timing.Fanout random members.
func (t *Table) announceDigest() { t.sendUpdates(2 * t.timing.Fanout) }

// sumsFor returns the sums to exchange with a process of a role. If either side is a local proxy, they cover stewards only.
func (t *Table) sumsFor(role string) *sums {
	if isLeaf(t.self) || role == RoleLocalProxy {
		return &t.stewardSums
	}
	return &t.sums
}

func (t *Table) digestFor(role string) wire.Digest {
	return wire.Digest{ConfigVersion: t.configVersion, MemberSum: t.sumsFor(role).total(), LeaderSum: t.digestLeaderSum(),
		Evacuations: t.evacuations}
}

// handleDigest merges the leaders and the evacuations of a digest, and reports its configuration version if that is newer than the own one.
// The sums of a digest are handled by startComparisonIfDue.
func (t *Table) handleDigest(from Member, digest wire.Digest) {
	isNew := false
	for _, leader := range digest.Leaders {
		isNew = t.MergeLeader(leader) || isNew
	}
	t.mergeEvacuations(digest.Evacuations)
	if digest.ConfigVersion > t.configVersion {
		t.events.ConfigurationAhead(from, digest.ConfigVersion)
	}
	if isNew && !isLeaf(t.self) {
		t.Broadcast()
	}
}

// startComparisonIfDue starts a comparison of lists with a peer if the sums of its digest differ from those of this table. A peer of an
// earlier version has no sums, and a local proxy compares on its own side. Leaders are compared only if they are too many for a
// datagram (see leadersMissingAt). While the members differ, a local proxy pings at the default rate.
func (t *Table) startComparisonIfDue(from Member, digest wire.Digest) {
	if isLeaf(from) {
		return
	}
	doLeadersDiffer := digest.LeaderSum != 0 && digest.LeaderSum != t.digestLeaderSum() && len(t.leaders) > maxLeaders
	doMembersDiffer := digest.MemberSum != 0 && digest.MemberSum != t.sumsFor(from.Role).total()
	if doMembersDiffer {
		t.pingPause = t.timing.LeafPingInterval
	}
	now := t.clock.Monotonic()
	isDue := doLeadersDiffer || doMembersDiffer && t.hasSettled(now)
	if !isDue || now-t.comparedAt <= 2*t.timing.Period {
		return
	}
	t.comparedAt = now
	t.events.ListsDiffer(from)
}

// hasSettled reports whether a difference of the sums is worth a comparison: no record has changed for a period, so that the cause is
// probably not a change in flight. It is also true in the startup period, and if the last comparison was at least six periods ago, since
// there may always be a change in flight.
func (t *Table) hasSettled(now time.Duration) bool {
	return now-t.createdAt < startupPeriod || now-t.changedAt >= t.timing.Period || now-t.comparedAt >= 6*t.timing.Period
}
