package configcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// cutDepth is that of the elements of route-list and service-list, and of the fields of limits.
	cutDepth = 2
	// shortPiece is not worth a reference of its own.
	shortPiece = 32
)

// piece is a part of a body between two cuts; net is by how much it lies deeper at its end than at its beginning.
type piece struct {
	text []byte
	net  int
}

// Pieces cuts a configuration around its routes, services and limits; joined they are the same bytes again.
func Pieces(body []byte) [][]byte {
	var texts [][]byte
	for _, piece := range cutFrom(body, 0) {
		texts = append(texts, piece.text)
	}
	return texts
}

// cutFrom cuts a text that begins at a depth, outside of strings: where each cut lies.
func cutFrom(body []byte, depth int) []piece {
	var pieces []piece
	begin, beginDepth := 0, depth
	cut := func(end int) {
		if end > begin {
			pieces = append(pieces, piece{body[begin:end], depth - beginDepth})
			begin, beginDepth = end, depth
		}
	}
	isText, isEscaped := false, false
	for place, char := range body {
		switch {
		case isText:
			isText = isEscaped || char != '"'
			isEscaped = !isEscaped && char == '\\'
		case char == '"':
			isText = true
		case char == '{' || char == '[':
			if depth++; depth <= cutDepth {
				cut(place + 1)
			}
		case char == '}' || char == ']':
			if depth <= cutDepth {
				cut(place)
			}
			depth--
		case char == ',' && depth <= cutDepth:
			cut(place)
			cut(place + 1)
		}
	}
	cut(len(body))
	return pieces
}

// partsOf says a body in pieces of a base, and in text where the base has none.
func partsOf(base, body [][]byte) []wire.DeltaPart {
	places := map[string]int{}
	for place, piece := range slices.Backward(base) {
		places[string(piece)] = place
	}
	var parts []wire.DeltaPart
	for _, piece := range body {
		var last *wire.DeltaPart
		if len(parts) > 0 {
			last = &parts[len(parts)-1]
		}
		if last != nil && last.Count > 0 {
			if next := last.From + last.Count; next < len(base) && bytes.Equal(base[next], piece) {
				last.Count++
				continue
			}
		}
		place, isThere := places[string(piece)]
		switch {
		case isThere && len(piece) >= shortPiece:
			parts = append(parts, wire.DeltaPart{From: place, Count: 1})
		case last != nil && last.Count == 0:
			last.Text += string(piece)
		default:
			parts = append(parts, wire.DeltaPart{Text: string(piece)})
		}
	}
	return parts
}

// assemble gives the pieces of the body that the parts say, without reading the whole of it: those of a span are pieces
// of the new body too, and only text is cut anew.
func assemble(base []piece, parts []wire.DeltaPart) ([]piece, error) {
	pieces := make([]piece, 0, len(base)+len(parts))
	depth := 0
	for _, part := range parts {
		if part.From < 0 || part.Count < 0 || part.From > len(base) || part.Count > len(base)-part.From {
			return nil, errors.Errorf("a part of the change is not in the plan's base")
		}
		span := base[part.From : part.From+part.Count]
		depth += netOf(span)
		text := cutFrom([]byte(part.Text), depth)
		depth += netOf(text)
		pieces = append(append(pieces, span...), text...)
	}
	return pieces, nil
}

// netOf is by how much the depth is greater after the pieces than before them.
func netOf(pieces []piece) int {
	net := 0
	for _, piece := range pieces {
		net += piece.net
	}
	return net
}

func join(pieces []piece) []byte {
	length := 0
	for _, piece := range pieces {
		length += len(piece.text)
	}
	body := make([]byte, 0, length)
	for _, piece := range pieces {
		body = append(body, piece.text...)
	}
	return body
}

// digestOf covers all of a fact that is passed on.
func digestOf(fact *wire.Configuration) (string, error) {
	rest, err := easyjson.Marshal(wire.Configuration{Version: fact.Version, InitialVoters: fact.InitialVoters, Moved: fact.Moved})
	if err != nil {
		return "", errors.Annotate(err, "the digest of a plan")
	}
	sum := sha256.New()
	sum.Write(fact.Body)
	sum.Write(rest)
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// changeOf gives what makes the base into the fact; nothing if the whole would hardly be longer.
func changeOf(base, fact *wire.Configuration) *wire.ConfigurationDelta {
	if len(fact.InitialVoters) < len(base.InitialVoters) || len(fact.Moved) < len(base.Moved) {
		return nil
	}
	digest, err := digestOf(fact)
	if err != nil {
		return nil
	}
	change := &wire.ConfigurationDelta{Base: base.Version, Version: fact.Version, Digest: digest,
		Parts: partsOf(Pieces(base.Body), Pieces(fact.Body)), InitialVoters: fact.InitialVoters[len(base.InitialVoters):]}
	for place, moved := range fact.Moved {
		if place >= len(base.Moved) || !isSame(base.Moved[place], moved) {
			change.Moved = append(change.Moved, moved)
		}
	}
	if 2*textIn(change) > len(fact.Body) {
		return nil
	}
	return change
}

func isSame(a, b wire.MovedRoute) bool {
	return a.Route == b.Route && slices.Equal(a.Services, b.Services)
}

// textIn is how many bytes of text a change brings.
func textIn(change *wire.ConfigurationDelta) int {
	count := 0
	for _, part := range change.Parts {
		count += len(part.Text)
	}
	return count
}

// applyAll makes the fact that a chain of changes leads to. Its digest must be the one that the last change names, which
// it has only if all before it were right.
func applyAll(base *wire.Configuration, changes []*wire.ConfigurationDelta) (*wire.Configuration, error) {
	pieces := cutFrom(base.Body, 0)
	fact := &wire.Configuration{InitialVoters: slices.Clone(base.InitialVoters), Moved: slices.Clone(base.Moved)}
	for _, change := range changes {
		var err error
		if pieces, err = assemble(pieces, change.Parts); err != nil {
			return nil, err
		}
		fact.Version = change.Version
		fact.InitialVoters = append(fact.InitialVoters, change.InitialVoters...)
		fact.Moved = withMoved(fact.Moved, change.Moved)
	}
	fact.Body = join(pieces)
	digest, err := digestOf(fact)
	if err != nil {
		return nil, err
	}
	if digest != changes[len(changes)-1].Digest {
		return nil, errors.Errorf("the plan made of version %d and its change is not version %d", base.Version, fact.Version)
	}
	return fact, nil
}

// withMoved replaces the entries of routes that have moved again, and adds the others.
func withMoved(all, added []wire.MovedRoute) []wire.MovedRoute {
	for _, moved := range added {
		place := slices.IndexFunc(all, func(known wire.MovedRoute) bool { return known.Route == moved.Route })
		if place < 0 {
			all = append(all, moved)
			continue
		}
		all[place] = moved
	}
	return all
}
