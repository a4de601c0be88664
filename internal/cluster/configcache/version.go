package configcache

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxKeptChanges is how many of the last changes a version keeps.
	maxKeptChanges = 32
	// maxAnswerTextBytes is the maximum length of the text of the changes in one answer. Beyond it an image of the full configuration is
	// shorter.
	maxAnswerTextBytes = 16 << 10
)

// Version is a committed configuration with the last changes that led to it, each of which builds on the one before. It is immutable.
// A nil *Version is the state before the first configuration.
type Version struct {
	Committed *wire.Configuration
	changes   []*wire.ConfigurationDelta
}

// number returns the version number of the configuration, 0 before the first.
func (v *Version) number() int64 {
	if v == nil {
		return 0
	}
	return v.Committed.Version
}

// Next returns the version of a newer committed configuration, with the change to it. For one that isn't newer it returns v itself.
func (v *Version) Next(committed *wire.Configuration) *Version {
	if committed.Version <= v.number() {
		return v
	}
	if v == nil {
		return &Version{Committed: committed}
	}
	change := deltaBetween(v.Committed, committed)
	if change == nil {
		return &Version{Committed: committed}
	}
	return &Version{committed, v.appendChanges(change)}
}

// appendChanges returns the kept changes followed by the added ones, without the oldest beyond maxKeptChanges.
func (v *Version) appendChanges(added ...*wire.ConfigurationDelta) []*wire.ConfigurationDelta {
	changes := append(slices.Clone(v.changes), added...)
	return changes[max(0, len(changes)-maxKeptChanges):]
}

// Apply returns the version that a peer's answer leads to, or v itself if that isn't newer. An error means that the changes don't fit v,
// and that the full configuration has to be fetched.
func (v *Version) Apply(answer *wire.ConfigurationAnswer) (*Version, error) {
	if answer.Full != nil {
		return v.Next(answer.Full), nil
	}
	var chain []*wire.ConfigurationDelta
	reached := v.number()
	for _, change := range answer.Changes {
		if change.Version <= reached {
			continue
		}
		if change.Base != reached {
			return v, errors.Annotatef(ErrBaseMismatch, "a change to version %d is based on version %d, and %d is in force", change.Version, change.Base, reached)
		}
		chain, reached = append(chain, change), change.Version
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
	return &Version{committed, v.appendChanges(chain...)}, nil
}

// AnswerTo returns the answer to a peer's call: the changes since the version that the peer holds, or else the full configuration. The
// answer is empty if v isn't newer. It is nil if a chunk of an image has to be sent in place of the full configuration.
func (v *Version) AnswerTo(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	if v.number() <= call.HeldVersion {
		return &wire.ConfigurationAnswer{}
	}
	if changes := v.changesSince(call.HeldVersion); call.AcceptsChanges && len(changes) > 0 {
		return &wire.ConfigurationAnswer{Changes: changes}
	}
	if call.AcceptsChunks {
		return nil
	}
	return &wire.ConfigurationAnswer{Full: v.Committed}
}

// isReachableFrom reports whether the given version is v, or the kept changes lead from it to v.
func (v *Version) isReachableFrom(version int64) bool {
	return version == v.number() || len(v.changesSince(version)) > 0
}

// changesSince returns the changes that lead from an older version to v. It returns none if they are not all kept, or if their text is
// longer than maxAnswerTextBytes or than the full body.
func (v *Version) changesSince(base int64) []*wire.ConfigurationDelta {
	total := 0
	for index := len(v.changes) - 1; index >= 0; index-- {
		if total += textBytes(v.changes[index]); total > min(len(v.Committed.Body), maxAnswerTextBytes) {
			return nil
		}
		if v.changes[index].Base == base {
			return v.changes[index:]
		}
	}
	return nil
}
