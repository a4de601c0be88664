package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxTailCount and maxTailBytes are how much a leader keeps at most for followers in contact.
	maxTailCount = 20000
	maxTailBytes = 6 << 20
	// maxChangesPerCall and maxBytesPerCall are how much one call carries.
	maxChangesPerCall = 2000
	maxBytesPerCall   = 256 << 10
	// changeOverhead and pairOverhead are what a change and a pair are taken to weigh beyond names and values, in bytes.
	changeOverhead = 64
	pairOverhead   = 16
)

// changeLog is the tail of a key's log as its leader keeps it in memory, for followers that are a little behind. The entries
// follow on base without a gap, and last is the position of the newest of them, or base.
type changeLog struct {
	base    wire.LogPosition
	entries []wire.Change
	// size is that of the entries in bytes.
	size int
	last wire.LogPosition
}

// retention is how many changes, and of which size in bytes, are kept for a follower.
type retention struct {
	count int
	size  int
}

// restore begins with what a replica took before, so that a follower that is a little behind is sent no snapshot.
func (l *changeLog) restore(last wire.LogPosition, recent History) {
	if recent.last() != last {
		recent = History{Base: last}
	}
	*l = changeLog{base: recent.Base, entries: recent.Changes, last: last}
	for _, change := range l.entries {
		l.size += sizeOf(change)
	}
}

// clear drops the entries; the positions stay, for operators to read.
func (l *changeLog) clear() { l.entries, l.size = nil, 0 }

// append adds a change of the epoch behind the last one.
func (l *changeLog) append(epoch uint64, ops []wire.Op, voters *wire.VoterSet) wire.Change {
	l.last = wire.LogPosition{Epoch: epoch, Index: l.last.Index + 1}
	change := wire.Change{Position: l.last, Ops: ops, Voters: voters}
	l.entries = append(l.entries, change)
	l.size += sizeOf(change)
	return change
}

// after gives the changes that follow on a position, as far as one call may carry them; isKept is false if the tail does
// not lead on from there.
func (l *changeLog) after(position wire.LogPosition) (changes []wire.Change, isKept bool) {
	if position.Index < l.base.Index || position.Index > l.last.Index {
		return nil, false
	}
	start := int(position.Index - l.base.Index)
	if position != l.positionAfter(start) {
		return nil, false
	}
	rest := l.entries[start:]
	return rest[:prefixForCall(rest)], true
}

// positionAfter is the position that so many of the entries lead to.
func (l *changeLog) positionAfter(count int) wire.LogPosition {
	if count == 0 {
		return l.base
	}
	return l.entries[count-1].Position
}

// trim drops the oldest entries: those up to the needed index beyond what a replica's history keeps anyway, and whatever
// exceeds the limit.
func (l *changeLog) trim(needed uint64, limit retention) {
	dropped := 0
	for dropped < len(l.entries) {
		count, size := len(l.entries)-dropped, l.size
		isOverHistory := count > maxHistoryCount/2 || size > maxHistoryBytes/2
		isOverLimit := count > limit.count || size > limit.size
		if !isOverLimit && (!isOverHistory || l.entries[dropped].Position.Index > needed) {
			break
		}
		l.size -= sizeOf(l.entries[dropped])
		dropped++
	}
	if dropped > 0 {
		l.base = l.positionAfter(dropped)
		l.entries = slices.Clone(l.entries[dropped:])
	}
}

// isSmall tells whether there is no more than a replica's history keeps, so that nothing need be trimmed.
func (l *changeLog) isSmall() bool {
	return len(l.entries) <= maxHistoryCount && l.size <= maxHistoryBytes
}

// sizeOf is what a change weighs in bytes.
func sizeOf(change wire.Change) int {
	size := changeOverhead
	for _, pair := range change.Ops {
		size += sizeOfPair(pair)
	}
	return size
}

func sizeOfPair(pair wire.Op) int { return len(pair.Name) + len(pair.Value) + pairOverhead }

// prefixForCall is how many of the changes, from the first on, one call should carry.
func prefixForCall(changes []wire.Change) int {
	count, size := 0, 0
	for count < len(changes) && count < maxChangesPerCall && (count == 0 || size+sizeOf(changes[count]) <= maxBytesPerCall) {
		size += sizeOf(changes[count])
		count++
	}
	return count
}

// trimLog drops changes that all live followers hold, beyond as many as a replica's history keeps for those that come back,
// and any beyond the most that a leader keeps.
func (e *Engine) trimLog() {
	if e.changes.isSmall() {
		return
	}
	e.changes.trim(min(e.neededIndex(), e.commits.index), e.retentionLimit())
}

// retentionLimit is what a leader keeps at most for followers in contact.
func (e *Engine) retentionLimit() retention {
	limit := retention{count: maxTailCount, size: maxTailBytes}
	for _, follower := range e.followers {
		if e.isInContact(follower) {
			limit.count = max(limit.count, maxTailCount+follower.retention.count)
			limit.size = max(limit.size, maxTailBytes+follower.retention.size)
		}
	}
	return limit
}

// neededIndex is the index up to which all followers in contact, and the own disk, hold the changes or are being sent the
// snapshot.
func (e *Engine) neededIndex() uint64 {
	needed := e.snapshots.neededIndex(e.changes.last.Index)
	for _, follower := range e.followers {
		switch {
		case follower.disk != e.disk && !e.isInContact(follower):
		case follower.transfer != nil:
			needed = min(needed, follower.transfer.snapshot.Last.Index)
		case !follower.needsSnapshot:
			needed = min(needed, follower.acked.Index)
		}
	}
	return needed
}
