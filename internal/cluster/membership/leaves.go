package membership

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// leafTicks lie between two searches for leaves that ping no more.
	leafTicks = 16
	// attachedStewards is how many stewards a local-proxy pings.
	attachedStewards = 3
	// maxLeaves is how many local-proxies a steward pushes changes to.
	maxLeaves = 4096
	// leavesAtUsualPace ping at the usual pace; with more of them each waits longer, so that a steward gets as many pings.
	leavesAtUsualPace = 160
	maxPingPause      = 20 * time.Second
)

// leafServer knows, at a steward, which local-proxies ping it.
type leafServer struct{ leaves map[string]leaf }

// leafClient is what a local-proxy knows of its pings to stewards.
type leafClient struct {
	// attached are the stewards that are pinged in turn.
	attached []Member
	pingTurn int
	// pingPause lies between two pings while they are answered.
	pingPause      time.Duration
	pingedAt       time.Duration
	isPingAnswered bool
	// silentSince is when the first of the pings went out that nobody has answered yet; isIsolated follows from it.
	silentSince time.Duration
	isIsolated  bool
}

// leaf is a local-proxy that pings this steward.
type leaf struct {
	member        Member
	lastContactAt time.Duration
}

func isLeaf(member Member) bool { return member.Role == RoleLocalProxy }

// noteLeaf notes the ping of a local-proxy; only stewards keep them.
func (t *Table) noteLeaf(member Member) {
	if t.self.Role != RoleSteward {
		return
	}
	name := Name(member)
	if _, isKnown := t.leaves[name]; !isKnown && len(t.leaves) >= maxLeaves {
		return
	}
	t.leaves[name] = leaf{member, t.clock.Monotonic()}
}

// scaledByLeaves lengthens a time in proportion to the leaves above leavesAtUsualPace.
func (t *Table) scaledByLeaves(length time.Duration) time.Duration {
	return length * time.Duration(max(leavesAtUsualPace, len(t.leaves))) / leavesAtUsualPace
}

// pauseMs is how long a leaf waits between pings, in milliseconds; it is 0 while a leaf may ping at the usual pace.
func (t *Table) pauseMs() int64 {
	if len(t.leaves) <= leavesAtUsualPace {
		return 0
	}
	return t.scaledByLeaves(t.timing.LeafPeriod).Milliseconds()
}

func (t *Table) forgetLeaves(now time.Duration) {
	keep := t.scaledByLeaves(t.timing.LeafKeep)
	for name, known := range t.leaves {
		if now-known.lastContactAt > keep {
			delete(t.leaves, name)
		}
	}
}

// sendToLeaves sends the attached local-proxies the leaders that have changed.
func (t *Table) sendToLeaves() {
	for _, attached := range t.leaves {
		t.send(attached.member, wire.Datagram{Kind: kindUpdate})
	}
}

// attach chooses the stewards that a local-proxy pings: one of its own zone, and others by rendezvous hashing.
func (t *Table) attach() {
	isGone := func(steward Member) bool { return steward.State == wire.StateGone }
	candidates := slices.DeleteFunc(slices.Clone(t.stewards.members), isGone)
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Compare(hashOf(t.self.Name+"/"+a.Name, 0, 0), hashOf(t.self.Name+"/"+b.Name, 0, 0))
	})
	isInOwnDomain := func(steward Member) bool { return steward.Domain == t.self.Domain }
	if index := slices.IndexFunc(candidates, isInOwnDomain); index > 0 {
		nearest := candidates[index]
		candidates = slices.Insert(slices.Delete(candidates, index, index+1), 0, nearest)
	}
	t.attached = candidates[:min(attachedStewards, len(candidates))]
}

// setPingPause takes the pace that a steward asks for.
func (t *Table) setPingPause(pauseMs int64) {
	t.pingPause = min(max(clock.Milliseconds(pauseMs), t.timing.LeafPeriod), maxPingPause)
}

// tickLeaf pings the attached stewards in turn, and any other as soon as one does not answer.
func (t *Table) tickLeaf(now time.Duration) {
	isUnanswered := !t.isPingAnswered && now-t.pingedAt >= t.timing.AnswerWait
	if isUnanswered || now-t.pingedAt >= t.pingPause {
		t.pingSteward(now, isUnanswered)
	}
	if isLonely := !t.isPingAnswered && now-t.silentSince > t.timing.IsolatedAfter; isLonely != t.isIsolated {
		t.isIsolated, t.isDirty = isLonely, true
	}
}

// pingSteward pings the next attached steward, or any at random.
func (t *Table) pingSteward(now time.Duration, isAnySteward bool) {
	among := t.attached
	if isAnySteward {
		among = t.stewards.members
	}
	if len(among) == 0 {
		return
	}
	t.pingTurn++
	index := t.pingTurn % len(among)
	if isAnySteward {
		index = t.random.IntN(len(among))
	}
	t.lastNumber++
	if t.isPingAnswered {
		t.silentSince = now
	}
	t.pingedAt, t.isPingAnswered = now, false
	t.send(among[index], wire.Datagram{Kind: kindPing, Number: t.lastNumber})
}
