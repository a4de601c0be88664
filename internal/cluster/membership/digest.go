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

// HoldsPlan takes note that this process holds a version of the configuration, and spreads it if it is news.
func (t *Table) HoldsPlan(version int64) {
	if version > t.configurationVersion {
		t.configurationVersion = version
		t.versionRounds = announceRounds
		t.spreadVersion()
	}
}

func (t *Table) spreadVersion() { t.sendNews(2 * t.timing.Fanout) }

func (t *Table) sumsFor(role string) *sums {
	if isLeaf(t.self) || role == RoleLocalProxy {
		return &t.stewardSums
	}
	return &t.sums
}

func (t *Table) digestFor(role string) wire.Digest {
	return wire.Digest{ConfigVersion: t.configurationVersion, MemberSum: t.sumsFor(role).whole(), LeaderSum: t.shownLeaderSum()}
}

// handleNews takes what a digest says outright.
func (t *Table) handleNews(from Member, digest wire.Digest) {
	isNews := false
	for _, fact := range digest.Leaders {
		isNews = t.MergeOwner(fact) || isNews
	}
	if digest.ConfigVersion > t.configurationVersion {
		t.events.PlanAhead(from, digest.ConfigVersion)
	}
	if isNews && !isLeaf(t.self) {
		t.Spread()
	}
}

// compareSums looks for what a digest shows to be missing; a peer of the older form has no sums.
func (t *Table) compareSums(from Member, digest wire.Digest) {
	if isLeaf(from) {
		return
	}
	isLeadersDiffering := digest.LeaderSum != 0 && digest.LeaderSum != t.shownLeaderSum() && len(t.leaders) > mostFacts
	isMembersDiffering := digest.MemberSum != 0 && digest.MemberSum != t.sumsFor(from.Role).whole()
	if isMembersDiffering {
		t.pingPause = t.timing.LeafPeriod
	}
	now := t.clock.Monotonic()
	isDue := isLeadersDiffering || isMembersDiffering && t.isCalm(now)
	if !isDue || now-t.differAt <= 2*t.timing.Period {
		return
	}
	t.differAt = now
	t.events.Differ(from)
}

// isCalm gives news the time to arrive by itself, except in the first seconds and where changes never cease.
func (t *Table) isCalm(now time.Duration) bool {
	return now-t.createdAt < youngFor || now-t.changedAt >= t.timing.Period || now-t.differAt >= 6*t.timing.Period
}
