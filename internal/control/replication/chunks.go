package replication

import "gannetline/internal/cluster/peerapi/wire"

// maxChunkBytes limits the size of a snapshot chunk. A chunk with a single larger pair exceeds it.
const maxChunkBytes = 256 << 10

// snapshotTransfer is a snapshot that is sent in chunks. The same state is always split into the same chunks, so that another
// sender can continue a transfer.
type snapshotTransfer struct {
	snapshot wire.Snapshot
	// chunkBounds holds the index of the first pair of each chunk. Its last element is the number of pairs.
	chunkBounds []int
	// size is the total of all pairs in bytes.
	size int
}

// newSnapshotTransfer splits a snapshot into chunks.
func newSnapshotTransfer(snapshot wire.Snapshot) *snapshotTransfer {
	transfer := &snapshotTransfer{snapshot: snapshot, chunkBounds: []int{0}}
	size := 0
	for index, pair := range snapshot.Pairs {
		next := sizeOfPair(pair)
		if size > 0 && size+next > maxChunkBytes {
			transfer.chunkBounds, size = append(transfer.chunkBounds, index), 0
		}
		size += next
		transfer.size += next
	}
	transfer.chunkBounds = append(transfer.chunkBounds, len(snapshot.Pairs))
	return transfer
}

// count returns the number of chunks, which is at least 1.
func (t *snapshotTransfer) count() int { return len(t.chunkBounds) - 1 }

// chunk returns one chunk; numbers start at 0.
func (t *snapshotTransfer) chunk(number int) *wire.SnapshotChunk {
	return &wire.SnapshotChunk{At: t.snapshot.Last, Voters: t.snapshot.Voters, Number: number, Count: t.count(),
		Pairs: t.snapshot.Pairs[t.chunkBounds[number]:t.chunkBounds[number+1]]}
}

// chunkBuffer holds in memory the chunks of one snapshot that have been received. They are not on disk yet.
type chunkBuffer struct {
	// at is the position of the snapshot. Chunks are accepted in order; count is the number received.
	at    wire.LogPosition
	count int
	pairs []wire.Op
}

// start prepares the buffer for the snapshot at a position. It drops the chunks of any other snapshot.
func (b *chunkBuffer) start(at wire.LogPosition) {
	if b.at != at {
		*b = chunkBuffer{at: at}
	}
}

// add appends the next chunk. A repeated chunk, or one that arrives too early, is ignored.
func (b *chunkBuffer) add(chunk *wire.SnapshotChunk) {
	b.start(chunk.At)
	if chunk.Number == b.count {
		b.pairs = append(b.pairs, chunk.Pairs...)
		b.count++
	}
}

// isComplete reports whether all chunks of the snapshot of the given chunk have been received.
func (b *chunkBuffer) isComplete(chunk *wire.SnapshotChunk) bool {
	return chunk.At == b.at && b.count == chunk.Count
}
