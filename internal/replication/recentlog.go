package replication

import (
	"slices"

	"gannetline/internal/peerapi"
)

// inherit keeps what was taken before, so that a follower that is a little behind is sent no whole state.
func (e *Engine) inherit(base peerapi.LogPosition, recent History) {
	if recent.last() != base {
		recent = History{Base: base}
	}
	e.recentBase, e.recent, e.recentSize = recent.Base, recent.Changes, 0
	for _, change := range e.recent {
		e.recentSize += sizeOf(change)
	}
}

func sizeOf(change peerapi.Change) int {
	size := 64
	for _, op := range change.Ops {
		size += len(op.Name) + len(op.Value) + 16
	}
	return size
}

func (e *Engine) trimRecent() {
	needed := e.last.Index
	for _, one := range e.followers {
		switch {
		case one.disk != e.disk && e.clock.Steady()-one.lastContact >= e.timing.LostAfter:
		case one.transfer != nil:
			needed = min(needed, one.transfer.snapshot.Last.Index)
		case !one.needsSnapshot:
			needed = min(needed, one.acked.Index)
		}
	}
	drop := 0
	for drop < len(e.recent) && (e.recent[drop].Position.Index <= needed && e.recent[drop].Position.Index <= e.committed ||
		len(e.recent)-drop > mostTail || e.recentSize > mostTailSize) {
		e.recentSize -= sizeOf(e.recent[drop])
		drop++
	}
	if drop > 0 {
		e.recentBase = e.recentPosition(drop)
		e.recent = slices.Clone(e.recent[drop:])
	}
}

// after gives the changes that follow on a stamp, as far as one call may carry them, if the tail still has them all.
func (e *Engine) after(prev peerapi.LogPosition) ([]peerapi.Change, bool) {
	if prev.Index < e.recentBase.Index || prev.Index > e.last.Index {
		return nil, false
	}
	start := int(prev.Index - e.recentBase.Index)
	if prev != e.recentPosition(start) {
		return nil, false
	}
	rest := e.recent[start:]
	return rest[:mostInOneCall(rest)], true
}

// mostInOneCall is how many changes, from the first on, one call should carry.
func mostInOneCall(changes []peerapi.Change) int {
	count, size := 0, 0
	for count < len(changes) && count < mostPerCall && (count == 0 || size+sizeOf(changes[count]) <= mostPerCallSize) {
		size += sizeOf(changes[count])
		count++
	}
	return count
}

// recentPosition is the position that so many of the recent changes lead to.
func (e *Engine) recentPosition(count int) peerapi.LogPosition {
	if count == 0 {
		return e.recentBase
	}
	return e.recent[count-1].Position
}
