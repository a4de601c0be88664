package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// A leader counts as slow while its own sync delay is at least slowDelay, and at least slowFactor times that of the fastest
	// follower. After slowDuration of that it transfers the leadership.
	slowDelay    = 30 * time.Millisecond
	slowFactor   = 3
	slowDuration = time.Second
	// healthyDuration is how long a leader must not have been slow to count as having been healthy.
	healthyDuration = 5 * time.Second
	// minLeadershipWhenSlow is how long a leader that was never healthy keeps the key.
	minLeadershipWhenSlow = 30 * time.Second
	// campaignPause is how long a steward does not campaign for a key that it released because its own disk was slow or hung.
	campaignPause = 6 * time.Second
	// averageWeight is the inverse of the weight of a new sample in an exponential moving average.
	averageWeight = 4
)

// slownessDetector distinguishes a leader that became slow from one that is slowed down by the load of the key itself. The load
// would move with the key, so a leader that was never healthy since it took over keeps the key for minLeadershipWhenSlow.
type slownessDetector struct {
	openedAt time.Duration
	// healthySince is when the leader was last observed to be slow, slowSince when it was last observed not to be. Both start at openedAt.
	healthySince time.Duration
	slowSince    time.Duration
	// wasHealthy is set once healthyDuration has passed without the leader being slow.
	wasHealthy bool
}

func newSlownessDetector(now time.Duration) slownessDetector {
	return slownessDetector{openedAt: now, healthySince: now, slowSince: now}
}

// observe records whether the leader is slow now, and reports whether it has been slow for long enough to transfer the leadership.
func (d *slownessDetector) observe(now time.Duration, isSlow bool) (shouldTransfer bool) {
	if !isSlow {
		d.slowSince = now
		d.wasHealthy = d.wasHealthy || now-d.healthySince >= healthyDuration
		return false
	}
	d.healthySince = now
	return now-d.slowSince >= slowDuration && (d.wasHealthy || now-d.openedAt >= minLeadershipWhenSlow)
}

func updateAverage(average *time.Duration, sample time.Duration) {
	*average += (sample - *average) / averageWeight
}

// recordSyncDelay updates a follower's average time from the arrival of a change to its sync. A peer reports this time in its answer.
// For the leader's own disk it is the round trip, which includes the time that the call waits for the goroutines of this process.
func (e *Engine) recordSyncDelay(follower *followerProgress, answer wire.AppendAnswer, roundTrip time.Duration) {
	delay := time.Duration(answer.DelayUs) * time.Microsecond
	if follower.disk == e.disk {
		delay = roundTrip
	}
	follower.hasSyncDelay = delay > 0
	updateAverage(&follower.syncDelay, delay)
}

// maybeTransferLeadership transfers the leadership to the fastest follower if this leader has been slow for slowDuration.
func (e *Engine) maybeTransferLeadership() {
	own, successor := e.followerOf(e.disk), e.fastestFollower()
	if successor == nil {
		return
	}
	isSlow := own.syncDelay >= slowDelay && own.syncDelay >= slowFactor*successor.syncDelay
	if e.slowness.observe(e.clock.Monotonic(), isSlow) {
		e.transferLeadership(own, successor)
	}
}

// fastestFollower returns the eligible voter with the shortest known sync delay that has caught up; nil if there is none.
func (e *Engine) fastestFollower() *followerProgress {
	var fastest *followerProgress
	for _, disk := range e.voters.set.Current {
		voter := e.followers[disk]
		if !e.isEligibleSuccessor(voter) || !voter.hasSyncDelay || !e.isWithinLag(voter, e.timing.Lease/2) {
			continue
		}
		if fastest == nil || voter.syncDelay < fastest.syncDelay {
			fastest = voter
		}
	}
	return fastest
}

// isEligibleSuccessor reports whether a voter belongs to another steward, is not shutting down and has answered within half of
// Timing.LostAfter.
func (e *Engine) isEligibleSuccessor(voter *followerProgress) bool {
	return voter != nil && voter.disk != e.disk && !voter.isLeaving && e.clock.Monotonic()-voter.lastContact <= e.timing.LostAfter/2
}

func (e *Engine) transferLeadership(own, successor *followerProgress) {
	e.log.Info("handing the key over to a quicker peer", "key", e.key, "delay_ms", own.syncDelay.Milliseconds(),
		"successor", successor.disk, "successor_delay_ms", successor.syncDelay.Milliseconds())
	e.release("slower than its followers", successor.disk)
	e.campaignState.nextAt = e.clock.Monotonic() + campaignPause
}
