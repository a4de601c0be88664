package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// snapshotRetentionFactor limits the changes that are kept for a follower during a snapshot transfer, as a multiple of the
// snapshot's size. The duration of a transfer and the changes made meanwhile grow with that size. With a fixed limit a large
// snapshot would always be too old on arrival, and another would be sent again and again.
const snapshotRetentionFactor = 2

// snapshotReader reads the state from the leader's own disk once for all followers that need a snapshot.
type snapshotReader struct {
	isReading bool
	startedAt time.Duration
	// fromIndex is the index after which changes must be kept, so that they follow the state that is being read.
	fromIndex uint64
	// unsent is a snapshot that was read but is not being sent to any follower yet; nil if there is none.
	unsent *snapshotTransfer
}

// neededIndex returns the index after which the reader needs the changes, but at most index. If it needs none, it returns index.
func (r *snapshotReader) neededIndex(index uint64) uint64 {
	switch {
	case r.unsent != nil:
		return min(index, r.unsent.snapshot.Last.Index)
	case r.isReading:
		return min(index, r.fromIndex)
	}
	return index
}

// dropUnlessNeeded drops an unsent snapshot that no follower needs any more.
func (r *snapshotReader) dropUnlessNeeded(isNeeded bool) {
	if !isNeeded {
		r.unsent = nil
	}
}

// transferFor returns the transfer to the follower. If there is none, it shares one that is in progress to another follower, or
// starts one of the unsent snapshot. If canSend is false for all of these, it starts reading the state and returns nil.
func (e *Engine) transferFor(follower *followerProgress) *snapshotTransfer {
	if e.canSend(follower.transfer, follower) {
		return follower.transfer
	}
	follower.transfer, follower.nextChunk = nil, 0
	for _, other := range e.sortedFollowers() {
		if e.canSend(other.transfer, follower) {
			return follower.startTransfer(other.transfer)
		}
	}
	if unsent := e.snapshots.unsent; e.canSend(unsent, follower) {
		e.snapshots.unsent = nil
		return follower.startTransfer(unsent)
	}
	e.readSnapshot()
	return nil
}

// startTransfer starts the transfer of a snapshot to the follower, and sets the changes to be kept meanwhile.
func (f *followerProgress) startTransfer(transfer *snapshotTransfer) *snapshotTransfer {
	f.transfer = transfer
	f.retention = retention{count: snapshotRetentionFactor * len(transfer.snapshot.Pairs), size: snapshotRetentionFactor * transfer.size}
	return transfer
}

// readSnapshot starts reading the state, unless a read is in progress or the leader's own disk has no change of this epoch yet.
func (e *Engine) readSnapshot() {
	own := e.followers[e.disk]
	if e.snapshots.isReading || own == nil || !own.isPositionKnown || own.acked.Epoch != e.epoch {
		return
	}
	e.snapshots = snapshotReader{isReading: true, startedAt: e.clock.Monotonic(), fromIndex: own.acked.Index}
	generation := e.generation
	e.transport.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.generation != generation {
			return
		}
		e.snapshots = snapshotReader{}
		if err != nil || snapshot.Last.Epoch != e.epoch {
			return
		}
		e.distributeSnapshot(snapshot)
	})
}

// distributeSnapshot starts sending a snapshot to the followers that need one.
func (e *Engine) distributeSnapshot(snapshot wire.Snapshot) {
	if !e.isSnapshotNeeded() {
		return
	}
	e.snapshots.unsent = newSnapshotTransfer(snapshot)
	for _, follower := range e.sortedFollowers() {
		if follower.needsSnapshot {
			e.sendAppend(follower, false)
		}
	}
}

// isSnapshotNeeded reports whether any follower lacks changes that the log no longer has.
func (e *Engine) isSnapshotNeeded() bool {
	return slices.ContainsFunc(e.sortedFollowers(), func(follower *followerProgress) bool { return follower.needsSnapshot })
}

// canSend reports whether a snapshot can be sent to a follower: the log contains the changes that follow it, and it is not older
// than the follower's position.
func (e *Engine) canSend(transfer *snapshotTransfer, follower *followerProgress) bool {
	if transfer == nil || transfer.snapshot.Last.Below(follower.acked) {
		return false
	}
	_, isKept := e.changes.after(transfer.snapshot.Last)
	return isKept
}

// updateNextChunk sets the next chunk from the follower's answer. A follower that did not accept the first chunk is marked as
// lacking chunk support and is sent the snapshot in one call.
func (e *Engine) updateNextChunk(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	follower.isPositionKnown, follower.needsSnapshot = false, true
	follower.lacksChunkSupport = follower.lacksChunkSupport || call.Chunk.Number == 0 && answer.Chunks == 0
	follower.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
