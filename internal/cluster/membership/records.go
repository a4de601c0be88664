package membership

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxFormerDisks is the maximum number of former disks in the record of a member.
const maxFormerDisks = 4

// record is a member with values that are derived from it.
type record struct {
	member Member
	// bucket is the index of its sum in memberList.sums.
	bucket int
	// hash is its part of memberList.sums, incarnationHash that of memberList.stewardSums. The latter treats a suspect member as alive, as
	// local proxies do. Both are 0 once the member is gone.
	hash            uint32
	incarnationHash uint32
	// since is when the member entered its current incarnation or state, or when a freeze of this process ended after that.
	since time.Duration
	// lastContactAt is when the member last sent a message to this process.
	lastContactAt time.Duration
}

// isNewer reports whether a replaces b: it has a higher incarnation, or the same one with a higher state.
func isNewer(a, b Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// shouldList reports whether this table lists a member. A local proxy lists only stewards, and all other processes list no local proxies.
func (t *Table) shouldList(member Member) bool {
	if isLeaf(t.self) {
		return member.Role == RoleSteward
	}
	return !isLeaf(member)
}

// Merge adds or updates the record of one member, and reports whether that changed the table. A record of this process itself is refuted if
// it is wrong, and the result is then false. A local proxy treats suspect stewards as alive.
func (t *Table) Merge(member Member) bool {
	name := Name(member)
	if name == Name(t.self) {
		t.refute(member)
		return false
	}
	if !t.shouldList(member) {
		return false
	}
	if isLeaf(t.self) && member.State == wire.StateSuspect {
		member.State = wire.StateAlive
	}
	if known := t.records[name]; known != nil {
		return t.mergeKnown(known, member)
	}
	return t.mergeUnknown(name, member)
}

// mergeUnknown adds a member. A table that is older than Timing.ForgetAfter ignores a member that is gone, because it may have just
// forgotten it.
func (t *Table) mergeUnknown(name string, member Member) bool {
	now := t.clock.Monotonic()
	if member.State == wire.StateGone && now-t.createdAt > t.timing.ForgetAfter {
		return false
	}
	added := &record{bucket: bucketOf(name), since: now, lastContactAt: now}
	t.records[name] = added
	t.write(added, member)
	t.scheduleUpdate(name)
	return true
}

// mergeKnown replaces the record of a member if the received one is newer.
func (t *Table) mergeKnown(known *record, member Member) bool {
	if !isNewer(member, known.member) {
		return false
	}
	member.FormerDisks = mergeFormerDisks(known.member, member)
	known.since = t.clock.Monotonic()
	t.write(known, member)
	t.scheduleUpdate(Name(member))
	return true
}

// write replaces the member of a record, and updates everything that is derived from it.
func (t *Table) write(known *record, member Member) {
	t.toggleSums(known)
	known.member = member
	known.hash, known.incarnationHash = 0, 0
	if member.State != wire.StateGone {
		known.hash = hashOf(Name(member), member.Incarnation, member.State)
		known.incarnationHash = hashOf(Name(member), member.Incarnation, wire.StateAlive)
	}
	t.toggleSums(known)
	t.members.put(member)
	if member.Role == RoleSteward {
		t.stewards.put(member)
	}
	if name := Name(member); member.State == wire.StateAlive {
		delete(t.unhealthy, name)
	} else {
		t.unhealthy[name] = known
	}
	t.markChanged()
}

// toggleSums adds a record to the sums of its bucket, or removes it if they include it. Adding and removing are the same XOR.
func (t *Table) toggleSums(known *record) {
	if isLeaf(known.member) {
		return
	}
	t.sums.toggle(known.bucket, known.hash)
	if known.member.Role == RoleSteward {
		t.stewardSums.toggle(known.bucket, known.incarnationHash)
	}
}

// forget removes a member from the table and from all that is derived from it.
func (t *Table) forget(name string) {
	known := t.records[name]
	if known == nil {
		return
	}
	t.toggleSums(known)
	delete(t.records, name)
	delete(t.unhealthy, name)
	t.members.remove(known.member)
	t.stewards.remove(known.member)
	t.markChanged()
}

func (t *Table) markChanged() {
	t.isDirty = true
	t.changedAt = t.clock.Monotonic()
}

// mergeFormerDisks returns the former disks of both records of a member, and the disk of the older one if it was replaced. The newest is
// last.
func mergeFormerDisks(former, latest Member) []string {
	disks := slices.Clone(latest.FormerDisks)
	for _, disk := range append(slices.Clone(former.FormerDisks), former.Disk) {
		if disk != "" && disk != latest.Disk && !slices.Contains(disks, disk) {
			disks = append(disks, disk)
		}
	}
	return disks[max(0, len(disks)-maxFormerDisks):]
}

// refute handles a record of this process from a peer. If it has a higher incarnation, or says that this process is suspect or gone,
// this process announces itself with an incarnation above it.
func (t *Table) refute(claim Member) {
	isOlder := claim.Incarnation < t.self.Incarnation
	isSame := claim.Incarnation == t.self.Incarnation && claim.State == wire.StateAlive
	if isOlder || isSame {
		return
	}
	t.self.FormerDisks = mergeFormerDisks(claim, t.self)
	t.self.Incarnation = claim.Incarnation + 1
	t.write(t.ownRecord, t.self)
	t.Broadcast()
}

// scheduleUpdate lets the next datagrams carry the record of a member.
func (t *Table) scheduleUpdate(name string) { t.pendingUpdates[name] = updateRepeats }

// suspect marks a member as suspect if it is alive.
func (t *Table) suspect(name string) {
	if known := t.records[name]; known.member.State == wire.StateAlive {
		t.demote(known, wire.StateSuspect)
	}
}

// demote moves a member to a worse state (suspect or gone) of its current incarnation.
func (t *Table) demote(known *record, state int) {
	member := known.member
	member.State = state
	known.since = t.clock.Monotonic()
	t.write(known, member)
	t.scheduleUpdate(Name(member))
}

// ageRecords marks suspect members as gone after Timing.SuspectFor, and forgets them Timing.ForgetAfter later.
func (t *Table) ageRecords(now time.Duration) {
	for name, known := range t.unhealthy {
		switch known.member.State {
		case wire.StateSuspect:
			if now-known.since > t.timing.SuspectFor {
				t.demote(known, wire.StateGone)
			}
		case wire.StateGone:
			if now-known.since > t.timing.ForgetAfter {
				t.forget(name)
			}
		}
	}
}

// All returns all members, this process first.
func (t *Table) All() []Member {
	all := []Member{t.self}
	t.each(func(known *record) {
		if known != t.ownRecord {
			all = append(all, known.member)
		}
	})
	return all
}

// each visits all records in the order of their names. The record of this process is included unless it is a local proxy.
func (t *Table) each(visit func(*record)) {
	for _, member := range t.members.members {
		switch name := Name(member); {
		case name != Name(t.self):
			visit(t.records[name])
		case !isLeaf(t.self):
			visit(t.ownRecord)
		}
	}
}
