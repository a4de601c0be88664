package configcache

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxKeptChanges are kept, and sent in one answer if their text is at most maxAnswerTextBytes bytes: beyond that the
	// compressed whole is shorter.
	maxKeptChanges     = 32
	maxAnswerTextBytes = 16 << 10
)

// Version is a committed configuration, and the changes that led to it, each on the one before; it is never changed.
type Version struct {
	Committed *wire.Configuration
	changes   []*wire.ConfigurationDelta
}

func (v *Version) version() int64 {
	if v == nil {
		return 0
	}
	return v.Committed.Version
}

// Next gives the version of a newer fact; an older one changes nothing.
func (v *Version) Next(committed *wire.Configuration) *Version {
	if committed.Version <= v.version() {
		return v
	}
	if v == nil {
		return &Version{Committed: committed}
	}
	change := deltaBetween(v.Committed, committed)
	if change == nil {
		return &Version{Committed: committed}
	}
	return &Version{committed, v.with(change)}
}

// with gives the kept changes and more, without the oldest beyond maxKeptChanges.
func (v *Version) with(added ...*wire.ConfigurationDelta) []*wire.ConfigurationDelta {
	changes := append(slices.Clone(v.changes), added...)
	return changes[max(0, len(changes)-maxKeptChanges):]
}

// Apply applies a peer's answer; an error says that only the whole configuration helps.
func (v *Version) Apply(answer *wire.ConfigurationAnswer) (*Version, error) {
	if answer.Full != nil {
		return v.Next(answer.Full), nil
	}
	var chain []*wire.ConfigurationDelta
	reached := v.version()
	for _, change := range answer.Changes {
		if change.Version <= reached {
			continue
		}
		if change.Base != reached {
			return v, errors.Annotatef(ErrBaseMismatch, "a change to version %d is on version %d, and %d is in force", change.Version, change.Base, reached)
		}
		chain, reached = append(chain, change), change.Version
	}
	if len(chain) == 0 {
		return v, nil
	}
	if v == nil {
		return v, errors.Annotatef(ErrBaseMismatch, "a change to version %d, and none is in force", reached)
	}
	committed, err := applyChain(v.Committed, chain)
	if err != nil {
		return v, err
	}
	return &Version{committed, v.with(chain...)}, nil
}

// AnswerTo gives a peer the changes since the version that it holds, or the whole configuration; nothing for one
// that takes the whole in chunks of an image.
func (v *Version) AnswerTo(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	if v.version() <= call.HeldVersion {
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

// isReachableFrom tells whether changes lead from an older version to this one.
func (v *Version) isReachableFrom(version int64) bool {
	return version == v.version() || len(v.changesSince(version)) > 0
}

// changesSince gives the changes that lead from an older version to this one; none if they are not all kept, or too long.
func (v *Version) changesSince(base int64) []*wire.ConfigurationDelta {
	text := 0
	for index := len(v.changes) - 1; index >= 0; index-- {
		if text += textBytes(v.changes[index]); text > min(len(v.Committed.Body), maxAnswerTextBytes) {
			return nil
		}
		if v.changes[index].Base == base {
			return v.changes[index:]
		}
	}
	return nil
}
