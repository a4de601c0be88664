package replication

import "gannetline/internal/peerapi"

const chunkSize = 256 << 10

// snapshotTransfer is a whole state on its way in pieces; cuts are the places where one piece ends and the next begins.
type snapshotTransfer struct {
	snapshot peerapi.Snapshot
	cuts     []int
}

func newSnapshotTransfer(whole peerapi.Snapshot) *snapshotTransfer {
	packed := &snapshotTransfer{snapshot: whole, cuts: []int{0}}
	size := 0
	for place, pair := range whole.Pairs {
		next := len(pair.Name) + len(pair.Value) + 16
		if size > 0 && size+next > chunkSize {
			packed.cuts, size = append(packed.cuts, place), 0
		}
		size += next
	}
	packed.cuts = append(packed.cuts, len(whole.Pairs))
	return packed
}

func (p *snapshotTransfer) count() int { return len(p.cuts) - 1 }

func (p *snapshotTransfer) chunk(number int) *peerapi.SnapshotChunk {
	return &peerapi.SnapshotChunk{At: p.snapshot.Last, Set: p.snapshot.Set, Number: number, Count: p.count(),
		Pairs: p.snapshot.Pairs[p.cuts[number]:p.cuts[number+1]]}
}

// chunkBuffer are the pieces of one state that a replica has so far; nothing of them is on its disk.
type chunkBuffer struct {
	at    peerapi.LogPosition
	count int
	pairs []peerapi.Op
}

// take adds the next piece; one that was here before or comes too early changes nothing.
func (a *chunkBuffer) take(piece *peerapi.SnapshotChunk) {
	if piece.At != a.at {
		*a = chunkBuffer{at: piece.At}
	}
	if piece.Number == a.count {
		a.pairs = append(a.pairs, piece.Pairs...)
		a.count++
	}
}

func (a *chunkBuffer) isWhole(piece *peerapi.SnapshotChunk) bool {
	return piece.At == a.at && a.count == piece.Count
}

// transferFor gives the state that is under way to the follower, or the newest, as long as the tail leads on from it.
func (e *Engine) transferFor(one *follower) *snapshotTransfer {
	if one.transfer != nil && e.leadsOn(one.transfer) {
		return one.transfer
	}
	one.transfer, one.nextChunk = nil, 0
	for _, other := range e.inOrder() {
		if other.transfer != nil && e.leadsOn(other.transfer) {
			one.transfer = other.transfer
			return one.transfer
		}
	}
	whole, err := e.links.ReadLocal(e.key)
	if err != nil || whole.Last.Epoch != e.epoch {
		return nil
	}
	one.transfer = newSnapshotTransfer(whole)
	return one.transfer
}

func (e *Engine) leadsOn(packed *snapshotTransfer) bool {
	_, isThere := e.after(packed.snapshot.Last)
	return isThere
}

// noteChunkAnswer notes how far the follower has come; one that knows no pieces is sent the state in one call.
func (e *Engine) noteChunkAnswer(one *follower, call peerapi.AppendCall, answer peerapi.AppendAnswer) {
	one.isKnown, one.needsSnapshot = false, true
	one.isOld = one.isOld || call.Chunk.Number == 0 && answer.Chunks == 0
	one.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
