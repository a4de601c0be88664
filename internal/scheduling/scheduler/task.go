package scheduler

import (
	"cmp"
	"time"
)

// runPhase is the state of a run, as it is stored.
type runPhase string

// The phases of a run. While it is launching or stopping, its order is in progress.
const (
	runLaunching runPhase = "launching"
	runRunning   runPhase = "running"
	runStopping  runPhase = "stopping"
)

// taskState is one task of a step.
type taskState struct {
	name   string
	step   *stepState
	index  int
	isDone bool
	// failed is the number of failed runs that count as attempts; for a gang the first task has it.
	failed int
	// lastRun is the number of the newest run, 0 if there was none.
	lastRun    int64
	checkpoint string
	// runs holds the runs that are not closed.
	runs []*runState
	// avoid is the ID of an executor on which the task failed, stalled or was refused; placement chooses it last.
	avoid string
	// firstFailedOn is the executor that the first failure was counted against. isFirstFailureReduced is set once the task has failed on
	// another executor as well, so that the first failure weighs less.
	firstFailedOn         *executorState
	isFirstFailureReduced bool
	// stallCount is how many runs of the task were stopped because they made no progress.
	stallCount int
	// notBefore is the earliest monotonic time at which the task may start again.
	notBefore time.Duration
}

func (t *taskState) job() *jobState { return t.step.occurrence.job }

// runState is one run of a task on an executor, from its placement until closeRun.
type runState struct {
	task     *taskState
	number   int64
	executor *executorState
	phase    runPhase
	// isCommitted is set once the commit of the launch has ended.
	isCommitted bool
	// isQueued is set while the run's order is in the outbox of its executor.
	isQueued bool
	// sendCount is how often the current order was sent, and sentAt when it was sent last. orderedAt is when it was given.
	sendCount int
	sentAt    time.Duration
	orderedAt time.Duration
	// startedAt is when the run started, 0 until that is known. A run that a new leader has restored counts from Open, or from its start if
	// that is reported later.
	startedAt time.Duration
	// isAnswered is set once the executor has acknowledged the stop order. answeredAt is when it did. If the end of the run isn't reported
	// after that, the executor's list of runs is requested, and answeredAt is the time of the last such request.
	answeredAt time.Duration
	isAnswered bool
	// awaitedList is the number of the executor's list of runs that resolves the state of this run; 0 if the state is certain.
	awaitedList uint64
	// isStuck is set while the executor reports that the run makes no progress.
	isStuck bool
	// isExpired is set if the run's work was already expired when it was placed. isFromShare is set if a capacity share was used for it.
	isExpired   bool
	isFromShare bool
}

func (r *runState) key() runKey { return runKey{r.task.name, r.number} }

// compareRuns orders runs by the names of their tasks, and those of one task by their numbers.
func compareRuns(a, b *runState) int {
	return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
}

// runKey identifies a run by the name of its task and its number.
type runKey struct {
	task   string
	number int64
}
