package replication

import (
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
)

var errLost = errors.New("the key has another owner now")

// Leadership is the right to change a key under one epoch.
type Leadership struct {
	engine *Engine
	epoch  uint64
	isOpen bool
}

// Epoch is the epoch of this leadership; no other leadership of the key has the same.
func (t *Leadership) Epoch() uint64 { return t.epoch }

// Commit makes a change durable on a majority; done gets an error if the key was lost first.
func (t *Leadership) Commit(ops []peerapi.Op, done func(error)) {
	if !t.isOpen {
		done(errLost)
		return
	}
	t.engine.propose(ops, nil, done)
}

// HasLease tells whether a majority vouches, now, that there is no other owner.
func (t *Leadership) HasLease() bool { return t.isOpen && t.engine.hasLease() }

// Voters are the disks that vote on the key now.
func (t *Leadership) Voters() []string { return slices.Clone(t.engine.set.Now) }

// WallMs is the median of the voters' clocks, carried on the steady clock.
func (t *Leadership) WallMs() int64 {
	e := t.engine
	steady := pulse.InMs(e.clock.Steady())
	offsets := []int64{e.clock.WallMs() - steady}
	for disk, one := range e.followers {
		if disk != e.disk && one.hasWall {
			offsets = append(offsets, one.wallOffset)
		}
	}
	slices.Sort(offsets)
	return steady + offsets[(len(offsets)-1)/2]
}
