package scheduler

import (
	"maps"
	"slices"

	"gannetline/internal/scheduling/jobs"
)

// jobPhase is how far a job is, as clients see it and as it is stored.
type jobPhase string

// The phases of a job. A job is queued until one of its tasks has begun; the last three are final.
const (
	jobQueued    jobPhase = "queued"
	jobActive    jobPhase = "active"
	jobCompleted jobPhase = "completed"
	jobFailed    jobPhase = "failed"
	jobCancelled jobPhase = "cancelled"
)

// jobState is a job as the pool knows it.
type jobState struct {
	id                   string
	record               jobRecord
	tenant               *tenantState
	spec                 *jobs.Spec
	phase                jobPhase
	endedMs              int64
	occurrences          map[int]*occurrence
	completedOccurrences map[int]bool
	nextOccurrence       int
	hasStarted           bool
	// isUnreadable is set if a record of the job can't be read: it is known and not run.
	isUnreadable bool
	// transfer is set while the job is on its way to another pool, movedTo is the service of the pool that has it now.
	transfer *transfer
	movedTo  string
	// isWithheld keeps everything of the job from starting, holdsReleases keeps its later occurrences from opening; isKept tells that the
	// other pool can't take it.
	isWithheld     bool
	holdsReleases  bool
	isKept         bool
	runCount       int
	criticalPathMs int64
}

// newJobState makes a queued job of which nothing has been released yet.
func newJobState(id string) *jobState {
	return &jobState{id: id, phase: jobQueued, occurrences: map[int]*occurrence{}, completedOccurrences: map[int]bool{}}
}

func (j *jobState) isOpen() bool { return j.phase == jobQueued || j.phase == jobActive }

func (j *jobState) occurrenceCount() int { return max(1, j.spec.RepeatCount) }

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

// targetMs is when the job, or one of its times, should be done.
func (j *jobState) targetMs(number int) int64 {
	if j.criticalPathMs == 0 {
		j.criticalPathMs = j.computeCriticalPath()
	}
	begin := max(j.record.AcceptedMs, j.releaseMs(number))
	stretch := j.record.Terms.Stretch
	if stretch < 1 {
		stretch = 1
	}
	return begin + int64(stretch*float64(j.criticalPathMs)) + j.record.Terms.TargetMs
}

// lateFactor times the target is the last that counts as late.
const lateFactor = 3

func (j *jobState) newOccurrence(number int) *occurrence {
	begin, targetMs := max(j.record.AcceptedMs, j.releaseMs(number)), j.targetMs(number)
	return &occurrence{job: j, number: number, remaining: len(j.spec.Steps), releaseMs: begin, targetMs: targetMs, expiryMs: begin + lateFactor*(targetMs-begin)}
}

// computeCriticalPath returns the length in milliseconds of the longest chain of dependent steps, by their estimates.
func (j *jobState) computeCriticalPath() int64 {
	longest := make([]int64, len(j.spec.Steps))
	var limit int64
	for number, step := range j.spec.Steps {
		var before int64
		for _, earlier := range step.DependsOn {
			before = max(before, longest[earlier])
		}
		longest[number] = before + step.EstimatedMs
		limit = max(limit, longest[number])
	}
	return limit
}

type occurrence struct {
	job    *jobState
	number int
	// releaseMs, targetMs and expiryMs: when it was asked for, when it should be done, until when it is worth something.
	releaseMs int64
	targetMs  int64
	expiryMs  int64
	steps     []*stepState
	remaining int
}
