package ordermodel

import (
	"fmt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// shape is a kind of job that clients submit. It sets the job's steps, and for some kinds also the period of a repeated job and the
// terms of the job's route.
type shape func(job *modelJob)

// defaultAttempts is how many attempts each task has, unless the job's shape sets other terms.
const defaultAttempts = 4

// firstRunDelayMs is how long after the submission of a repeated job its first occurrence is due.
const firstRunDelayMs = 800

// smallShapes are the jobs of the small profile.
var smallShapes = []shape{
	withSteps(jobs.Step{Tasks: 3, CPU: 1000, Memory: 100, EstimatedMs: 500}),
	withSteps(jobs.Step{Tasks: 1, CPU: 3000, Memory: 100, EstimatedMs: 500}),
	withSteps(jobs.Step{Tasks: 8, CPU: 1500, Memory: 100, EstimatedMs: 400}),
	withSteps(jobs.Step{Tasks: 2, CPU: 500, EstimatedMs: 300}, jobs.Step{Tasks: 2, CPU: 1000, EstimatedMs: 300, DependsOn: []int{0}}),
	withSteps(jobs.Step{Tasks: 3, CPU: 1500, EstimatedMs: 400, Gang: true, Checkpointing: true}),
	withSteps(jobs.Step{Tasks: 2, CPU: 1000, EstimatedMs: 300, Redundant: true}, jobs.Step{Tasks: 1, CPU: 500, EstimatedMs: 100, DependsOn: []int{0}}),
	withSteps(jobs.Step{Tasks: 2, CPU: 1000, EstimatedMs: 1500, Checkpointing: true}),
	withSteps(jobs.Step{Tasks: 2, CPU: 500, LongRunning: true}),
	withSteps(jobs.Step{Tasks: 3, CPU: 1000, EstimatedMs: longTaskMs}),
	withSteps(jobs.Step{Tasks: 3, CPU: 500, EstimatedMs: 800, AntiAffinity: 1}),
	withSteps(jobs.Step{Tasks: 1, CPU: 500, EstimatedMs: alwaysFailingMs}),
	withSteps(jobs.Step{Tasks: 2, CPU: 500, EstimatedMs: 800, Labels: jobs.Labels{rackOf(1)}}),
	repeated(3, 1200, jobs.Step{Tasks: 1, CPU: 500, EstimatedMs: 200}),
}

// The terms of the routes of the large profile.
var (
	urgentTerms         = wire.RouteTerms{MaxAttempts: 3, Stretch: 1.5, TargetMs: 250, Priority: 0}
	mediumPriorityTerms = wire.RouteTerms{MaxAttempts: 4, Stretch: 2.2, TargetMs: 1000, Priority: 1}
	lowPriorityTerms    = wire.RouteTerms{MaxAttempts: 3, Stretch: 3.2, TargetMs: 3000, Priority: 2}
)

// Indices into largeShapes. Schedules store them, so their order must not change.
const (
	shapeWide = iota
	shapeWideChain
	shapeNarrow
	shapePlain
	shapePlainNear
	shapePlainApart
	shapePlainBig
	shapeLong
	shapeLongChain
	shapeLongApart
	shapeLongLabel
	shapeLongBig
	shapeGang
	shapeGangRack
	shapeRedundant
	shapeLongRunning
	shapeRepeated
)

// largeShapes are the jobs of the large profile: urgent wide jobs of short tasks, jobs of medium priority, and long jobs of
// low priority.
var largeShapes = []shape{
	shapeWide: withTerms(urgentTerms, jobs.Step{Tasks: 31, CPU: 12000, Memory: 22000, EstimatedMs: 240}),
	shapeWideChain: withTerms(urgentTerms, jobs.Step{Tasks: 31, CPU: 12000, Memory: 22000, EstimatedMs: 240},
		jobs.Step{Tasks: 12, CPU: 8000, Memory: 16000, EstimatedMs: 200, DependsOn: []int{0}}),
	shapeNarrow:     withTerms(urgentTerms, jobs.Step{Tasks: 2, CPU: 12000, Memory: 22000, EstimatedMs: 240}),
	shapePlain:      withTerms(mediumPriorityTerms, jobs.Step{Tasks: 10, CPU: 19000, Memory: 36000, EstimatedMs: 720}),
	shapePlainNear:  withTerms(mediumPriorityTerms, jobs.Step{Tasks: 10, CPU: 19000, Memory: 36000, EstimatedMs: 720, Affinity: jobs.Labels{rackOf(3)}}),
	shapePlainApart: withTerms(mediumPriorityTerms, jobs.Step{Tasks: 60, CPU: 19000, Memory: 36000, EstimatedMs: 720, AntiAffinity: 1}),
	shapePlainBig:   withTerms(mediumPriorityTerms, jobs.Step{Tasks: 20, CPU: 50000, Memory: 100000, EstimatedMs: 720}),
	shapeLong:       withTerms(lowPriorityTerms, jobs.Step{Tasks: 100, CPU: 29000, Memory: 29000, EstimatedMs: 4800, Checkpointing: true}),
	shapeLongChain: withTerms(lowPriorityTerms, jobs.Step{Tasks: 20, CPU: 29000, Memory: 29000, EstimatedMs: 2400},
		jobs.Step{Tasks: 100, CPU: 20000, Memory: 29000, EstimatedMs: 2400, DependsOn: []int{0}}),
	shapeLongApart:   withTerms(lowPriorityTerms, jobs.Step{Tasks: 300, CPU: 29000, Memory: 29000, EstimatedMs: 2400, AntiAffinity: 1}),
	shapeLongLabel:   withTerms(lowPriorityTerms, jobs.Step{Tasks: 40, CPU: 29000, Memory: 29000, EstimatedMs: 2400, Labels: jobs.Labels{rackOf(5)}}),
	shapeLongBig:     withTerms(lowPriorityTerms, jobs.Step{Tasks: 60, CPU: 80000, Memory: 80000, EstimatedMs: 4800, Checkpointing: true}),
	shapeGang:        withTerms(lowPriorityTerms, jobs.Step{Tasks: 24, CPU: 29000, Memory: 29000, EstimatedMs: 2400, Gang: true, Checkpointing: true}),
	shapeGangRack:    withTerms(mediumPriorityTerms, jobs.Step{Tasks: 12, CPU: 19000, Memory: 29000, EstimatedMs: 720, Gang: true, SameRack: true}),
	shapeRedundant:   withTerms(urgentTerms, jobs.Step{Tasks: 20, CPU: 12000, Memory: 22000, EstimatedMs: 240, Redundant: true}),
	shapeLongRunning: withTerms(mediumPriorityTerms, jobs.Step{Tasks: 6, CPU: 8000, Memory: 16000, LongRunning: true}),
	shapeRepeated:    withPeriod(withTerms(urgentTerms, jobs.Step{Tasks: 4, CPU: 12000, Memory: 22000, EstimatedMs: 240}), 4, 1500),
}

// withSteps returns a shape with the given steps and the default terms.
func withSteps(all ...jobs.Step) shape {
	return func(job *modelJob) { job.spec.Steps = all }
}

// repeated returns a shape of jobs with count occurrences, one in each period.
func repeated(count int, periodMs int64, all ...jobs.Step) shape {
	return withPeriod(withSteps(all...), count, periodMs)
}

// withPeriod returns a shape that adds count occurrences, one in each period, to another shape.
func withPeriod(inner shape, count int, periodMs int64) shape {
	return func(job *modelJob) {
		inner(job)
		job.spec.RepeatCount, job.spec.PeriodMs = count, periodMs
	}
}

// withTerms returns a shape with the given steps and terms.
func withTerms(terms wire.RouteTerms, all ...jobs.Step) shape {
	return func(job *modelJob) {
		job.spec.Steps, job.terms = all, terms
	}
}

// rackOf returns the label of a rack.
func rackOf(rack int) string { return fmt.Sprintf("rack-%d", rack) }

func jobID(number int) string { return fmt.Sprintf("%016x", number+1) }

// makeJob creates the job of a number with a shape. The first occurrence of a repeated job is due firstRunDelayMs after atMs.
func (p *profile) makeJob(number, shape int, atMs int64) *modelJob {
	job := &modelJob{id: jobID(number), spec: &jobs.Spec{Descriptor: fmt.Sprintf("descriptor-%d", number)},
		terms: wire.RouteTerms{MaxAttempts: defaultAttempts, Stretch: 1.5, TargetMs: 250, Priority: number % 2}}
	p.shapes[shape%len(p.shapes)](job)
	if job.spec.RepeatCount > 0 {
		job.spec.FirstRunMs = wallAtStartMs + atMs + firstRunDelayMs
	}
	return job
}
