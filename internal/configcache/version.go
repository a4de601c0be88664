package configcache

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/peerapi"
)

const (
	// mostChanges are kept, and sent in one answer if their text is at most mostAnswerText bytes: beyond that the
	// compressed whole is shorter.
	mostChanges    = 32
	mostAnswerText = 16 << 10
)

// Version is a plan that is held, and the changes that led to it, each on the one before; it is never changed.
type Version struct {
	Fact    *peerapi.Configuration
	changes []*peerapi.ConfigurationDelta
}

func (e *Version) version() int64 {
	if e == nil {
		return 0
	}
	return e.Fact.Version
}

// Follow gives the edition of a newer fact; an older one changes nothing.
func (e *Version) Follow(fact *peerapi.Configuration) *Version {
	if fact.Version <= e.version() {
		return e
	}
	if e == nil {
		return &Version{Fact: fact}
	}
	change := changeOf(e.Fact, fact)
	if change == nil {
		return &Version{Fact: fact}
	}
	return &Version{fact, e.with(change)}
}

func (e *Version) with(added ...*peerapi.ConfigurationDelta) []*peerapi.ConfigurationDelta {
	changes := append(slices.Clone(e.changes), added...)
	return changes[max(0, len(changes)-mostChanges):]
}

// Take applies a sibling's answer; an error says that only the whole plan helps.
func (e *Version) Take(answer *peerapi.ConfigurationAnswer) (*Version, error) {
	if answer.Fact != nil {
		return e.Follow(answer.Fact), nil
	}
	var chain []*peerapi.ConfigurationDelta
	reached := e.version()
	for _, change := range answer.Changes {
		if change.Version <= reached {
			continue
		}
		if change.Base != reached {
			return e, errors.Errorf("a change to version %d is on version %d, and %d is held", change.Version, change.Base, reached)
		}
		chain, reached = append(chain, change), change.Version
	}
	if len(chain) == 0 {
		return e, nil
	}
	if e == nil {
		return e, errors.Errorf("a change to version %d, and nothing is held", reached)
	}
	fact, err := applyAll(e.Fact, chain)
	if err != nil {
		return e, err
	}
	return &Version{fact, e.with(chain...)}, nil
}

// Answer gives a sibling the changes since the version that it holds, or the whole configuration; nothing for one
// that takes the whole in chunks of an image.
func (e *Version) Answer(call *peerapi.ConfigurationCall) *peerapi.ConfigurationAnswer {
	if e.version() <= call.Held {
		return &peerapi.ConfigurationAnswer{}
	}
	if changes := e.since(call.Held); call.TakesChanges && len(changes) > 0 {
		return &peerapi.ConfigurationAnswer{Changes: changes}
	}
	if call.TakesChunks {
		return nil
	}
	return &peerapi.ConfigurationAnswer{Fact: e.Fact}
}

// reaches tells whether changes lead from an older version to this one.
func (e *Version) reaches(older int64) bool {
	return older == e.version() || len(e.since(older)) > 0
}

func (e *Version) since(held int64) []*peerapi.ConfigurationDelta {
	text := 0
	for place := len(e.changes) - 1; place >= 0; place-- {
		if text += textIn(e.changes[place]); text > min(len(e.Fact.Body), mostAnswerText) {
			return nil
		}
		if e.changes[place].Base == held {
			return e.changes[place:]
		}
	}
	return nil
}
