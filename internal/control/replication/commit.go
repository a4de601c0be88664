package replication

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

type waiter struct {
	index uint64
	done  func(error)
}

func (e *Engine) propose(ops []wire.Op, set *wire.VoterSet, done func(error)) {
	e.last = wire.LogPosition{Epoch: e.epoch, Index: e.last.Index + 1}
	change := wire.Change{Position: e.last, Ops: ops, Set: set}
	e.recent = append(e.recent, change)
	e.recentSize += sizeOf(change)
	if set != nil {
		e.set, e.setIndex = *set, e.last.Index
		e.publish()
	}
	e.waiting = append(e.waiting, waiter{e.last.Index, done})
	e.trimRecent()
	e.push()
}

func (e *Engine) advance() {
	index := e.last.Index
	for ; index > e.committed; index-- {
		has := func(disk string) bool {
			voter := e.followers[disk]
			return voter != nil && voter.isKnown && voter.acked.Epoch == e.epoch && voter.acked.Index >= index
		}
		if Agreed(e.set, has) {
			break
		}
	}
	if index <= e.committed {
		return
	}
	e.committed = index
	ready := 0
	for ready < len(e.waiting) && e.waiting[ready].index <= index {
		ready++
	}
	done := slices.Clone(e.waiting[:ready])
	e.waiting = slices.Clone(e.waiting[ready:])
	attempt := e.attempt
	for _, waiter := range done {
		if e.attempt != attempt {
			waiter.done(errLost)
			continue
		}
		waiter.done(nil)
	}
	if e.attempt == attempt {
		e.finishSwap()
		e.trimRecent()
		e.considerLeaving()
	}
}
