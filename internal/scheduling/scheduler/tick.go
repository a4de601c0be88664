package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxResendDoublings bounds the exponent of the backoff, so that the shift can't overflow.
	maxResendDoublings = 4
	// stopReportTime is how long the end of a stopped run may take to be reported, beyond the stop itself.
	stopReportTime = 300 * time.Millisecond
)

// Tick does all that falls due; Flush follows it.
func (p *Pool) Tick() {
	if p.leadership == nil {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.metrics.tickSeconds.Observe(p.clock.Monotonic() - now) }()
	p.releaseDue()
	p.tickTenantGrants(now)
	p.tickReturns(now)
	for _, executor := range slices.Clone(p.table.sorted) {
		p.tickExecutor(executor, now)
	}
	p.table.isStale = true
	p.tickPending(now)
	p.tickBrokenGangs(now)
	p.forgetEnded()
	p.open.first.findMinNeed()
	p.open.speculative.findMinNeed()
	if len(p.open.steps) > 0 {
		p.needsPlacing = true
	}
	p.metrics.updateGauges(p, now)
}

// tickPending attends to the runs that an order is under way for, in an order that is the same at every replay.
func (p *Pool) tickPending(now time.Duration) {
	runs := slices.SortedFunc(maps.Keys(p.pendingRuns), func(a, b *runState) int {
		return cmp.Or(cmp.Compare(a.executor.id, b.executor.id), compareRuns(a, b))
	})
	for _, run := range runs {
		if p.pendingRuns[run] {
			p.tickRun(run.executor, run, now)
		}
	}
}

// tickExecutor does what is due for an executor: it lets its failures decay, expires its lease, and answers a poll that
// has waited long enough.
func (p *Pool) tickExecutor(executor *executorState, now time.Duration) {
	executor.failures, executor.successes = executor.failures*countDecay, executor.successes*countDecay
	if p.isReplaced(executor, now) {
		p.log.Info("executor replaced on its machine", "executor", executor.id, "machine", executor.proxy, "runs", len(executor.runs))
		p.executorGone(executor)
		return
	}
	if now > executor.leaseExpiry {
		p.expireLease(executor, now)
	}
	p.tidyRecord(executor, now)
	if executor.poll != nil && now >= executor.poll.until {
		p.answerPoll(executor)
	}
}

// expireLease closes what ran where the longest lease ever granted has expired.
func (p *Pool) expireLease(executor *executorState, now time.Duration) {
	if len(executor.runs) > 0 {
		p.log.Info("executor lease expired", "executor", executor.id, "runs", len(executor.runs))
	}
	if now-executor.contactAt > p.timing.SilentAfter || !executor.isKnown {
		p.executorGone(executor)
		return
	}
	for _, run := range executor.sortedRuns() {
		p.closeRun(run)
	}
}

// tickRun sends an order again that is not answered, gives up a launch that is never answered, and asks for the
// executor's list of runs when a stop is confirmed but the end isn't reported.
func (p *Pool) tickRun(executor *executorState, run *runState, now time.Duration) {
	isSilent := now-executor.contactAt > p.timing.SilentAfter
	switch {
	case run.awaitedList > 0 || run.isQueued && !isSilent:
	case run.phase == runLaunching && run.isCommitted && run.sendCount == 0 && isSilent && executor.isFenced:
		p.closeRun(run)
	case run.phase == runLaunching && run.sendCount > 0 && !isSilent && now-run.orderedAt > p.timing.StuckAfter:
		p.stopRun(run)
	case run.phase != runRunning && !run.isAnswered && run.sendCount > 0:
		if wait := min(p.timing.Resend<<min(run.sendCount-1, maxResendDoublings), p.timing.MaxResend); now-run.sentAt > wait {
			p.queueOrder(run)
		}
	case run.phase == runStopping && run.isAnswered && now-run.answeredAt > p.timing.StopTimeout+stopReportTime:
		run.answeredAt = now
		p.requestRunList(executor, run)
	}
}
