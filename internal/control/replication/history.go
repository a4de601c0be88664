package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxHistoryCount and maxHistoryBytes bound the history of a replica, in changes and in bytes.
const (
	maxHistoryCount = 4000
	maxHistoryBytes = 1 << 20
)

// History holds the last changes that a replica took. They follow on Base, each on the one before. A state whose position is
// among theirs shares all that came before, since an epoch has one leader, and a disk takes a change only on top of the
// position before it (Raft's log matching property).
type History struct {
	Base    wire.LogPosition
	Changes []wire.Change

	// outgoing is the snapshot that the replica is sending in chunks, if any.
	outgoing *snapshotTransfer
}

// last is the position that the history leads to.
func (h History) last() wire.LogPosition {
	if len(h.Changes) == 0 {
		return h.Base
	}
	return h.Changes[len(h.Changes)-1].Position
}

// after gives the changes that follow on a position; there are none if it is not one of the history's, or the last.
func (h History) after(position wire.LogPosition) ([]wire.Change, bool) {
	if position == h.Base {
		return h.Changes, len(h.Changes) > 0
	}
	for index, change := range h.Changes {
		if change.Position == position {
			return h.Changes[index+1:], index+1 < len(h.Changes)
		}
	}
	return nil, false
}

// history is the bounded one that a replica keeps in memory; a restart begins it anew.
type history struct {
	base    wire.LogPosition
	changes []wire.Change
	size    int
}

// take adds what a call has brought to the disk; a gap begins the history anew.
func (h *history) take(call wire.AppendCall) {
	if call.Snapshot != nil {
		*h = history{base: call.Snapshot.Last}
	} else if (History{Base: h.base, Changes: h.changes}).last() != call.Prev {
		*h = history{base: call.Prev}
	}
	for _, change := range call.Changes {
		h.changes = append(h.changes, change)
		h.size += sizeOf(change)
	}
	h.trim()
}

// trim drops the older half at once, so that little is copied.
func (h *history) trim() {
	if len(h.changes) <= maxHistoryCount && h.size <= maxHistoryBytes {
		return
	}
	dropped := 0
	for len(h.changes)-dropped > maxHistoryCount/2 || h.size > maxHistoryBytes/2 {
		h.size -= sizeOf(h.changes[dropped])
		dropped++
	}
	h.base = h.changes[dropped-1].Position
	h.changes = slices.Clone(h.changes[dropped:])
}
