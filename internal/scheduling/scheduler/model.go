package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/placement"
)

const (
	stateQueued    = "queued"
	stateActive    = "active"
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// Runs are PENDING while an order for them is unanswered: launching or stopping.
const (
	runLaunching = "launching"
	runRunning   = "running"
	runStopping  = "stopping"
)

const (
	kindLaunch = "launch"
	kindStop   = "stop"
)

type jobState struct {
	id                   string
	record               jobRecord
	spec                 *jobs.Spec
	state                string
	endedMs              int64
	occurrences          map[int]*occurrence
	completedOccurrences map[int]bool
	nextOccurrence       int
	hasStarted           bool
	// isUnreadable is set if a record of the job can't be read: it is known and not run.
	isUnreadable   bool
	runCount       int
	criticalPathMs int64
}

func (j *jobState) isOpen() bool { return j.state == stateQueued || j.state == stateActive }

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

// lateFactor times the aim is the last that counts as late.
const lateFactor = 3

func (j *jobState) newOccurrence(number int) *occurrence {
	begin, aim := max(j.record.AcceptedMs, j.releaseMs(number)), j.targetMs(number)
	return &occurrence{job: j, number: number, remaining: len(j.spec.Steps), releaseMs: begin, targetMs: aim, expiryMs: begin + lateFactor*(aim-begin)}
}

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

type stepState struct {
	occurrence *occurrence
	number     int
	spec       *jobs.Step
	tasks      []*taskState
	remaining  int
	isOpen     bool
	openedAt   time.Duration
	// lastProgressAt is when a run of the step was last known to work, or when the step opened.
	lastProgressAt  time.Duration
	failedRun       int64
	brokenAt        time.Duration
	durations       []time.Duration
	overdueFactor   float64
	remainingPathMs int64
	notBefore       time.Duration
	idle            []*taskState
	busy            []*taskState
	requests        stepRequests
}

func (s *stepState) priority() int { return s.occurrence.job.record.Terms.Priority }

func (s *stepState) need() placement.Resources {
	return placement.Resources{CPU: s.spec.CPU, Memory: s.spec.Memory, GPU: s.spec.GPU}
}

func (s *stepState) lastRun() int64 {
	var last int64
	for _, one := range s.tasks {
		last = max(last, one.lastRun)
	}
	return last
}

func (s *stepState) hasRuns() bool { return len(s.busy) > 0 }

// classify keeps a task among those of its step that run, those that could, or neither.
func (s *stepState) classify(task *taskState) {
	s.busy = withMembership(s.busy, task, len(task.runs) > 0)
	s.idle = withMembership(s.idle, task, len(task.runs) == 0 && !task.isDone)
}

func withMembership(list []*taskState, task *taskState, belongs bool) []*taskState {
	index, exists := slices.BinarySearchFunc(list, task, func(one, two *taskState) int { return cmp.Compare(one.index, two.index) })
	switch {
	case belongs && !exists:
		return slices.Insert(list, index, task)
	case exists && !belongs && index == 0:
		return list[1:]
	case exists && !belongs:
		return slices.Delete(list, index, index+1)
	}
	return list
}

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
	state       string
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
}

func (r *runState) key() runKey { return runKey{r.task.name, r.number} }

type runKey struct {
	task   string
	number int64
}

// executorState is one executor from its start to its end.
type executorState struct {
	id              string
	proxy           string
	domain          string
	labels          []string
	capacity        placement.Resources
	allocated       placement.Resources
	isDraining      bool
	departureAt     time.Duration
	isKnown         bool
	isFenced        bool
	firstList       uint64
	listWanted      uint64
	listWantedAt    time.Duration
	contactAt       time.Duration
	leaseExpiry     time.Duration
	takenEnd        int64
	lastSeen        int64
	ejectedUntil    time.Duration
	failures        float64
	successes       float64
	slowFactor      float64
	runs            map[runKey]*runState
	outbox          []*runState
	orphanStops     []wire.Order
	poll            *pendingPoll
	isUnschedulable bool
	isRecorded      bool
	idleSince       time.Duration
	index           int
	isChanged       bool
	exchange        exchangeState
	penalty         float64
	runLimit        int
}

// sortedRuns gives the runs in an order that is the same at every replay.
func (l *executorState) sortedRuns() []*runState {
	runs := slices.Collect(maps.Values(l.runs))
	slices.SortFunc(runs, func(run, otherRun *runState) int {
		return cmp.Or(cmp.Compare(run.task.name, otherRun.task.name), cmp.Compare(run.number, otherRun.number))
	})
	return runs
}

func (l *executorState) rack() string {
	if len(l.labels) == 0 {
		return ""
	}
	return l.labels[len(l.labels)-1]
}

func (l *executorState) penaltyScore() float64 {
	return l.failures/(l.failures+l.successes+4) + 0.3*l.penalty
}

type pendingPoll struct {
	until  time.Duration
	answer func(wire.ExchangeAnswer)
}
