package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxTailCount and maxTailBytes limit the log tail that a leader keeps for followers in contact.
	maxTailCount = 20000
	maxTailBytes = 6 << 20
	// maxChangesPerCall and maxBytesPerCall limit the changes in one call.
	maxChangesPerCall = 2000
	maxBytesPerCall   = 256 << 10
	// changeOverhead and pairOverhead are the estimated sizes in bytes of a change and of a pair, without names and values.
	changeOverhead = 64
	pairOverhead   = 16
)

// changeLog is the tail of a key's log that the leader keeps in memory for followers that lag a little. The entries follow
// base without a gap. last is the position of the newest entry, or base if there is none.
type changeLog struct {
	base    wire.LogPosition
	entries []wire.Change
	// size is the total of the entries in bytes.
	size int
	last wire.LogPosition
}

// retention limits the changes that are kept for a follower: their number and their total size in bytes.
type retention struct {
	count int
	size  int
}

// restore resets the log to the history of the local replica, so that a follower that lags a little needs no snapshot. A
// history that does not end with last is discarded.
func (l *changeLog) restore(last wire.LogPosition, recent History) {
	if recent.last() != last {
		recent = History{Base: last}
	}
	*l = changeLog{base: recent.Base, entries: recent.Changes, last: last}
	for _, change := range l.entries {
		l.size += sizeOf(change)
	}
}

// clear drops the entries. The positions stay for diagnostics.
func (l *changeLog) clear() { l.entries, l.size = nil, 0 }

// append adds a change under an epoch at the next index and returns it.
func (l *changeLog) append(epoch uint64, ops []wire.Op, voters *wire.VoterSet) wire.Change {
	l.last = wire.LogPosition{Epoch: epoch, Index: l.last.Index + 1}
	change := wire.Change{Position: l.last, Ops: ops, Voters: voters}
	l.entries = append(l.entries, change)
	l.size += sizeOf(change)
	return change
}

// after returns the changes that follow a position, up to the limits of one call. isKept is false if the tail does not contain
// the position.
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

// positionAfter returns the position after the first count entries.
func (l *changeLog) positionAfter(count int) wire.LogPosition {
	if count == 0 {
		return l.base
	}
	return l.entries[count-1].Position
}

// trim drops the oldest entries while the tail exceeds the limit. While it exceeds half of maxHistoryCount or maxHistoryBytes, trim
// also drops entries up to the index needed.
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

// isSmall reports whether the log is within the limits of a replica's history, so that nothing has to be trimmed.
func (l *changeLog) isSmall() bool {
	return len(l.entries) <= maxHistoryCount && l.size <= maxHistoryBytes
}

// sizeOf estimates the size of a change in bytes.
func sizeOf(change wire.Change) int {
	size := changeOverhead
	for _, pair := range change.Ops {
		size += sizeOfPair(pair)
	}
	return size
}

func sizeOfPair(pair wire.Op) int { return len(pair.Name) + len(pair.Value) + pairOverhead }

// prefixForCall returns how many of the first changes fit into one call. A single change always fits.
func prefixForCall(changes []wire.Change) int {
	count, size := 0, 0
	for count < len(changes) && count < maxChangesPerCall && (count == 0 || size+sizeOf(changes[count]) <= maxBytesPerCall) {
		size += sizeOf(changes[count])
		count++
	}
	return count
}

// trimLog drops committed changes that all followers in contact hold. It keeps up to half as many of them as a replica's history may
// contain, for followers that return. It also drops changes that exceed retentionLimit, even if a follower lacks them.
func (e *Engine) trimLog() {
	if e.changes.isSmall() {
		return
	}
	e.changes.trim(min(e.neededIndex(), e.commits.index), e.retentionLimit())
}

// retentionLimit returns the limit of the log tail. Followers in contact that are sent a snapshot raise it until they have caught up.
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

// neededIndex returns the index after which the changes are still needed, because a follower in contact or the leader's own disk lacks
// them, or because they follow a snapshot that is being read or sent.
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
