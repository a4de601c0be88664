package replication

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

var ErrLeadershipLost = errors.New("the key has another owner now")

// Leadership is the right to change a key under one epoch. Its methods belong to the engine's goroutine, but for those that
// say otherwise.
type Leadership struct {
	engine *Engine
	epoch  uint64
	clock  clock.Clock

	isOver atomic.Bool
	// leaseUntil is when the lease ends on the steady clock, as far as answers have come.
	leaseUntil atomic.Int64
	// wallOffsets are the clocks of the other voters, less the steady clock, in milliseconds; the values never change.
	wallOffsets atomic.Pointer[[]int64]
}

func newLeadership(engine *Engine) *Leadership {
	leadership := &Leadership{engine: engine, epoch: engine.epoch, clock: engine.clock}
	leadership.publish()
	return leadership
}

// publish lets all goroutines know what the engine has learnt of the lease and of the voters' clocks.
func (l *Leadership) publish() {
	l.leaseUntil.Store(int64(l.engine.leaseUntil()))
	var offsets []int64
	for disk, follower := range l.engine.followers {
		if disk != l.engine.disk && follower.hasWallOffset {
			offsets = append(offsets, follower.wallOffsetMs)
		}
	}
	l.wallOffsets.Store(&offsets)
}

// Epoch is the epoch of this leadership; no other leadership of the key has the same. Any goroutine may ask.
func (l *Leadership) Epoch() uint64 { return l.epoch }

// IsOpen tells whether the leadership has not ended yet. Any goroutine may ask.
func (l *Leadership) IsOpen() bool { return !l.isOver.Load() }

// Commit makes a change durable on a majority; done gets an error if the key was lost first.
func (l *Leadership) Commit(ops []wire.Op, done func(error)) {
	if !l.IsOpen() {
		done(ErrLeadershipLost)
		return
	}
	l.engine.propose(ops, nil, done)
}

// HasLease tells whether a majority vouches, now, that there is no other owner. Any goroutine may ask.
func (l *Leadership) HasLease() bool {
	return l.IsOpen() && l.clock.Monotonic() < time.Duration(l.leaseUntil.Load())
}

// Voters are the disks that vote on the key now.
func (l *Leadership) Voters() []string { return slices.Clone(l.engine.voters.Now) }

// WallMs is the median of the voters' clocks, carried on the steady clock. Any goroutine may ask.
func (l *Leadership) WallMs() int64 {
	steadyMs := l.clock.Monotonic().Milliseconds()
	offsets := append([]int64{l.clock.WallMs() - steadyMs}, *l.wallOffsets.Load()...)
	slices.Sort(offsets)
	return steadyMs + offsets[(len(offsets)-1)/2]
}
