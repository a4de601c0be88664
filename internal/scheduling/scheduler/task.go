package scheduler

import (
	"cmp"
	"time"
)

// runPhase is how far a run is, as it is stored.
type runPhase string

// The phases of a run. An order is under way while it is launching or stopping.
const (
	runLaunching runPhase = "launching"
	runRunning   runPhase = "running"
	runStopping  runPhase = "stopping"
)

type taskState struct {
	name             string
	step             *stepState
	index            int
	isDone           bool
	failed           int
	lastRun          int64
	checkpoint       string
	runs             []*runState
	avoid            string
	firstFailedOn    *executorState
	isFailureExcused bool
	stallCount       int
	notBefore        time.Duration
}

func (t *taskState) owner() *jobState { return t.step.occurrence.job }

type runState struct {
	task        *taskState
	number      int64
	executor    *executorState
	phase       runPhase
	isCommitted bool
	isQueued    bool
	sendCount   int
	sentAt      time.Duration
	orderedAt   time.Duration
	startedAt   time.Duration
	answeredAt  time.Duration
	isAnswered  bool
	awaitedList uint64
	isStuck     bool
	// isExpired tells that the run was of no use any more when it was placed, isFromShare that a share was used for it.
	isExpired   bool
	isFromShare bool
}

func (r *runState) key() runKey { return runKey{r.task.name, r.number} }

// compareRuns orders runs by the names of their tasks, and those of one task by their numbers.
func compareRuns(a, b *runState) int {
	return cmp.Or(cmp.Compare(a.task.name, b.task.name), cmp.Compare(a.number, b.number))
}

type runKey struct {
	task   string
	number int64
}
