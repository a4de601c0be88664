package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const chunkSize = 256 << 10

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
	for place, pair := range snapshot.Pairs {
		next := len(pair.Name) + len(pair.Value) + 16
		if size > 0 && size+next > chunkSize {
			transfer.cuts, size = append(transfer.cuts, place), 0
		}
		size += next
		transfer.size += next
	}
	transfer.cuts = append(transfer.cuts, len(snapshot.Pairs))
	return transfer
}

func (p *snapshotTransfer) count() int { return len(p.cuts) - 1 }

func (p *snapshotTransfer) chunk(number int) *wire.SnapshotChunk {
	return &wire.SnapshotChunk{At: p.snapshot.Last, Set: p.snapshot.Set, Number: number, Count: p.count(),
		Pairs: p.snapshot.Pairs[p.cuts[number]:p.cuts[number+1]]}
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

func (b *chunkBuffer) isWhole(chunk *wire.SnapshotChunk) bool {
	return chunk.At == b.at && b.count == chunk.Count
}

// stateReader reads the state of the own disk for the followers that need all of it, once for all of them.
type stateReader struct {
	isReading bool
	since     time.Duration
	// from is the index from which on the changes must be kept, so that they lead on from the state that is being read.
	from uint64
	// fresh is a state that was read and is not yet under way to anyone.
	fresh *snapshotTransfer
}

// needed is the lowest index that the reader asks to be kept, or the given one if that is lower.
func (r *stateReader) needed(index uint64) uint64 {
	switch {
	case r.fresh != nil:
		return min(index, r.fresh.snapshot.Last.Index)
	case r.isReading:
		return min(index, r.from)
	}
	return index
}

// keepOnlyIf lets go of a state that was read but that no follower wants any more.
func (r *stateReader) keepOnlyIf(isWanted bool) {
	if !isWanted {
		r.fresh = nil
	}
}

// transferFor gives the state that is under way to the follower, or to another, as long as the tail leads on from it.
// There is none while the state is still being read.
func (e *Engine) transferFor(to *follower) *snapshotTransfer {
	if e.serves(to.transfer, to) {
		return to.transfer
	}
	to.transfer, to.nextChunk = nil, 0
	for _, other := range e.inOrder() {
		if e.serves(other.transfer, to) {
			return to.begin(other.transfer)
		}
	}
	if fresh := e.reader.fresh; e.serves(fresh, to) {
		e.reader.fresh = nil
		return to.begin(fresh)
	}
	e.readState()
	return nil
}

// begin notes a state as under way to the follower.
func (to *follower) begin(transfer *snapshotTransfer) *snapshotTransfer {
	to.transfer = transfer
	to.mayLack = allowance{count: timesSnapshot * len(transfer.snapshot.Pairs), size: timesSnapshot * transfer.size}
	return transfer
}

// readState begins to read the state, unless that is under way or the own disk has no change of this epoch yet.
func (e *Engine) readState() {
	own := e.followers[e.disk]
	if e.reader.isReading || own == nil || !own.isKnown || own.acked.Epoch != e.epoch {
		return
	}
	e.reader = stateReader{isReading: true, since: e.clock.Monotonic(), from: own.acked.Index}
	attempt := e.attempt
	e.links.ReadLocal(e.key, func(snapshot wire.Snapshot, err error) {
		if e.attempt != attempt {
			return
		}
		e.reader = stateReader{}
		if err != nil || snapshot.Last.Epoch != e.epoch {
			return
		}
		e.offer(snapshot)
	})
}

// offer begins to send a state that was read to the followers that need it.
func (e *Engine) offer(snapshot wire.Snapshot) {
	if !e.isStateWanted() {
		return
	}
	e.reader.fresh = newSnapshotTransfer(snapshot)
	for _, to := range e.inOrder() {
		if to.needsSnapshot {
			e.send(to, false)
		}
	}
}

// isStateWanted tells whether any follower lacks more than the changes that are kept.
func (e *Engine) isStateWanted() bool {
	return slices.ContainsFunc(e.inOrder(), func(to *follower) bool { return to.needsSnapshot })
}

// serves tells whether a transfer may go to a follower: the changes lead on from it, and it is no step back for the disk.
func (e *Engine) serves(transfer *snapshotTransfer, to *follower) bool {
	if transfer == nil || transfer.snapshot.Last.Below(to.acked) {
		return false
	}
	_, isThere := e.after(transfer.snapshot.Last)
	return isThere
}

// noteChunkAnswer notes how far the follower has come; one that knows no pieces is sent the state in one call.
func (e *Engine) noteChunkAnswer(from *follower, call wire.AppendCall, answer wire.AppendAnswer) {
	from.isKnown, from.needsSnapshot = false, true
	from.isOld = from.isOld || call.Chunk.Number == 0 && answer.Chunks == 0
	from.nextChunk = min(answer.Chunks, call.Chunk.Count-1)
}
