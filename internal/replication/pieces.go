package replication

import "gannetline/internal/peerapi"

const pieceSize = 256 << 10

// parcel is a whole state on its way in pieces; cuts are the places where one piece ends and the next begins.
type parcel struct {
	whole peerapi.Snapshot
	cuts  []int
}

func pack(whole peerapi.Snapshot) *parcel {
	packed := &parcel{whole: whole, cuts: []int{0}}
	size := 0
	for place, pair := range whole.Pairs {
		next := len(pair.Name) + len(pair.Value) + 16
		if size > 0 && size+next > pieceSize {
			packed.cuts, size = append(packed.cuts, place), 0
		}
		size += next
	}
	packed.cuts = append(packed.cuts, len(whole.Pairs))
	return packed
}

func (p *parcel) count() int { return len(p.cuts) - 1 }

func (p *parcel) piece(number int) *peerapi.Piece {
	return &peerapi.Piece{At: p.whole.Last, Set: p.whole.Set, Number: number, Count: p.count(),
		Pairs: p.whole.Pairs[p.cuts[number]:p.cuts[number+1]]}
}

// arrivals are the pieces of one state that a replica has so far; nothing of them is on its disk.
type arrivals struct {
	at    peerapi.Stamp
	count int
	pairs []peerapi.Op
}

// take adds the next piece; one that was here before or comes too early changes nothing.
func (a *arrivals) take(piece *peerapi.Piece) {
	if piece.At != a.at {
		*a = arrivals{at: piece.At}
	}
	if piece.Number == a.count {
		a.pairs = append(a.pairs, piece.Pairs...)
		a.count++
	}
}

func (a *arrivals) isWhole(piece *peerapi.Piece) bool {
	return piece.At == a.at && a.count == piece.Count
}

// parcelFor gives the state that is under way to the follower, or the newest, as long as the tail leads on from it.
func (e *Engine) parcelFor(one *follower) *parcel {
	if one.parcel != nil && e.leadsOn(one.parcel) {
		return one.parcel
	}
	one.parcel, one.piece = nil, 0
	for _, other := range e.inOrder() {
		if other.parcel != nil && e.leadsOn(other.parcel) {
			one.parcel = other.parcel
			return one.parcel
		}
	}
	whole, err := e.links.ReadLocal(e.key)
	if err != nil || whole.Last.Epoch != e.epoch {
		return nil
	}
	one.parcel = pack(whole)
	return one.parcel
}

func (e *Engine) leadsOn(packed *parcel) bool {
	_, isThere := e.after(packed.whole.Last)
	return isThere
}

// hearPiece notes how far the follower has come; one that knows no pieces is sent the state in one call.
func (e *Engine) hearPiece(one *follower, call peerapi.AppendCall, answer peerapi.AppendAnswer) {
	one.isKnown, one.needsWhole = false, true
	one.isOld = one.isOld || call.Piece.Number == 0 && answer.Pieces == 0
	one.piece = min(answer.Pieces, call.Piece.Count-1)
}
