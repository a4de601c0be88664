package replication

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// A leader counts as slow while its own disk takes at least slowDelay, and slowFactor times as long as that of the quickest
	// follower; after slowDuration of that it hands the key on.
	slowDelay    = 30 * time.Millisecond
	slowFactor   = 3
	slowDuration = time.Second
	// healthyDuration is how long a leader must not have been slow to count as healthy before.
	healthyDuration = 5 * time.Second
	// minLeadershipWhenSlow is how long a leader that was never healthy keeps the key.
	minLeadershipWhenSlow = 30 * time.Second
	// campaignPause is how long a steward that gave a key up leaves it to others.
	campaignPause = 6 * time.Second
	// averageWeight is the divisor by which a sample moves a running average.
	averageWeight = 4
)

// slownessWatch tells a leader that became slow from one that is slowed by the key itself: one that has never been healthy
// since it took the key over would only pass the trouble on.
type slownessWatch struct {
	openedAt     time.Duration
	healthySince time.Duration
	slowSince    time.Duration
	wasHealthy   bool
}

func newSlownessWatch(now time.Duration) slownessWatch {
	return slownessWatch{openedAt: now, healthySince: now, slowSince: now}
}

// observe takes whether the leader is slow at this moment, and tells whether it has been so for long enough to go.
func (w *slownessWatch) observe(now time.Duration, isSlow bool) (shouldTransfer bool) {
	if !isSlow {
		w.slowSince = now
		w.wasHealthy = w.wasHealthy || now-w.healthySince >= healthyDuration
		return false
	}
	w.healthySince = now
	return now-w.slowSince >= slowDuration && (w.wasHealthy || now-w.openedAt >= minLeadershipWhenSlow)
}

func updateAverage(average *time.Duration, sample time.Duration) {
	*average += (sample - *average) / averageWeight
}

// noteSyncDelay takes how long a change took from its arrival to its sync: as a peer says, or for the leader's own disk as
// the leader finds it, with the waits for its own goroutines.
func (e *Engine) noteSyncDelay(follower *followerProgress, answer wire.AppendAnswer, roundTrip time.Duration) {
	delay := time.Duration(answer.DelayUs) * time.Microsecond
	if follower.disk == e.disk {
		delay = roundTrip
	}
	follower.hasSyncDelay = delay > 0
	updateAverage(&follower.syncDelay, delay)
}

// maybeTransferLeadership gives the key to a follower if this steward has long been clearly slower than it.
func (e *Engine) maybeTransferLeadership() {
	own, successor := e.followerOf(e.disk), e.quickestFollower()
	if successor == nil {
		return
	}
	isSlow := own.syncDelay >= slowDelay && own.syncDelay >= slowFactor*successor.syncDelay
	if e.slowness.observe(e.clock.Monotonic(), isSlow) {
		e.transferLeadership(own, successor)
	}
}

// quickestFollower is the live follower with the shortest sync delay, as far as it says and has caught up.
func (e *Engine) quickestFollower() *followerProgress {
	var quickest *followerProgress
	for _, disk := range e.voters.set.Current {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.hasSyncDelay || !e.isWithinLag(voter, e.timing.Lease/2) {
			continue
		}
		if quickest == nil || voter.syncDelay < quickest.syncDelay {
			quickest = voter
		}
	}
	return quickest
}

// maySucceed tells whether a follower is another steward's that answers and stays.
func (e *Engine) maySucceed(voter *followerProgress) bool {
	return voter != nil && voter.disk != e.disk && !voter.isLeaving && e.clock.Monotonic()-voter.lastContact <= e.timing.LostAfter/2
}

func (e *Engine) transferLeadership(own, successor *followerProgress) {
	e.log.Info("handing the key over to a quicker peer", "key", e.key, "delay_ms", own.syncDelay.Milliseconds(),
		"successor", successor.disk, "successor_delay_ms", successor.syncDelay.Milliseconds())
	e.release("slower than its followers", successor.disk)
	e.campaignState.nextAt = e.clock.Monotonic() + campaignPause
}
