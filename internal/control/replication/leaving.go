package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// maxLeaveWait is how long a leader that leaves waits for the changes that are under way.
const maxLeaveWait = 200 * time.Millisecond

// leaveRequest tells that this process is about to end, and until when its leader may wait for pending commits.
type leaveRequest struct {
	isRequested bool
	deadline    time.Duration
}

// Leave hands the key over to the follower that holds most, once no change is under way or a moment has passed; no
// campaign begins after it.
func (e *Engine) Leave() {
	e.leaving = leaveRequest{isRequested: true, deadline: e.clock.Monotonic() + maxLeaveWait}
	if e.phase == phaseCandidate {
		e.backOff()
	}
	e.maybeLeave()
}

// maybeLeave gives the key back if this steward is leaving and has no change under way, or has waited long enough.
func (e *Engine) maybeLeave() {
	isLeading := e.phase >= phaseFetching
	if !e.leaving.isRequested || !isLeading || len(e.commits.pending) > 0 && e.clock.Monotonic() < e.leaving.deadline {
		return
	}
	e.releaseToFurthest("leaving in order")
}

// releaseToFurthest gives the key back and names the voter that holds most as successor, if any may succeed.
func (e *Engine) releaseToFurthest(reason string) {
	successor := ""
	if furthest := e.furthestFollower(); furthest != nil {
		successor = furthest.disk
	} else {
		e.log.Info("no follower has caught up to succeed", "key", e.key, "epoch", e.epoch)
	}
	e.release(reason, successor)
}

// isRemoved tells whether the committed voters are without this leader's own disk, as when it was elected by those of a
// change that was replacing it. It sends its own disk nothing any more, and so has no snapshot for others.
func (e *Engine) isRemoved() bool {
	isSettled := !quorum.IsJoint(e.voters.set) && e.voters.isCommitted(e.commits.index)
	return e.phase == phaseLeading && isSettled && !slices.Contains(e.voters.set.Current, e.disk)
}

// furthestFollower is the follower among the voters that holds most of what this leader has proposed, if any may succeed it.
func (e *Engine) furthestFollower() *followerProgress {
	var furthest *followerProgress
	for _, disk := range e.voters.set.Current {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.isPositionKnown || voter.acked.Epoch != e.epoch {
			continue
		}
		if furthest == nil || furthest.acked.Below(voter.acked) {
			furthest = voter
		}
	}
	return furthest
}

// release steps down and gives the lease back, so that a peer may ask at once; the successor is the disk whose steward should
// ask first, or empty.
func (e *Engine) release(reason, successor string) {
	call := wire.AppendCall{Key: e.key, Epoch: e.epoch, Leader: e.name, Disk: e.disk, Release: true, Successor: successor}
	disks := quorum.Disks(e.voters.set)
	e.stepDown(reason)
	for _, disk := range disks {
		e.transport.Append(disk, call, func(wire.AppendAnswer, error) {})
	}
}
