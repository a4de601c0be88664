package replication

import "gannetline/internal/cluster/peerapi/wire"

// maxChunkBytes is the size of a chunk; one that holds a single larger pair is larger.
const maxChunkBytes = 256 << 10

// snapshotTransfer is a snapshot on its way in chunks. The same state has the same chunks, whoever sends it, so that another
// leader can go on where one has stopped.
type snapshotTransfer struct {
	snapshot wire.Snapshot
	// cuts are the indices of the pairs with which chunks begin, and at last the number of pairs.
	cuts []int
	// size is that of all pairs in bytes.
	size int
}

// newSnapshotTransfer cuts a snapshot into chunks.
func newSnapshotTransfer(snapshot wire.Snapshot) *snapshotTransfer {
	transfer := &snapshotTransfer{snapshot: snapshot, cuts: []int{0}}
	size := 0
	for index, pair := range snapshot.Pairs {
		next := sizeOfPair(pair)
		if size > 0 && size+next > maxChunkBytes {
			transfer.cuts, size = append(transfer.cuts, index), 0
		}
		size += next
		transfer.size += next
	}
	transfer.cuts = append(transfer.cuts, len(snapshot.Pairs))
	return transfer
}

// count is the number of chunks, at least 1.
func (t *snapshotTransfer) count() int { return len(t.cuts) - 1 }

// chunk gives the chunk of a number, from 0 on.
func (t *snapshotTransfer) chunk(number int) *wire.SnapshotChunk {
	return &wire.SnapshotChunk{At: t.snapshot.Last, Voters: t.snapshot.Voters, Number: number, Count: t.count(),
		Pairs: t.snapshot.Pairs[t.cuts[number]:t.cuts[number+1]]}
}

// chunkBuffer holds the chunks of one state that a replica has so far; nothing of them is on its disk.
type chunkBuffer struct {
	// at is the position of the state; chunks come in their order, and count is how many have.
	at    wire.LogPosition
	count int
	pairs []wire.Op
}

// start keeps the chunks of a state, and drops those of another.
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

// isComplete tells whether all chunks of the state to which this one belongs are here.
func (b *chunkBuffer) isComplete(chunk *wire.SnapshotChunk) bool {
	return chunk.At == b.at && b.count == chunk.Count
}
