package replication

import (
	"time"

	"gannetline/internal/control/replication/quorum"
)

// preferredDelay is how long a voter must have been the better leader before the key goes to it: long enough that a voter which comes
// back has caught up with all of its keys, that trouble which goes on moves no key twice, and that what begins anew with each leadership,
// as the time of locks, does so seldom. A key that is led for the first time moves sooner, as hardly anything rests on it yet.
const (
	preferredDelay      = 15 * time.Second
	firstPreferredDelay = 3 * time.Second
)

// firstEpoch is that of the first leadership of a key.
const firstEpoch = 1

// maxMoveWait is how long the leader waits for a moment without a change under way; after it, calls whose changes are not committed yet
// are left with an unknown outcome, which their callers ask the next leader for.
const maxMoveWait = 2 * time.Second

// preferredWatch knows since when a voter other than the leader's own could lead, without a break.
type preferredWatch struct {
	disk  string
	since time.Duration
}

// maybeMoveToPreferred hands the key to the first voter in the key's own order, so that the leaders of many keys spread over the
// stewards whoever led them first. It is a planned transfer: there is no leader for as long as the successor's campaign takes.
func (e *Engine) maybeMoveToPreferred() {
	if !e.hasPreferredLeader || e.phase != phaseLeading {
		return
	}
	now := e.clock.Monotonic()
	preferred := e.preferredFollower()
	switch {
	case preferred == nil:
		e.preferred = preferredWatch{}
	case preferred.disk != e.preferred.disk:
		e.preferred = preferredWatch{preferred.disk, now}
	case e.isGoodMomentFor(preferred, now-e.preferred.since):
		e.log.Info("handing the key over to the voter that should lead it", "key", e.key, "successor", preferred.disk)
		e.release("another voter should lead it", preferred.disk)
	}
}

// isGoodMomentFor tells whether a successor that has been fit to lead for so long should get the key now: it holds all that was
// committed, and either no change is under way or the leader has waited for that long enough.
func (e *Engine) isGoodMomentFor(successor *followerProgress, fitFor time.Duration) bool {
	delay := preferredDelay
	if e.epoch == firstEpoch {
		delay = firstPreferredDelay
	}
	if fitFor < delay || successor.acked.Epoch != e.epoch || successor.acked.Index < e.commits.index {
		return false
	}
	return len(e.commits.pending) == 0 || fitFor >= delay+maxMoveWait
}

// preferredFollower is the first voter in the key's own order, if that is another steward's and fit to lead: it answers and stays,
// follows closely, and is not clearly slower than this one.
func (e *Engine) preferredFollower() *followerProgress {
	if quorum.IsJoint(e.voters.set) || !e.voters.isCommitted(e.commits.index) {
		return nil
	}
	voter := e.followers[e.ranked(e.voters.set.Current)[0]]
	if !e.maySucceed(voter) || !e.isWithinLag(voter, e.timing.Lease/2) {
		return nil
	}
	if own := e.followerOf(e.disk); voter.syncDelay >= slowDelay && voter.syncDelay > slowFactor*own.syncDelay {
		return nil
	}
	return voter
}
