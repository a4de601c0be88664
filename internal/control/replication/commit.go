package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication/quorum"
)

// pendingCommit is a proposed change that is not committed yet. done is called with the outcome.
type pendingCommit struct {
	index uint64
	done  func(error)
}

// commitQueue holds the commit index and the pending commits. These are in the order of their indices, all above the commit index.
type commitQueue struct {
	index   uint64
	pending []pendingCommit
}

// takeUpTo removes and returns the pending commits up to an index.
func (q *commitQueue) takeUpTo(index uint64) []pendingCommit {
	count := 0
	for count < len(q.pending) && q.pending[count].index <= index {
		count++
	}
	taken := slices.Clone(q.pending[:count])
	q.pending = slices.Clone(q.pending[count:])
	return taken
}

// takeAll removes and returns all pending commits.
func (q *commitQueue) takeAll() []pendingCommit {
	taken := q.pending
	q.pending = nil
	return taken
}

// propose appends a change to the log and sends it to all followers. done is called with nil once the change is committed, or with
// ErrLeadershipLost if the leadership ends first. A voter set takes effect when it is proposed, as in Raft.
func (e *Engine) propose(ops []wire.Op, voters *wire.VoterSet, done func(error)) {
	change := e.changes.append(e.epoch, ops, voters)
	if voters != nil {
		e.voters = voterState{set: *voters, index: change.Position.Index}
		e.publishLease()
	}
	e.commits.pending = append(e.commits.pending, pendingCommit{change.Position.Index, done})
	e.trimLog()
	e.replicate()
}

// advanceCommit raises the commit index to the highest index that a quorum holds, and completes the pending commits up to it.
func (e *Engine) advanceCommit() {
	index := e.quorumIndex()
	if index <= e.commits.index {
		return
	}
	e.logCommit(e.commits.index, index)
	e.commits.index = index
	if e.leadership != nil {
		e.leadership.commitIndex.Store(index)
	}
	generation := e.generation
	for _, commit := range e.commits.takeUpTo(index) {
		// The callback of an earlier commit may have made this engine step down.
		if e.generation != generation {
			commit.done(ErrLeadershipLost)
			continue
		}
		commit.done(nil)
	}
	if e.generation == generation {
		e.leaveJoint()
		e.trimLog()
		e.maybeLeave()
	}
}

// quorumIndex returns the highest index that a quorum holds under this epoch, but at least the commit index. A change of an earlier
// epoch is committed only together with a later change of this epoch, as in Raft.
func (e *Engine) quorumIndex() uint64 {
	for index := e.changes.last.Index; index > e.commits.index; index-- {
		holds := func(disk string) bool {
			voter := e.followers[disk]
			return voter != nil && voter.isPositionKnown && voter.acked.Epoch == e.epoch && voter.acked.Index >= index
		}
		if quorum.Reached(e.voters.set, holds) {
			return index
		}
	}
	return e.commits.index
}
