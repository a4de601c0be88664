package replication

import (
	"slices"

	"gannetline/internal/peerapi"
)

type waiter struct {
	step uint64
	done func(error)
}

func (e *Engine) propose(ops []peerapi.Op, set *peerapi.VoterSet, done func(error)) {
	e.last = peerapi.LogPosition{Epoch: e.epoch, Index: e.last.Index + 1}
	change := peerapi.Change{Position: e.last, Ops: ops, Set: set}
	e.recent = append(e.recent, change)
	e.recentSize += sizeOf(change)
	if set != nil {
		e.set, e.setIndex = *set, e.last.Index
	}
	e.waiting = append(e.waiting, waiter{e.last.Index, done})
	e.trimRecent()
	e.push()
}

func (e *Engine) advance() {
	step := e.last.Index
	for ; step > e.committed; step-- {
		has := func(disk string) bool {
			one := e.followers[disk]
			return one != nil && one.isKnown && one.acked.Epoch == e.epoch && one.acked.Index >= step
		}
		if Agreed(e.set, has) {
			break
		}
	}
	if step <= e.committed {
		return
	}
	e.committed = step
	ready := 0
	for ready < len(e.waiting) && e.waiting[ready].step <= step {
		ready++
	}
	done := slices.Clone(e.waiting[:ready])
	e.waiting = slices.Clone(e.waiting[ready:])
	attempt := e.attempt
	for _, one := range done {
		if e.attempt != attempt {
			one.done(errLost)
			continue
		}
		one.done(nil)
	}
	if e.attempt == attempt {
		e.finishSwap()
		e.trimRecent()
	}
}
