package replication

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	slowEnough = 30 * time.Millisecond
	timesWorse = 3
	worseFor   = time.Second
	wellFor    = 5 * time.Second
	keptAnyhow = 30 * time.Second
	standBack  = 6 * time.Second

	// leaveWait is how long a leader that leaves waits for the changes that are under way.
	leaveWait = 200 * time.Millisecond
)

func smooth(held *time.Duration, fresh time.Duration) { *held += (fresh - *held) / 4 }

// noteDelay takes how long a change took from its arrival to its sync: as a sibling says, or at the owner's own disk
// as the owner finds it, with the waits for its own goroutines.
func (e *Engine) noteDelay(one *follower, answer wire.AppendAnswer, roundTrip time.Duration) {
	delay := time.Duration(answer.DelayUs) * time.Microsecond
	if one.disk == e.disk {
		delay = roundTrip
	}
	one.hasDelay = delay > 0
	smooth(&one.delay, delay)
}

// considerHandover gives the key to a follower if this steward has long been clearly slower than it. One that has
// never been well since it took the key over is slowed by the key itself, and keeps it for long.
func (e *Engine) considerHandover() {
	now := e.clock.Monotonic()
	own, successor := e.follow(e.disk), e.quickest()
	if successor == nil {
		return
	}
	if own.delay < slowEnough || own.delay < timesWorse*successor.delay {
		e.worseSince = now
		e.wasWell = e.wasWell || now-e.wellSince >= wellFor
		return
	}
	e.wellSince = now
	if now-e.worseSince >= worseFor && (e.wasWell || now-e.openedAt >= keptAnyhow) {
		e.handOver(own, successor)
	}
}

// quickest is the live follower with the shortest delay of its own, as far as it says and has caught up.
func (e *Engine) quickest() *follower {
	var best *follower
	for _, disk := range e.set.Now {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.hasDelay || !e.followsWithin(voter, e.timing.Lease/2) {
			continue
		}
		if best == nil || voter.delay < best.delay {
			best = voter
		}
	}
	return best
}

// maySucceed tells whether a follower is another steward's that answers and stays.
func (e *Engine) maySucceed(voter *follower) bool {
	return voter != nil && voter.disk != e.disk && !voter.isLeaving && e.clock.Monotonic()-voter.lastContact <= e.timing.LostAfter/2
}

// considerLeaving gives the key back if this steward is leaving and has no change under way, or has waited long enough.
func (e *Engine) considerLeaving() {
	isLeading := e.phase >= phaseFetching
	if !e.isLeaving || !isLeading || len(e.waiting) > 0 && e.clock.Monotonic() < e.leaveBy {
		return
	}
	e.releaseToFurthest("leaving in order")
}

// releaseToFurthest gives the key back and names the voter that holds most as successor, if any may succeed.
func (e *Engine) releaseToFurthest(why string) {
	successor := ""
	if best := e.furthest(); best != nil {
		successor = best.disk
	} else {
		e.log.Info("no follower that has caught up can take the key over", "key", e.key, "epoch", e.epoch)
	}
	e.release(why, successor)
}

// isVotedOut tells whether the committed voters are without this leader's own disk, as when it was elected by those of a
// change that was replacing it. It sends its own disk nothing any more, and so has no snapshot for others.
func (e *Engine) isVotedOut() bool {
	isSettled := len(e.set.Old) == 0 && e.setIndex <= e.committed
	return e.phase == phaseLeading && isSettled && !slices.Contains(e.set.Now, e.disk)
}

// furthest is the follower among the voters that holds most of what this leader has proposed, if any may succeed it.
func (e *Engine) furthest() *follower {
	var best *follower
	for _, disk := range e.set.Now {
		voter := e.followers[disk]
		if !e.maySucceed(voter) || !voter.isKnown || voter.acked.Epoch != e.epoch {
			continue
		}
		if best == nil || best.acked.Below(voter.acked) {
			best = voter
		}
	}
	return best
}

func (e *Engine) handOver(own, successor *follower) {
	e.log.Info("handing the key on, as a sibling is quicker", "key", e.key, "delay_ms", own.delay.Milliseconds(),
		"successor", successor.disk, "successor_delay_ms", successor.delay.Milliseconds())
	e.release("slower than its followers", successor.disk)
	e.nextTry = e.clock.Monotonic() + standBack
}

// release steps down and gives the lease back, so that a sibling may ask at once.
func (e *Engine) release(why, successor string) {
	disks, epoch := disksOf(e.set), e.epoch
	e.stepDown(why)
	for _, disk := range disks {
		e.links.Append(disk, wire.AppendCall{Key: e.key, Epoch: epoch, Owner: e.name, Disk: e.disk, Release: true, Successor: successor},
			func(wire.AppendAnswer, error) {})
	}
}
