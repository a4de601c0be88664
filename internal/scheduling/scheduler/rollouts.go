package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// RolloutPolicy holds the rollouts of one configuration version in which the pool's service runs the old or the new version. It is
// immutable.
type RolloutPolicy struct {
	// Version is the configuration version.
	Version  int64
	Rollouts []RolloutTerms
}

// RolloutTerms are the settings of one rollout.
type RolloutTerms struct {
	Name string
	// BegunMs is when the rollout began, in milliseconds since 1970. Counts of another rollout of the same name, with another BegunMs, are
	// dropped.
	BegunMs int64
	// Route is the name of the queue whose jobs are split between the two versions.
	Route string
	// ReturnTo is the service of the old version, to whose pool jobs are returned. It is set only if this pool runs the new version and the
	// rollout was rolled back.
	ReturnTo string
	// StopsRuns allows runs to be stopped so that their jobs can be returned. IsRepeatable is set if tasks may run again, even those that are
	// done.
	StopsRuns    bool
	IsRepeatable bool
}

// WithRollouts sets the source of the rollouts of the current configuration. A pool without it has no rollouts.
func WithRollouts(policy func() RolloutPolicy) Option {
	return func(p *Pool) { p.rolloutPolicy = policy }
}

func noRolloutPolicy() RolloutPolicy { return RolloutPolicy{} }

// rolloutTable holds the pool's counts for rollouts and its jobs in transfer. Each new leader rebuilds it from the records.
type rolloutTable struct {
	// version is the configuration version that the rollouts come from.
	version int64
	// byName holds the counts of each rollout by its name, and byRoute the same counts by the rollout's queue. returning holds the rollouts
	// whose jobs this pool returns to the old version.
	byName    map[string]*versionCounts
	byRoute   map[string]*versionCounts
	returning []RolloutTerms
	// inTransfer holds the jobs in transfer to another pool, by ID.
	inTransfer map[string]*jobState
	// nextTransferAt is when the pool next checks for jobs to transfer.
	nextTransferAt time.Duration
}

func newRolloutTable() rolloutTable {
	return rolloutTable{byName: map[string]*versionCounts{}, byRoute: map[string]*versionCounts{}, inTransfer: map[string]*jobState{}}
}

// loadRollout reads the counts of a rollout.
func (p *Pool) loadRollout(name string, value []byte) error {
	var record rolloutRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	p.rollouts.byName[name] = countsFrom(record.Counts)
	return nil
}

// updateRollouts applies the rollouts of the current configuration if its version has changed.
func (p *Pool) updateRollouts() {
	policy := p.rolloutPolicy()
	if policy.Version == p.rollouts.version {
		return
	}
	p.rollouts.version = policy.Version
	p.rollouts.byRoute, p.rollouts.returning = map[string]*versionCounts{}, nil
	named := map[string]bool{}
	for _, terms := range policy.Rollouts {
		named[terms.Name] = true
		counts := p.rollouts.byName[terms.Name]
		if counts == nil || counts.begunMs != terms.BegunMs {
			counts = newVersionCounts(terms.Name, terms.BegunMs)
			p.rollouts.byName[terms.Name] = counts
		}
		p.rollouts.byRoute[terms.Route] = counts
		if terms.ReturnTo != "" {
			p.rollouts.returning = append(p.rollouts.returning, terms)
		}
	}
	for name := range p.rollouts.byName {
		if !named[name] {
			delete(p.rollouts.byName, name)
			p.dropRecord(prefixRollout + name)
		}
	}
	p.releaseStaying()
}

// isReturning reports whether the jobs of a queue are being returned to the pool of the old version.
func (p *Pool) isReturning(route string) bool {
	return slices.ContainsFunc(p.rollouts.returning, func(terms RolloutTerms) bool { return terms.Route == route })
}

// releaseStaying lets the withheld jobs that the new configuration doesn't transfer to another pool start again. Jobs that it does transfer
// must not start meanwhile.
func (p *Pool) releaseStaying() {
	routing := p.queueRouting()
	for _, job := range p.jobs {
		if !job.holdsReleases || !job.isOpen() || job.transfer != nil || job.spec == nil {
			continue
		}
		if p.isReturning(job.record.Route) || routing != nil && routing.HasMoved(job.record.Route) {
			continue
		}
		job.holdsReleases, p.nextReleaseMs = false, 0
		p.releaseWithheld(job)
	}
}

// writeRollouts writes the counts that have changed, so that they are committed together with the ends that they count.
func (p *Pool) writeRollouts() {
	for name, counts := range p.rollouts.byName {
		if counts.isChanged {
			counts.isChanged = false
			p.putRecord(prefixRollout+name, rolloutRecord{Counts: counts.report()})
		}
	}
}

// countOccurrenceForRollout counts a complete occurrence for the rollout of its queue, if there is one. An occurrence that lost runs isn't
// counted as late.
func (p *Pool) countOccurrenceForRollout(occurrence *occurrence) {
	if counts := p.rollouts.byRoute[occurrence.job.record.Route]; counts != nil {
		isLate := p.leadership.WallMs() > occurrence.targetMs && !occurrence.hasLostRuns()
		counts.addCompleted(occurrence.job.work(), isLate)
	}
}

// countJobFailureForRollout counts a failed job for the rollout of its queue, if there is one.
func (p *Pool) countJobFailureForRollout(job *jobState) {
	if counts := p.rollouts.byRoute[job.record.Route]; counts != nil {
		counts.addFailed(job.work())
	}
}

// countRunForRollout counts a run that ended by itself for the rollout of its queue, if there is one. The run time is counted only if the
// run is done and started under this leader, since the start time of other runs is unknown.
func (p *Pool) countRunForRollout(run *runState, outcome wire.RunOutcome, now time.Duration) {
	counts := p.rollouts.byRoute[run.task.job().record.Route]
	if counts == nil {
		return
	}
	counts.addRun(run.executor.domain, outcome == wire.OutcomeDone)
	if estimatedMs := run.task.step.spec.EstimatedMs; outcome == wire.OutcomeDone && estimatedMs > 0 && run.startedAt > p.openedAt {
		counts.addRunTime((now - run.startedAt).Milliseconds() * thousandths / estimatedMs)
	}
}

// hasLostRuns reports whether any task of the occurrence was started more often than its failures and its last run explain. A run was then
// stopped, lost with its executor, or run speculatively beside another one.
func (o *occurrence) hasLostRuns() bool {
	for _, step := range o.steps {
		for _, task := range step.tasks {
			if task.lastRun > int64(task.sharedTask().failed)+1 {
				return true
			}
		}
	}
	return false
}

// maxWork is the largest estimated size of an occurrence in core milliseconds, more than 30,000 years on one core.
const maxWork = 1_000_000_000_000_000

// work is the estimated size of one occurrence of the job in core milliseconds, from 1 to maxWork.
func (j *jobState) work() int64 {
	total := 0.0
	for _, step := range j.spec.Steps {
		total += step.Work(step.Tasks) / thousandths
	}
	work := int64(min(total, maxWork))
	return max(1, work)
}

// Rollouts answers the leader of the configuration with this pool's counts for each rollout.
func (p *Pool) Rollouts(_ *wire.ClientCall, answer answerClient) {
	p.answerWithReport(answer, p.rolloutReport())
}

func (p *Pool) rolloutReport() *wire.RolloutReport {
	report := &wire.RolloutReport{Key: p.key}
	for _, executor := range p.table.sorted {
		if executor.shownState() == stateReady {
			report.Executors++
			report.Capacity += executor.capacity.CPU
		}
		report.Allocated += executor.allocated.CPU
	}
	open, overdue := p.openByRoute()
	for route, counts := range p.rollouts.byRoute {
		counted := counts.report()
		counted.Open, counted.Overdue = open[route], overdue[route]
		report.Rollouts = append(report.Rollouts, counted)
	}
	slices.SortFunc(report.Rollouts, func(a, b wire.RolloutCounts) int { return cmp.Compare(a.Rollout, b.Rollout) })
	return report
}

// openByRoute counts the open occurrences of each queue in a rollout, and those of them that are past their target. Occurrences with a
// long-running step are left out, and those that lost runs don't count as overdue.
func (p *Pool) openByRoute() (open, overdue map[string]int64) {
	open, overdue = map[string]int64{}, map[string]int64{}
	nowMs := p.leadership.WallMs()
	for _, job := range p.jobs {
		if p.rollouts.byRoute[job.record.Route] == nil || !job.isOpen() || job.spec == nil {
			continue
		}
		for _, occurrence := range job.occurrences {
			if job.completedOccurrences[occurrence.number] || occurrence.hasLongRunningStep() {
				continue
			}
			open[job.record.Route]++
			if nowMs > occurrence.targetMs && !occurrence.hasLostRuns() {
				overdue[job.record.Route]++
			}
		}
	}
	return open, overdue
}

// hasLongRunningStep reports whether the occurrence has a long-running step, which ends only with the job.
func (o *occurrence) hasLongRunningStep() bool {
	return slices.ContainsFunc(o.steps, func(step *stepState) bool { return step.spec.LongRunning })
}
