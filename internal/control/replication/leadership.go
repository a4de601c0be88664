package replication

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

var errLost = errors.New("the key has another owner now")

// Leadership is the right to change a key under one epoch. Its methods belong to the engine's goroutine, but for those that
// say otherwise.
type Leadership struct {
	engine *Engine
	epoch  uint64
	clock  clock.Clock

	isOver atomic.Bool
	// leaseEnd is when the lease ends on the steady clock, as far as answers have come.
	leaseEnd atomic.Int64
	// wallOffsets are the clocks of the other voters, less the steady clock, in milliseconds; the values never change.
	wallOffsets atomic.Pointer[[]int64]
}

func newLeadership(engine *Engine) *Leadership {
	leadership := &Leadership{engine: engine, epoch: engine.epoch, clock: engine.clock}
	leadership.publish()
	return leadership
}

// publish lets all goroutines know what the engine has learnt of the lease and of the voters' clocks.
func (t *Leadership) publish() {
	t.leaseEnd.Store(int64(t.engine.leaseEnd()))
	var offsets []int64
	for disk, one := range t.engine.followers {
		if disk != t.engine.disk && one.hasWall {
			offsets = append(offsets, one.wallOffset)
		}
	}
	t.wallOffsets.Store(&offsets)
}

// Epoch is the epoch of this leadership; no other leadership of the key has the same. Any goroutine may ask.
func (t *Leadership) Epoch() uint64 { return t.epoch }

// IsOpen tells whether the leadership has not ended yet. Any goroutine may ask.
func (t *Leadership) IsOpen() bool { return !t.isOver.Load() }

// Commit makes a change durable on a majority; done gets an error if the key was lost first.
func (t *Leadership) Commit(ops []wire.Op, done func(error)) {
	if !t.IsOpen() {
		done(errLost)
		return
	}
	t.engine.propose(ops, nil, done)
}

// HasLease tells whether a majority vouches, now, that there is no other owner. Any goroutine may ask.
func (t *Leadership) HasLease() bool {
	return t.IsOpen() && t.clock.Monotonic() < time.Duration(t.leaseEnd.Load())
}

// Voters are the disks that vote on the key now.
func (t *Leadership) Voters() []string { return slices.Clone(t.engine.set.Now) }

// WallMs is the median of the voters' clocks, carried on the steady clock. Any goroutine may ask.
func (t *Leadership) WallMs() int64 {
	steady := t.clock.Monotonic().Milliseconds()
	offsets := append([]int64{t.clock.WallMs() - steady}, *t.wallOffsets.Load()...)
	slices.Sort(offsets)
	return steady + offsets[(len(offsets)-1)/2]
}
