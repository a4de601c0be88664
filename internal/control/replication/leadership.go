package replication

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

// ErrLeadershipLost is the error of a commit that was pending when its leadership ended. A later leader may still commit the change.
const ErrLeadershipLost = errors.ConstError("the leadership of the key is lost")

// Leadership is the right to change a key under one epoch. Its methods run on the engine's goroutine unless they say otherwise.
type Leadership struct {
	engine *Engine
	epoch  uint64
	clock  clock.Clock

	isOver atomic.Bool
	// commitIndex is the index of the last change that is known to be committed.
	commitIndex atomic.Uint64
	// leaseUntil is the end of the lease on the monotonic clock, in nanoseconds.
	leaseUntil atomic.Int64
	// wallOffsets holds, for each follower except the leader's own disk, its time of day minus this process's monotonic clock, in
	// milliseconds. The slice is replaced, never modified.
	wallOffsets atomic.Pointer[[]int64]
}

func newLeadership(engine *Engine) *Leadership {
	leadership := &Leadership{engine: engine, epoch: engine.epoch, clock: engine.clock}
	leadership.commitIndex.Store(engine.commits.index)
	leadership.publish()
	return leadership
}

// publish makes the current lease and the wall offsets available to other goroutines.
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

// Epoch returns the epoch of this leadership. No other leadership of the key has the same epoch. Epoch may run on any goroutine.
func (l *Leadership) Epoch() uint64 { return l.epoch }

// CommitIndex returns the index of the last change that is known to be committed. It may run on any goroutine.
func (l *Leadership) CommitIndex() uint64 { return l.commitIndex.Load() }

// IsOpen reports whether the leadership has not ended yet. It may run on any goroutine.
func (l *Leadership) IsOpen() bool { return !l.isOver.Load() }

// Commit makes a change durable on a quorum. done is called with nil after that, or with ErrLeadershipLost if the leadership ends first.
func (l *Leadership) Commit(ops []wire.Op, done func(error)) {
	if !l.IsOpen() {
		done(ErrLeadershipLost)
		return
	}
	l.engine.propose(ops, nil, done)
}

// HasLease reports whether the leadership now holds a lease from a quorum, so that there is no other leader. It may run on any
// goroutine.
func (l *Leadership) HasLease() bool {
	return l.IsOpen() && l.clock.Monotonic() < time.Duration(l.leaseUntil.Load())
}

// Voters returns the disks of the current voter set, without the old voters of a joint set.
func (l *Leadership) Voters() []string { return slices.Clone(l.engine.voters.set.Current) }

// WallMs returns the time of day in milliseconds since 1970. It is the median of the followers' and this process's clocks, advanced
// with the monotonic clock, so that a jump of a single clock has no effect. It may run on any goroutine.
func (l *Leadership) WallMs() int64 {
	monotonicMs := l.clock.Monotonic().Milliseconds()
	offsets := append([]int64{l.clock.WallMs() - monotonicMs}, *l.wallOffsets.Load()...)
	slices.Sort(offsets)
	return monotonicMs + offsets[(len(offsets)-1)/2]
}
