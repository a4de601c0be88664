package siblingprobe

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/siblingwire"
)

const (
	attachments = 3
	mostLeaves  = 4096
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

func (t *Table) forgetLeaves(now time.Duration) {
	for name, one := range t.leaves {
		if now-one.heardAt > t.timing.LeafKeep {
			delete(t.leaves, name)
		}
	}
}

// pushToLeaves tells the attached local-proxies of keys that have moved.
func (t *Table) pushToLeaves() {
	for _, one := range t.leaves {
		t.send(one.member, siblingwire.Datagram{Kind: kindNews})
	}
}

// attach chooses the stewards that a local-proxy pings: one of its own domain, and others by rendezvous.
func (t *Table) attach() {
	fit := slices.DeleteFunc(slices.Clone(t.stewards.members), func(one Member) bool { return one.State == siblingwire.StateGone })
	slices.SortStableFunc(fit, func(one, two Member) int {
		return cmp.Compare(hashOf(t.self.Name+"/"+one.Name, 0, 0), hashOf(t.self.Name+"/"+two.Name, 0, 0))
	})
	if near := slices.IndexFunc(fit, func(one Member) bool { return one.Domain == t.self.Domain }); near > 0 {
		own := fit[near]
		fit = slices.Insert(slices.Delete(fit, near, near+1), 0, own)
	}
	t.attached = fit[:min(attachments, len(fit))]
}

// tickLeaf pings the attached stewards in turn, and any other as soon as one does not answer.
func (t *Table) tickLeaf(now time.Duration) {
	isUnheard := !t.isHeard && now-t.askedAt >= t.timing.AnswerWait
	if isUnheard || now-t.askedAt >= t.timing.LeafPeriod {
		t.pingSteward(now, isUnheard)
	}
	if isLonely := now-t.heardAt > t.timing.LonelyAfter; isLonely != t.isLonely {
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
	t.askedAt, t.isHeard = now, false
	t.send(among[place], siblingwire.Datagram{Kind: kindPing, Number: t.number})
}
