package replication

import (
	"time"

	"gannetline/internal/control/replication/quorum"
)

// preferredDelay is how long a voter must have been eligible before the key is transferred to it. A returning voter can catch up with
// all of its keys in that time. A shorter delay could move a key twice during one fault, and would more often restart the state that
// restarts with each leadership, such as the hold times of locks. firstPreferredDelay applies to the first leadership of a key, when
// hardly anything depends on it.
const (
	preferredDelay      = 15 * time.Second
	firstPreferredDelay = 3 * time.Second
)

// firstEpoch is the epoch of the first leadership of a key.
const firstEpoch = 1

// maxMoveWait is how long the leader waits for a moment without pending commits. After that time it transfers the key even if commits
// are pending. Their outcome is then unknown, and the callers have to ask the next leader.
const maxMoveWait = 2 * time.Second

// preferredVoter is the voter to which the key should be transferred, and since when it has been eligible without interruption.
type preferredVoter struct {
	disk  string
	since time.Duration
}

// maybeMoveToPreferred transfers the key to the first voter in the key's ranking, so that the leaders of many keys spread over the
// stewards, regardless of which voters led them first. This is a planned transfer: there is no leader only while the successor
// campaigns.
func (e *Engine) maybeMoveToPreferred() {
	if !e.hasPreferredLeader || e.phase != phaseLeading {
		return
	}
	now := e.clock.Monotonic()
	preferred := e.preferredFollower()
	switch {
	case preferred == nil:
		e.preferred = preferredVoter{}
	case preferred.disk != e.preferred.disk:
		e.preferred = preferredVoter{preferred.disk, now}
	case e.shouldMoveTo(preferred, now-e.preferred.since):
		e.log.Info("transferring the key to its preferred voter", "key", e.key, "successor", preferred.disk)
		e.release("another voter is preferred as leader", preferred.disk)
	}
}

// shouldMoveTo reports whether the key should now be transferred to a successor that has been eligible for eligibleFor. The successor
// must hold all committed changes, and either no commit is pending or the leader has waited maxMoveWait for that.
func (e *Engine) shouldMoveTo(successor *followerProgress, eligibleFor time.Duration) bool {
	delay := preferredDelay
	if e.epoch == firstEpoch {
		delay = firstPreferredDelay
	}
	if eligibleFor < delay || successor.acked.Epoch != e.epoch || successor.acked.Index < e.commits.index {
		return false
	}
	return len(e.commits.pending) == 0 || eligibleFor >= delay+maxMoveWait
}

// preferredFollower returns the first voter in the key's ranking if it is an eligible successor, has caught up and is not clearly
// slower than this leader; otherwise nil.
func (e *Engine) preferredFollower() *followerProgress {
	if quorum.IsJoint(e.voters.set) || !e.voters.isCommitted(e.commits.index) {
		return nil
	}
	voter := e.followers[e.rankDisks(e.voters.set.Current)[0]]
	if !e.isEligibleSuccessor(voter) || !e.isWithinLag(voter, e.timing.Lease/2) {
		return nil
	}
	if own := e.followerOf(e.disk); voter.syncDelay >= slowDelay && voter.syncDelay > slowFactor*own.syncDelay {
		return nil
	}
	return voter
}
