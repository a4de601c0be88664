package lots

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// maxSlotShare is the maximum share of an executor's slots that items may use. Interactive requests take precedence at the executor
	// in any case.
	maxSlotShare = 0.7
	// brokenRetryDelay is the delay before the next run of an item after a run that failed or broke off, refusedRetryDelay the one after a
	// run that was refused.
	brokenRetryDelay  = 100 * time.Millisecond
	refusedRetryDelay = 300 * time.Millisecond
	// minIdleTimeout is the first idle timeout of an item: the time without an event after which it continues at another executor. An
	// executor that is busy with more urgent requests sends no events either, so each timeout of an item doubles the next one, up to
	// maxIdleTimeout.
	minIdleTimeout = 2500 * time.Millisecond
	maxIdleTimeout = 10 * time.Second
)

// enqueue adds those items of a lot to the queue that have neither a result nor a run, unless the lot is finished.
func (p *Part) enqueue(lot *lot) {
	if lot.isFinished() {
		return
	}
	var waiting []*item
	for _, item := range lot.items {
		if !item.hasResult && !item.isRunning {
			waiting = append(waiting, item)
		}
	}
	p.insert(lot, waiting...)
}

// insert adds items of a lot to the queue, after the items of the same lot and of lots that were accepted earlier.
func (p *Part) insert(lot *lot, items ...*item) {
	index, _ := slices.BinarySearchFunc(p.queue, lot.record.AcceptedMs+1, func(queued *item, acceptedMs int64) int {
		return cmp.Compare(queued.lot.record.AcceptedMs, acceptedMs)
	})
	p.queue = slices.Insert(p.queue, index, items...)
}

// startItems starts queued items as far as executors of their services have capacity. It removes these items from the queue, and also
// those that need no run any more.
func (p *Part) startItems() {
	if len(p.queue) == 0 {
		return
	}
	now := p.Clock.Monotonic()
	capacities := map[string]*serviceCapacity{}
	p.queue = slices.DeleteFunc(p.queue, func(item *item) bool {
		if item.lot.isEnded || item.hasResult {
			return true
		}
		route := p.routeOf(item.lot)
		if route == nil || now < item.notBefore {
			return false
		}
		service := route.ServiceFor(item.record().ID)
		capacity := capacities[service]
		if capacity == nil {
			capacity = p.capacityOf(service)
			capacities[service] = capacity
		}
		executor := capacity.takeSlot(item.failedExecutor)
		if executor == nil {
			return false
		}
		p.start(item, route, *executor)
		return true
	})
}

// serviceCapacity holds the available executors of a service and, at the same indexes, the number of runs at each.
type serviceCapacity struct {
	executors []wire.ExecutorRecord
	runCounts []int
}

// capacityOf returns the capacity of a service, without executors that are draining or ejected.
func (p *Part) capacityOf(service string) *serviceCapacity {
	capacity := &serviceCapacity{}
	now := p.Clock.Monotonic()
	for _, executor := range p.Executors(service) {
		health := p.healthByExecutor[executor.ID]
		if executor.IsDraining || health != nil && now < health.ejectedUntil {
			continue
		}
		capacity.executors = append(capacity.executors, executor)
		running := 0
		if health != nil {
			running = health.running
		}
		capacity.runCounts = append(capacity.runCounts, running)
	}
	return capacity
}

// takeSlot chooses the executor with the fewest runs, counts a run for it and returns it, or nil if no executor has capacity. It uses
// failedExecutor, at which the last run of the item failed or timed out, only if no other executor is available.
func (c *serviceCapacity) takeSlot(failedExecutor string) *wire.ExecutorRecord {
	best := -1
	for index := range c.executors {
		limit := max(1, int(float64(c.executors[index].Slots)*maxSlotShare))
		if len(c.executors) > 1 && c.executors[index].ID == failedExecutor {
			continue
		}
		if c.runCounts[index] < limit && (best < 0 || c.runCounts[index] < c.runCounts[best]) {
			best = index
		}
	}
	if best < 0 {
		return nil
	}
	c.runCounts[best]++
	return &c.executors[best]
}

// start starts a run of an item at an executor.
func (p *Part) start(item *item, route *configuration.Route, executor wire.ExecutorRecord) {
	item.isRunning = true
	health := p.healthByExecutor[executor.ID]
	if health == nil {
		health = &executorHealth{}
		p.healthByExecutor[executor.ID] = health
	}
	health.running++
	record, generation := item.record(), p.generation
	run := Run{Executor: executor, ItemID: record.ID, Host: route.Host, Path: record.Path, Tenant: item.lot.record.Tenant,
		Headers: record.Headers, Body: item.body, Progress: item.progress, IdleTimeout: item.idleTimeout()}
	p.Runner.Start(run, func(outcome Outcome, progress Progress) {
		if p.IsOpen() && p.generation == generation {
			p.handleOutcome(item, executor.ID, outcome, progress)
		}
	})
}

// handleOutcome processes the outcome of a run: the item gets a result, or is queued for another run.
func (p *Part) handleOutcome(item *item, executorID string, outcome Outcome, progress Progress) {
	now := p.Clock.Monotonic()
	item.isRunning = false
	p.healthByExecutor[executorID].running--
	p.healthByExecutor[executorID].recordOutcome(outcome, now)
	if item.lot.isEnded || item.hasResult {
		return
	}
	item.failedExecutor = ""
	switch outcome {
	case OutcomeCompleted:
		p.recordResult(item, stateCompleted, strings.Join(progress.Texts, "\n"))
		return
	case OutcomeImpossible:
		p.recordResult(item, stateDeadLetter, "")
		return
	case OutcomeFailed:
		item.failures++
		item.failedExecutor = executorID
		item.progress, item.notBefore = Progress{}, now+brokenRetryDelay
		if route := p.routeOf(item.lot); route != nil && item.failures >= max(1, route.MaxAttempts) {
			p.recordResult(item, stateDeadLetter, "")
			return
		}
	case OutcomeRefused:
		item.notBefore = now + refusedRetryDelay
	case OutcomeTimedOut:
		item.timeouts++
		item.failedExecutor = executorID
		item.progress, item.notBefore = progress, now
	default:
		item.progress, item.notBefore = progress, now+brokenRetryDelay
	}
	p.insert(item.lot, item)
}

// recordResult adds the result of an item at the next position of its lot. The result is visible to readers once it is committed.
func (p *Part) recordResult(item *item, state, text string) {
	lot := item.lot
	result := resultRecord{Index: item.index, State: state, Text: text}
	value, err := easyjson.Marshal(result)
	if err != nil {
		p.Log.Error(err, "record not written", "lot", lot.id, "item", item.record().ID)
		return
	}
	position := len(lot.results)
	lot.results = append(lot.results, result)
	item.hasResult, item.progress = true, Progress{}
	recordedResults.With(state).Inc()
	p.changes.put(recordName(prefixResult, lot.id, position), value)
	p.changes.drop(recordName(prefixBody, lot.id, item.index))
	p.changes.afterCommit(func(err error) {
		if err == nil {
			lot.committedResults = position + 1
			item.body = nil
			p.answerReaders(lot)
		}
	})
}

// expireItems records a dead-letter result for each queued item whose lot may not wait any longer.
func (p *Part) expireItems() {
	now, nowMs := p.Clock.Monotonic(), p.leadership.WallMs()
	for _, item := range slices.Clone(p.queue) {
		if !item.hasResult && !item.lot.isEnded && p.hasExpired(item.lot, now, nowMs) {
			p.recordResult(item, stateDeadLetter, "")
		}
	}
}

// hasExpired reports whether a lot was accepted longer ago than the maximum queue time of its route plus queueTimeMargin, or has lost its
// route.
func (p *Part) hasExpired(lot *lot, now time.Duration, nowMs int64) bool {
	route := p.routeOf(lot)
	if route == nil {
		return p.hasLostRoute(lot, now)
	}
	lot.isRouteMissing = false
	waited := clock.Milliseconds(nowMs - lot.record.AcceptedMs)
	return route.MaxQueueS > 0 && waited > time.Duration(route.MaxQueueS*float64(time.Second))+queueTimeMargin
}

// queueTimeMargin is added to the maximum queue time of a route, since the time of day of a new leader is inexact until it knows
// the clocks of its followers.
const queueTimeMargin = time.Second

// CommandFor returns the method that handles calls with a verb, or nil if the verb is not one of this package.
func (p *Part) CommandFor(verb wire.Verb) func(*wire.ClientCall, func(wire.ClientAnswer)) {
	switch verb {
	case wire.VerbSubmitLot:
		return p.Submit
	case wire.VerbLotResults:
		return p.Results
	case wire.VerbLotItem:
		return p.Item
	case wire.VerbEndLot:
		return p.End
	}
	return nil
}

// StatusOutcome returns the outcome of a run whose executor answered with the given status, which is not 200.
func StatusOutcome(status int) Outcome {
	switch status {
	case http.StatusUnprocessableEntity:
		return OutcomeImpossible
	case http.StatusInternalServerError:
		return OutcomeFailed
	}
	return OutcomeBroken
}
