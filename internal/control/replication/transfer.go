package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const maxChunkBytes = 256 << 10

// snapshotTransfer is a snapshot on its way in chunks; cuts are the places where one chunk ends and the next begins.
// The same state has the same chunks, whoever sends it.
type snapshotTransfer struct {
	snapshot wire.Snapshot
	cuts     []int
	size     int
}

func newSnapshotTransfer(snapshot wire.Snapshot) *snapshotTransfer {
	transfer := &snapshotTransfer{snapshot: snapshot, cuts: []int{0}}
	size := 0
	for index, pair := range snapshot.Pairs {
		next := len(pair.Name) + len(pair.Value) + 16
		if size > 0 && size+next > maxChunkBytes {
			transfer.cuts, size = append(transfer.cuts, index), 0
		}
		size += next
		transfer.size += next
	}
	transfer.cuts = append(transfer.cuts, len(snapshot.Pairs))
	return transfer
}

func (t *snapshotTransfer) count() int { return len(t.cuts) - 1 }

func (t *snapshotTransfer) chunk(number int) *wire.SnapshotChunk {
	return &wire.SnapshotChunk{At: t.snapshot.Last, Set: t.snapshot.Set, Number: number, Count: t.count(),
		Pairs: t.snapshot.Pairs[t.cuts[number]:t.cuts[number+1]]}
}

// chunkBuffer holds the chunks of one state that a replica has so far; nothing of them is on its disk.
type chunkBuffer struct {
	at    wire.LogPosition
	count int
	pairs []wire.Op
}

// start keeps the chunks of a state, and lets go of those of another.
func (b *chunkBuffer) start(at wire.LogPosition) {
	if b.at != at {
		*b = chunkBuffer{at: at}
	}
}

// take adds the next chunk; one that was here before or comes too early changes nothing.
func (b *chunkBuffer) take(chunk *wire.SnapshotChunk) {
	b.start(chunk.At)
	if chunk.Number == b.count {
		b.pairs = append(b.pairs, chunk.Pairs...)
		b.count++
	}
}

func (b *chunkBuffer) isComplete(chunk *wire.SnapshotChunk) bool {
	return chunk.At == b.at && b.count == chunk.Count
}

// snapshotReader reads the state of the own disk for the followers that need all of it, once for all of them.
type snapshotReader struct {
	isReading bool
	startedAt     time.Duration
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

// keepOnlyIf lets go of a state that was read but that no follower wants any more.
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
	if fresh := e.snapshotReader.unsent; e.canSend(fresh, follower) {
		e.snapshotReader.unsent = nil
		return follower.startTransfer(fresh)
	}
	e.readSnapshot()
	return nil
}

// startTransfer notes a state as under way to the follower.
func (follower *followerProgress) startTransfer(transfer *snapshotTransfer) *snapshotTransfer {
	follower.transfer = transfer
	follower.retention = retention{count: snapshotRetentionFactor * len(transfer.snapshot.Pairs), size: snapshotRetentionFactor * transfer.size}
	return transfer
}

// readSnapshot begins to read the state, unless that is under way or the own disk has no change of this epoch yet.
func (e *Engine) readSnapshot() {
	own := e.followers[e.disk]
	if e.snapshotReader.isReading || own == nil || !own.isPositionKnown || own.acked.Epoch != e.epoch {
		return
	}
	e.snapshotReader = snapshotReader{isReading: true, startedAt: e.clock.Monotonic(), fromIndex: own.acked.Index}
	attempt := e.generation
	e.transport.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.generation != attempt {
			return
		}
		e.snapshotReader = snapshotReader{}
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
	e.snapshotReader.unsent = newSnapshotTransfer(snapshot)
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
	_, isKept := e.changesAfter(transfer.snapshot.Last)
	return isKept
}

// noteChunkAnswer notes how far the follower has come; one that knows no pieces is sent the state in one call.
func (e *Engine) noteChunkAnswer(follower *followerProgress, call wire.AppendCall, answer wire.AppendAnswer) {
	follower.isPositionKnown, follower.needsSnapshot = false, true
	follower.lacksChunkSupport = follower.lacksChunkSupport || call.Chunk.Number == 0 && answer.Chunks == 0
	follower.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
