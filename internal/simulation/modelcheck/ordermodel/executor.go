package ordermodel

import (
	"strconv"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
)

const (
	// localLatency is how long a message between an executor and its proxy takes.
	localLatency = 500 * time.Microsecond
	// minCallDelay and maxCallDelay bound the delay of the delayed calls to a late executor.
	minCallDelay = 2 * time.Second
	maxCallDelay = 12 * time.Second
	// drainTimeMs is how long an executor that drains continues to serve, in milliseconds.
	drainTimeMs       = 2000
	heartbeatInterval = 1500 * time.Millisecond
	// maxFirstHeartbeatDelay is the longest time from the start of an executor to its first heartbeat.
	maxFirstHeartbeatDelay = 300 * time.Millisecond
	// While an executor's heartbeats are late, percentLateHeartbeats of them take up to maxHeartbeatDelay to the proxy.
	percentLateHeartbeats = 60
	maxHeartbeatDelay     = 3 * time.Second
	// checkpointInterval is the interval at which runs of checkpointing steps save checkpoints.
	checkpointInterval = 700 * time.Millisecond
	// maxEndsReported is the highest number of ends in the answer to a hold.
	maxEndsReported = 500
	// percentLate of the calls to a late executor are delayed. If an executor loses answers, it loses the same percentage of them.
	percentLate = 50
	// percentBusy of the calls to a busy executor are refused.
	percentBusy = 60
)

// modelExecutor is an executor that follows the protocol: it checks fences and run numbers, ends its runs when their lease expires
// by its own clock, and numbers the ends. Faults delay or refuse the calls to it, or lose its answers.
type modelExecutor struct {
	cluster  *simCluster
	proxy    *modelProxy
	machine  string
	number   int
	capacity wire.Capacity
	labels   []string
	// isGuarding is set if the executor refuses starts beyond its capacity.
	isGuarding bool
	// pollers are the functions that answer the holds that wait for an end.
	pollers []func()
	executorIncarnation
	executorFaults
	executorLease
	executorRuns
}

// executorIncarnation is the executor process that runs on the machine now; each restart begins a new incarnation with another ID.
type executorIncarnation struct {
	lifecycle
	id         string
	isDraining bool
	// hasSkippedDrain is set once this incarnation has deregistered without a drain before.
	hasSkippedDrain bool
	// isDeregistered is set once this incarnation has deregistered; it sends no heartbeats any more.
	isDeregistered bool
	// departsAt is when the incarnation deregisters, if it is draining.
	departsAt time.Duration
	begunAt   time.Duration
	// slowPermyriad is how much slower than the cluster's clock the executor's own clock is, in hundredths of a percent.
	slowPermyriad int64
	// sequence is the number of the last heartbeat.
	sequence int64
}

// executorFaults are the present faults of the executor, and the time of the last faults of its machine. The kinds of steps in
// schedule.go say what each fault does.
type executorFaults struct {
	isLate, losesAnswers, isBusy, isRefusing, isStuck, isHeartbeatLate, isSlow bool
	// The machine had, or will have, a fault of some kind from faultyFrom to faultyUntil; earlier faults are not recorded.
	faultyFrom, faultyUntil time.Duration
}

// executorLease is the time until which runs may go on, by the executor's own clock, and the highest fence that the executor has
// accepted.
type executorLease struct {
	fence    uint64
	expiryMs int64
	// lapses counts how often the lease has expired.
	lapses int
}

// executorRuns are the runs of this incarnation and their ends, which are numbered and reported until they are acknowledged.
type executorRuns struct {
	active []*modelExecution
	ends   []executorapi.EndRow
	// lapsesAtEnd is the count of lapses at the time of an end, by the end's number.
	lapsesAtEnd map[int64]int
	lastEnd     int64
	// highestRuns is, for each task, the highest run that has ended here or was ordered to stop. Starts of runs up to it are refused.
	highestRuns map[string]int64
	stopping    map[*modelExecution]bool
}

// start begins a new incarnation, with a new ID and an empty state.
func (e *modelExecutor) start() {
	e.incarnation++
	e.id = e.machine + "-" + strconv.Itoa(e.incarnation)
	e.isUp, e.isFrozen, e.begunAt = true, false, e.cluster.queue.now()
	e.isDraining, e.hasSkippedDrain, e.isDeregistered = false, false, false
	e.slowPermyriad = e.cluster.queue.random.Int64N(201)
	e.sequence, e.fence, e.expiryMs, e.lapses, e.lastEnd = 0, 0, 0, 0, 0
	e.active, e.ends, e.lapsesAtEnd, e.pollers, e.deferred = nil, nil, map[int64]int{}, nil, nil
	e.highestRuns, e.stopping = map[string]int64{}, map[*modelExecution]bool{}
	e.later(e.cluster.queue.between(0, maxFirstHeartbeatDelay), e.sendHeartbeat)
}

// crash ends the incarnation with all its runs; the ends of these runs are never reported.
func (e *modelExecutor) crash() {
	e.recordMachineFault(0)
	e.isUp = false
	e.incarnation++
	e.cluster.oracles.recordCrash(e)
}

// later calls run in this incarnation of the executor after a delay; a frozen executor calls it once it is unfrozen.
func (e *modelExecutor) later(wait time.Duration, run func()) {
	incarnation := e.incarnation
	e.cluster.queue.after(wait, func() { e.enter(incarnation, run) })
}

// wake ends a freeze; the deferred work is done in its order.
func (e *modelExecutor) wake() {
	for _, run := range e.unfreeze() {
		e.cluster.queue.after(0, run)
	}
}

// clockMs returns the executor's own monotonic time in milliseconds, which may pass more slowly than the cluster's.
func (e *modelExecutor) clockMs() int64 {
	return 100_000 + ((e.cluster.queue.now() - e.begunAt) * time.Duration(10000-e.slowPermyriad) / 10000).Milliseconds()
}

// sendHeartbeat sends a heartbeat to the proxy of the machine, and repeats that at intervals until the executor has deregistered.
func (e *modelExecutor) sendHeartbeat() {
	if e.isDeregistered {
		return
	}
	e.sequence++
	heartbeat := &executorapi.Heartbeat{Service: service, State: "ready", Capacity: e.capacity, Labels: e.labels,
		ClockMs: e.clockMs(), Sequence: e.sequence}
	if e.isDraining {
		heartbeat.State, heartbeat.DepartureMs = "draining", max(1, (e.departsAt-e.cluster.queue.now()).Milliseconds())
	}
	id, proxy, wait := e.id, e.proxy, localLatency
	if e.isHeartbeatLate && e.cluster.queue.chance(percentLateHeartbeats) {
		e.cluster.count("beat_late")
		wait = e.cluster.queue.between(localLatency, maxHeartbeatDelay)
	}
	e.cluster.queue.after(wait, func() {
		proxy.enter(proxy.incarnation, func() { proxy.table.Heartbeat(id, heartbeat) })
	})
	e.later(heartbeatInterval, e.sendHeartbeat)
}

// drain announces the end of this incarnation in its heartbeats, deregisters it after drainTimeMs, and replaces it soon after that.
func (e *modelExecutor) drain() {
	if !e.isUp || e.isDraining {
		return
	}
	e.isDraining, e.departsAt = true, e.cluster.queue.now()+clock.Milliseconds(drainTimeMs)
	e.later(clock.Milliseconds(drainTimeMs), func() {
		e.sendDeregistration()
		e.later(100*time.Millisecond, e.replace)
	})
}

// deregister deregisters this incarnation at once, without a drain before. The incarnation continues to serve for drainTimeMs and
// then for servesOn, and is replaced after that.
func (e *modelExecutor) deregister(servesOn time.Duration) {
	if !e.isUp || e.isDraining {
		return
	}
	e.cluster.count("farewell_unannounced")
	e.hasSkippedDrain = true
	e.sendDeregistration()
	e.later(clock.Milliseconds(drainTimeMs)+servesOn, e.replace)
}

// sendDeregistration sends the proxy the deregistration of this executor.
func (e *modelExecutor) sendDeregistration() {
	id, proxy := e.id, e.proxy
	e.isDeregistered = true
	proxy.enter(proxy.incarnation, func() { proxy.table.Deregister(id) })
}

// replace ends this incarnation, and begins another one after a drawn time.
func (e *modelExecutor) replace() {
	e.crash()
	e.cluster.queue.after(e.cluster.queue.between(200*time.Millisecond, 2*time.Second), func() {
		if !e.isUp {
			e.start()
		}
	})
}

// recordMachineFault records that this machine has a fault from now on for a duration. If earlier faults are over, it forgets them.
func (e *modelExecutor) recordMachineFault(length time.Duration) {
	now := e.cluster.queue.now()
	if now > e.faultyUntil {
		e.faultyFrom = now
	}
	e.faultyUntil = max(e.faultyUntil, now+length)
}

var _ proxyTable = (*localproxy.Table)(nil)
