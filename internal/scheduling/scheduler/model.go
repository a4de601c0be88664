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

type job struct {
	id         string
	record     jobRecord
	spec       *jobs.Spec
	state      string
	endedMs    int64
	times      map[int]*jobTime
	doneTimes  map[int]bool
	nextTime   int
	hasStarted bool
	// isUnreadable is set if a record of the job can't be read: it is known and not run.
	isUnreadable bool
	runs         int
	chain        int64
}

func (j *job) isOpen() bool { return j.state == stateQueued || j.state == stateActive }

func (j *job) timeCount() int { return max(1, j.spec.RepeatCount) }

func (j *job) dueMs(number int) int64 {
	if j.spec.RepeatCount == 0 {
		return 0
	}
	return j.spec.FirstRunMs + int64(number)*j.spec.PeriodMs
}

func (j *job) timesInOrder() []*jobTime {
	spells := make([]*jobTime, 0, len(j.times))
	for _, number := range slices.Sorted(maps.Keys(j.times)) {
		spells = append(spells, j.times[number])
	}
	return spells
}

// aimMs is when the job, or one of its times, should be done.
func (j *job) aimMs(number int) int64 {
	if j.chain == 0 {
		j.chain = j.chainMs()
	}
	begin := max(j.record.AcceptedMs, j.dueMs(number))
	stretch := j.record.Terms.Stretch
	if stretch < 1 {
		stretch = 1
	}
	return begin + int64(stretch*float64(j.chain)) + j.record.Terms.TargetMs
}

// lateFactor times the aim is the last that counts as late.
const lateFactor = 3

func (j *job) newTime(number int) *jobTime {
	begin, aim := max(j.record.AcceptedMs, j.dueMs(number)), j.aimMs(number)
	return &jobTime{job: j, number: number, left: len(j.spec.Steps), beginMs: begin, aimMs: aim, lastMs: begin + lateFactor*(aim-begin)}
}

func (j *job) chainMs() int64 {
	longest := make([]int64, len(j.spec.Steps))
	var most int64
	for number, step := range j.spec.Steps {
		var before int64
		for _, earlier := range step.DependsOn {
			before = max(before, longest[earlier])
		}
		longest[number] = before + step.EstimatedMs
		most = max(most, longest[number])
	}
	return most
}

type jobTime struct {
	job    *job
	number int
	// beginMs, aimMs and lastMs: when it was asked for, when it should be done, until when it is worth something.
	beginMs int64
	aimMs   int64
	lastMs  int64
	steps   []*stepState
	left    int
}

type stepState struct {
	time     *jobTime
	number   int
	step     *jobs.Step
	tasks    []*task
	left     int
	isOpen   bool
	openedAt time.Duration
	// ranAt is when a run of the step was last known to work, or when the step opened.
	ranAt     time.Duration
	failedRun int64
	brokenAt  time.Duration
	lengths   []time.Duration
	patience  float64
	restMs    int64
	notBefore time.Duration
	idle      []*task
	busy      []*task
	waits     waits
}

func (s *stepState) priority() int { return s.time.job.record.Terms.Priority }

func (s *stepState) need() placement.Room {
	return placement.Room{CPU: s.step.CPU, Memory: s.step.Memory, GPU: s.step.GPU}
}

func (s *stepState) lastRun() int64 {
	var last int64
	for _, one := range s.tasks {
		last = max(last, one.lastRun)
	}
	return last
}

func (s *stepState) hasRuns() bool { return len(s.busy) > 0 }

// file keeps a task among those of its step that run, those that could, or neither.
func (s *stepState) file(which *task) {
	s.busy = filed(s.busy, which, len(which.runs) > 0)
	s.idle = filed(s.idle, which, len(which.runs) == 0 && !which.isDone)
}

func filed(list []*task, which *task, belongs bool) []*task {
	place, isThere := slices.BinarySearchFunc(list, which, func(one, two *task) int { return cmp.Compare(one.index, two.index) })
	switch {
	case belongs && !isThere:
		return slices.Insert(list, place, which)
	case isThere && !belongs && place == 0:
		return list[1:]
	case isThere && !belongs:
		return slices.Delete(list, place, place+1)
	}
	return list
}

type task struct {
	name      string
	step      *stepState
	index     int
	isDone    bool
	failed    int
	lastRun   int64
	saved     string
	runs      []*run
	avoid     string
	failedAt  *life
	isExcused bool
	timesHung int
	notBefore time.Duration
}

func (t *task) job() *job { return t.step.time.job }

type run struct {
	task        *task
	number      int64
	life        *life
	state       string
	isCommitted bool
	isQueued    bool
	sends       int
	sentAt      time.Duration
	orderedAt   time.Duration
	startedAt   time.Duration
	answeredAt  time.Duration
	isAnswered  bool
	needsLook   uint64
	isStuck     bool
}

func (r *run) key() runKey { return runKey{r.task.name, r.number} }

type runKey struct {
	task   string
	number int64
}

// life is one executor from its start to its end.
type life struct {
	id         string
	proxy      string
	domain     string
	labels     []string
	room       placement.Room
	used       placement.Room
	isDraining bool
	departsAt  time.Duration
	isKnown    bool
	isFenced   bool
	firstLook  uint64
	lookWanted uint64
	lookAt     time.Duration
	contactAt  time.Duration
	lapsesAt   time.Duration
	notedEnd   int64
	lastSeen   int64
	sickUntil  time.Duration
	fails      float64
	dones      float64
	slow       float64
	runs       map[runKey]*run
	outbox     []*run
	strays     []wire.Order
	parked     *parkedCall
	isBlocked  bool
	isRecorded bool
	idleAt     time.Duration
	place      int
	isChanged  bool
	heard      heard
	penalty    float64
	atOnce     int
}

// inOrder gives the runs in an order that is the same at every replay.
func (l *life) inOrder() []*run {
	runs := slices.Collect(maps.Values(l.runs))
	slices.SortFunc(runs, func(one, two *run) int {
		return cmp.Or(cmp.Compare(one.task.name, two.task.name), cmp.Compare(one.number, two.number))
	})
	return runs
}

func (l *life) rack() string {
	if len(l.labels) == 0 {
		return ""
	}
	return l.labels[len(l.labels)-1]
}

func (l *life) doubt() float64 { return l.fails/(l.fails+l.dones+4) + 0.3*l.penalty }

type parkedCall struct {
	until  time.Duration
	answer func(wire.ExchangeAnswer)
}
