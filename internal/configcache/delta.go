package configcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/peerapi"
)

const (
	// cutDepth is that of the elements of route-list and service-list, and of the fields of limits.
	cutDepth = 2
	// shortPiece is not worth a reference of its own.
	shortPiece = 32
)

// Pieces cuts a plan around its routes, services and limits; joined they are the same bytes again.
func Pieces(body []byte) [][]byte {
	var pieces [][]byte
	begin, depth := 0, 0
	cut := func(end int) {
		if end > begin {
			pieces = append(pieces, body[begin:end])
			begin = end
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
func partsOf(base, body [][]byte) []peerapi.DeltaPart {
	places := map[string]int{}
	for place, piece := range slices.Backward(base) {
		places[string(piece)] = place
	}
	var parts []peerapi.DeltaPart
	for _, piece := range body {
		var last *peerapi.DeltaPart
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
			parts = append(parts, peerapi.DeltaPart{From: place, Count: 1})
		case last != nil && last.Count == 0:
			last.Text += string(piece)
		default:
			parts = append(parts, peerapi.DeltaPart{Text: string(piece)})
		}
	}
	return parts
}

func joinParts(base [][]byte, parts []peerapi.DeltaPart) ([]byte, error) {
	var body bytes.Buffer
	for _, part := range parts {
		if part.From < 0 || part.Count < 0 || part.From > len(base) || part.Count > len(base)-part.From {
			return nil, errors.Errorf("a part of the change is not in the plan's base")
		}
		for _, piece := range base[part.From : part.From+part.Count] {
			body.Write(piece)
		}
		body.WriteString(part.Text)
	}
	return body.Bytes(), nil
}

// digestOf covers all of a fact that is passed on.
func digestOf(fact *peerapi.Configuration) (string, error) {
	rest, err := easyjson.Marshal(peerapi.Configuration{Version: fact.Version, InitialVoters: fact.InitialVoters, Moved: fact.Moved})
	if err != nil {
		return "", errors.Annotate(err, "the digest of a plan")
	}
	sum := sha256.New()
	sum.Write(fact.Body)
	sum.Write(rest)
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// changeOf gives what makes the base into the fact; nothing if the whole would hardly be longer.
func changeOf(base, fact *peerapi.Configuration) *peerapi.ConfigurationDelta {
	if len(fact.InitialVoters) < len(base.InitialVoters) || len(fact.Moved) < len(base.Moved) {
		return nil
	}
	digest, err := digestOf(fact)
	if err != nil {
		return nil
	}
	change := &peerapi.ConfigurationDelta{Base: base.Version, Version: fact.Version, Digest: digest,
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

func isSame(one, two peerapi.MovedRoute) bool {
	return one.Entry == two.Entry && slices.Equal(one.Services, two.Services)
}

func textIn(change *peerapi.ConfigurationDelta) int {
	count := 0
	for _, part := range change.Parts {
		count += len(part.Text)
	}
	return count
}

// apply makes the next fact; its digest must be the one that the change names, if it is checked. The last of several
// changes is enough: its result has the right digest only if all before it were right.
func apply(base *peerapi.Configuration, change *peerapi.ConfigurationDelta, isChecked bool) (*peerapi.Configuration, error) {
	body, err := joinParts(Pieces(base.Body), change.Parts)
	if err != nil {
		return nil, err
	}
	fact := &peerapi.Configuration{Version: change.Version, Body: body,
		InitialVoters: append(slices.Clone(base.InitialVoters), change.InitialVoters...), Moved: slices.Clone(base.Moved)}
	for _, moved := range change.Moved {
		place := slices.IndexFunc(fact.Moved, func(one peerapi.MovedRoute) bool { return one.Entry == moved.Entry })
		if place < 0 {
			fact.Moved = append(fact.Moved, moved)
			continue
		}
		fact.Moved[place] = moved
	}
	if !isChecked {
		return fact, nil
	}
	digest, err := digestOf(fact)
	if err != nil {
		return nil, err
	}
	if digest != change.Digest {
		return nil, errors.Errorf("the plan made of version %d and its change is not version %d", base.Version, change.Version)
	}
	return fact, nil
}
