package configcache

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxKeptDeltas is how many of the last deltas a version keeps.
	maxKeptDeltas = 32
	// maxAnswerTextBytes is the maximum length of the text of the deltas in one answer. Beyond it an image of the full configuration is
	// shorter.
	maxAnswerTextBytes = 16 << 10
)

// Version is a committed configuration with the last deltas that led to it. The base of each delta is the result of the one
// before. A Version is immutable. A nil *Version is the state before the first configuration.
type Version struct {
	Committed *wire.Configuration
	deltas    []*wire.ConfigurationDelta
}

// number returns the version number of the configuration, 0 before the first.
func (v *Version) number() int64 {
	if v == nil {
		return 0
	}
	return v.Committed.Version
}

// Next returns the version of a newer committed configuration, with the delta to it. For one that isn't newer it returns v itself.
func (v *Version) Next(committed *wire.Configuration) *Version {
	if committed.Version <= v.number() {
		return v
	}
	if v == nil {
		return &Version{Committed: committed}
	}
	delta := deltaBetween(v.Committed, committed)
	if delta == nil {
		return &Version{Committed: committed}
	}
	return &Version{committed, v.appendDeltas(delta)}
}

// appendDeltas returns the kept deltas followed by the added ones, without the oldest beyond maxKeptDeltas.
func (v *Version) appendDeltas(added ...*wire.ConfigurationDelta) []*wire.ConfigurationDelta {
	deltas := append(slices.Clone(v.deltas), added...)
	return deltas[max(0, len(deltas)-maxKeptDeltas):]
}

// Apply returns the version that a peer's answer leads to, or v itself if that isn't newer. An error means that the deltas don't fit v,
// and that the full configuration has to be fetched.
func (v *Version) Apply(answer *wire.ConfigurationAnswer) (*Version, error) {
	if answer.Full != nil {
		return v.Next(answer.Full), nil
	}
	var chain []*wire.ConfigurationDelta
	reached := v.number()
	for _, delta := range answer.Changes {
		if delta.Version <= reached {
			continue
		}
		if delta.Base != reached {
			return v, errors.Annotatef(ErrBaseMismatch, "a change to version %d is based on version %d, and %d is in force", delta.Version, delta.Base, reached)
		}
		chain, reached = append(chain, delta), delta.Version
	}
	if len(chain) == 0 {
		return v, nil
	}
	if v == nil {
		return v, errors.Annotatef(ErrBaseMismatch, "a change to version %d, and no version is in force", reached)
	}
	committed, err := applyChain(v.Committed, chain)
	if err != nil {
		return v, err
	}
	return &Version{committed, v.appendDeltas(chain...)}, nil
}

// AnswerTo returns the answer to a peer's call: the deltas since the version that the peer holds, or else the full configuration. The
// answer is empty if v isn't newer. It is nil if a chunk of an image has to be sent in place of the full configuration.
func (v *Version) AnswerTo(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	if v.number() <= call.HeldVersion {
		return &wire.ConfigurationAnswer{}
	}
	if deltas := v.deltasSince(call.HeldVersion); call.AcceptsChanges && len(deltas) > 0 {
		return &wire.ConfigurationAnswer{Changes: deltas}
	}
	if call.AcceptsChunks {
		return nil
	}
	return &wire.ConfigurationAnswer{Full: v.Committed}
}

// isReachableFrom reports whether the given version is v, or the kept deltas lead from it to v.
func (v *Version) isReachableFrom(version int64) bool {
	return version == v.number() || len(v.deltasSince(version)) > 0
}

// deltasSince returns the deltas that lead from an older version to v. It returns none if they are not all kept, or if their text is
// longer than maxAnswerTextBytes or than the full body.
func (v *Version) deltasSince(base int64) []*wire.ConfigurationDelta {
	total := 0
	for index := len(v.deltas) - 1; index >= 0; index-- {
		if total += textBytes(v.deltas[index]); total > min(len(v.Committed.Body), maxAnswerTextBytes) {
			return nil
		}
		if v.deltas[index].Base == base {
			return v.deltas[index:]
		}
	}
	return nil
}
