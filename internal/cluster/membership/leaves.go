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
	// attachments is how many stewards a local-proxy pings.
	attachments = 3
	// mostLeaves is how many local-proxies a steward pushes news to.
	mostLeaves = 4096
	// easyLeaves ping at the usual pace; with more of them each waits longer, so that a steward hears as many pings.
	easyLeaves   = 160
	longestPause = 20 * time.Second
)

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
	if _, isKnown := t.leaves[name]; !isKnown && len(t.leaves) >= mostLeaves {
		return
	}
	t.leaves[name] = leaf{member, t.clock.Monotonic()}
}

// stretched lengthens a time in proportion to the leaves above easyLeaves.
func (t *Table) stretched(length time.Duration) time.Duration {
	return length * time.Duration(max(easyLeaves, len(t.leaves))) / easyLeaves
}

// pauseMs is how long a leaf waits between pings, in milliseconds; it is 0 while a leaf may ping at the usual pace.
func (t *Table) pauseMs() int64 {
	if len(t.leaves) <= easyLeaves {
		return 0
	}
	return t.stretched(t.timing.LeafPeriod).Milliseconds()
}

func (t *Table) forgetLeaves(now time.Duration) {
	keep := t.stretched(t.timing.LeafKeep)
	for name, known := range t.leaves {
		if now-known.lastContactAt > keep {
			delete(t.leaves, name)
		}
	}
}

// pushToLeaves tells the attached local-proxies of keys that have moved.
func (t *Table) pushToLeaves() {
	for _, attached := range t.leaves {
		t.send(attached.member, wire.Datagram{Kind: kindNews})
	}
}

// attach chooses the stewards that a local-proxy pings: one of its own zone, and others by rendezvous hashing.
func (t *Table) attach() {
	isGone := func(steward Member) bool { return steward.State == wire.StateGone }
	candidates := slices.DeleteFunc(slices.Clone(t.stewards.members), isGone)
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Compare(hashOf(t.self.Name+"/"+a.Name, 0, 0), hashOf(t.self.Name+"/"+b.Name, 0, 0))
	})
	isNear := func(steward Member) bool { return steward.Domain == t.self.Domain }
	if place := slices.IndexFunc(candidates, isNear); place > 0 {
		near := candidates[place]
		candidates = slices.Insert(slices.Delete(candidates, place, place+1), 0, near)
	}
	t.attached = candidates[:min(attachments, len(candidates))]
}

// setPingPause takes the pace that a steward asks for.
func (t *Table) setPingPause(pauseMs int64) {
	t.pingPause = min(max(clock.Milliseconds(pauseMs), t.timing.LeafPeriod), longestPause)
}

// tickLeaf pings the attached stewards in turn, and any other as soon as one does not answer.
func (t *Table) tickLeaf(now time.Duration) {
	isUnanswered := !t.isPingAnswered && now-t.pingedAt >= t.timing.AnswerWait
	if isUnanswered || now-t.pingedAt >= t.pingPause {
		t.pingSteward(now, isUnanswered)
	}
	if isLonely := !t.isPingAnswered && now-t.silentSince > t.timing.LonelyAfter; isLonely != t.isLonely {
		t.isLonely, t.isDirty = isLonely, true
	}
}

// pingSteward pings the next attached steward, or any at random.
func (t *Table) pingSteward(now time.Duration, isAnyone bool) {
	among := t.attached
	if isAnyone {
		among = t.stewards.members
	}
	if len(among) == 0 {
		return
	}
	t.pingTurn++
	place := t.pingTurn % len(among)
	if isAnyone {
		place = t.draw.IntN(len(among))
	}
	t.lastNumber++
	if t.isPingAnswered {
		t.silentSince = now
	}
	t.pingedAt, t.isPingAnswered = now, false
	t.send(among[place], wire.Datagram{Kind: kindPing, Number: t.lastNumber})
}
