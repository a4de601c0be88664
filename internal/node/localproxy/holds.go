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
	// lossMemory is for how long after a lost answer the short wait is asked for.
	lossMemory = 10 * time.Second
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
	Executor   string
	Hold       executorapi.Hold
	ListNumber uint64
	// BegunAt is when the hold was composed, on the monotonic clock.
	BegunAt time.Duration
}

// NextHold is the hold to send next, for the list of runs or for the wait; false means that none is due.
func (t *Table) NextHold(isForList bool) (HoldWork, bool) {
	current := t.current
	if current == nil || !t.isHoldDue(current, isForList) {
		return HoldWork{}, false
	}
	hold := executorapi.Hold{Fence: current.fence, LastSeen: current.lastSeen}
	if current.leaseExpiryMs > 0 && current.leaseExpiryMs > current.clock.clockAt(t.now()) {
		hold.ExpiryMs = current.leaseExpiryMs
	}
	if !isForList {
		hold.WaitMs = t.holdWait(current)
	}
	return HoldWork{Executor: current.id, Hold: hold, ListNumber: current.listWanted, BegunAt: t.now()}, true
}

func (t *Table) isHoldDue(current *executorState, isForList bool) bool {
	if isForList {
		return current.listTaken < current.listWanted && !t.isUnresponsive(current)
	}
	return len(current.ends) == 0 || t.now()-current.renewedAt >= unackedWait
}

// holdWait is short while the executor leaves calls unanswered: a hold that is lost hides all ends until it is given up.
func (t *Table) holdWait(current *executorState) int64 {
	if current.hasLostAnswer && t.now()-current.lostAt < lossMemory {
		return shortWaitMs
	}
	return holdWaitMs
}

// HoldLimit is when a hold is given up.
func HoldLimit(hold executorapi.Hold) time.Duration {
	return clock.Milliseconds(hold.WaitMs) + holdSlack
}

// HandleHold takes the answer to a hold.
func (t *Table) HandleHold(work HoldWork, answer executorapi.Answer) {
	current := t.currentIs(work.Executor)
	if current == nil {
		return
	}
	if work.BegunAt >= current.currentSince {
		t.confirmCurrent()
	}
	t.sample(current, answer.ClockMs)
	sinceHold := t.now() - current.renewedAt
	current.renewedAt, current.hasRenewed, current.misses = t.now(), true, 0
	current.fenceAtExecutor = max(current.fenceAtExecutor, work.Hold.Fence)
	hasEnds := current.addEnds(answer.Ends)
	current.setRunning(answer.Running)
	current.feed.updateRuns(current.running, sinceHold)
	if len(current.running) > 0 {
		current.lastBusyAt = t.now()
	}
	if current.keepList(work, answer) || hasEnds {
		t.onReportDue()
	}
}

// addEnds adds ends that are new; it tells whether there are any.
func (e *executorState) addEnds(rows []executorapi.EndRow) bool {
	hasNew := false
	for _, row := range rows {
		if row.Number > e.lastEnd() && row.Number > e.lastSeen {
			e.ends = append(e.ends, wire.EndReport(row))
			hasNew = true
		}
	}
	return hasNew
}

func (e *executorState) setRunning(rows []executorapi.RunningRow) {
	e.running = e.running[:0]
	for _, row := range rows {
		e.running = append(e.running, wire.RunReport(row))
	}
}

// keepList keeps the running runs as the complete list that the leader asked for, if the hold was sent after that; it
// tells whether it did. An answer with as many ends as one can hold may lack others: a run that is neither running nor among
// its ends may have ended all the same, so that it says nothing about runs that are missing.
func (e *executorState) keepList(work HoldWork, answer executorapi.Answer) bool {
	if work.ListNumber <= e.listTaken || work.Hold.Fence != e.fence || len(answer.Ends) >= executorapi.MaxEndsPerAnswer {
		return false
	}
	e.listTaken, e.listedRuns = work.ListNumber, slices.Clone(e.running)
	return true
}

// HandleHoldFailure takes note of a hold without an answer; isOtherExecutor says that the address answers for another incarnation,
// so that this one is over for certain.
func (t *Table) HandleHoldFailure(work HoldWork, isOtherExecutor bool) {
	current := t.currentIs(work.Executor)
	if current == nil {
		if isOtherExecutor {
			t.endOther(work.Executor)
		}
		return
	}
	t.recordMisses(current, 1)
	t.recordLostAnswer(current)
	if isOtherExecutor || t.hasEnded(current) {
		t.endCurrent()
	}
}

func (e *executorState) lastEnd() int64 {
	if len(e.ends) == 0 {
		return 0
	}
	return e.ends[len(e.ends)-1].Number
}
