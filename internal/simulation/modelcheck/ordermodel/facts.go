package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// modelJob is what a client submitted, and what it was told of it.
type modelJob struct {
	id               string
	spec             *jobs.Spec
	terms            wire.RouteTerms
	isSubmitted      bool
	isRefused        bool
	hasUnclearAnswer bool
	isAccepted       bool
	isCancelSent     bool
	isCancelled      bool
	cancelledAt      time.Duration
	state            string
	startedRuns      int
	// running is how many runs of the job are at work or wait for their gang.
	running int
	// orderedAt is when orders for a task of this job were last given to a machine, by the machine's number.
	orderedAt map[int]time.Duration
	// stalledSince is when the job began to wait without cause; 0 while it doesn't.
	stalledSince time.Duration
	// isAnswered is set once the last question for the job's state was answered.
	isAnswered   bool
	openAttempts int
	submittedAt  time.Duration
	// progressAt is when a run of the job last ended as done.
	lastProgressAt time.Duration
}

// isRefusedForGood tells whether every try to hand the job in was turned away.
func (j *modelJob) isFinallyRefused() bool {
	return j.isRefused && !j.hasUnclearAnswer && !j.isAccepted && j.openAttempts == 0
}

func (j *modelJob) isOver() bool {
	return j.state == "completed" || j.state == "failed" || j.state == "cancelled"
}

func (j *modelJob) isOverAs(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// eachTask visits the tasks of all the times of a job.
func (j *modelJob) eachTask(visit func(name string, step *jobs.Step)) {
	for occurrence := range max(1, j.spec.RepeatCount) {
		for number := range j.spec.Steps {
			for index := range j.spec.Steps[number].Tasks {
				visit(jobs.TaskName(j.id, occurrence, number, index), &j.spec.Steps[number])
			}
		}
	}
}

// modelTask is what executors truly did with one.
type modelTask struct {
	active             []*modelExecution
	isDone             bool
	doneAt             time.Duration
	isDoneAcknowledged bool
	starts             []start
	failures           []failure
	checkpoints        map[string]bool
	highestRun         int64
	highestRunExecutor string
	fence              uint64
}

type start struct {
	at  time.Duration
	run int64
}

type failure struct {
	run            int64
	at             time.Duration
	isAcknowledged bool
}

type incarnationRun struct {
	executor string
	task     string
	run      int64
}
