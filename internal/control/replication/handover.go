package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	slowDelay = 30 * time.Millisecond
	slowFactor = 3
	slowDuration   = time.Second
	healthyDuration    = 5 * time.Second
	minLeadershipWhenSlow = 30 * time.Second
	campaignPause  = 6 * time.Second

	// maxLeaveWait is how long a leader that leaves waits for the changes that are under way.
	maxLeaveWait = 200 * time.Millisecond
)

func updateAverage(average *time.Duration, sample time.Duration) { *average += (sample - *average) / 4 }

// noteSyncDelay takes how long a change took from its arrival to its sync: as a sibling says, or at the owner's own disk
// as the owner finds it, with the waits for its own goroutines.
func (e *Engine) noteSyncDelay(follower *followerProgress, answer wire.AppendAnswer, roundTrip time.Duration) {
	delay := time.Duration(answer.DelayUs) * time.Microsecond
	if follower.disk == e.disk {
		delay = roundTrip
	}
	follower.hasSyncDelay = delay > 0
	updateAverage(&follower.syncDelay, delay)
}

// maybeHandOver gives the key to a follower if this steward has long been clearly slower than it. One that has
// never been well since it took the key over is slowed by the key itself, and keeps it for long.
func (e *Engine) maybeHandOver() {
	now := e.clock.Monotonic()
	own, successor := e.followerOf(e.disk), e.quickestFollower()
	if successor == nil {
		return
	}
	if own.syncDelay < slowDelay || own.syncDelay < slowFactor*successor.syncDelay {
		e.worseSince = now
		e.wasWell = e.wasWell || now-e.wellSince >= healthyDuration
		return
	}
	e.wellSince = now
	if now-e.worseSince >= slowDuration && (e.wasWell || now-e.openedAt >= minLeadershipWhenSlow) {
		e.handOver(own, successor)
	}
}

// quickestFollower is the live follower with the shortest delay of its own, as far as it says and has caught up.
func (e *Engine) quickestFollower() *followerProgress {
	var best *followerProgress
	for _, disk := range e.voters.Now {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.hasSyncDelay || !e.isWithinLag(voter, e.timing.Lease/2) {
			continue
		}
		if best == nil || voter.syncDelay < best.syncDelay {
			best = voter
		}
	}
	return best
}

// maySucceed tells whether a follower is another steward's that answers and stays.
func (e *Engine) maySucceed(voter *followerProgress) bool {
	return voter != nil && voter.disk != e.disk && !voter.isLeaving && e.clock.Monotonic()-voter.lastContact <= e.timing.LostAfter/2
}

// maybeLeave gives the key back if this steward is leaving and has no change under way, or has waited long enough.
func (e *Engine) maybeLeave() {
	isLeading := e.phase >= phaseFetching
	if !e.isLeaving || !isLeading || len(e.pendingCommits) > 0 && e.clock.Monotonic() < e.leaveDeadline {
		return
	}
	e.releaseToFurthest("leaving in order")
}

// releaseToFurthest gives the key back and names the voter that holds most as successor, if any may succeed.
func (e *Engine) releaseToFurthest(reason string) {
	successor := ""
	if best := e.furthestFollower(); best != nil {
		successor = best.disk
	} else {
		e.log.Info("no follower that has caught up can take the key over", "key", e.key, "epoch", e.epoch)
	}
	e.release(reason, successor)
}

// isRemoved tells whether the committed voters are without this leader's own disk, as when it was elected by those of a
// change that was replacing it. It sends its own disk nothing any more, and so has no snapshot for others.
func (e *Engine) isRemoved() bool {
	isSettled := len(e.voters.Old) == 0 && e.votersIndex <= e.commitIndex
	return e.phase == phaseLeading && isSettled && !slices.Contains(e.voters.Now, e.disk)
}

// furthestFollower is the follower among the voters that holds most of what this leader has proposed, if any may succeed it.
func (e *Engine) furthestFollower() *followerProgress {
	var best *followerProgress
	for _, disk := range e.voters.Now {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.isPositionKnown || voter.acked.Epoch != e.epoch {
			continue
		}
		if best == nil || best.acked.Below(voter.acked) {
			best = voter
		}
	}
	return best
}

func (e *Engine) handOver(own, successor *followerProgress) {
	e.log.Info("handing the key on, as a sibling is quicker", "key", e.key, "delay_ms", own.syncDelay.Milliseconds(),
		"successor", successor.disk, "successor_delay_ms", successor.syncDelay.Milliseconds())
	e.release("slower than its followers", successor.disk)
	e.nextCampaignAt = e.clock.Monotonic() + campaignPause
}

// release steps down and gives the lease back, so that a sibling may ask at once.
func (e *Engine) release(reason, successor string) {
	disks, epoch := disksOf(e.voters), e.epoch
	e.stepDown(reason)
	for _, disk := range disks {
		e.transport.Append(disk, wire.AppendCall{Key: e.key, Epoch: epoch, Owner: e.name, Disk: e.disk, Release: true, Successor: successor},
			func(wire.AppendAnswer, error) {})
	}
}
