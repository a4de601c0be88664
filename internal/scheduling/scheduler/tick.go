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
	// stopReportTime is how long the report of a stopped run's end may take, in addition to the stop timeout.
	stopReportTime = 300 * time.Millisecond
)

// Tick does all work that is due. The caller calls Flush after it.
func (p *Pool) Tick() {
	if p.leadership == nil {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.metrics.tickSeconds.Observe(p.clock.Monotonic() - now) }()
	p.releaseDue()
	p.tickTenantGrants(now)
	p.tickTransfers(now)
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

// tickPending checks the runs with an order in progress. It visits them in the same order at every replay.
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

// tickExecutor does the periodic work for an executor: it decays its counts of failures and successes, removes it if it was replaced,
// expires its lease, drops its record if it is idle, and answers a poll that has waited long enough.
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
	p.dropIdleRecord(executor, now)
	if executor.poll != nil && now >= executor.poll.until {
		p.answerPoll(executor)
	}
}

// expireLease closes the runs of an executor whose lease has certainly expired. It also removes the executor if it is silent or has not
// reported to this leader.
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

// tickRun handles the timeouts of a run's order. It resends an unanswered order, and stops a run whose launch is not answered in time. It
// closes a run whose launch was not sent before its executor became silent. If a stop is acknowledged but the end of the run isn't
// reported, it requests the executor's list of runs. It does nothing while the run waits for such a list, or while its order is queued for
// an executor that isn't silent.
func (p *Pool) tickRun(executor *executorState, run *runState, now time.Duration) {
	isSilent := now-executor.contactAt > p.timing.SilentAfter
	switch {
	case run.awaitedList > 0 || run.isQueued && !isSilent:
	case run.phase == runLaunching && run.isCommitted && run.sendCount == 0 && isSilent && executor.isFenced:
		p.closeRun(run)
	case run.phase == runLaunching && run.sendCount > 0 && !isSilent && now-run.orderedAt > p.timing.StuckAfter:
		p.stopRun(run)
	case run.phase != runRunning && !run.isAnswered && run.sendCount > 0:
		if backoff := min(p.timing.Resend<<min(run.sendCount-1, maxResendDoublings), p.timing.MaxResend); now-run.sentAt > backoff {
			p.queueOrder(run)
		}
	case run.phase == runStopping && run.isAnswered && now-run.answeredAt > p.timing.StopTimeout+stopReportTime:
		run.answeredAt = now
		p.requestRunList(executor, run)
	}
}
