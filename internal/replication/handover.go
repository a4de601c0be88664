package replication

import (
	"time"

	"gannetline/internal/peerapi"
)

const (
	slowEnough = 30 * time.Millisecond
	timesWorse = 3
	worseFor   = time.Second
	wellFor    = 5 * time.Second
	keptAnyhow = 30 * time.Second
	standBack  = 6 * time.Second
)

func smooth(held *time.Duration, fresh time.Duration) { *held += (fresh - *held) / 4 }

// noteDelay takes how long a change took from its arrival to its sync: as a sibling says, or at the owner's own disk
// as the owner finds it, with the waits for its own goroutines.
func (e *Engine) noteDelay(one *follower, answer peerapi.AppendAnswer, roundTrip time.Duration) {
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
	now := e.clock.Steady()
	own, heir := e.follow(e.disk), e.quickest()
	if heir == nil {
		return
	}
	if own.delay < slowEnough || own.delay < timesWorse*heir.delay {
		e.worseSince = now
		e.wasWell = e.wasWell || now-e.wellSince >= wellFor
		return
	}
	e.wellSince = now
	if now-e.worseSince >= worseFor && (e.wasWell || now-e.openedAt >= keptAnyhow) {
		e.handOver(own, heir)
	}
}

// quickest is the live follower with the shortest delay of its own, as far as it says and has caught up.
func (e *Engine) quickest() *follower {
	var best *follower
	for _, disk := range e.set.Now {
		one := e.followers[disk]
		if disk == e.disk || one == nil || !one.hasDelay || !e.hasCaughtUp(one) || e.clock.Steady()-one.lastContact > e.timing.LostAfter/2 {
			continue
		}
		if best == nil || one.delay < best.delay {
			best = one
		}
	}
	return best
}

func (e *Engine) handOver(own, heir *follower) {
	e.log.Info("handing the key on, as a sibling is quicker", "key", e.key, "delay_ms", own.delay.Milliseconds(),
		"heir", heir.disk, "heir_delay_ms", heir.delay.Milliseconds())
	e.release("slower than its followers", heir.disk)
	e.nextTry = e.clock.Steady() + standBack
}

// release steps down and gives the lease back, so that a sibling may ask at once.
func (e *Engine) release(why, heir string) {
	disks, epoch := disksOf(e.set), e.epoch
	e.stepDown(why)
	for _, disk := range disks {
		e.links.Append(disk, peerapi.AppendCall{Key: e.key, Epoch: epoch, Owner: e.name, Disk: e.disk, Release: true, Successor: heir},
			func(peerapi.AppendAnswer, error) {})
	}
}
