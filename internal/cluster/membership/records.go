package membership

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxFormerDisks is how many former disks of a member its record names.
const maxFormerDisks = 4

// record is a member with what is derived from it.
type record struct {
	member Member
	bucket int
	// hash stands for the member among all; incarnationHash among the stewards, where the state counts only once it is gone.
	hash            uint32
	incarnationHash uint32
	// since is when the member came into its present state.
	since         time.Duration
	lastContactAt time.Duration
}

// isNewer tells whether a replaces b: a higher incarnation, or a later state of the same one.
func isNewer(a, b Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// isKept tells whether this table lists a member: a local-proxy lists stewards, all others list no local-proxies.
func (t *Table) isKept(member Member) bool {
	if isLeaf(t.self) {
		return member.Role == RoleSteward
	}
	return !isLeaf(member)
}

// Merge takes one record; it tells whether that is new.
func (t *Table) Merge(member Member) bool {
	name := Name(member)
	if name == Name(t.self) {
		t.refute(member)
		return false
	}
	if !t.isKept(member) {
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

// mergeUnknown adds a member; an old table does not take up one that is gone, as it may just have forgotten it.
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

// mergeKnown takes what was heard of a member if it is newer than what is known.
func (t *Table) mergeKnown(known *record, member Member) bool {
	if !isNewer(member, known.member) {
		return false
	}
	member.FormerDisks = joinFormerDisks(known.member, member)
	known.since = t.clock.Monotonic()
	t.write(known, member)
	t.scheduleUpdate(Name(member))
	return true
}

// write puts a member in its record, and keeps all that is derived from it.
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
	t.noteChange()
}

// toggleSums adds a record to the sums of its bucket, or takes it out of them if it is in them.
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
	t.members.drop(known.member)
	t.stewards.drop(known.member)
	t.noteChange()
}

func (t *Table) noteChange() {
	t.isDirty = true
	t.changedAt = t.clock.Monotonic()
}

// joinFormerDisks lists the former disks that either record of a member names, the newest last.
func joinFormerDisks(former, latest Member) []string {
	disks := slices.Clone(latest.FormerDisks)
	for _, disk := range append(slices.Clone(former.FormerDisks), former.Disk) {
		if disk != "" && disk != latest.Disk && !slices.Contains(disks, disk) {
			disks = append(disks, disk)
		}
	}
	return disks[max(0, len(disks)-maxFormerDisks):]
}

// refute answers a record of this process that says it is suspect, gone or of a later incarnation: by a later one yet.
func (t *Table) refute(claim Member) {
	isOlder := claim.Incarnation < t.self.Incarnation
	isSame := claim.Incarnation == t.self.Incarnation && claim.State == wire.StateAlive
	if isOlder || isSame {
		return
	}
	t.self.FormerDisks = joinFormerDisks(claim, t.self)
	t.self.Incarnation = claim.Incarnation + 1
	t.write(t.ownRecord, t.self)
	t.Broadcast()
}

func (t *Table) scheduleUpdate(name string) { t.changesToSend[name] = updateRepeats }

func (t *Table) suspect(name string) {
	if known := t.records[name]; known.member.State == wire.StateAlive {
		t.demote(known, wire.StateSuspect)
	}
}

func (t *Table) demote(known *record, state int) {
	member := known.member
	member.State = state
	known.since = t.clock.Monotonic()
	t.write(known, member)
	t.scheduleUpdate(Name(member))
}

// ageRecords gives up members that have been suspect for long, and drops those that have been gone for long.
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

// All gives every record, this process's own first.
func (t *Table) All() []Member {
	all := []Member{t.self}
	t.each(func(known *record) {
		if known != t.ownRecord {
			all = append(all, known.member)
		}
	})
	return all
}

// each visits all records in the order of their names, this process's own included unless it is a local-proxy.
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
