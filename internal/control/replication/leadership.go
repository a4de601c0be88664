package replication

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// ErrLeadershipLost ends a commit whose leadership is over. The change may still be committed by a later leader, or may not.
const ErrLeadershipLost = errors.ConstError("the leadership of the key is lost")

// Leadership is the right to change a key under one epoch. Its methods belong to the engine's goroutine, but for those that
// say otherwise.
type Leadership struct {
	engine *Engine
	epoch  uint64
	clock  clock.Clock

	isOver atomic.Bool
	// leaseUntil is when the lease ends on the monotonic clock, in nanoseconds, as far as answers have come.
	leaseUntil atomic.Int64
	// wallOffsets are the times of day of the other voters less the monotonic clock, in milliseconds; the values never change.
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

// Commit makes a change durable on a quorum; done gets ErrLeadershipLost if the leadership ends first.
func (l *Leadership) Commit(ops []wire.Op, done func(error)) {
	if !l.IsOpen() {
		done(ErrLeadershipLost)
		return
	}
	l.engine.propose(ops, nil, done)
}

// HasLease tells whether a quorum vouches, now, that there is no other leader. Any goroutine may ask.
func (l *Leadership) HasLease() bool {
	return l.IsOpen() && l.clock.Monotonic() < time.Duration(l.leaseUntil.Load())
}

// Voters are the disks that vote on the key now.
func (l *Leadership) Voters() []string { return slices.Clone(l.engine.voters.set.Current) }

// WallMs is the time of day in milliseconds since 1970: the median of the voters' clocks, carried on the monotonic clock, so
// that a single clock that jumps changes nothing. Any goroutine may ask.
func (l *Leadership) WallMs() int64 {
	monotonicMs := l.clock.Monotonic().Milliseconds()
	offsets := append([]int64{l.clock.WallMs() - monotonicMs}, *l.wallOffsets.Load()...)
	slices.Sort(offsets)
	return monotonicMs + offsets[(len(offsets)-1)/2]
}
