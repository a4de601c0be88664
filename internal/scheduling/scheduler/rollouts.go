package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// RolloutPolicy is what a version of the configuration says of the rollouts in which the pool's service runs one of the two versions; it is
// never changed after it was made.
type RolloutPolicy struct {
	// Version is that of the configuration.
	Version  int64
	Rollouts []RolloutTerms
}

// RolloutTerms are those of one rollout.
type RolloutTerms struct {
	Name string
	// BegunMs is when it began, in milliseconds since 1970; what is counted under another one of the same name is dropped.
	BegunMs int64
	// Route is the name of the queue whose jobs it divides.
	Route string
	// ReturnTo is the service of the old version, to whose pool jobs go back; it is empty unless this pool runs the new version and that was
	// turned back.
	ReturnTo string
	// StopsRuns tells that runs are stopped so that their jobs can go back; IsRepeatable that even tasks that are done may run again there.
	StopsRuns    bool
	IsRepeatable bool
}

// WithRollouts gives a pool what the configuration in force says of rollouts. Without it there are none.
func WithRollouts(policy func() RolloutPolicy) Option {
	return func(p *Pool) { p.rolloutPolicy = policy }
}

func noRolloutPolicy() RolloutPolicy { return RolloutPolicy{} }

// rolloutTable holds what the pool counts for rollouts. It is made anew with each leadership, from the records.
type rolloutTable struct {
	// version is that of the configuration whose rollouts these are.
	version int64
	// byName are the counts of each rollout, byRoute those that a queue's jobs count for, returning the rollouts that were turned back.
	byName    map[string]*versionCounts
	byRoute   map[string]*versionCounts
	returning []RolloutTerms
	// inTransfer are the jobs on their way to another pool, by their IDs.
	inTransfer map[string]*jobState
	// nextReturnAt is when jobs to be returned are looked for again.
	nextReturnAt time.Duration
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

// updateRollouts takes the rollouts of the configuration in force, if it is another one than before.
func (p *Pool) updateRollouts() {
	policy := p.rolloutPolicy()
	if policy.Version == p.rollouts.version {
		return
	}
	p.rollouts.version = policy.Version
	if len(p.rollouts.returning) > 0 {
		p.releaseReturning()
	}
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
}

// isReturning tells whether the jobs of a queue go back to the pool of an older version.
func (p *Pool) isReturning(route string) bool {
	return slices.ContainsFunc(p.rollouts.returning, func(terms RolloutTerms) bool { return terms.Route == route })
}

// releaseReturning lets all jobs go on that wait for their return; the rollouts in force decide again which of them do.
func (p *Pool) releaseReturning() {
	for _, job := range p.jobs {
		if job.transfer != nil || job.spec == nil || !job.holdsReleases {
			continue
		}
		job.holdsReleases, p.nextReleaseMs = false, 0
		p.releaseWithheld(job)
	}
}

// writeRollouts records the counts that have changed, so that they are committed together with the ends that they count.
func (p *Pool) writeRollouts() {
	for name, counts := range p.rollouts.byName {
		if counts.isChanged {
			counts.isChanged = false
			p.putRecord(prefixRollout+name, rolloutRecord{Counts: counts.report()})
		}
	}
}

// countOccurrenceEnd counts an occurrence that is complete, for the rollout that its queue is in.
func (p *Pool) countOccurrenceEnd(occurrence *occurrence) {
	if counts := p.rollouts.byRoute[occurrence.job.record.Route]; counts != nil {
		isLate := p.leadership.WallMs() > occurrence.targetMs && !occurrence.hasLostRuns()
		counts.addCompleted(occurrence.job.work(), isLate)
	}
}

// countJobFailure counts a job that has failed.
func (p *Pool) countJobFailure(job *jobState) {
	if counts := p.rollouts.byRoute[job.record.Route]; counts != nil {
		counts.addFailed(job.work())
	}
}

// countRunEnd counts a run that ended by itself. The time of a run that an earlier leader started isn't known.
func (p *Pool) countRunEnd(run *runState, outcome wire.RunOutcome, now time.Duration) {
	counts := p.rollouts.byRoute[run.task.owner().record.Route]
	if counts == nil {
		return
	}
	counts.addRun(run.executor.domain, outcome == wire.OutcomeDone)
	if estimatedMs := run.task.step.spec.EstimatedMs; outcome == wire.OutcomeDone && estimatedMs > 0 && run.startedAt > p.openedAt {
		counts.addRunTime((now - run.startedAt).Milliseconds() * thousandths / estimatedMs)
	}
}

// hasLostRuns tells whether any task of the occurrence was started more often than it failed and ended: a run was stopped, or lost with its
// executor, or was one of several at once.
func (t *occurrence) hasLostRuns() bool {
	for _, step := range t.steps {
		for _, task := range step.tasks {
			if task.lastRun > int64(task.sharedTask().failed)+1 {
				return true
			}
		}
	}
	return false
}

// work is how much the job takes by its estimates, in core milliseconds.
func (j *jobState) work() int64 {
	var work int64
	for _, step := range j.spec.Steps {
		work += int64(step.Tasks) * step.CPU * max(1, step.EstimatedMs) / thousandths
	}
	return max(1, work)
}

// Rollouts answers the leader of the configuration with what this pool has counted.
func (p *Pool) Rollouts(_ *wire.ClientCall, answer answerClient) {
	p.answerWith(answer, func() easyjson.Marshaler { return p.rolloutReport() })
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

// openByRoute counts the occurrences under way of each queue in a rollout, and those of them that have missed their target.
func (p *Pool) openByRoute() (open, overdue map[string]int64) {
	open, overdue = map[string]int64{}, map[string]int64{}
	nowMs := p.leadership.WallMs()
	for _, job := range p.jobs {
		if p.rollouts.byRoute[job.record.Route] == nil || !job.isOpen() || job.spec == nil {
			continue
		}
		for _, occurrence := range job.occurrences {
			if job.completedOccurrences[occurrence.number] || occurrence.isLasting() {
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

// isLasting tells whether the occurrence has a step that ends only with the job.
func (t *occurrence) isLasting() bool {
	return slices.ContainsFunc(t.steps, func(step *stepState) bool { return step.spec.LongRunning })
}
