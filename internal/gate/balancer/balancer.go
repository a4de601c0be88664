// Package balancer chooses the executor of a request. Each gate sees only its own requests and what executors tell of their load in
// answers, so that many gates must not act alike on the same old news: a request has two candidates by the shared part of its prompt,
// the same at every gate of a zone, and goes to the one with less load.
package balancer

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// candidates is how many executors a request has by its affinity.
	candidates = 2
	// fullLoad is the load in slots from which on an executor counts as full, so that others are looked for.
	fullLoad = 0.9
	// reportLifetime is how long what an executor told of its load counts.
	reportLifetime = 500 * time.Millisecond
	// failuresToEject is how many answers in a row that show a failure take an executor out for ejectionTime. One call without a whole
	// answer takes it out at once, for unreachableTime.
	failuresToEject = 2
	ejectionTime    = 2 * time.Second
	unreachableTime = 700 * time.Millisecond
	// silentAfter is how long an executor that has requests may answer nothing at all until others are preferred. One that is only busy
	// answers some of them; one whose machine has gone dark closes no connection.
	silentAfter = 500 * time.Millisecond
)

// Executor is one executor and what this process knows of its load and health. Any goroutine may use it.
type Executor struct {
	wire.ExecutorRecord
	// inFlight are the requests of this process that it has now.
	inFlight atomic.Int64
	// reported is how many requests, running or waiting, it told of last, at reportedAt on the monotonic clock.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// failures counts failures in a row; ejectedUntil ends the pause that they brought.
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// heardAt is when it last answered something, or got a request while it had none, on the monotonic clock.
	heardAt atomic.Int64
}

// RecordStart counts a request that goes to the executor; End ends it.
func (e *Executor) RecordStart(now time.Duration) {
	if e.inFlight.Add(1) == 1 {
		e.RecordActivity(now)
	}
}

// RecordEnd counts a request that is over.
func (e *Executor) RecordEnd() { e.inFlight.Add(-1) }

// RecordActivity notes that the executor has answered something.
func (e *Executor) RecordActivity(now time.Duration) { e.heardAt.Store(int64(now)) }

// isSilent tells whether the executor has requests of this process and has answered nothing for some time.
func (e *Executor) isSilent(now time.Duration) bool {
	return e.inFlight.Load() > 0 && now-time.Duration(e.heardAt.Load()) > silentAfter
}

// RecordTimeout notes a request whose time was over before the executor had answered anything to it. If it answered nothing to others either,
// it is left out as one that fails.
func (e *Executor) RecordTimeout(now time.Duration) {
	if now-time.Duration(e.heardAt.Load()) > silentAfter {
		e.eject(now + ejectionTime)
	}
}

// RecordLoad takes what the executor told of its load.
func (e *Executor) RecordLoad(running, waiting int64, now time.Duration) {
	e.reported.Store(running + waiting)
	e.reportedAt.Store(int64(now))
}

// RecordSuccess notes an answer.
func (e *Executor) RecordSuccess() { e.failures.Store(0) }

// RecordFailure notes an answer that shows that the executor is unwell. After the pause that several of them bring, one more brings another.
func (e *Executor) RecordFailure(now time.Duration) {
	if e.failures.Add(1) >= failuresToEject {
		e.eject(now + ejectionTime)
		e.failures.Store(failuresToEject - 1)
	}
}

// RecordUnreachable notes a call without a whole answer.
func (e *Executor) RecordUnreachable(now time.Duration) {
	e.failures.Add(1)
	e.eject(now + unreachableTime)
}

// eject leaves the executor out until that moment, or a later one that was set before.
func (e *Executor) eject(until time.Duration) {
	e.ejectedUntil.Store(max(e.ejectedUntil.Load(), int64(until)))
}

func (e *Executor) isEjected(now time.Duration) bool { return int64(now) < e.ejectedUntil.Load() }

// load is the part of its slots that is taken, as far as it is known.
func (e *Executor) load(now time.Duration) float64 {
	taken := e.inFlight.Load()
	if int64(now)-e.reportedAt.Load() < int64(reportLifetime) {
		taken = max(taken, e.reported.Load())
	}
	return float64(taken) / float64(max(1, e.Slots))
}

// Balancer holds the executors by service. Update belongs to one goroutine; any may choose.
type Balancer struct {
	zone     string
	clock    clock.Clock
	services atomic.Pointer[map[string][]*Executor]
	known    map[string]*Executor
	// isEvacuated tells whether nothing new may be sent to a zone.
	isEvacuated func(zone string) bool
}

// Option changes how a balancer is made.
type Option func(*Balancer)

// WithEvacuations names the function that tells whether nothing new may be sent to a zone.
func WithEvacuations(isEvacuated func(zone string) bool) Option {
	return func(b *Balancer) { b.isEvacuated = isEvacuated }
}

// New makes a balancer without executors; those of the zone are preferred.
func New(zone string, clock clock.Clock, options ...Option) *Balancer {
	balancer := &Balancer{zone: zone, clock: clock, known: map[string]*Executor{}, isEvacuated: func(string) bool { return false }}
	balancer.services.Store(&map[string][]*Executor{})
	for _, option := range options {
		option(balancer)
	}
	return balancer
}

// Update takes a newer list. What is known of executors that stay is kept.
func (b *Balancer) Update(records []wire.ExecutorRecord) {
	known, services := map[string]*Executor{}, map[string][]*Executor{}
	for _, record := range records {
		executor := b.known[record.ID]
		switch {
		case executor == nil:
			executor = &Executor{ExecutorRecord: record}
		case executor.ExecutorRecord != record:
			executor = executor.with(record)
		}
		known[record.ID] = executor
		services[record.Service] = append(services[record.Service], executor)
	}
	b.known = known
	b.services.Store(&services)
}

// with is the executor with another record; requests under way are counted where they began.
func (e *Executor) with(record wire.ExecutorRecord) *Executor {
	next := &Executor{ExecutorRecord: record}
	next.failures.Store(e.failures.Load())
	next.ejectedUntil.Store(e.ejectedUntil.Load())
	return next
}

// HasExecutors tells whether there is any executor that takes requests.
func (b *Balancer) HasExecutors() bool {
	for _, executors := range *b.services.Load() {
		if slices.ContainsFunc(executors, func(executor *Executor) bool { return !executor.IsDraining }) {
			return true
		}
	}
	return false
}

// Choose gives the executor of a service for a request with an affinity; excluded ones are left out. It is nil if there is none.
// Draining executors and those of evacuated zones are never chosen, ejected ones only where there is no other. Executors of the own zone go first; where the
// candidates are full, the least loaded of all is chosen.
func (b *Balancer) Choose(service, affinity string, excluded []string) *Executor {
	now := b.clock.Monotonic()
	var near, far, ejected []*Executor
	for _, executor := range (*b.services.Load())[service] {
		switch {
		case executor.IsDraining || slices.Contains(excluded, executor.ID) || b.isEvacuated(executor.Zone):
		case executor.isEjected(now) || executor.isSilent(now):
			ejected = append(ejected, executor)
		case executor.Zone == b.zone:
			near = append(near, executor)
		default:
			far = append(far, executor)
		}
	}
	for _, group := range [][]*Executor{near, far} {
		if best := leastLoaded(byAffinity(group, affinity), now); best != nil && best.load(now) < fullLoad {
			return best
		}
	}
	if best := leastLoaded(append(near, far...), now); best != nil {
		return best
	}
	return leastLoaded(ejected, now)
}

// byAffinity gives the candidates with the highest rendezvous weights for an affinity.
func byAffinity(executors []*Executor, affinity string) []*Executor {
	if len(executors) <= candidates {
		return executors
	}
	type weighted struct {
		executor *Executor
		weight   uint64
	}
	all := make([]weighted, len(executors))
	for index, executor := range executors {
		all[index] = weighted{executor, weightOf(affinity, executor.ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	chosen := make([]*Executor, candidates)
	for index := range chosen {
		chosen[index] = all[index].executor
	}
	return chosen
}

func weightOf(affinity, executor string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(affinity))
	sum.Write([]byte{'/'})
	sum.Write([]byte(executor))
	// The last bytes of the text move only the low bits of the sum; the product spreads them.
	return sum.Sum64() * 0x9e3779b97f4a7c15
}

// leastLoaded gives the executor with the least load, the first of several; it is nil if there is none.
func leastLoaded(executors []*Executor, now time.Duration) *Executor {
	var best *Executor
	for _, executor := range executors {
		if best == nil || executor.load(now) < best.load(now) {
			best = executor
		}
	}
	return best
}
