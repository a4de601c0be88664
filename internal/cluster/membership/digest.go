package membership

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// announceRounds is in how many ticks a new version of the configuration is announced.
	announceRounds = 4
	// youngFor is for how long after its start a process compares lists at the first difference.
	youngFor = 10 * time.Second
)

// AnnounceConfiguration takes note that this process holds a version of the configuration, and spreads it if it is new.
func (t *Table) AnnounceConfiguration(version int64) {
	if version > t.configVersion {
		t.configVersion = version
		t.versionRounds = announceRounds
		t.announceVersion()
	}
}

func (t *Table) announceVersion() { t.sendUpdates(2 * t.timing.Fanout) }

func (t *Table) sumsFor(role string) *sums {
	if isLeaf(t.self) || role == RoleLocalProxy {
		return &t.stewardSums
	}
	return &t.sums
}

func (t *Table) digestFor(role string) wire.Digest {
	return wire.Digest{ConfigVersion: t.configVersion, MemberSum: t.sumsFor(role).total(), LeaderSum: t.publishedLeaderSum(),
		Evacuations: t.evacuations}
}

// handleDigest takes what a digest says outright.
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

// compareSums looks for what a digest shows to be missing; a peer of an earlier version has no sums.
func (t *Table) compareSums(from Member, digest wire.Digest) {
	if isLeaf(from) {
		return
	}
	doLeadersDiffer := digest.LeaderSum != 0 && digest.LeaderSum != t.publishedLeaderSum() && len(t.leaders) > maxLeaders
	doMembersDiffer := digest.MemberSum != 0 && digest.MemberSum != t.sumsFor(from.Role).total()
	if doMembersDiffer {
		t.pingPause = t.timing.LeafPeriod
	}
	now := t.clock.Monotonic()
	isDue := doLeadersDiffer || doMembersDiffer && t.hasSettled(now)
	if !isDue || now-t.comparedAt <= 2*t.timing.Period {
		return
	}
	t.comparedAt = now
	t.events.ListsDiffer(from)
}

// hasSettled gives changes the time to arrive by itself, except in the first seconds and where changes never cease.
func (t *Table) hasSettled(now time.Duration) bool {
	return now-t.createdAt < youngFor || now-t.changedAt >= t.timing.Period || now-t.comparedAt >= 6*t.timing.Period
}
