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
	RemoteFactor float64
	Headroom     Headroom
}

// TimingFrom is the timing that the bounds of a deployment ask for.
func TimingFrom(nodeSettings *settings.Settings) Timing {
	hold := nodeSettings.MaxHold()
	return Timing{Grant: min(hold*8/10, 5*time.Second), MaxHold: hold, Resend: 200 * time.Millisecond,
		ResendMost: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), StuckAfter: 2 * time.Second,
		KeepEnded: time.Duration(nodeSettings.Bounds.StatusS*float64(time.Second)) + 30*time.Second,
		Headroom:  DefaultHeadroom, RemoteFactor: nodeSettings.Bounds.RemoteFactor}
}

// Pool is the scheduler of one service while this steward leads its key: jobs, executors, placement and orders. One
// goroutine calls it.
type Pool struct {
	key    string
	clock  clock.Clock
	timing Timing
	log    logging.Logger

	leadership   Leadership
	jobs         map[string]*job
	queued       map[string]int
	lives        map[string]*life
	newest       map[string]*life
	roster       roster
	open         openSteps
	usage        map[int]usage
	pending      map[*run]bool
	broken       map[*stepState]bool
	ended        []*job
	timesAtMs    int64
	looks        uint64
	began        time.Duration
	needsPlacing bool
	renounced    renounced
	unreadable   []string
	trusts       map[string]*trust

	ops      []wire.Op
	opPlaces map[string]int
	opTasks  []*task
	effects  []func(error)
	flights  []*flight

	toRelease map[*life]bool
	untimed   map[string]*job
	peaks     map[int]*peak
	spreads   map[string]*spread
	record    Recorder
	rules     *queuerules.Rules
	meters    meters
}

// Recorder is told what a rehearsal needs to play the day again; it must not block.
type Recorder interface{ Record(recording.Event) }

type silentRecorder struct{}

// Record drops the event; it is what a pool records to if it was made without WithRecorder.
func (silentRecorder) Record(recording.Event) {}

// Option changes how a pool is made.
type Option func(*Pool)

// WithRecorder records the day.
func WithRecorder(record Recorder) Option { return func(p *Pool) { p.record = record } }

type flight struct{ effects []func(error) }

// WithRules lets rules of the settings decide on jobs, queue by queue.
func WithRules(rules *queuerules.Rules) Option { return func(p *Pool) { p.rules = rules } }

// New makes a pool that is closed until Open.
func New(key string, clock clock.Clock, timing Timing, log logging.Logger, options ...Option) *Pool {
	pool := &Pool{key: key, clock: clock, timing: timing, log: log, record: silentRecorder{}, meters: newMeters(key),
		trusts: map[string]*trust{}}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Open takes the key over with what is committed of it. No record keeps a pool from opening.
func (p *Pool) Open(leadership Leadership, pairs []wire.Op) {
	p.jobs, p.lives, p.queued = map[string]*job{}, map[string]*life{}, map[string]int{}
	p.roster, p.open, p.usage = roster{}, newOpenSteps(), map[int]usage{}
	p.pending, p.broken, p.ended, p.timesAtMs = map[*run]bool{}, map[*stepState]bool{}, nil, 0
	p.ops, p.opTasks, p.effects, p.flights, p.opPlaces, p.toRelease = nil, nil, nil, nil, map[string]int{}, map[*life]bool{}
	p.untimed, p.peaks, p.newest = map[string]*job{}, map[int]*peak{}, map[string]*life{}
	p.spreads, p.unreadable, p.renounced = map[string]*spread{}, nil, newRenounced()
	p.began = p.clock.Monotonic()
	p.load(pairs)
	p.leadership = leadership
	p.needsPlacing = true
	p.Settle()
}

// Close gives the key up: exchanges that wait are sent elsewhere, and calls whose changes are not committed fail.
func (p *Pool) Close() {
	p.leadership = nil
	for _, one := range p.roster.lives {
		p.unpark(one, wire.ExchangeAnswer{NotLeader: true})
	}
	p.meters.clear()
	flights, effects := p.flights, p.effects
	p.jobs, p.lives, p.flights, p.effects, p.ops, p.opTasks = nil, nil, nil, nil, nil, nil
	p.roster, p.open, p.usage, p.pending, p.broken, p.ended = roster{}, openSteps{}, nil, nil, nil, nil
	for _, one := range flights {
		for _, effect := range one.effects {
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

func (p *Pool) put(name string, value easyjson.Marshaler) {
	text, err := easyjson.Marshal(value)
	if err != nil {
		p.log.Error(err, "record not written", "name", name)
		return
	}
	p.setOp(wire.Op{Name: name, Value: text}, nil)
}

func (p *Pool) drop(name string) { p.setOp(wire.Op{Name: name}, nil) }

// setOp takes the value of a task's record from the task itself, when the turn is committed.
func (p *Pool) setOp(op wire.Op, which *task) {
	if place, isThere := p.opPlaces[op.Name]; isThere {
		p.ops[place], p.opTasks[place] = op, which
		return
	}
	p.opPlaces[op.Name] = len(p.ops)
	p.ops, p.opTasks = append(p.ops, op), append(p.opTasks, which)
}

// after runs an effect once all that was decided so far is committed.
func (p *Pool) after(effect func(error)) { p.effects = append(p.effects, effect) }

// Settle places what can be placed and commits the turn; effects follow the commit.
func (p *Pool) Settle() {
	if p.leadership == nil {
		return
	}
	p.place()
	p.releaseAll()
	if len(p.ops) == 0 {
		p.settleReads()
		return
	}
	one := &flight{effects: p.effects}
	p.writeTasks()
	ops := p.ops
	p.ops, p.opTasks, p.effects = nil, p.opTasks[:0], nil
	clear(p.opPlaces)
	p.flights = append(p.flights, one)
	p.meters.commits.Inc()
	p.meters.changes.Add(len(ops))
	p.leadership.Commit(ops, func(err error) {
		if len(p.flights) > 0 && p.flights[0] == one {
			p.flights = p.flights[1:]
			for _, effect := range one.effects {
				effect(err)
			}
			p.releaseAll()
		}
	})
}

// releaseAll lets orders leave together, once all effects of a commit are done.
func (p *Pool) releaseAll() {
	if len(p.toRelease) == 0 {
		return
	}
	homes := slices.SortedFunc(maps.Keys(p.toRelease), func(one, two *life) int { return cmp.Compare(one.id, two.id) })
	clear(p.toRelease)
	for _, home := range homes {
		if p.lives[home.id] == home {
			p.release(home)
		}
	}
}

func (p *Pool) settleReads() {
	effects := p.effects
	p.effects = nil
	if len(p.flights) > 0 {
		last := p.flights[len(p.flights)-1]
		last.effects = append(last.effects, effects...)
		return
	}
	for _, effect := range effects {
		effect(nil)
	}
}

func (p *Pool) lifeOf(id string) *life {
	one := p.lives[id]
	if one == nil {
		one = &life{id: id, runs: map[runKey]*run{}, slow: 1, contactAt: p.clock.Monotonic()}
		p.looks++
		one.firstLook, one.lookWanted = p.looks, p.looks
		one.lapsesAt = p.began + p.lapse(p.timing.MaxHold)
		p.lives[id] = one
		p.roster.add(one)
	}
	return one
}

// lapse is how long after a grant its executor may still hold, with its clock up to 2% slow.
func (p *Pool) lapse(grant time.Duration) time.Duration {
	return grant + grant/40 + 250*time.Millisecond
}

func (p *Pool) timeOf(one *job, number int) *jobTime {
	if spell := one.times[number]; spell != nil {
		return spell
	}
	spell := one.newTime(number)
	for place := range one.spec.Steps {
		step := &stepState{time: spell, number: place, step: &one.spec.Steps[place], left: one.spec.Steps[place].Tasks}
		for index := range step.left {
			step.tasks = append(step.tasks, &task{name: jobs.TaskName(one.id, number, place, index), step: step, index: index})
		}
		step.idle = slices.Clone(step.tasks)
		spell.steps = append(spell.steps, step)
	}
	spell.noteRests()
	one.times[number] = spell
	return spell
}

// makeTimes starts what has come due.
func (p *Pool) makeTimes() {
	var wall int64
	if p.leadership != nil {
		wall = p.leadership.WallMs()
	}
	if wall < p.timesAtMs {
		return
	}
	p.timesAtMs = math.MaxInt64
	for _, id := range slices.Sorted(maps.Keys(p.untimed)) {
		p.makeTimesOf(p.untimed[id], wall)
	}
}

func (p *Pool) makeTimesOf(one *job, wall int64) {
	for one.isOpen() && one.nextTime < one.timeCount() && one.dueMs(one.nextTime) <= wall {
		if number := one.nextTime; !one.doneTimes[number] {
			p.openSteps(p.timeOf(one, number))
		}
		one.nextTime++
	}
	if !one.isOpen() || one.nextTime >= one.timeCount() {
		delete(p.untimed, one.id)
		return
	}
	p.timesAtMs = min(p.timesAtMs, one.dueMs(one.nextTime))
}

func (p *Pool) openSteps(spell *jobTime) {
	for _, step := range spell.steps {
		if step.isOpen || step.left == 0 {
			continue
		}
		isReady := true
		for _, earlier := range step.step.DependsOn {
			isReady = isReady && spell.steps[earlier].left == 0
		}
		if isReady {
			step.isOpen, step.openedAt, step.ranAt = true, p.clock.Monotonic(), p.clock.Monotonic()
			p.open.add(step)
			p.needsPlacing = true
		}
	}
}

func (p *Pool) putTask(which *task) { p.setOp(wire.Op{Name: "t/" + which.name}, which) }

// writeTasks gives each task that changed its record as it is at the end of the turn.
func (p *Pool) writeTasks() {
	for place, which := range p.opTasks {
		if which == nil {
			continue
		}
		record := taskRecord{Done: which.isDone, Failed: which.failed, LastRun: which.lastRun, Saved: which.saved}
		if which.index == 0 {
			record.FailedRun = which.step.failedRun
		}
		for _, one := range which.runs {
			record.Runs = append(record.Runs, runRecord{one.number, one.life.id, one.state})
		}
		isOver := !which.job().isOpen() || which.job().doneTimes[which.step.time.number]
		if isOver && len(record.Runs) == 0 {
			continue
		}
		text, err := easyjson.Marshal(record)
		if err != nil {
			p.log.Error(err, "record not written", "name", which.name)
			continue
		}
		p.ops[place].Value = text
	}
}

func orderName(which *task, number int64, kind string) string {
	return "o/" + which.name + "/" + strconv.FormatInt(number, 10) + "/" + kind
}

func room(capacity wire.Capacity) placement.Room {
	return placement.Room{CPU: capacity.CPU, Memory: capacity.Memory, GPU: capacity.GPU}
}
