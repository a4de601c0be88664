// Package scheduler schedules the jobs of one service while this steward leads the key of its pool. It starts no goroutine and opens no
// socket. A single goroutine calls it with client commands (Submit, State, Count, Cancel) and calls of peers and operators (Renounce,
// Transfer, Tenants, Rollouts), with the reports of local proxies (Exchange) and periodically (Tick). It calls Flush after each burst of
// calls.
//
// All state that must survive this process is stored in records of the key. A call changes the tables in memory and adds records to
// the change set. Flush uses package placement to choose the tasks to start, and commits the change set as one change. Answers,
// orders and acknowledgements that depend on a change are sent only after its commit (afterCommit). A new leader rebuilds the tables
// from the records (load), raises the fence at each executor, and requests a list of runs from each executor before it relies on them.
//
// Each run has an order that is resent until it is answered. A task is started again only after its run has certainly ended or can no
// longer start (closeRun). The exception is a task of a redundant step, which may get a second, speculative run earlier.
package scheduler

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/scheduling/tenantcount"
)

// Leadership is the leadership of the pool's key by this process.
type Leadership interface {
	// Epoch returns the epoch of this leadership. Orders carry it as their fence.
	Epoch() uint64
	// Commit makes a change durable on a quorum and then calls done, which gets an error if the leadership is lost first. done runs on the
	// pool's goroutine, in the order of the commits.
	Commit(ops []wire.Op, done func(error))
	// CommitIndex returns the index of the last change that is known to be committed.
	CommitIndex() uint64
	// HasLease reports whether this leader's lease is valid, so that no other process can lead the key now.
	HasLease() bool
	// WallMs returns the time of day in milliseconds since 1970: the median of the clocks of the followers and of this process.
	WallMs() int64
}

// Pool is the scheduler of one service while this steward leads its key. One goroutine calls it.
type Pool struct {
	key    string
	clock  clock.Clock
	timing Timing
	log    logging.Logger

	// leadership is nil while this process does not lead the key. The tables are empty then.
	leadership Leadership
	// openedAt is the monotonic time of the last Open.
	openedAt time.Duration
	jobTable
	executorRegistry
	changeSet
	orderTracker
	capacityUse
	// open is the queue of open steps and their placement requests. needsPlacing is set when something has changed that may allow
	// a request to be placed.
	open         openSteps
	needsPlacing bool
	overload     overloadTracker
	// spreads holds, by route, how widely the durations of the route's tasks vary.
	spreads map[string]*durationSpread
	tenants tenantTable
	// tenantPolicy returns the tenant policy of the newest configuration.
	tenantPolicy func() TenantPolicy
	// rollouts holds the configured rollouts of which this pool runs a version. rolloutPolicy returns the rollout policy of the newest
	// configuration.
	rollouts      rolloutTable
	rolloutPolicy func() RolloutPolicy
	// queueRouting returns the queue routing of the newest configuration, nil if there is none.
	queueRouting func() QueueRouting
	// transfers sends jobs to other pools; it is nil if jobs can't be transferred.
	transfers TransferSender
	// isEvacuated reports whether no new runs may be sent to the executors of a zone.
	isEvacuated func(zone string) bool
	// counter and accounts share tenants' limits with other pools; both are nil if this pool is the only one.
	counter  Counter
	accounts *tenantcount.Accounts

	recorder Recorder
	rules    *queuerules.Rules
	metrics  poolMetrics
	// nextLateWorkReport is the earliest monotonic time at which late work is logged again.
	nextLateWorkReport time.Duration
}

// jobTable holds all jobs that the pool knows, in progress and ended.
type jobTable struct {
	jobs map[string]*jobState
	// queued counts, by route, the jobs of which no task has started, and openJobs those that have not ended.
	queued   map[string]int
	openJobs map[string]int
	// awaitingRelease holds the jobs with occurrences that are not due yet. The next of these occurrences is due at nextReleaseMs, a time of
	// day in ms; 0 makes the next tick check all of them.
	awaitingRelease map[string]*jobState
	nextReleaseMs   int64
	// endedJobs is sorted by the time of the end, the order in which ended jobs are removed.
	endedJobs []*jobState
	renounced renounced
	// unreadable holds the names of the records that could not be decoded when the key was taken over.
	unreadable []string
}

func newJobTable() jobTable {
	return jobTable{jobs: map[string]*jobState{}, queued: map[string]int{}, openJobs: map[string]int{}, awaitingRelease: map[string]*jobState{}, renounced: newRenounced()}
}

// executorRegistry holds all executors that report to the pool or have runs of its jobs, by ID. table has the same executors, sorted.
type executorRegistry struct {
	executors map[string]*executorState
	// newestOnMachine maps each local proxy, and so its machine, to the executor there that was the last to confirm this leader's fence.
	newestOnMachine map[string]*executorState
	table           executorTable
	// lastListNumber is the number of the last list of runs that was requested from any executor.
	lastListNumber uint64
	// health holds the penalties of machines by local proxy. It is kept across incarnations of executors and across leaderships.
	health map[string]*machineHealth
}

// orderTracker holds the runs and gangs that Tick checks for timeouts, and the executors that have orders to send.
type orderTracker struct {
	// pendingRuns holds the runs with an order in progress: launching or stopping.
	pendingRuns map[*runState]bool
	// brokenGangs holds the gangs that have lost a member while other members still run.
	brokenGangs map[*stepState]bool
	// ordersToSend holds the executors with orders whose change is committed, so that they may be sent.
	ordersToSend map[*executorState]bool
}

func newOrderTracker() orderTracker {
	return orderTracker{pendingRuns: map[*runState]bool{}, brokenGangs: map[*stepState]bool{}, ordersToSend: map[*executorState]bool{}}
}

// Recorder receives the events from which a simulation can replay the load of the pool (see package recording). Record must not block.
type Recorder interface{ Record(recording.Event) }

type discardRecorder struct{}

// Record discards the event. A pool that was made without WithRecorder uses it.
func (discardRecorder) Record(recording.Event) {}

// Option configures a pool in New.
type Option func(*Pool)

// WithRecorder passes the events of the pool to a recorder.
func WithRecorder(record Recorder) Option { return func(p *Pool) { p.recorder = record } }

// WithRules applies the queue rules of the settings: the order of a queue's steps and the executors that they may use.
func WithRules(rules *queuerules.Rules) Option { return func(p *Pool) { p.rules = rules } }

// New returns a pool that is closed until Open is called.
func New(key string, clock clock.Clock, timing Timing, log logging.Logger, options ...Option) *Pool {
	pool := &Pool{key: key, clock: clock, timing: timing, log: log, recorder: discardRecorder{}, tenantPolicy: noTenantPolicy, rolloutPolicy: noRolloutPolicy, queueRouting: noQueueRouting, isEvacuated: noEvacuations,
		metrics: newPoolMetrics(key)}
	pool.health = map[string]*machineHealth{}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Open takes over the key with its committed records. A record that can't be decoded doesn't keep the pool from opening.
func (p *Pool) Open(leadership Leadership, pairs []wire.Op) {
	p.jobTable, p.changeSet, p.orderTracker, p.capacityUse = newJobTable(), newChangeSet(), newOrderTracker(), newCapacityUse()
	p.executors, p.newestOnMachine, p.table = map[string]*executorState{}, map[string]*executorState{}, executorTable{}
	p.open, p.overload, p.spreads = newOpenSteps(), newOverloadTracker(), map[string]*durationSpread{}
	p.tenants, p.rollouts = newTenantTable(), newRolloutTable()
	p.openedAt = p.clock.Monotonic()
	p.load(leadership, pairs)
	p.leadership = leadership
	p.needsPlacing = true
	p.Flush()
}

// Close ends the leadership. Waiting polls are answered with NotLeader, and the callbacks of uncommitted changes get an error.
func (p *Pool) Close() {
	p.leadership = nil
	for _, executor := range p.table.sorted {
		p.endPoll(executor, wire.ExchangeAnswer{NotLeader: true})
	}
	p.metrics.clearGauges()
	uncommitted := p.takeCallbacks()
	p.jobTable, p.changeSet, p.orderTracker, p.capacityUse = jobTable{}, changeSet{}, orderTracker{}, capacityUse{}
	p.executors, p.table, p.open = nil, executorTable{}, openSteps{}
	p.tenants, p.accounts, p.rollouts = tenantTable{}, nil, rolloutTable{}
	for _, callback := range uncommitted {
		callback(errClosed)
	}
}

// errClosed is passed to the callbacks of changes that were not committed when the leadership ended.
var errClosed = errors.ConstError("the pool is led elsewhere")

// IsOpen reports whether this process leads the key.
func (p *Pool) IsOpen() bool { return p.leadership != nil }

// executorOf returns the state of an executor, and creates it at the first contact. An executor new to this leader may
// hold a lease from the previous leader, so its lease is assumed to last for the longest time that is ever granted.
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

// An executor measures its lease by its own clock, which may be up to 2% slow. One part in leaseDriftDivisor of the lease allows for
// that, and leaseMargin gives the executor time to stop its runs.
const (
	leaseDriftDivisor = 40
	leaseMargin       = 250 * time.Millisecond
)

// extendLease extends the assumed lease of an executor by a grant that begins now, and reports whether it did. It grants nothing while the
// proxy can't reach the executor or this process has no lease on the key.
func (p *Pool) extendLease(executor *executorState, now time.Duration) bool {
	if executor.isUnreachable || !p.leadership.HasLease() {
		return false
	}
	executor.leaseExpiry = max(executor.leaseExpiry, now+p.leaseWithMargin(p.timing.Grant))
	return true
}

// leaseWithMargin returns how long after a grant the executor's lease may still last, with its clock up to 2% slow.
func (p *Pool) leaseWithMargin(grant time.Duration) time.Duration {
	return grant + grant/leaseDriftDivisor + leaseMargin
}

// resourcesOf returns a capacity as resources, each at most the largest amount that counts.
func resourcesOf(capacity wire.Capacity) placement.Resources {
	return placement.Resources{CPU: min(capacity.CPU, jobs.MaxCPU), Memory: min(capacity.Memory, jobs.MaxMemory), GPU: min(capacity.GPU, jobs.MaxGPU)}
}
