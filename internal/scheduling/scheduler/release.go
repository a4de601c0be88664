package scheduler

import (
	"maps"
	"math"
	"slices"

	"gannetline/internal/scheduling/jobs"
)

// occurrenceOf returns an occurrence of a job, and creates it with its steps and tasks at the first call.
func (p *Pool) occurrenceOf(job *jobState, number int) *occurrence {
	if occurrence := job.occurrences[number]; occurrence != nil {
		return occurrence
	}
	occurrence := job.newOccurrence(number)
	for stepNumber := range job.spec.Steps {
		step := &stepState{occurrence: occurrence, number: stepNumber, spec: &job.spec.Steps[stepNumber], remaining: job.spec.Steps[stepNumber].Tasks}
		for index := range step.remaining {
			step.tasks = append(step.tasks, &taskState{name: jobs.TaskName(job.id, number, stepNumber, index), step: step, index: index})
		}
		step.idle = slices.Clone(step.tasks)
		occurrence.steps = append(occurrence.steps, step)
	}
	occurrence.computeRemainingPaths()
	job.occurrences[number] = occurrence
	return occurrence
}

// releaseDue opens the occurrences that are due. During Open, without a leadership, the time of day counts as 0.
func (p *Pool) releaseDue() {
	var nowMs int64
	if p.leadership != nil {
		nowMs = p.leadership.WallMs()
	}
	if nowMs < p.nextReleaseMs {
		return
	}
	p.nextReleaseMs = math.MaxInt64
	for _, id := range slices.Sorted(maps.Keys(p.awaitingRelease)) {
		p.releaseDueOf(p.awaitingRelease[id], nowMs)
	}
}

// releaseDueOf opens the occurrences of a job that are due, and updates nextReleaseMs with the time of the next one.
func (p *Pool) releaseDueOf(job *jobState, nowMs int64) {
	for job.isOpen() && !job.holdsReleases && job.nextOccurrence < job.occurrenceCount() && job.releaseMs(job.nextOccurrence) <= nowMs {
		if number := job.nextOccurrence; !job.completedOccurrences[number] {
			p.openReadySteps(p.occurrenceOf(job, number))
		}
		job.nextOccurrence++
	}
	if !job.isOpen() || job.nextOccurrence >= job.occurrenceCount() {
		delete(p.awaitingRelease, job.id)
		return
	}
	if !job.holdsReleases {
		p.nextReleaseMs = min(p.nextReleaseMs, job.releaseMs(job.nextOccurrence))
	}
}

// openReadySteps opens the steps of an occurrence whose dependencies are complete.
func (p *Pool) openReadySteps(occurrence *occurrence) {
	for _, step := range occurrence.steps {
		if step.isOpen || step.remaining == 0 {
			continue
		}
		isReady := true
		for _, dependency := range step.spec.DependsOn {
			isReady = isReady && occurrence.steps[dependency].remaining == 0
		}
		if isReady {
			step.isOpen, step.openedAt, step.lastProgressAt = true, p.clock.Monotonic(), p.clock.Monotonic()
			if !occurrence.job.isWithheld {
				p.open.add(step)
			}
			p.needsPlacing = true
		}
	}
}
