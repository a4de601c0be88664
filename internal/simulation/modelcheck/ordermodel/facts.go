package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// modelJob is a job as clients know it: its specification and the answers so far. It also counts the job's runs.
type modelJob struct {
	id          string
	spec        *jobs.Spec
	terms       wire.RouteTerms
	isSubmitted bool
	isRefused   bool
	// hasUnclearAnswer is set once a submission had no answer, or one that leaves open whether the job was accepted.
	hasUnclearAnswer bool
	isAccepted       bool
	isCancelSent     bool
	// isCancelled is set, and cancelledAt the time, once a cancel was acknowledged.
	isCancelled bool
	cancelledAt time.Duration
	// state is the state that a client was shown last; empty if none was.
	state       string
	startedRuns int
	// running counts the runs of the job that are active on executors, also those that wait for their gang.
	running int
	// orderedAt is when the leader last answered a machine with orders for a task of this job, by the machine's number.
	orderedAt map[int]time.Duration
	// waitingSince is when a check first found that the job could run and has no active run; 0 if the last check did not.
	waitingSince time.Duration
	// isAnswered is set once a request for the job's state is answered with a state; checkFinalStates resets it.
	isAnswered bool
	// openAttempts counts the submissions that are neither answered nor timed out.
	openAttempts int
	submittedAt  time.Duration
	// lastProgressAt is when a run of the job last ended as done.
	lastProgressAt time.Duration
}

// isFinallyRefused reports whether every submission of the job so far was clearly refused.
func (j *modelJob) isFinallyRefused() bool {
	return j.isRefused && !j.hasUnclearAnswer && !j.isAccepted && j.openAttempts == 0
}

func (j *modelJob) isOver() bool {
	return j.state == "completed" || j.state == "failed" || j.state == "cancelled"
}

// isFinalState reports whether a state is final.
func (j *modelJob) isFinalState(state string) bool {
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
	// isDone is set once a run has done the task, or for a member of a gang once a run of any member is done.
	isDone bool
	// doneAckedAt is when an executor was first informed that the leader has acknowledged a run that did the task.
	// isDoneAcknowledged is set from then on.
	doneAckedAt        time.Duration
	isDoneAcknowledged bool
	starts             []start
	failures           []failure
	checkpoints        map[string]bool
	// highestRun is the highest run that has started, highestRunExecutor the ID of its executor, and highestRunFence the fence of
	// the order to start it. They are not set for redundant tasks.
	highestRun         int64
	highestRunExecutor string
	highestRunFence    uint64
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
