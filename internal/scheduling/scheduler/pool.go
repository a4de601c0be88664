// Package scheduler schedules the jobs of one service while this steward leads its key: it keeps jobs, tasks and
// runs, sends orders, and knows what its executors were last heard to do.
package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/platform/settings"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/recording"
)

// Leadership is what a pool needs of the ownership of its key.
type Leadership interface {
	// Epoch is that of the leadership; orders carry it as their fence.
	Epoch() uint64
	// Commit makes a change durable on a majority; done gets an error if the leadership is lost first. It runs on the
	// pool's goroutine, in the order of the commits.
	Commit(ops []wire.Op, done func(error))
	// HasLease says whether no other process can lead the key now.
	HasLease() bool
	// WallMs is the time of day that the voters agree on, in milliseconds since 1970.
	WallMs() int64
}

// Timing is how long the pool waits for what. Grant is how long an exchange lets an executor's runs go on, MaxHold
// the longest that they can go on without one. An order without an answer is sent again after Resend, then ever
// later up to ResendMost. An executor is left out of placement after SilentAfter without an exchange, and after a
// hold older than HoldStale. A stopped run may take StopTimeout, a launch that has not begun by StuckAfter is
// stopped, and an ended job is kept for KeepEnded.
type Timing struct {
	Grant       time.Duration
	MaxHold     time.Duration
	Resend      time.Duration
	ResendMost  time.Duration
	HoldStale   time.Duration
	SilentAfter time.Duration
	StopTimeout time.Duration
	StuckAfter  time.Duration
	KeepEnded   time.Duration
	// RemoteFactor is how many times as long a task takes away from its data.
	RemoteFactor     float64
	ReservedCapacity ReservedCapacity
}

// TimingFrom is the timing that the bounds of a deployment ask for.
func TimingFrom(nodeSettings *settings.Settings) Timing {
	hold := nodeSettings.MaxHold()
	return Timing{Grant: min(hold*8/10, 5*time.Second), MaxHold: hold, Resend: 200 * time.Millisecond,
		ResendMost: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), StuckAfter: 2 * time.Second,
		KeepEnded:        time.Duration(nodeSettings.Bounds.StatusS*float64(time.Second)) + 30*time.Second,
		ReservedCapacity: DefaultReservedCapacity, RemoteFactor: nodeSettings.Bounds.RemoteFactor}
}

// Pool is the scheduler of one service while this steward leads its key: jobs, executors, placement and orders. One
// goroutine calls it.
type Pool struct {
	key    string
	clock  clock.Clock
	timing Timing
	log    logging.Logger

	leadership      Leadership
	jobs            map[string]*jobState
	queued          map[string]int
	executors       map[string]*executorState
	newestOnMachine map[string]*executorState
	table           executorTable
	open            openSteps
	allocations     map[int]allocation
	pendingRuns     map[*runState]bool
	brokenGangs     map[*stepState]bool
	endedJobs       []*jobState
	nextReleaseMs   int64
	lastListNumber  uint64
	openedAt        time.Duration
	needsPlacing    bool
	renounced       renounced
	unreadable      []string
	health          map[string]*machineHealth

	ops       []wire.Op
	opIndex   map[string]int
	opTasks   []*taskState
	callbacks []func(error)
	inFlight  []*commitInFlight

	ordersToSend    map[*executorState]bool
	awaitingRelease map[string]*jobState
	peaks           map[int]*peakDemand
	spreads         map[string]*durationSpread
	recorder        Recorder
	rules           *queuerules.Rules
	meters          poolMetrics
}

// Recorder is told what a rehearsal needs to play the day again; it must not block.
type Recorder interface{ Record(recording.Event) }

type silentRecorder struct{}

// Record drops the event; it is what a pool records to if it was made without WithRecorder.
func (silentRecorder) Record(recording.Event) {}

// Option changes how a pool is made.
type Option func(*Pool)

// WithRecorder records the day.
func WithRecorder(record Recorder) Option { return func(p *Pool) { p.recorder = record } }

type commitInFlight struct{ callbacks []func(error) }

// WithRules lets rules of the settings decide on jobs, queue by queue.
func WithRules(rules *queuerules.Rules) Option { return func(p *Pool) { p.rules = rules } }

// New makes a pool that is closed until Open.
func New(key string, clock clock.Clock, timing Timing, log logging.Logger, options ...Option) *Pool {
	pool := &Pool{key: key, clock: clock, timing: timing, log: log, recorder: silentRecorder{}, meters: newMeters(key),
		health: map[string]*machineHealth{}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Open takes the key over with what is committed of it. No record keeps a pool from opening.
func (p *Pool) Open(leadership Leadership, pairs []wire.Op) {
	p.jobs, p.executors, p.queued = map[string]*jobState{}, map[string]*executorState{}, map[string]int{}
	p.table, p.open, p.allocations = executorTable{}, newOpenSteps(), map[int]allocation{}
	p.pendingRuns, p.brokenGangs, p.endedJobs, p.nextReleaseMs = map[*runState]bool{}, map[*stepState]bool{}, nil, 0
	p.ops, p.opTasks, p.callbacks, p.inFlight, p.opIndex, p.ordersToSend = nil, nil, nil, nil, map[string]int{}, map[*executorState]bool{}
	p.awaitingRelease, p.peaks, p.newestOnMachine = map[string]*jobState{}, map[int]*peakDemand{}, map[string]*executorState{}
	p.spreads, p.unreadable, p.renounced = map[string]*durationSpread{}, nil, newRenounced()
	p.openedAt = p.clock.Monotonic()
	p.load(pairs)
	p.leadership = leadership
	p.needsPlacing = true
	p.Flush()
}

// Close gives the key up: exchanges that wait are sent elsewhere, and calls whose changes are not committed fail.
func (p *Pool) Close() {
	p.leadership = nil
	for _, executor := range p.table.sorted {
		p.endPoll(executor, wire.ExchangeAnswer{NotLeader: true})
	}
	p.meters.clear()
	flights, effects := p.inFlight, p.callbacks
	p.jobs, p.executors, p.inFlight, p.callbacks, p.ops, p.opTasks = nil, nil, nil, nil, nil, nil
	p.table, p.open, p.allocations, p.pendingRuns, p.brokenGangs, p.endedJobs = executorTable{}, openSteps{}, nil, nil, nil, nil
	for _, commit := range flights {
		for _, effect := range commit.callbacks {
			effect(errClosed)
		}
	}
	for _, effect := range effects {
		effect(errClosed)
	}
}

var errClosed = errors.ConstError("the pool is led elsewhere")

// IsOpen says whether the key is led here.
func (p *Pool) IsOpen() bool { return p.leadership != nil }

func (p *Pool) putRecord(name string, value easyjson.Marshaler) {
	text, err := easyjson.Marshal(value)
	if err != nil {
		p.log.Error(err, "record not written", "name", name)
		return
	}
	p.record(wire.Op{Name: name, Value: text}, nil)
}

func (p *Pool) dropRecord(name string) { p.record(wire.Op{Name: name}, nil) }

// record takes the value of a task's record from the task itself, when the turn is committed.
func (p *Pool) record(op wire.Op, task *taskState) {
	if index, exists := p.opIndex[op.Name]; exists {
		p.ops[index], p.opTasks[index] = op, task
		return
	}
	p.opIndex[op.Name] = len(p.ops)
	p.ops, p.opTasks = append(p.ops, op), append(p.opTasks, task)
}

// afterCommit runs an effect once all that was decided so far is committed.
func (p *Pool) afterCommit(effect func(error)) { p.callbacks = append(p.callbacks, effect) }

// Flush places what can be placed and commits the turn; effects follow the commit.
func (p *Pool) Flush() {
	if p.leadership == nil {
		return
	}
	p.place()
	p.sendAllOrders()
	if len(p.ops) == 0 {
		p.flushReads()
		return
	}
	commit := &commitInFlight{callbacks: p.callbacks}
	p.writeTasks()
	ops := p.ops
	p.ops, p.opTasks, p.callbacks = nil, p.opTasks[:0], nil
	clear(p.opIndex)
	p.inFlight = append(p.inFlight, commit)
	p.meters.commits.Inc()
	p.meters.changes.Add(len(ops))
	p.leadership.Commit(ops, func(err error) {
		if len(p.inFlight) > 0 && p.inFlight[0] == commit {
			p.inFlight = p.inFlight[1:]
			for _, effect := range commit.callbacks {
				effect(err)
			}
			p.sendAllOrders()
		}
	})
}

// sendAllOrders lets orders leave together, once all effects of a commit are done.
func (p *Pool) sendAllOrders() {
	if len(p.ordersToSend) == 0 {
		return
	}
	executors := slices.SortedFunc(maps.Keys(p.ordersToSend), func(executor, otherExecutor *executorState) int { return cmp.Compare(executor.id, otherExecutor.id) })
	clear(p.ordersToSend)
	for _, executor := range executors {
		if p.executors[executor.id] == executor {
			p.sendOrders(executor)
		}
	}
}

func (p *Pool) flushReads() {
	effects := p.callbacks
	p.callbacks = nil
	if len(p.inFlight) > 0 {
		last := p.inFlight[len(p.inFlight)-1]
		last.callbacks = append(last.callbacks, effects...)
		return
	}
	for _, effect := range effects {
		effect(nil)
	}
}

func (p *Pool) executorOf(id string) *executorState {
	executor := p.executors[id]
	if executor == nil {
		executor = &executorState{id: id, runs: map[runKey]*runState{}, slowFactor: 1, contactAt: p.clock.Monotonic()}
		p.lastListNumber++
		executor.firstList, executor.listWanted = p.lastListNumber, p.lastListNumber
		executor.leaseExpiry = p.openedAt + p.leaseWithMargin(p.timing.MaxHold)
		p.executors[id] = executor
		p.table.add(executor)
	}
	return executor
}

// leaseWithMargin is how long after a grant its executor may still hold, with its clock up to 2% slow.
func (p *Pool) leaseWithMargin(grant time.Duration) time.Duration {
	return grant + grant/40 + 250*time.Millisecond
}

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

// releaseDue starts what has come due.
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

func (p *Pool) releaseDueOf(job *jobState, nowMs int64) {
	for job.isOpen() && job.nextOccurrence < job.occurrenceCount() && job.releaseMs(job.nextOccurrence) <= nowMs {
		if number := job.nextOccurrence; !job.completedOccurrences[number] {
			p.openReadySteps(p.occurrenceOf(job, number))
		}
		job.nextOccurrence++
	}
	if !job.isOpen() || job.nextOccurrence >= job.occurrenceCount() {
		delete(p.awaitingRelease, job.id)
		return
	}
	p.nextReleaseMs = min(p.nextReleaseMs, job.releaseMs(job.nextOccurrence))
}

func (p *Pool) openReadySteps(occurrence *occurrence) {
	for _, step := range occurrence.steps {
		if step.isOpen || step.remaining == 0 {
			continue
		}
		isReady := true
		for _, earlier := range step.spec.DependsOn {
			isReady = isReady && occurrence.steps[earlier].remaining == 0
		}
		if isReady {
			step.isOpen, step.openedAt, step.lastProgressAt = true, p.clock.Monotonic(), p.clock.Monotonic()
			p.open.add(step)
			p.needsPlacing = true
		}
	}
}

func (p *Pool) putTask(task *taskState) { p.record(wire.Op{Name: "t/" + task.name}, task) }

// writeTasks gives each task that changed its record as it is at the end of the turn.
func (p *Pool) writeTasks() {
	for index, task := range p.opTasks {
		if task == nil {
			continue
		}
		record := taskRecord{Done: task.isDone, Failed: task.failed, LastRun: task.lastRun, Checkpoint: task.checkpoint}
		if task.index == 0 {
			record.FailedRun = task.step.failedRun
		}
		for _, run := range task.runs {
			record.Runs = append(record.Runs, runRecord{run.number, run.executor.id, run.state})
		}
		isOver := !task.owner().isOpen() || task.owner().completedOccurrences[task.step.occurrence.number]
		if isOver && len(record.Runs) == 0 {
			continue
		}
		text, err := easyjson.Marshal(record)
		if err != nil {
			p.log.Error(err, "record not written", "name", task.name)
			continue
		}
		p.ops[index].Value = text
	}
}

func orderName(task *taskState, number int64, kind string) string {
	return "o/" + task.name + "/" + strconv.FormatInt(number, 10) + "/" + kind
}

func resourcesOf(capacity wire.Capacity) placement.Resources {
	return placement.Resources{CPU: capacity.CPU, Memory: capacity.Memory, GPU: capacity.GPU}
}
