package localproxy

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
)

const (
	// holdWaitMs is how long an executor may wait for the end of a run before it answers a hold; shortWaitMs applies after lost answers.
	holdWaitMs  = 1000
	shortWaitMs = 150
	// shortWaitPeriod is how long after a lost answer holds use the short wait.
	shortWaitPeriod = 10 * time.Second
	// holdTimeoutMargin is how long after its wait a hold times out.
	holdTimeoutMargin = 150 * time.Millisecond
	// unackedHoldInterval is the least time from an answered hold to the next one while the leader has not acknowledged all known ends.
	// Holds for a list of runs are exempt.
	unackedHoldInterval = 250 * time.Millisecond
	// goneAfter is how long after its deregistration an executor that was draining and does not answer counts as gone.
	goneAfter = 3 * time.Second
	// An executor counts as unresponsive for unresponsiveFor after unresponsiveAfter consecutive unanswered calls.
	unresponsiveAfter = 2
	unresponsiveFor   = time.Second
)

// HoldWork is a hold that is ready for the executor. ListNumber is the number of the requested list of runs that its answer may provide.
type HoldWork struct {
	Executor   string
	Hold       executorapi.Hold
	ListNumber uint64
	// BegunAt is when the hold was composed, on the monotonic clock.
	BegunAt time.Duration
}

// NextHold returns the next hold, or false if none is due. A hold for a list of runs does not wait for an end.
func (t *Table) NextHold(isForList bool) (HoldWork, bool) {
	current := t.current
	if current == nil || !t.isHoldDue(current, isForList) {
		return HoldWork{}, false
	}
	hold := executorapi.Hold{Fence: current.fence, LastSeen: current.lastSeen}
	if current.leaseExpiryMs > 0 && current.leaseExpiryMs > current.clock.minReadingAt(t.now()) {
		hold.ExpiryMs = current.leaseExpiryMs
	}
	if !isForList {
		hold.WaitMs = t.holdWait(current)
	}
	return HoldWork{Executor: current.id, Hold: hold, ListNumber: current.listWanted, BegunAt: t.now()}, true
}

// isHoldDue reports whether a hold is due. Holds that are not for a list are sent less often while the leader has not acknowledged all known
// ends.
func (t *Table) isHoldDue(current *executorState, isForList bool) bool {
	if isForList {
		return current.listTaken < current.listWanted && !t.isUnresponsive(current)
	}
	return len(current.ends) == 0 || t.now()-current.renewedAt >= unackedHoldInterval
}

// holdWait returns how long the executor may delay its answer to a hold, in milliseconds. The wait is short after a lost answer: if the
// hold or its answer is lost, no end is reported until the hold times out.
func (t *Table) holdWait(current *executorState) int64 {
	if current.hasLostAnswer && t.now()-current.lostAt < shortWaitPeriod {
		return shortWaitMs
	}
	return holdWaitMs
}

// HoldTimeout returns the timeout of a hold.
func HoldTimeout(hold executorapi.Hold) time.Duration {
	return clock.Milliseconds(hold.WaitMs) + holdTimeoutMargin
}

// HandleHold handles the executor's answer to a hold.
func (t *Table) HandleHold(work HoldWork, answer executorapi.Answer) {
	current := t.currentWithID(work.Executor)
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
	if current.storeList(work, answer) || hasEnds {
		t.onReportDue()
	}
}

// addEnds adds the new ends and reports whether there are any.
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

// storeList stores the running runs as the complete list that the leader requested, if the hold was composed after the request and for the
// same leader. It reports whether it did. An answer with the maximum number of ends is not stored: further ends may not have fitted, so a
// run that is neither running nor among the ends may have ended as well.
func (e *executorState) storeList(work HoldWork, answer executorapi.Answer) bool {
	if work.ListNumber <= e.listTaken || work.Hold.Fence != e.fence || len(answer.Ends) >= executorapi.MaxEndsPerAnswer {
		return false
	}
	e.listTaken, e.listedRuns = work.ListNumber, slices.Clone(e.running)
	return true
}

// HandleHoldFailure handles a hold that was not answered or was answered with an error status. isOtherExecutor means that another
// incarnation answered at the address, so the incarnation that the hold was for has certainly ended.
func (t *Table) HandleHoldFailure(work HoldWork, isOtherExecutor bool) {
	current := t.currentWithID(work.Executor)
	if current == nil {
		if isOtherExecutor {
			t.endOther(work.Executor)
		}
		return
	}
	t.recordMisses(current, 1)
	t.recordLostAnswer(current)
	if isOtherExecutor || t.hasShutDown(current) {
		t.endCurrent()
	}
}

// lastEnd returns the number of the last known end, 0 if there is none.
func (e *executorState) lastEnd() int64 {
	if len(e.ends) == 0 {
		return 0
	}
	return e.ends[len(e.ends)-1].Number
}
