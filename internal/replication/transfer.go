package replication

import "gannetline/internal/peerapi"

const chunkSize = 256 << 10

// snapshotTransfer is a snapshot on its way in chunks; cuts are the places where one chunk ends and the next begins.
// The same state has the same chunks, whoever sends it.
type snapshotTransfer struct {
	snapshot peerapi.Snapshot
	cuts     []int
}

func newSnapshotTransfer(snapshot peerapi.Snapshot) *snapshotTransfer {
	transfer := &snapshotTransfer{snapshot: snapshot, cuts: []int{0}}
	size := 0
	for place, pair := range snapshot.Pairs {
		next := len(pair.Name) + len(pair.Value) + 16
		if size > 0 && size+next > chunkSize {
			transfer.cuts, size = append(transfer.cuts, place), 0
		}
		size += next
	}
	transfer.cuts = append(transfer.cuts, len(snapshot.Pairs))
	return transfer
}

func (p *snapshotTransfer) count() int { return len(p.cuts) - 1 }

func (p *snapshotTransfer) chunk(number int) *peerapi.SnapshotChunk {
	return &peerapi.SnapshotChunk{At: p.snapshot.Last, Set: p.snapshot.Set, Number: number, Count: p.count(),
		Pairs: p.snapshot.Pairs[p.cuts[number]:p.cuts[number+1]]}
}

// chunkBuffer holds the chunks of one state that a replica has so far; nothing of them is on its disk.
type chunkBuffer struct {
	at    peerapi.LogPosition
	count int
	pairs []peerapi.Op
}

// start keeps the chunks of a state, and lets go of those of another.
func (b *chunkBuffer) start(at peerapi.LogPosition) {
	if b.at != at {
		*b = chunkBuffer{at: at}
	}
}

// take adds the next chunk; one that was here before or comes too early changes nothing.
func (b *chunkBuffer) take(chunk *peerapi.SnapshotChunk) {
	b.start(chunk.At)
	if chunk.Number == b.count {
		b.pairs = append(b.pairs, chunk.Pairs...)
		b.count++
	}
}

func (b *chunkBuffer) isWhole(chunk *peerapi.SnapshotChunk) bool {
	return chunk.At == b.at && b.count == chunk.Count
}

// transferFor gives the state that is under way to the follower, or the newest, as long as the tail leads on from it.
func (e *Engine) transferFor(to *follower) *snapshotTransfer {
	if to.transfer != nil && e.leadsOn(to.transfer) {
		return to.transfer
	}
	to.transfer, to.nextChunk = nil, 0
	for _, other := range e.inOrder() {
		if other.transfer != nil && e.leadsOn(other.transfer) {
			to.transfer = other.transfer
			return to.transfer
		}
	}
	snapshot, err := e.links.ReadLocal(e.key)
	if err != nil || snapshot.Last.Epoch != e.epoch {
		return nil
	}
	fresh := newSnapshotTransfer(snapshot)
	if !e.leadsOn(fresh) {
		return nil
	}
	to.transfer = fresh
	return to.transfer
}

func (e *Engine) leadsOn(transfer *snapshotTransfer) bool {
	_, isThere := e.after(transfer.snapshot.Last)
	return isThere
}

// noteChunkAnswer notes how far the follower has come; one that knows no pieces is sent the state in one call.
func (e *Engine) noteChunkAnswer(from *follower, call peerapi.AppendCall, answer peerapi.AppendAnswer) {
	from.isKnown, from.needsSnapshot = false, true
	from.isOld = from.isOld || call.Chunk.Number == 0 && answer.Chunks == 0
	from.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
