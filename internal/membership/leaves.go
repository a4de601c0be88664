package membership

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
)

const (
	attachments = 3
	mostLeaves  = 4096
	// easyLeaves ping at the usual pace; with more of them each waits longer, so that a steward hears as many pings.
	easyLeaves   = 160
	longestPause = 20 * time.Second
)

// leaf is a local-proxy that pings this steward.
type leaf struct {
	member  Member
	heardAt time.Duration
}

func isLeaf(member Member) bool { return member.Role == RoleLocalProxy }

func (t *Table) hearLeaf(member Member) {
	if t.self.Role != RoleSteward {
		return
	}
	name := Name(member)
	if _, isKnown := t.leaves[name]; !isKnown && len(t.leaves) >= mostLeaves {
		return
	}
	t.leaves[name] = leaf{member, t.clock.Steady()}
}

func (t *Table) stretched(length time.Duration) time.Duration {
	return length * time.Duration(max(easyLeaves, len(t.leaves))) / easyLeaves
}

// pauseMs is 0 while a leaf may ping at the usual pace.
func (t *Table) pauseMs() int64 {
	if len(t.leaves) <= easyLeaves {
		return 0
	}
	return pulse.InMs(t.stretched(t.timing.LeafPeriod))
}

func (t *Table) forgetLeaves(now time.Duration) {
	keep := t.stretched(t.timing.LeafKeep)
	for name, one := range t.leaves {
		if now-one.heardAt > keep {
			delete(t.leaves, name)
		}
	}
}

// pushToLeaves tells the attached local-proxies of keys that have moved.
func (t *Table) pushToLeaves() {
	for _, one := range t.leaves {
		t.send(one.member, peerapi.Datagram{Kind: kindNews})
	}
}

// attach chooses the stewards that a local-proxy pings: one of its own domain, and others by rendezvous.
func (t *Table) attach() {
	fit := slices.DeleteFunc(slices.Clone(t.stewards.members), func(one Member) bool { return one.State == peerapi.StateGone })
	slices.SortStableFunc(fit, func(one, two Member) int {
		return cmp.Compare(hashOf(t.self.Name+"/"+one.Name, 0, 0), hashOf(t.self.Name+"/"+two.Name, 0, 0))
	})
	if near := slices.IndexFunc(fit, func(one Member) bool { return one.Domain == t.self.Domain }); near > 0 {
		own := fit[near]
		fit = slices.Insert(slices.Delete(fit, near, near+1), 0, own)
	}
	t.attached = fit[:min(attachments, len(fit))]
}

// heedPause takes the pace that a steward asks for.
func (t *Table) heedPause(pauseMs int64) {
	t.pause = min(max(pulse.Ms(pauseMs), t.timing.LeafPeriod), longestPause)
}

// tickLeaf pings the attached stewards in turn, and any other as soon as one does not answer.
func (t *Table) tickLeaf(now time.Duration) {
	isUnheard := !t.isHeard && now-t.askedAt >= t.timing.AnswerWait
	if isUnheard || now-t.askedAt >= t.pause {
		t.pingSteward(now, isUnheard)
	}
	if isLonely := !t.isHeard && now-t.silentSince > t.timing.LonelyAfter; isLonely != t.isLonely {
		t.isLonely, t.isDirty = isLonely, true
	}
}

func (t *Table) pingSteward(now time.Duration, isAnyone bool) {
	among := t.attached
	if isAnyone {
		among = t.stewards.members
	}
	if len(among) == 0 {
		return
	}
	t.turn++
	place := t.turn % len(among)
	if isAnyone {
		place = t.draw.IntN(len(among))
	}
	t.number++
	if t.isHeard {
		t.silentSince = now
	}
	t.askedAt, t.isHeard = now, false
	t.send(among[place], peerapi.Datagram{Kind: kindPing, Number: t.number})
}
