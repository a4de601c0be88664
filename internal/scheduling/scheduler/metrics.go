package scheduler

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

// metricsInterval is the minimum time between two updates of the gauges.
const metricsInterval = time.Second

// Executor states in metrics and reports.
const (
	stateReady    = "ready"
	stateUnfenced = "unfenced"
	stateDraining = "draining"
	stateBlocked  = "blocked"
)

var (
	submissions     = metrics.NewCounters("gannetline_pool_hand_ins_total", "key")
	refusals        = metrics.NewCounters("gannetline_pool_refused_hand_ins_total", "key")
	placements      = metrics.NewCounters("gannetline_pool_placements_total", "key")
	starts          = metrics.NewCounters("gannetline_pool_starts_total", "key")
	ends            = metrics.NewCounters("gannetline_pool_ends_total", "key", "how")
	stops           = metrics.NewCounters("gannetline_pool_stops_total", "key")
	speculativeRuns = metrics.NewCounters("gannetline_pool_spares_total", "key")
	ordersSent      = metrics.NewCounters("gannetline_pool_orders_sent_total", "key", "kind")
	ordersResent    = metrics.NewCounters("gannetline_pool_orders_resent_total", "key", "kind")
	transfers       = metrics.NewCounters("gannetline_pool_transfers_total", "key", "reason")
	commits         = metrics.NewCounters("gannetline_pool_commits_total", "key")
	changes         = metrics.NewCounters("gannetline_pool_changes_total", "key")
	stepsOpen       = metrics.NewGauges("gannetline_pool_open_steps", "key")
	runGauge        = metrics.NewGauges("gannetline_pool_runs", "key")
	executors       = metrics.NewGauges("gannetline_pool_executors", "key", "state")
	tickSeconds     = metrics.NewHistograms("gannetline_pool_tick_seconds", "key")
	placeSeconds    = metrics.NewHistograms("gannetline_pool_placement_seconds", "key")
	waitingCPU      = metrics.NewGauges("gannetline_pool_waiting_cpu", "key", "priority", "deadline")
	allocatedCPU    = metrics.NewGauges("gannetline_pool_allocated_cpu", "key", "priority")
	longWorkCPU     = metrics.NewGauges("gannetline_pool_long_work_allowance_cpu", "key", "priority")
	capacityCPU     = metrics.NewGauges("gannetline_pool_capacity_cpu", "key", "state")
	occurrences     = metrics.NewCounters("gannetline_pool_occurrences_total", "key", "queue", "deadline")
)

// The reasons of transfers to other pools, in metrics.
const (
	reasonRolledBack = "rolled_back"
	reasonQueueMoved = "queue_moved"
)

// poolMetrics holds the metric series of one pool, which are looked up once.
type poolMetrics struct {
	key                                                                                 string
	submissions, refusals, placements, starts, stops, speculativeRuns, commits, changes *metrics.Counter
	tickSeconds, placeSeconds                                                           metrics.Histogram
	// updatedAt is when the gauges were last updated.
	updatedAt time.Duration
	// shownPriorities and shownTenants hold the priorities and tenants that have series. A series without a load is set to 0.
	shownPriorities map[int]bool
	shownTenants    map[string]bool
}

func newPoolMetrics(key string) poolMetrics {
	return poolMetrics{key: key, submissions: submissions.With(key), refusals: refusals.With(key), placements: placements.With(key), starts: starts.With(key),
		stops: stops.With(key), speculativeRuns: speculativeRuns.With(key), commits: commits.With(key), changes: changes.With(key),
		tickSeconds: tickSeconds.With(key), placeSeconds: placeSeconds.With(key), shownPriorities: map[int]bool{}, shownTenants: map[string]bool{}}
}

// countSentOrder counts an order that is being sent. From the second time on it also counts it as resent.
func (m *poolMetrics) countSentOrder(run *runState) {
	kind := wire.OrderStop
	if run.phase == runLaunching {
		kind = wire.OrderLaunch
	}
	ordersSent.With(m.key, string(kind)).Inc()
	if run.sendCount > 0 {
		ordersResent.With(m.key, string(kind)).Inc()
	}
}

// updateGauges updates the gauges at most once per metricsInterval, and logs late work.
func (m *poolMetrics) updateGauges(p *Pool, now time.Duration) {
	if now-m.updatedAt < metricsInterval {
		return
	}
	m.updatedAt = now
	counts := map[string]int{}
	var running int
	for _, executor := range p.executors {
		counts[executor.shownState()]++
		running += len(executor.runs)
	}
	m.setGauges(len(p.open.steps), running, counts)
	current := p.loadByPriority()
	m.showLoad(current)
	m.showTenants(p.tenantLoads())
	p.reportLateWork(current, now)
}

// clearGauges sets all gauges to 0 when this process stops leading the key.
func (m *poolMetrics) clearGauges() {
	m.setGauges(0, 0, nil)
	m.showLoad(load{})
	m.showTenants(nil)
}

// setGauges updates the gauges of open steps, runs, and executors by state.
func (m *poolMetrics) setGauges(open, running int, counts map[string]int) {
	stepsOpen.With(m.key).Set(float64(open))
	runGauge.With(m.key).Set(float64(running))
	for _, state := range []string{stateReady, stateUnfenced, stateDraining, stateBlocked} {
		executors.With(m.key, state).Set(float64(counts[state]))
	}
}

// shownState is the executor's state in metrics and reports.
func (e *executorState) shownState() string {
	switch {
	case !e.isFenced:
		return stateUnfenced
	case e.isDraining:
		return stateDraining
	case e.isUnreachable:
		return stateBlocked
	}
	return stateReady
}
