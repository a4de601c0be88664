package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// modelJob is a job as its client knows it: what was submitted and the answers so far. It also counts the job's runs.
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
	// running counts the runs of the job that are at work or wait for their gang.
	running int
	// orderedAt is when the leader last answered a machine with orders for a task of this job, by the machine's number.
	orderedAt map[int]time.Duration
	// stalledSince is when the job became stalled; 0 if it is not.
	stalledSince time.Duration
	// isAnswered is set once a request for the job's state is answered; checkFinalStates resets it.
	isAnswered bool
	// openAttempts counts the submissions without an answer so far.
	openAttempts int
	submittedAt  time.Duration
	// lastProgressAt is when a run of the job last ended as done.
	lastProgressAt time.Duration
}

// isFinallyRefused reports whether every submission of the job got a clear refusal.
func (j *modelJob) isFinallyRefused() bool {
	return j.isRefused && !j.hasUnclearAnswer && !j.isAccepted && j.openAttempts == 0
}

func (j *modelJob) isOver() bool {
	return j.state == "completed" || j.state == "failed" || j.state == "cancelled"
}

// isOverAs reports whether a state is final.
func (j *modelJob) isOverAs(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// eachTask visits the tasks of all occurrences of a job.
func (j *modelJob) eachTask(visit func(name string, step *jobs.Step)) {
	for occurrence := range max(1, j.spec.RepeatCount) {
		for number := range j.spec.Steps {
			for index := range j.spec.Steps[number].Tasks {
				visit(jobs.TaskName(j.id, occurrence, number, index), &j.spec.Steps[number])
			}
		}
	}
}

// modelTask is what executors have actually done with a task.
type modelTask struct {
	active []*modelExecution
	isDone bool
	// doneAt is when a leader first acknowledged that a run had done the task.
	doneAt             time.Duration
	isDoneAcknowledged bool
	starts             []start
	failures           []failure
	checkpoints        map[string]bool
	// highestRun is the highest run that has started, and highestRunExecutor and fence are where and under which fence.
	highestRun         int64
	highestRunExecutor string
	fence              uint64
}

// start is the start of a run of a task.
type start struct {
	at  time.Duration
	run int64
}

// failure is a failed run of a task.
type failure struct {
	run            int64
	at             time.Duration
	isAcknowledged bool
}

// incarnationRun is a run on one incarnation of an executor.
type incarnationRun struct {
	executor string
	task     string
	run      int64
}
