package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// maxLeaveWait is how long a leader that shuts down waits for its pending commits.
const maxLeaveWait = 200 * time.Millisecond

// leaveRequest records that this process is shutting down, and the deadline for pending commits.
type leaveRequest struct {
	isRequested bool
	deadline    time.Duration
	// isRetiring is set while this machine is being emptied. The process runs on until other disks have replaced its own.
	isRetiring bool
}

// Leave prepares the shutdown of this process: if the engine leads, it transfers the key to the most up-to-date follower once no commit
// is pending, or after maxLeaveWait. It starts no further campaign.
func (e *Engine) Leave() {
	e.leaving.isRequested, e.leaving.deadline = true, e.clock.Monotonic()+maxLeaveWait
	if e.phase == phaseCandidate {
		e.backOff()
	}
	e.maybeLeave()
}

// Retire prepares the removal of this machine, whose process runs on meanwhile: if the engine leads, it transfers the key to a voter that
// stays. Until there is such a voter it continues to lead, and it campaigns if none of the others does, since only a leader can replace the
// voters. So the key keeps a leader even if all its voters retire at once.
func (e *Engine) Retire() {
	e.leaving.isRetiring = true
	e.maybeLeave()
}

// retiringDelay is how much longer a retiring voter waits for a campaign of the others than it would otherwise.
func (e *Engine) retiringDelay() time.Duration {
	if !e.leaving.isRetiring {
		return 0
	}
	return e.timing.Lease/4 + 2*e.timing.Stagger
}

// maybeTransferRetiring transfers the key of a retiring machine to the most up-to-date voter that stays, if there is one, once no commit is
// pending or after maxLeaveWait.
func (e *Engine) maybeTransferRetiring() {
	now := e.clock.Monotonic()
	if e.phase != phaseLeading || !e.hasOnlyVoters() || e.mostUpToDateFollower() == nil {
		e.leaving.deadline = now + maxLeaveWait
		return
	}
	if len(e.commits.pending) == 0 || now >= e.leaving.deadline {
		e.releaseToMostUpToDate("this machine is being emptied")
	}
}

// hasOnlyVoters reports whether no change of voters is in progress and all disks that were replaced have been told so. Another leader would
// not tell them.
func (e *Engine) hasOnlyVoters() bool {
	for disk := range e.followers {
		if !quorum.Contains(e.voters.set, disk) {
			return false
		}
	}
	return !quorum.IsJoint(e.voters.set) && e.voters.isCommitted(e.commits.index)
}

// maybeLeave releases the key if a leave was requested and no commit is pending or the deadline has passed, or if this machine is being
// emptied and another voter can lead.
func (e *Engine) maybeLeave() {
	if e.leaving.isRetiring && !e.leaving.isRequested {
		e.maybeTransferRetiring()
		return
	}
	hasWonElection := e.phase >= phaseFetching
	if !e.leaving.isRequested || !hasWonElection || len(e.commits.pending) > 0 && e.clock.Monotonic() < e.leaving.deadline {
		return
	}
	e.releaseToMostUpToDate("this process is shutting down")
}

// releaseToMostUpToDate releases the key and names the most up-to-date eligible voter as successor, if there is one.
func (e *Engine) releaseToMostUpToDate(reason string) {
	successor := ""
	if mostUpToDate := e.mostUpToDateFollower(); mostUpToDate != nil {
		successor = mostUpToDate.disk
	} else {
		e.log.Info("no eligible successor for the key", "key", e.key, "epoch", e.epoch)
	}
	e.release(reason, successor)
}

// isRemoved reports whether the committed voter set lacks this leader's own disk. This happens if the leader was elected during a
// voter change that replaces its disk. Such a leader no longer replicates to its own disk, and so can't read a snapshot for others.
func (e *Engine) isRemoved() bool {
	isSettled := !quorum.IsJoint(e.voters.set) && e.voters.isCommitted(e.commits.index)
	return e.phase == phaseLeading && isSettled && !slices.Contains(e.voters.set.Current, e.disk)
}

// mostUpToDateFollower returns the eligible voter that holds the most changes of this epoch; nil if there is none.
func (e *Engine) mostUpToDateFollower() *followerProgress {
	var mostUpToDate *followerProgress
	for _, disk := range e.voters.set.Current {
		voter := e.followers[disk]
		if !e.isEligibleSuccessor(voter) || !voter.isPositionKnown || voter.acked.Epoch != e.epoch {
			continue
		}
		if mostUpToDate == nil || mostUpToDate.acked.Below(voter.acked) {
			mostUpToDate = voter
		}
	}
	return mostUpToDate
}

// release steps down and releases the lease at the voters, so that another candidate can campaign at once. successor is the disk
// that should campaign first, or empty.
func (e *Engine) release(reason, successor string) {
	call := wire.AppendCall{Key: e.key, Epoch: e.epoch, Leader: e.name, Disk: e.disk, Release: true, Successor: successor}
	disks := quorum.Disks(e.voters.set)
	e.stepDown(reason)
	for _, disk := range disks {
		e.transport.Append(disk, call, func(wire.AppendAnswer, error) {})
	}
}
