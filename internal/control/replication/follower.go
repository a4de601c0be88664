package replication

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// followerProgress is the leader's view of a disk that it replicates to: a voter or a learner, including its own disk.
type followerProgress struct {
	disk string
	// acked is the last position that the disk acknowledged. It is valid only while isPositionKnown is set.
	acked           wire.LogPosition
	isPositionKnown bool
	// needsSnapshot is set if the leader's log no longer contains the disk's position.
	needsSnapshot bool

	// hasCallInFlight is set while a call is in flight. concurrentHeartbeats is the number of heartbeats in flight beside it.
	hasCallInFlight      bool
	concurrentHeartbeats int
	// call is the latest call. abandonedCalls counts earlier calls that are still in flight but no longer waited for.
	call           outstandingCall
	abandonedCalls int
	// sentAt is when the latest call or heartbeat was sent.
	sentAt time.Duration
	// failures counts consecutive calls without effect. Until pausedUntil the follower gets heartbeats only.
	failures    int
	pausedUntil time.Duration

	// lastContact is the time of the last answer, or the time at which the follower was added if there is none yet. Answers to concurrent
	// heartbeats don't count, so that a disk that hangs counts as silent.
	lastContact time.Duration
	// leaseUntil is when the lease that the disk granted ends. It is counted from the moment at which the answered call was sent.
	leaseUntil time.Duration
	// wallOffsetMs is the follower's time of day minus this process's monotonic clock. It is valid only if hasWallOffset is set.
	wallOffsetMs  int64
	hasWallOffset bool
	// syncDelay is the average time that the follower takes to sync a change. It is valid only if hasSyncDelay is set.
	syncDelay    time.Duration
	hasSyncDelay bool

	// transfer is the snapshot that the follower is being sent; nil if there is none. nextChunk is the number of the next chunk that the
	// follower lacks.
	transfer  *snapshotTransfer
	nextChunk int
	// retention is the additional log tail that is kept for the follower, from the start of a transfer until it has caught up.
	retention retention
	// lacksChunkSupport is set if the follower's version accepts a snapshot only in a single call.
	lacksChunkSupport bool

	// isLeaving is set if the follower's process is shutting down.
	isLeaving bool
}

// followerOf returns the follower of a disk. It adds one if there is none yet.
func (e *Engine) followerOf(disk string) *followerProgress {
	follower := e.followers[disk]
	if follower == nil {
		follower = &followerProgress{disk: disk, lastContact: e.clock.Monotonic()}
		e.followers[disk] = follower
	}
	return follower
}

// sortedFollowers returns the followers ordered by disk name, so that simulations are reproducible.
func (e *Engine) sortedFollowers() []*followerProgress {
	followers := make([]*followerProgress, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		followers = append(followers, e.followers[disk])
	}
	return followers
}

// isInContact reports whether the follower has answered, or was added, within Timing.LostAfter.
func (e *Engine) isInContact(follower *followerProgress) bool {
	return e.clock.Monotonic()-follower.lastContact < e.timing.LostAfter
}

// isWithinLag reports whether a follower lacks at most maxLag changes, or only changes that are younger than age. It is false if the
// follower's position is unknown or belongs to an earlier epoch.
func (e *Engine) isWithinLag(follower *followerProgress, age time.Duration) bool {
	if !follower.isPositionKnown || follower.acked.Epoch != e.epoch {
		return false
	}
	lacksFew := e.changes.last.Index-follower.acked.Index <= maxLag
	return lacksFew || e.progress.hadReached(follower.acked.Index, e.clock.Monotonic()-age)
}
