package scheduler

import (
	"time"

	"gannetline/internal/platform/metrics"
)

const showEvery = time.Second

const (
	stateReady    = "ready"
	stateUnfenced = "unfenced"
	stateDraining = "draining"
	stateBlocked  = "blocked"
)

var (
	handIns      = metrics.NewCounters("gannetline_pool_hand_ins_total", "key")
	placements   = metrics.NewCounters("gannetline_pool_placements_total", "key")
	starts       = metrics.NewCounters("gannetline_pool_starts_total", "key")
	ends         = metrics.NewCounters("gannetline_pool_ends_total", "key", "how")
	stops        = metrics.NewCounters("gannetline_pool_stops_total", "key")
	spares       = metrics.NewCounters("gannetline_pool_spares_total", "key")
	ordersSent   = metrics.NewCounters("gannetline_pool_orders_sent_total", "key", "kind")
	ordersResent = metrics.NewCounters("gannetline_pool_orders_resent_total", "key", "kind")
	commits      = metrics.NewCounters("gannetline_pool_commits_total", "key")
	changes      = metrics.NewCounters("gannetline_pool_changes_total", "key")
	stepsOpen    = metrics.NewGauges("gannetline_pool_open_steps", "key")
	runsHeld     = metrics.NewGauges("gannetline_pool_runs", "key")
	executors    = metrics.NewGauges("gannetline_pool_executors", "key", "state")
	tickSeconds  = metrics.NewHistograms("gannetline_pool_tick_seconds", "key")
	placeSeconds = metrics.NewHistograms("gannetline_pool_placement_seconds", "key")
)

// meters are the series of one pool, found once.
type meters struct {
	key                                                          string
	handIns, placements, starts, stops, spares, commits, changes *metrics.Counter
	tickSeconds, placeSeconds                                    metrics.Histogram
	shownAt                                                      time.Duration
}

func newMeters(key string) meters {
	return meters{key: key, handIns: handIns.With(key), placements: placements.With(key), starts: starts.With(key),
		stops: stops.With(key), spares: spares.With(key), commits: commits.With(key), changes: changes.With(key),
		tickSeconds: tickSeconds.With(key), placeSeconds: placeSeconds.With(key)}
}

func (m *meters) sent(one *run) {
	kind := kindStop
	if one.state == runLaunching {
		kind = kindLaunch
	}
	ordersSent.With(m.key, kind).Inc()
	if one.sends > 0 {
		ordersResent.With(m.key, kind).Inc()
	}
}

// show sets what is there now, once a second.
func (m *meters) show(p *Pool, now time.Duration) {
	if now-m.shownAt < showEvery {
		return
	}
	m.shownAt = now
	counts := map[string]int{}
	var running int
	for _, home := range p.lives {
		counts[home.shown()]++
		running += len(home.runs)
	}
	m.set(len(p.open.steps), running, counts)
}

func (m *meters) clear() { m.set(0, 0, nil) }

func (m *meters) set(open, running int, counts map[string]int) {
	stepsOpen.With(m.key).Set(float64(open))
	runsHeld.With(m.key).Set(float64(running))
	for _, state := range []string{stateReady, stateUnfenced, stateDraining, stateBlocked} {
		executors.With(m.key, state).Set(float64(counts[state]))
	}
}

// shown is the executor's state as operators see it.
func (l *life) shown() string {
	switch {
	case !l.isFenced:
		return stateUnfenced
	case l.isDraining:
		return stateDraining
	case l.isBlocked:
		return stateBlocked
	}
	return stateReady
}
