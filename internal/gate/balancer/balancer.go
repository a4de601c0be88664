// Package balancer chooses the executor of a request. A gate knows only its own requests and the load that executors report in answers.
// If all gates chose the lowest load from the same stale reports, they would overload one executor. Therefore each request has two
// candidates and goes to the one with less load. The candidates depend on the affinity of the request, which is the part of its prompt that
// it shares with other requests, and are the same at every gate of a zone.
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
	// candidateCount is the number of candidates that an affinity has.
	candidateCount = 2
	// fullLoad is the load, as a share of the slots, from which an executor counts as full and others are preferred.
	fullLoad = 0.9
	// reportLifetime is how long a load report is used.
	reportLifetime = 500 * time.Millisecond
	// failuresToEject is how many consecutive failures eject an executor for ejectionTime. A call without a complete answer ejects an
	// executor at once, for unreachableTime.
	failuresToEject = 2
	ejectionTime    = 2 * time.Second
	unreachableTime = 700 * time.Millisecond
	// silentAfter is how long an executor with requests in flight may answer none of them before others are preferred. A busy executor
	// still answers some of its requests. An executor whose machine is down answers none, and its connections stay open.
	silentAfter = 500 * time.Millisecond
)

// Executor is an executor with its load and health as seen by this process. Any goroutine may use it.
type Executor struct {
	wire.ExecutorRecord
	// inFlight is the number of requests that this process has sent to the executor and that have not ended.
	inFlight atomic.Int64
	// reported is the last reported number of running and waiting requests; reportedAt is the time of the report on the monotonic clock.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// failures counts consecutive failures. ejectedUntil is when the last ejection ends, on the monotonic clock.
	failures     atomic.Int64
	ejectedUntil atomic.Int64
	// lastActivityAt is when the executor last answered, or got a request while it had none, on the monotonic clock.
	lastActivityAt atomic.Int64
}

// RecordStart counts a request as in flight, from when it is sent to the executor until RecordEnd.
func (e *Executor) RecordStart(now time.Duration) {
	if e.inFlight.Add(1) == 1 {
		e.RecordActivity(now)
	}
}

// RecordEnd counts the end of a request, whatever its result.
func (e *Executor) RecordEnd() { e.inFlight.Add(-1) }

// RecordActivity records that a part of an answer arrived from the executor: its head or an event.
func (e *Executor) RecordActivity(now time.Duration) { e.lastActivityAt.Store(int64(now)) }

// isSilent reports whether the executor has requests of this process and answered none of them for silentAfter.
func (e *Executor) isSilent(now time.Duration) bool {
	return e.inFlight.Load() > 0 && now-time.Duration(e.lastActivityAt.Load()) > silentAfter
}

// RecordTimeout records a request that timed out before the executor answered it. The executor is ejected if it answered no other request
// within silentAfter either.
func (e *Executor) RecordTimeout(now time.Duration) {
	if now-time.Duration(e.lastActivityAt.Load()) > silentAfter {
		e.eject(now + ejectionTime)
	}
}

// RecordLoad stores the numbers of running and waiting requests that the executor reported.
func (e *Executor) RecordLoad(running, waiting int64, now time.Duration) {
	e.reported.Store(running + waiting)
	e.reportedAt.Store(int64(now))
}

// RecordSuccess records an answer without a failure and resets the count of failures.
func (e *Executor) RecordSuccess() { e.failures.Store(0) }

// RecordFailure records an answer that shows a failure of the executor. failuresToEject consecutive failures eject the executor. After that
// ejection each further failure ejects it again, until a success.
func (e *Executor) RecordFailure(now time.Duration) {
	if e.failures.Add(1) >= failuresToEject {
		e.eject(now + ejectionTime)
		e.failures.Store(failuresToEject - 1)
	}
}

// RecordUnreachable records a call without a complete answer and ejects the executor.
func (e *Executor) RecordUnreachable(now time.Duration) {
	e.failures.Add(1)
	e.eject(now + unreachableTime)
}

// eject ejects the executor until the given time. It does not shorten an ejection.
func (e *Executor) eject(until time.Duration) {
	e.ejectedUntil.Store(max(e.ejectedUntil.Load(), int64(until)))
}

func (e *Executor) isEjected(now time.Duration) bool { return int64(now) < e.ejectedUntil.Load() }

// load returns the share of the slots in use: by requests of this process or by the last report, whichever is higher.
func (e *Executor) load(now time.Duration) float64 {
	used := e.inFlight.Load()
	if int64(now)-e.reportedAt.Load() < int64(reportLifetime) {
		used = max(used, e.reported.Load())
	}
	return float64(used) / float64(max(1, e.Slots))
}

// Balancer holds the executors by service. Update is called by one goroutine; any goroutine may call Choose and HasExecutors.
type Balancer struct {
	zone     string
	clock    clock.Clock
	services atomic.Pointer[map[string][]*Executor]
	// known are the executors of the last list by ID. Only Update uses it.
	known map[string]*Executor
	// isEvacuated reports whether a zone is evacuated, so that no new requests may be sent there.
	isEvacuated func(zone string) bool
}

// Option configures a balancer.
type Option func(*Balancer)

// WithEvacuations sets the function that reports whether a zone is evacuated, so that no new requests may be sent there.
func WithEvacuations(isEvacuated func(zone string) bool) Option {
	return func(b *Balancer) { b.isEvacuated = isEvacuated }
}

// New returns a balancer without executors that prefers those of the given zone.
func New(zone string, clock clock.Clock, options ...Option) *Balancer {
	balancer := &Balancer{zone: zone, clock: clock, known: map[string]*Executor{}, isEvacuated: func(string) bool { return false }}
	balancer.services.Store(&map[string][]*Executor{})
	for _, option := range options {
		option(balancer)
	}
	return balancer
}

// Update replaces the list of executors. An executor whose record is unchanged keeps its load and health. An executor with a changed record
// keeps only its failures and ejection.
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

// with returns a new executor with another record and the same failures and ejection. Requests in flight stay counted at the old executor,
// as their RecordEnd is called there.
func (e *Executor) with(record wire.ExecutorRecord) *Executor {
	next := &Executor{ExecutorRecord: record}
	next.failures.Store(e.failures.Load())
	next.ejectedUntil.Store(e.ejectedUntil.Load())
	return next
}

// HasExecutors reports whether any executor is not draining.
func (b *Balancer) HasExecutors() bool {
	for _, executors := range *b.services.Load() {
		if slices.ContainsFunc(executors, func(executor *Executor) bool { return !executor.IsDraining }) {
			return true
		}
	}
	return false
}

// Choose returns an executor of a service for a request with an affinity, or nil if there is none. Draining and excluded executors and
// those of evacuated zones are never chosen; ejected and silent ones are chosen only if there is no other. Choose prefers the less loaded
// candidate in this gate's zone, then the one in the other zones. If both are full, it returns the least loaded executor of all zones.
func (b *Balancer) Choose(service, affinity string, excluded []string) *Executor {
	now := b.clock.Monotonic()
	var sameZone, otherZones, ejected []*Executor
	for _, executor := range (*b.services.Load())[service] {
		switch {
		case executor.IsDraining || slices.Contains(excluded, executor.ID) || b.isEvacuated(executor.Zone):
		case executor.isEjected(now) || executor.isSilent(now):
			ejected = append(ejected, executor)
		case executor.Zone == b.zone:
			sameZone = append(sameZone, executor)
		default:
			otherZones = append(otherZones, executor)
		}
	}
	for _, group := range [][]*Executor{sameZone, otherZones} {
		if best := leastLoaded(candidatesFor(group, affinity), now); best != nil && best.load(now) < fullLoad {
			return best
		}
	}
	if best := leastLoaded(append(sameZone, otherZones...), now); best != nil {
		return best
	}
	return leastLoaded(ejected, now)
}

// candidatesFor returns the candidateCount executors with the highest rendezvous-hashing weights for an affinity, or all if there are no
// more.
func candidatesFor(executors []*Executor, affinity string) []*Executor {
	if len(executors) <= candidateCount {
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
	chosen := make([]*Executor, candidateCount)
	for index := range chosen {
		chosen[index] = all[index].executor
	}
	return chosen
}

// weightOf returns the rendezvous-hashing weight of an executor for an affinity.
func weightOf(affinity, executor string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(affinity))
	sum.Write([]byte{'/'})
	sum.Write([]byte(executor))
	// The last bytes of the text hardly change the high bits of the hash. The multiplication spreads the low bits over the high bits.
	return sum.Sum64() * 0x9e3779b97f4a7c15
}

// leastLoaded returns the first executor with the lowest load, or nil if there are no executors.
func leastLoaded(executors []*Executor, now time.Duration) *Executor {
	var best *Executor
	for _, executor := range executors {
		if best == nil || executor.load(now) < best.load(now) {
			best = executor
		}
	}
	return best
}
