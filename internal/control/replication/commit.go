package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

type pendingCommit struct {
	index uint64
	done  func(error)
}

func (e *Engine) propose(ops []wire.Op, set *wire.VoterSet, done func(error)) {
	e.last = wire.LogPosition{Epoch: e.epoch, Index: e.last.Index + 1}
	change := wire.Change{Position: e.last, Ops: ops, Set: set}
	e.recent = append(e.recent, change)
	e.recentSize += sizeOf(change)
	if set != nil {
		e.voters, e.votersIndex = *set, e.last.Index
		e.publishLease()
	}
	e.pendingCommits = append(e.pendingCommits, pendingCommit{e.last.Index, done})
	e.trimLog()
	e.replicate()
}

func (e *Engine) advanceCommit() {
	index := e.last.Index
	for ; index > e.commitIndex; index-- {
		has := func(disk string) bool {
			voter := e.followers[disk]
			return voter != nil && voter.isPositionKnown && voter.acked.Epoch == e.epoch && voter.acked.Index >= index
		}
		if HasQuorum(e.voters, has) {
			break
		}
	}
	if index <= e.commitIndex {
		return
	}
	e.commitIndex = index
	ready := 0
	for ready < len(e.pendingCommits) && e.pendingCommits[ready].index <= index {
		ready++
	}
	done := slices.Clone(e.pendingCommits[:ready])
	e.pendingCommits = slices.Clone(e.pendingCommits[ready:])
	attempt := e.generation
	for _, waiter := range done {
		if e.generation != attempt {
			waiter.done(ErrLeadershipLost)
			continue
		}
		waiter.done(nil)
	}
	if e.generation == attempt {
		e.leaveJoint()
		e.trimLog()
		e.maybeLeave()
	}
}
