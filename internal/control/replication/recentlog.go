package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// restoreLog keeps what was taken before, so that a follower that is a little behind is sent no whole state.
func (e *Engine) restoreLog(base wire.LogPosition, recent History) {
	if recent.last() != base {
		recent = History{Base: base}
	}
	e.recentBase, e.recent, e.recentSize = recent.Base, recent.Changes, 0
	for _, change := range e.recent {
		e.recentSize += sizeOf(change)
	}
}

func sizeOf(change wire.Change) int {
	size := 64
	for _, op := range change.Ops {
		size += len(op.Name) + len(op.Value) + 16
	}
	return size
}

// trimLog lets go of changes that all live followers hold, beyond as many as a replica's history keeps for those that
// come back, and of any beyond the most that a leader keeps.
func (e *Engine) trimLog() {
	if len(e.recent) <= maxHistoryCount && e.recentSize <= maxHistoryBytes {
		return
	}
	needed := min(e.neededIndex(), e.commitIndex)
	limit := e.retention()
	drop := 0
	for drop < len(e.recent) {
		count, size := len(e.recent)-drop, e.recentSize
		isOverKept := count > maxHistoryCount/2 || size > maxHistoryBytes/2
		isOverMost := count > limit.count || size > limit.size
		if !isOverMost && (!isOverKept || e.recent[drop].Position.Index > needed) {
			break
		}
		e.recentSize -= sizeOf(e.recent[drop])
		drop++
	}
	if drop > 0 {
		e.recentBase = e.recentPosition(drop)
		e.recent = slices.Clone(e.recent[drop:])
	}
}

// snapshotRetentionFactor is how many times the size of a state may be kept as changes for a follower that is sent that state. A
// state takes a time on its way that grows with its size, and so do the changes made meanwhile; with a fixed limit a large
// one would be too old whenever it arrived, and another would be sent, without end.
const snapshotRetentionFactor = 2

// retention is how many changes, and of which size, are kept for a follower.
type retention struct {
	count int
	size  int
}

// retention is what a leader keeps at most for followers in contact.
func (e *Engine) retention() retention {
	limit := retention{count: maxTailCount, size: maxTailBytes}
	for _, follower := range e.followers {
		if e.clock.Monotonic()-follower.lastContact < e.timing.LostAfter {
			limit.count = max(limit.count, maxTailCount+follower.retention.count)
			limit.size = max(limit.size, maxTailBytes+follower.retention.size)
		}
	}
	return limit
}

// neededIndex is the index up to which all followers in contact, and the own disk, hold the changes, or the snapshot on its way.
func (e *Engine) neededIndex() uint64 {
	needed := e.snapshotReader.neededIndex(e.last.Index)
	for _, follower := range e.followers {
		switch {
		case follower.disk != e.disk && e.clock.Monotonic()-follower.lastContact >= e.timing.LostAfter:
		case follower.transfer != nil:
			needed = min(needed, follower.transfer.snapshot.Last.Index)
		case !follower.needsSnapshot:
			needed = min(needed, follower.acked.Index)
		}
	}
	return needed
}

// changesAfter gives the changes that follow on a stamp, as far as one call may carry them, if the tail still has them all.
func (e *Engine) changesAfter(prev wire.LogPosition) ([]wire.Change, bool) {
	if prev.Index < e.recentBase.Index || prev.Index > e.last.Index {
		return nil, false
	}
	start := int(prev.Index - e.recentBase.Index)
	if prev != e.recentPosition(start) {
		return nil, false
	}
	rest := e.recent[start:]
	return rest[:countForOneCall(rest)], true
}

// countForOneCall is how many changes, from the first on, one call should carry.
func countForOneCall(changes []wire.Change) int {
	count, size := 0, 0
	for count < len(changes) && count < maxChangesPerCall && (count == 0 || size+sizeOf(changes[count]) <= maxBytesPerCall) {
		size += sizeOf(changes[count])
		count++
	}
	return count
}

// recentPosition is the position that so many of the recent changes lead to.
func (e *Engine) recentPosition(count int) wire.LogPosition {
	if count == 0 {
		return e.recentBase
	}
	return e.recent[count-1].Position
}
