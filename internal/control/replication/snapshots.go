package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// snapshotRetentionFactor is how many times the size of a state may be kept as changes for a follower that is sent that state.
// A state takes a time on its way that grows with its size, and so do the changes made meanwhile; with a fixed limit a large
// one would be too old whenever it arrived, and another would be sent, without end.
const snapshotRetentionFactor = 2

// snapshotReader reads the state of the own disk for the followers that need all of it, once for all of them.
type snapshotReader struct {
	isReading bool
	startedAt time.Duration
	// fromIndex is the index from which on the changes must be kept, so that they lead on from the state that is being read.
	fromIndex uint64
	// unsent is a state that was read and is not yet under way to anyone.
	unsent *snapshotTransfer
}

// neededIndex is the lowest index that the reader asks to be kept, or the given one if that is lower.
func (r *snapshotReader) neededIndex(index uint64) uint64 {
	switch {
	case r.unsent != nil:
		return min(index, r.unsent.snapshot.Last.Index)
	case r.isReading:
		return min(index, r.fromIndex)
	}
	return index
}

// keepOnlyIf drops a state that was read but that no follower wants any more.
func (r *snapshotReader) keepOnlyIf(isWanted bool) {
	if !isWanted {
		r.unsent = nil
	}
}

// transferFor gives the state that is under way to the follower, or to another, as long as the tail leads on from it.
// There is none while the state is still being read.
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

// startTransfer notes a state as under way to the follower.
func (f *followerProgress) startTransfer(transfer *snapshotTransfer) *snapshotTransfer {
	f.transfer = transfer
	f.retention = retention{count: snapshotRetentionFactor * len(transfer.snapshot.Pairs), size: snapshotRetentionFactor * transfer.size}
	return transfer
}

// readSnapshot begins to read the state, unless that is under way or the own disk has no change of this epoch yet.
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

// distributeSnapshot begins to send a state that was read to the followers that need it.
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

// isSnapshotNeeded tells whether any follower lacks more than the changes that are kept.
func (e *Engine) isSnapshotNeeded() bool {
	return slices.ContainsFunc(e.sortedFollowers(), func(follower *followerProgress) bool { return follower.needsSnapshot })
}

// canSend tells whether a transfer may go to a follower: the changes lead on from it, and it is no step back for the disk.
func (e *Engine) canSend(transfer *snapshotTransfer, follower *followerProgress) bool {
	if transfer == nil || transfer.snapshot.Last.Below(follower.acked) {
		return false
	}
	_, isKept := e.changes.after(transfer.snapshot.Last)
	return isKept
}

// noteChunkAnswer notes how far the follower has come; one that knows no chunks is sent the state in one call.
func (e *Engine) noteChunkAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	follower.isPositionKnown, follower.needsSnapshot = false, true
	follower.lacksChunkSupport = follower.lacksChunkSupport || call.Chunk.Number == 0 && answer.Chunks == 0
	follower.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
