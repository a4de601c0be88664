package membership

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// leafTicks is the number of ticks between two searches for leaves that have stopped pinging.
	leafTicks = 16
	// attachedStewards is the number of stewards that a local proxy pings.
	attachedStewards = 3
	// maxLeaves is the maximum number of local proxies that a steward pushes changes to.
	maxLeaves = 4096
	// leavesAtDefaultRate is the number of leaves up to which each pings once per Timing.LeafPingInterval. If there are more, the interval
	// grows in proportion, so that the steward gets no more pings in all.
	leavesAtDefaultRate = 160
	maxPingPause        = 20 * time.Second
)

// leafServer holds, at a steward, the local proxies that ping it, by the result of Name.
type leafServer struct{ leaves map[string]leaf }

// leafClient is the state of the pings of a local proxy to stewards.
type leafClient struct {
	// attached holds the stewards that are pinged in turn. pingCount counts the pings.
	attached  []Member
	pingCount int
	// pingPause is the time between two pings while they are answered. The acks of stewards set it (setPingPause).
	pingPause      time.Duration
	pingedAt       time.Duration
	isPingAnswered bool
	// silentSince is the time of the first ping after the last answer. isIsolated is set once Timing.IsolatedAfter has passed since then
	// without an answer.
	silentSince time.Duration
	isIsolated  bool
}

// leaf is a local proxy that pings this steward, and the time of its last ping.
type leaf struct {
	member        Member
	lastContactAt time.Duration
}

func isLeaf(member Member) bool { return member.Role == RoleLocalProxy }

// trackLeaf records the ping of a local proxy. Only stewards do so, for up to maxLeaves of them.
func (t *Table) trackLeaf(member Member) {
	if t.self.Role != RoleSteward {
		return
	}
	name := Name(member)
	if _, isKnown := t.leaves[name]; !isKnown && len(t.leaves) >= maxLeaves {
		return
	}
	t.leaves[name] = leaf{member, t.clock.Monotonic()}
}

// scaleByLeafCount lengthens a duration in proportion to the number of leaves if that is above leavesAtDefaultRate.
func (t *Table) scaleByLeafCount(duration time.Duration) time.Duration {
	return duration * time.Duration(max(leavesAtDefaultRate, len(t.leaves))) / leavesAtDefaultRate
}

// pingPauseMs returns the time that a leaf should wait between two pings, in milliseconds. It is 0 up to leavesAtDefaultRate leaves.
func (t *Table) pingPauseMs() int64 {
	if len(t.leaves) <= leavesAtDefaultRate {
		return 0
	}
	return t.scaleByLeafCount(t.timing.LeafPingInterval).Milliseconds()
}

// forgetLeaves drops the leaves that have not pinged for Timing.LeafTimeout, scaled by their number like their pings.
func (t *Table) forgetLeaves(now time.Duration) {
	timeout := t.scaleByLeafCount(t.timing.LeafTimeout)
	for name, known := range t.leaves {
		if now-known.lastContactAt > timeout {
			delete(t.leaves, name)
		}
	}
}

// sendToLeaves pushes the recently changed leaders, and with its digest the list of evacuations, to all leaves.
func (t *Table) sendToLeaves() {
	for _, attached := range t.leaves {
		t.send(attached.member, wire.Datagram{Kind: kindUpdate})
	}
}

// attach chooses the stewards that a local proxy pings: first one of its own zone if there is any, and others by rendezvous hashing.
func (t *Table) attach() {
	isGone := func(steward Member) bool { return steward.State == wire.StateGone }
	candidates := slices.DeleteFunc(slices.Clone(t.stewards.members), isGone)
	slices.SortStableFunc(candidates, func(a, b Member) int {
		return cmp.Compare(hashOf(t.self.Name+"/"+a.Name, 0, 0), hashOf(t.self.Name+"/"+b.Name, 0, 0))
	})
	isInOwnDomain := func(steward Member) bool { return steward.Domain == t.self.Domain }
	if index := slices.IndexFunc(candidates, isInOwnDomain); index > 0 {
		sameDomain := candidates[index]
		candidates = slices.Insert(slices.Delete(candidates, index, index+1), 0, sameDomain)
	}
	t.attached = candidates[:min(attachedStewards, len(candidates))]
}

// setPingPause sets the pause between pings to that of a steward, between Timing.LeafPingInterval and maxPingPause.
func (t *Table) setPingPause(pauseMs int64) {
	t.pingPause = min(max(clock.Milliseconds(pauseMs), t.timing.LeafPingInterval), maxPingPause)
}

// tickLeaf does the periodic work of a local proxy. It pings the attached stewards in turn. If a ping is not answered within
// Timing.AckTimeout, it pings a random steward next.
func (t *Table) tickLeaf(now time.Duration) {
	isUnanswered := !t.isPingAnswered && now-t.pingedAt >= t.timing.AckTimeout
	if isUnanswered || now-t.pingedAt >= t.pingPause {
		t.pingSteward(now, isUnanswered)
	}
	if isIsolatedNow := !t.isPingAnswered && now-t.silentSince > t.timing.IsolatedAfter; isIsolatedNow != t.isIsolated {
		t.isIsolated, t.isDirty = isIsolatedNow, true
	}
}

// pingSteward pings the next attached steward or, if isRandom is set, a random one of all stewards.
func (t *Table) pingSteward(now time.Duration, isRandom bool) {
	candidates := t.attached
	if isRandom {
		candidates = t.stewards.members
	}
	if len(candidates) == 0 {
		return
	}
	t.pingCount++
	index := t.pingCount % len(candidates)
	if isRandom {
		index = t.random.IntN(len(candidates))
	}
	t.lastPingNumber++
	if t.isPingAnswered {
		t.silentSince = now
	}
	t.pingedAt, t.isPingAnswered = now, false
	t.send(candidates[index], wire.Datagram{Kind: kindPing, Number: t.lastPingNumber})
}
