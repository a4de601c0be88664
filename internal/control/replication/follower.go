package replication

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// followerProgress is what the leader knows of a disk that it sends changes to: a voter or a learner, its own disk too.
type followerProgress struct {
	disk string
	// acked is the position that the disk has said it holds; it counts only while isPositionKnown.
	acked           wire.LogPosition
	isPositionKnown bool
	// needsSnapshot tells that the log no longer leads on from where the disk stands.
	needsSnapshot bool

	// isBusy tells that a call is under way, concurrentHeartbeats how many heartbeats are under way beside it.
	isBusy               bool
	concurrentHeartbeats int
	// call is the call under way, overtakenCalls how many before it are no longer waited for and have not ended.
	call           outstandingCall
	overtakenCalls int
	sentAt         time.Duration
	// failures counts calls in a row that brought the follower no further; before pausedUntil it gets heartbeats only.
	failures    int
	pausedUntil time.Duration

	// lastContact is the last answer other than to a heartbeat beside a call, so that a disk that hangs counts as silent.
	lastContact time.Duration
	// leaseUntil is until when the disk vouches for this leader, counted from before the call that it answered was sent.
	leaseUntil time.Duration
	// wallOffsetMs is the follower's time of day less this process's monotonic clock; it counts only if hasWallOffset.
	wallOffsetMs  int64
	hasWallOffset bool
	// syncDelay is how long a change takes there until it is synced, on average; it counts only if hasSyncDelay.
	syncDelay    time.Duration
	hasSyncDelay bool

	// transfer is the snapshot under way to the follower, nextChunk the number of the chunk that it lacks next.
	transfer  *snapshotTransfer
	nextChunk int
	// retention is what is kept for it beyond the usual, from the begin of a transfer until it has caught up.
	retention retention
	// lacksChunkSupport tells that it is of a version that takes a snapshot in one call only.
	lacksChunkSupport bool

	// isLeaving tells that its process is about to end.
	isLeaving bool
}

// followerOf gives the follower of a disk, from now on if there is none yet.
func (e *Engine) followerOf(disk string) *followerProgress {
	follower := e.followers[disk]
	if follower == nil {
		follower = &followerProgress{disk: disk, lastContact: e.clock.Monotonic()}
		e.followers[disk] = follower
	}
	return follower
}

// sortedFollowers gives the followers in the order of their disks' names, so that a run can be repeated.
func (e *Engine) sortedFollowers() []*followerProgress {
	followers := make([]*followerProgress, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		followers = append(followers, e.followers[disk])
	}
	return followers
}

// isInContact tells whether the follower has answered within the time after which a voter counts as lost.
func (e *Engine) isInContact(follower *followerProgress) bool {
	return e.clock.Monotonic()-follower.lastContact < e.timing.LostAfter
}

// isWithinLag tells whether a follower lacks few changes, or none that is older than the given age.
func (e *Engine) isWithinLag(follower *followerProgress, age time.Duration) bool {
	if !follower.isPositionKnown || follower.acked.Epoch != e.epoch {
		return false
	}
	lacksFew := e.changes.last.Index-follower.acked.Index <= maxLag
	return lacksFew || e.progress.hadReached(follower.acked.Index, e.clock.Monotonic()-age)
}
