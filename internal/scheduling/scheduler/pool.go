// Package scheduler schedules the jobs of one service while this steward leads the key of its pool. It has no goroutine and no
// socket: one goroutine calls it with the commands of clients (Submit, State, Count, Cancel, Renounce), with the reports of local
// proxies (Exchange) and with the time (Tick), and calls Flush after each burst of calls.
//
// All that must outlive this process is a record of the key. A call changes the tables in memory and writes records into the change
// set; Flush asks package placement what to start, and commits the change set as one change. Answers, orders and acknowledgements
// that depend on it leave only after the commit (afterCommit). A leader that takes over rebuilds the tables from the records (load),
// raises the fence at each executor, and asks each for a list of its runs before it relies on any of them.
//
// A run is started once at a time: it has an order that is resent until it is answered, and a task starts elsewhere only once its
// run has certainly ended or can't start any more (closeRun says when).
package scheduler

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/scheduling/tenantcount"
)

// Leadership is what a pool needs of the leadership of its key.
type Leadership interface {
	// Epoch is that of the leadership; orders carry it as their fence.
	Epoch() uint64
	// Commit makes a change durable on a majority; done gets an error if the leadership is lost first. It runs on the
	// pool's goroutine, in the order of the commits.
	Commit(ops []wire.Op, done func(error))
	// HasLease tells whether no other process can lead the key now.
	HasLease() bool
	// WallMs is the time of day that the voters agree on, in milliseconds since 1970.
	WallMs() int64
}

// Pool is the scheduler of one service while this steward leads its key. One goroutine calls it.
type Pool struct {
	key    string
	clock  clock.Clock
	timing Timing
	log    logging.Logger

	// leadership is nil while the key is led elsewhere; the tables are empty then.
	leadership Leadership
	openedAt   time.Duration
	jobTable
	executorRegistry
	changeSet
	orderWatch
	capacityUse
	// open is the queue: the steps under way and what they ask of placement. needsPlacing is set when anything changed that may
	// let a request be placed.
	open         openSteps
	needsPlacing bool
	overload     overloadWatch
	// spreads tell how uneven the durations of a route's tasks are, by route.
	spreads map[string]*durationSpread
	tenants tenantTable
	// policyInForce is what the newest configuration says of tenants.
	policyInForce func() TenantPolicy
	// rollouts are those of the configuration that this pool runs a version of; rolloutPolicy is what the newest configuration says of them.
	rollouts      rolloutTable
	rolloutPolicy func() RolloutPolicy
	// transfers carries jobs to other pools; it is nil where none can go there.
	transfers TransferSender
	// isEvacuated tells whether nothing new may be sent to the executors of a zone.
	isEvacuated func(zone string) bool
	// counter is nil where the pool is the only one; accounts then is, too.
	counter  Counter
	accounts *tenantcount.Accounts

	recorder Recorder
	rules    *queuerules.Rules
	metrics  poolMetrics
	// nextLateWorkReport is when late work may be logged again.
	nextLateWorkReport time.Duration
}

// jobTable holds all jobs that the pool knows, under way and ended.
type jobTable struct {
	jobs map[string]*jobState
	// queued counts, by route, the jobs of which no task has begun.
	queued map[string]int
	// awaitingRelease are jobs with occurrences to come, the earliest of which is due at nextReleaseMs.
	awaitingRelease map[string]*jobState
	nextReleaseMs   int64
	// endedJobs are in the order in which they may be forgotten.
	endedJobs []*jobState
	renounced renounced
	// unreadable names the records that could not be read when the key was taken over.
	unreadable []string
}

func newJobTable() jobTable {
	return jobTable{jobs: map[string]*jobState{}, queued: map[string]int{}, awaitingRelease: map[string]*jobState{}, renounced: newRenounced()}
}

// executorRegistry holds all executors that report to the pool or have runs of it. table has the same executors in order.
type executorRegistry struct {
	executors map[string]*executorState
	// newestOnMachine is the executor that last answered under this fence, by its local proxy.
	newestOnMachine map[string]*executorState
	table           executorTable
	// lastListNumber numbers the lists of runs that executors are asked for.
	lastListNumber uint64
	// health outlives incarnations of executors and leaderships: it belongs to machines.
	health map[string]*machineHealth
}

// orderWatch knows the runs that need attention as time passes.
type orderWatch struct {
	// pendingRuns are those with an order under way: launching or stopping.
	pendingRuns map[*runState]bool
	// brokenGangs have lost a member while others still run.
	brokenGangs map[*stepState]bool
	// ordersToSend are executors whose orders may leave, as the change that they belong to is committed.
	ordersToSend map[*executorState]bool
}

func newOrderWatch() orderWatch {
	return orderWatch{pendingRuns: map[*runState]bool{}, brokenGangs: map[*stepState]bool{}, ordersToSend: map[*executorState]bool{}}
}

// Recorder gets what a rehearsal needs to play the day again; it must not block.
type Recorder interface{ Record(recording.Event) }

type silentRecorder struct{}

// Record drops the event; it is what a pool records to if it was made without WithRecorder.
func (silentRecorder) Record(recording.Event) {}

// Option changes how a pool is made.
type Option func(*Pool)

// WithRecorder records the day.
func WithRecorder(record Recorder) Option { return func(p *Pool) { p.recorder = record } }

// WithRules lets rules of the settings decide on jobs, queue by queue.
func WithRules(rules *queuerules.Rules) Option { return func(p *Pool) { p.rules = rules } }

// New makes a pool that is closed until Open.
func New(key string, clock clock.Clock, timing Timing, log logging.Logger, options ...Option) *Pool {
	pool := &Pool{key: key, clock: clock, timing: timing, log: log, recorder: silentRecorder{}, policyInForce: noTenantPolicy, rolloutPolicy: noRolloutPolicy, isEvacuated: noEvacuations,
		metrics: newPoolMetrics(key)}
	pool.health = map[string]*machineHealth{}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Open takes the key over with what is committed of it. No record keeps a pool from opening.
func (p *Pool) Open(leadership Leadership, pairs []wire.Op) {
	p.jobTable, p.changeSet, p.orderWatch, p.capacityUse = newJobTable(), newChangeSet(), newOrderWatch(), newCapacityUse()
	p.executors, p.newestOnMachine, p.table = map[string]*executorState{}, map[string]*executorState{}, executorTable{}
	p.open, p.overload, p.spreads = newOpenSteps(), newOverloadWatch(), map[string]*durationSpread{}
	p.tenants, p.rollouts = newTenantTable(), newRolloutTable()
	p.openedAt = p.clock.Monotonic()
	p.load(leadership, pairs)
	p.leadership = leadership
	p.needsPlacing = true
	p.Flush()
}

// Close gives the key up: exchanges that wait are sent to another leader, and calls whose changes are not committed fail.
func (p *Pool) Close() {
	p.leadership = nil
	for _, executor := range p.table.sorted {
		p.endPoll(executor, wire.ExchangeAnswer{NotLeader: true})
	}
	p.metrics.clearGauges()
	uncommitted := p.takeCallbacks()
	p.jobTable, p.changeSet, p.orderWatch, p.capacityUse = jobTable{}, changeSet{}, orderWatch{}, capacityUse{}
	p.executors, p.table, p.open = nil, executorTable{}, openSteps{}
	p.tenants, p.accounts, p.rollouts = tenantTable{}, nil, rolloutTable{}
	for _, callback := range uncommitted {
		callback(errClosed)
	}
}

// errClosed ends what was not committed when the leadership ended.
var errClosed = errors.ConstError("the pool is led elsewhere")

// IsOpen tells whether the key is led here.
func (p *Pool) IsOpen() bool { return p.leadership != nil }

// executorOf returns the state of an executor, and makes it at the first contact. An executor new to this leader may
// hold a lease of the leader before, so its lease is taken to run for the longest time one is granted.
func (p *Pool) executorOf(id string) *executorState {
	executor := p.executors[id]
	if executor == nil {
		executor = newExecutorState(id, p.clock.Monotonic())
		p.lastListNumber++
		executor.firstList, executor.listWanted = p.lastListNumber, p.lastListNumber
		executor.leaseExpiry = p.openedAt + p.leaseWithMargin(p.timing.MaxHold)
		p.executors[id] = executor
		p.table.add(executor)
	}
	return executor
}

// An executor counts a lease by its own clock, which may be up to 2% slow, and is given a little more to stop in.
const (
	leaseDriftDivisor = 40
	leaseMargin       = 250 * time.Millisecond
)

// extendLease counts on a grant to the executor from now on; it is false if there is none, as for one that its proxy doesn't
// reach.
func (p *Pool) extendLease(executor *executorState, now time.Duration) bool {
	if executor.isUnschedulable || !p.leadership.HasLease() {
		return false
	}
	executor.leaseExpiry = max(executor.leaseExpiry, now+p.leaseWithMargin(p.timing.Grant))
	return true
}

// leaseWithMargin is how long after a grant the lease of an executor may still last, with its clock up to 2% slow.
func (p *Pool) leaseWithMargin(grant time.Duration) time.Duration {
	return grant + grant/leaseDriftDivisor + leaseMargin
}

func resourcesOf(capacity wire.Capacity) placement.Resources {
	return placement.Resources{CPU: capacity.CPU, Memory: capacity.Memory, GPU: capacity.GPU}
}
