package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxHistoryCount and maxHistoryBytes limit the history of a replica, in changes and in bytes.
const (
	maxHistoryCount = 4000
	maxHistoryBytes = 1 << 20
)

// History holds the most recent changes that a replica accepted, without a gap. The first of them follows Base. A state at the
// position of one of these changes includes all earlier ones: an epoch has one leader, and a disk accepts a change only if its log ends
// at the position before that change (Raft's log matching property).
type History struct {
	Base    wire.LogPosition
	Changes []wire.Change

	// outgoing is the snapshot that the replica sends in chunks; nil if there is none.
	outgoing *snapshotTransfer
}

// last returns the position of the newest change, or Base if there is none.
func (h History) last() wire.LogPosition {
	if len(h.Changes) == 0 {
		return h.Base
	}
	return h.Changes[len(h.Changes)-1].Position
}

// after returns the changes that follow a position. It returns false if the history does not contain the position or ends with it.
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

// history is the bounded history that a replica keeps in memory. It is empty after a restart.
type history struct {
	base    wire.LogPosition
	changes []wire.Change
	// size is the total of the changes in bytes.
	size int
}

// add appends the changes of a call that the disk accepted. A snapshot or a gap resets the history.
func (h *history) add(call wire.AppendCall) {
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

// trim drops the older half of a history that exceeds a limit. Dropping many changes at once keeps copying rare.
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
