package localproxy

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
)

const (
	// holdWaitMs is how long an executor may wait for an end before it answers; shortWaitMs while it loses answers.
	holdWaitMs  = 1000
	shortWaitMs = 150
	// mistrust is for how long after a lost answer the short wait is asked for.
	mistrust = 10 * time.Second
	// holdSlack is how long after its wait a hold is given up.
	holdSlack = 150 * time.Millisecond
	// unackedWait lies between two holds while an end is known that the leader has not acknowledged.
	unackedWait = 250 * time.Millisecond
	// leavingAfter is how long after its notice an executor that doesn't answer is taken for gone.
	leavingAfter = 3 * time.Second
	// An executor is unresponsive for unresponsiveFor after unresponsiveAfter calls in a row went unanswered.
	unresponsiveAfter = 2
	unresponsiveFor   = time.Second
)

// HoldWork is what a hold should say now.
type HoldWork struct {
	Life string
	Hold executorapi.Hold
	Look uint64
	// BegunAt is when the hold was made up, on the steady clock.
	BegunAt time.Duration
}

// NextHold is the hold to send next, for the list of runs or for the wait; false means that none is due.
func (t *Table) NextHold(isLook bool) (HoldWork, bool) {
	current := t.current
	if current == nil || !t.isHoldDue(current, isLook) {
		return HoldWork{}, false
	}
	hold := executorapi.Hold{Fence: current.fence, LastSeen: current.lastSeen}
	if current.expiryMs > 0 && current.expiryMs > current.clock.clockAt(t.now()) {
		hold.ExpiryMs = current.expiryMs
	}
	if !isLook {
		hold.WaitMs = t.holdWait(current)
	}
	return HoldWork{Life: current.id, Hold: hold, Look: current.listWanted, BegunAt: t.now()}, true
}

func (t *Table) isHoldDue(current *incarnation, isLook bool) bool {
	if isLook {
		return current.listTaken < current.listWanted && !t.isUnresponsive(current)
	}
	return len(current.ends) == 0 || t.now()-current.heldAt >= unackedWait
}

// holdWait is short while the executor leaves calls unanswered: a hold that is lost hides all ends until it is given up.
func (t *Table) holdWait(current *incarnation) int64 {
	if current.hasLost && t.now()-current.lostAt < mistrust {
		return shortWaitMs
	}
	return holdWaitMs
}

// HoldLimit is when a hold is given up.
func HoldLimit(hold executorapi.Hold) time.Duration {
	return clock.Milliseconds(hold.WaitMs) + holdSlack
}

// isUnresponsive tells whether calls to the executor fail one after the other; the holds that go on show when they do
// no more.
func (t *Table) isUnresponsive(executor *incarnation) bool {
	return executor.misses >= unresponsiveAfter && t.now()-executor.missedAt < unresponsiveFor
}

func (t *Table) noteMisses(executor *incarnation, count int) {
	wasUnresponsive := t.isUnresponsive(executor)
	executor.misses, executor.missedAt = executor.misses+count, t.now()
	if !wasUnresponsive && t.isUnresponsive(executor) {
		t.onWork()
	}
}

func (t *Table) noteLost(executor *incarnation) { executor.lostAt, executor.hasLost = t.now(), true }

// Held takes the answer to a hold.
func (t *Table) Held(work HoldWork, answer executorapi.Answer) {
	current := t.currentIs(work.Life)
	if current == nil {
		return
	}
	if work.BegunAt >= current.currentSince {
		t.confirm()
	}
	t.sample(current, answer.ClockMs)
	sinceHold := t.now() - current.heldAt
	current.heldAt, current.hasHeld, current.misses = t.now(), true, 0
	current.fenceHeld = max(current.fenceHeld, work.Hold.Fence)
	hasEnds := current.takeEnds(answer.Ends)
	current.takeRunning(answer.Running)
	current.feed.noteRunning(current.running, sinceHold)
	if len(current.running) > 0 {
		current.lastBusyAt = t.now()
	}
	if current.takeList(work) || hasEnds {
		t.onWork()
	}
}

// takeEnds adds ends that are new; it tells whether there are any.
func (i *incarnation) takeEnds(rows []executorapi.EndRow) bool {
	hasNew := false
	for _, row := range rows {
		if row.Number > i.lastEnd() && row.Number > i.lastSeen {
			i.ends = append(i.ends, wire.EndReport(row))
			hasNew = true
		}
	}
	return hasNew
}

func (i *incarnation) takeRunning(rows []executorapi.RunningRow) {
	i.running = i.running[:0]
	for _, row := range rows {
		i.running = append(i.running, wire.RunReport(row))
	}
}

// takeList keeps the running runs as the complete list that the leader asked for, if the hold was sent after that; it
// tells whether it did.
func (i *incarnation) takeList(work HoldWork) bool {
	if work.Look <= i.listTaken || work.Hold.Fence != i.fence {
		return false
	}
	i.listTaken, i.listedRuns = work.Look, slices.Clone(i.running)
	return true
}

// HoldFailed takes note of a hold without an answer; isOtherLife says that the address answers for another incarnation,
// so that this one is over for certain.
func (t *Table) HoldFailed(work HoldWork, isOtherLife bool) {
	current := t.currentIs(work.Life)
	if current == nil {
		if isOtherLife {
			t.endOther(work.Life)
		}
		return
	}
	t.noteMisses(current, 1)
	t.noteLost(current)
	if isOtherLife || t.isOver(current) {
		t.endCurrent()
	}
}

func (i *incarnation) lastEnd() int64 {
	if len(i.ends) == 0 {
		return 0
	}
	return i.ends[len(i.ends)-1].Number
}
