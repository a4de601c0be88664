package scheduler

import (
	"maps"
	"slices"

	"gannetline/internal/scheduling/jobs"
)

// jobPhase is the state of a job, as it is stored. Clients receive shownState.
type jobPhase string

// The phases of a job. A job is queued until one of its tasks has started. The last three are final, and so is jobMoved.
const (
	jobQueued    jobPhase = "queued"
	jobActive    jobPhase = "active"
	jobCompleted jobPhase = "completed"
	jobFailed    jobPhase = "failed"
	jobCancelled jobPhase = "cancelled"
)

// jobState is a job in the pool's memory.
type jobState struct {
	id     string
	record jobRecord
	tenant *tenantState
	// spec is nil once the job has ended and none of its runs is left.
	spec    *jobs.Spec
	phase   jobPhase
	endedMs int64
	// occurrences holds those that were released and are not complete, or still have runs.
	occurrences          map[int]*occurrence
	completedOccurrences map[int]bool
	// nextOccurrence is the number of the next occurrence to release.
	nextOccurrence int
	hasStarted     bool
	// isUnreadable is set if a record of the job can't be decoded. The job stays in the table but isn't run.
	isUnreadable bool
	// transfer is set while the job is being transferred to another pool. movedTo is the service whose pool has taken it over.
	transfer *transfer
	movedTo  string
	// isWithheld keeps all tasks of the job from starting, and holdsReleases keeps further occurrences from being released. isKept is
	// set if the other pool refused the job, which then stays here.
	isWithheld    bool
	holdsReleases bool
	isKept        bool
	// runCount is the number of runs that are not closed.
	runCount int
	// criticalPathMs caches the result of computeCriticalPath; 0 means not computed yet.
	criticalPathMs int64
}

// newJobState returns a queued job that has no released occurrence.
func newJobState(id string) *jobState {
	return &jobState{id: id, phase: jobQueued, occurrences: map[int]*occurrence{}, completedOccurrences: map[int]bool{}}
}

func (j *jobState) isOpen() bool { return j.phase == jobQueued || j.phase == jobActive }

// occurrenceCount is 1 for a job that isn't repeated.
func (j *jobState) occurrenceCount() int { return max(1, j.spec.RepeatCount) }

// releaseMs returns the time of day, in ms, at which an occurrence is due; 0 stands for at once.
func (j *jobState) releaseMs(number int) int64 {
	if j.spec.RepeatCount == 0 {
		return 0
	}
	return j.spec.FirstRunMs + int64(number)*j.spec.PeriodMs
}

func (j *jobState) sortedOccurrences() []*occurrence {
	occurrences := make([]*occurrence, 0, len(j.occurrences))
	for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
		occurrences = append(occurrences, j.occurrences[number])
	}
	return occurrences
}

// maxTargetMs limits the time from the release of an occurrence to its target, in milliseconds, for routes with an extreme stretch factor or
// target latency.
const maxTargetMs = 1_000_000_000_000_000

// targetMs returns the time of day, in ms, by which an occurrence of the job should be complete.
func (j *jobState) targetMs(number int) int64 {
	if j.criticalPathMs == 0 {
		j.criticalPathMs = j.computeCriticalPath()
	}
	beginMs := max(j.record.AcceptedMs, j.releaseMs(number))
	stretch := j.record.Terms.Stretch
	if stretch < 1 {
		stretch = 1
	}
	return beginMs + int64(min(stretch*float64(j.criticalPathMs), maxTargetMs)) + min(j.record.Terms.TargetMs, maxTargetMs)
}

// expiryFactor times the time from its release to its target is the time after which an occurrence is expired, and no longer just late.
const expiryFactor = 3

func (j *jobState) newOccurrence(number int) *occurrence {
	releaseMs, targetMs := max(j.record.AcceptedMs, j.releaseMs(number)), j.targetMs(number)
	return &occurrence{job: j, number: number, remaining: len(j.spec.Steps), releaseMs: releaseMs, targetMs: targetMs, expiryMs: releaseMs + expiryFactor*(targetMs-releaseMs)}
}

// computeCriticalPath returns the length in milliseconds of the longest chain of dependent steps, by their estimates.
func (j *jobState) computeCriticalPath() int64 {
	pathMs := make([]int64, len(j.spec.Steps))
	var longestMs int64
	for number, step := range j.spec.Steps {
		var dependenciesMs int64
		for _, dependency := range step.DependsOn {
			dependenciesMs = max(dependenciesMs, pathMs[dependency])
		}
		pathMs[number] = dependenciesMs + step.EstimatedMs
		longestMs = max(longestMs, pathMs[number])
	}
	return longestMs
}

// occurrence is one execution of a job. A job that isn't repeated has a single one, with the number 0.
type occurrence struct {
	job    *jobState
	number int
	// releaseMs is when the occurrence was due or its job was accepted, whichever was later. targetMs is when it should be complete, and
	// from expiryMs on its result is of no use. All three are times of day in ms.
	releaseMs int64
	targetMs  int64
	expiryMs  int64
	steps     []*stepState
	// remaining is the number of steps that are not complete.
	remaining int
}
