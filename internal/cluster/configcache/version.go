package configcache

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// mostChanges are kept, and sent in one answer if their text is at most mostAnswerText bytes: beyond that the
	// compressed whole is shorter.
	mostChanges    = 32
	mostAnswerText = 16 << 10
)

// Version is a committed configuration, and the changes that led to it, each on the one before; it is never changed.
type Version struct {
	Fact    *wire.Configuration
	changes []*wire.ConfigurationDelta
}

func (v *Version) version() int64 {
	if v == nil {
		return 0
	}
	return v.Fact.Version
}

// Follow gives the version of a newer fact; an older one changes nothing.
func (v *Version) Follow(fact *wire.Configuration) *Version {
	if fact.Version <= v.version() {
		return v
	}
	if v == nil {
		return &Version{Fact: fact}
	}
	change := changeOf(v.Fact, fact)
	if change == nil {
		return &Version{Fact: fact}
	}
	return &Version{fact, v.with(change)}
}

// with gives the kept changes and more, without the oldest beyond mostChanges.
func (v *Version) with(added ...*wire.ConfigurationDelta) []*wire.ConfigurationDelta {
	changes := append(slices.Clone(v.changes), added...)
	return changes[max(0, len(changes)-mostChanges):]
}

// Take applies a peer's answer; an error says that only the whole configuration helps.
func (v *Version) Take(answer *wire.ConfigurationAnswer) (*Version, error) {
	if answer.Full != nil {
		return v.Follow(answer.Full), nil
	}
	var chain []*wire.ConfigurationDelta
	reached := v.version()
	for _, change := range answer.Changes {
		if change.Version <= reached {
			continue
		}
		if change.Base != reached {
			return v, errors.Errorf("a change to version %d is on version %d, and %d is held", change.Version, change.Base, reached)
		}
		chain, reached = append(chain, change), change.Version
	}
	if len(chain) == 0 {
		return v, nil
	}
	if v == nil {
		return v, errors.Errorf("a change to version %d, and nothing is held", reached)
	}
	fact, err := applyAll(v.Fact, chain)
	if err != nil {
		return v, err
	}
	return &Version{fact, v.with(chain...)}, nil
}

// Answer gives a peer the changes since the version that it holds, or the whole configuration; nothing for one
// that takes the whole in chunks of an image.
func (v *Version) Answer(call *wire.ConfigurationCall) *wire.ConfigurationAnswer {
	if v.version() <= call.HeldVersion {
		return &wire.ConfigurationAnswer{}
	}
	if changes := v.since(call.HeldVersion); call.AcceptsChanges && len(changes) > 0 {
		return &wire.ConfigurationAnswer{Changes: changes}
	}
	if call.AcceptsChunks {
		return nil
	}
	return &wire.ConfigurationAnswer{Full: v.Fact}
}

// reaches tells whether changes lead from an older version to this one.
func (v *Version) reaches(older int64) bool {
	return older == v.version() || len(v.since(older)) > 0
}

// since gives the changes that lead from an older version to this one; none if they are not all kept, or too long.
func (v *Version) since(held int64) []*wire.ConfigurationDelta {
	text := 0
	for place := len(v.changes) - 1; place >= 0; place-- {
		if text += textIn(v.changes[place]); text > min(len(v.Fact.Body), mostAnswerText) {
			return nil
		}
		if v.changes[place].Base == held {
			return v.changes[place:]
		}
	}
	return nil
}
