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
	// cutDepth is the deepest nesting level at which a body is cut: the one of the elements of route-list and service-list, and of
	// the fields of limits.
	cutDepth = 2
	// minReferencedBytes is the minimum length of a segment that starts a new reference. For a shorter segment a reference is hardly shorter
	// than the text.
	minReferencedBytes = 32
)

// segment is the text of a body between two cuts. depthChange is the nesting depth at its end minus that at its start.
type segment struct {
	text        []byte
	depthChange int
}

// Segments cuts a configuration's JSON text around its routes, services and limits. The segments joined give the same bytes.
func Segments(body []byte) [][]byte {
	var texts [][]byte
	for _, segment := range cut(body, 0) {
		texts = append(texts, segment.text)
	}
	return texts
}

// cut splits a JSON text into segments, at the commas and brackets down to cutDepth. The text starts at the given nesting depth and
// outside of any string.
func cut(body []byte, depth int) []segment {
	var segments []segment
	start, startDepth := 0, depth
	endSegment := func(end int) {
		if end > start {
			segments = append(segments, segment{body[start:end], depth - startDepth})
			start, startDepth = end, depth
		}
	}
	isInString, isEscaped := false, false
	for index, char := range body {
		switch {
		case isInString:
			isInString = isEscaped || char != '"'
			isEscaped = !isEscaped && char == '\\'
		case char == '"':
			isInString = true
		case char == '{' || char == '[':
			if depth++; depth <= cutDepth {
				endSegment(index + 1)
			}
		case char == '}' || char == ']':
			if depth <= cutDepth {
				endSegment(index)
			}
			depth--
		case char == ',' && depth <= cutDepth:
			endSegment(index)
			endSegment(index + 1)
		}
	}
	endSegment(len(body))
	return segments
}

// encodeParts expresses the segments of a body as references to those of a base, and as text where the base has no equal segment or
// a reference isn't worth it. If the last part is a reference, and the base has the segment right after the referenced ones, the segment
// extends that reference whatever its length.
func encodeParts(base, body [][]byte) []wire.DeltaPart {
	firstIndex := map[string]int{}
	for index, segment := range slices.Backward(base) {
		firstIndex[string(segment)] = index
	}
	var parts []wire.DeltaPart
	for _, segment := range body {
		var last *wire.DeltaPart
		if len(parts) > 0 {
			last = &parts[len(parts)-1]
		}
		if last != nil && last.Count > 0 {
			if next := last.From + last.Count; next < len(base) && bytes.Equal(base[next], segment) {
				last.Count++
				continue
			}
		}
		index, exists := firstIndex[string(segment)]
		switch {
		case exists && len(segment) >= minReferencedBytes:
			parts = append(parts, wire.DeltaPart{From: index, Count: 1})
		case last != nil && last.Count == 0:
			last.Text += string(segment)
		default:
			parts = append(parts, wire.DeltaPart{Text: string(segment)})
		}
	}
	return parts
}

// assemble builds the segments of a body from the parts of a delta, and fails if a part refers beyond the base. It takes over the
// referenced segments as they are, and scans only the text of the parts.
func assemble(base []segment, parts []wire.DeltaPart) ([]segment, error) {
	segments := make([]segment, 0, len(base)+len(parts))
	depth := 0
	for _, part := range parts {
		if part.From < 0 || part.Count < 0 || part.From > len(base) || part.Count > len(base)-part.From {
			return nil, errors.Annotate(ErrBadDelta, "a part of the change is not in the configuration's base")
		}
		referenced := base[part.From : part.From+part.Count]
		depth += sumDepthChanges(referenced)
		added := cut([]byte(part.Text), depth)
		depth += sumDepthChanges(added)
		segments = append(append(segments, referenced...), added...)
	}
	return segments, nil
}

// sumDepthChanges is the nesting depth after the segments minus that before them.
func sumDepthChanges(segments []segment) int {
	sum := 0
	for _, segment := range segments {
		sum += segment.depthChange
	}
	return sum
}

// join concatenates the texts of segments.
func join(segments []segment) []byte {
	length := 0
	for _, segment := range segments {
		length += len(segment.text)
	}
	body := make([]byte, 0, length)
	for _, segment := range segments {
		body = append(body, segment.text...)
	}
	return body
}

// digestOf is the hexadecimal SHA-256 of the fields of a configuration that are sent to peers: its body, version, initial voters and moved
// routes.
func digestOf(committed *wire.Configuration) (string, error) {
	rest, err := easyjson.Marshal(wire.Configuration{Version: committed.Version, InitialVoters: committed.InitialVoters, Moved: committed.Moved})
	if err != nil {
		return "", errors.Annotate(err, "computing the digest of a configuration")
	}
	sum := sha256.New()
	sum.Write(committed.Body)
	sum.Write(rest)
	return hex.EncodeToString(sum.Sum(nil)), nil
}

// deltaBetween returns the delta from the base to a committed configuration. It returns nil if the text of the delta is longer than half
// of the full body, or if there are fewer initial voters or moved routes than in the base, since a delta can't remove any.
func deltaBetween(base, committed *wire.Configuration) *wire.ConfigurationDelta {
	if len(committed.InitialVoters) < len(base.InitialVoters) || len(committed.Moved) < len(base.Moved) {
		return nil
	}
	digest, err := digestOf(committed)
	if err != nil {
		return nil
	}
	delta := &wire.ConfigurationDelta{Base: base.Version, Version: committed.Version, Digest: digest,
		Parts: encodeParts(Segments(base.Body), Segments(committed.Body)), InitialVoters: committed.InitialVoters[len(base.InitialVoters):]}
	for index, moved := range committed.Moved {
		if index >= len(base.Moved) || !equalMovedRoutes(base.Moved[index], moved) {
			delta.Moved = append(delta.Moved, moved)
		}
	}
	if 2*textBytes(delta) > len(committed.Body) {
		return nil
	}
	return delta
}

// equalMovedRoutes reports whether two entries are the same in all fields.
func equalMovedRoutes(a, b wire.MovedRoute) bool {
	return a.Route == b.Route && a.LeftAddress == b.LeftAddress && slices.Equal(a.Services, b.Services) && slices.Equal(a.Names, b.Names)
}

// textBytes is how many bytes of a body a delta carries as text.
func textBytes(delta *wire.ConfigurationDelta) int {
	count := 0
	for _, part := range delta.Parts {
		count += len(part.Text)
	}
	return count
}

// applyChain applies a chain of deltas to a base. Only the digest of the last delta is checked: the result has that digest only if
// all earlier deltas were right too.
func applyChain(base *wire.Configuration, deltas []*wire.ConfigurationDelta) (*wire.Configuration, error) {
	segments := cut(base.Body, 0)
	committed := &wire.Configuration{InitialVoters: slices.Clone(base.InitialVoters), Moved: slices.Clone(base.Moved)}
	for _, delta := range deltas {
		var err error
		if segments, err = assemble(segments, delta.Parts); err != nil {
			return nil, err
		}
		committed.Version = delta.Version
		committed.InitialVoters = append(committed.InitialVoters, delta.InitialVoters...)
		committed.Moved = mergeMoved(committed.Moved, delta.Moved)
	}
	committed.Body = join(segments)
	digest, err := digestOf(committed)
	if err != nil {
		return nil, err
	}
	if digest != deltas[len(deltas)-1].Digest {
		return nil, errors.Annotatef(ErrBadDelta, "the configuration made of version %d and its change is not version %d", base.Version, committed.Version)
	}
	return committed, nil
}

// mergeMoved replaces the entries of routes that have moved again, and appends those of routes that moved for the first time.
func mergeMoved(all, added []wire.MovedRoute) []wire.MovedRoute {
	for _, moved := range added {
		index := slices.IndexFunc(all, func(known wire.MovedRoute) bool { return known.Route == moved.Route })
		if index < 0 {
			all = append(all, moved)
			continue
		}
		all[index] = moved
	}
	return all
}
