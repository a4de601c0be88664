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
	// brokenRetryDelay and refusedRetryDelay are the delays before the next run of an item after a run that failed or broke off, or that
	// was refused.
	brokenRetryDelay  = 100 * time.Millisecond
	refusedRetryDelay = 300 * time.Millisecond
	// minIdleTimeout is the time without an event after which the item continues at another executor. An executor that is busy with more
	// urgent requests sends no events either, so each timeout of an item doubles the next one, up to maxIdleTimeout.
	minIdleTimeout = 2500 * time.Millisecond
	maxIdleTimeout = 10 * time.Second
)

// enqueue adds the items of a lot to the queue that have neither a result nor a run, unless the lot is finished.
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

// startItems starts queued items as far as their executors have capacity, and removes items from the queue that need no run any more.
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
		route := p.Route(item.lot.record.Route)
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

// serviceCapacity holds the available executors of a service and the number of runs at each.
type serviceCapacity struct {
	executors []wire.ExecutorRecord
	runCounts []int
}

// capacityOf returns the capacity of a service, without executors that are draining or ejected.
func (p *Part) capacityOf(service string) *serviceCapacity {
	capacity := &serviceCapacity{}
	now := p.Clock.Monotonic()
	for _, executor := range p.Executors(service) {
		health := p.executors[executor.ID]
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

// takeSlot adds a run to the executor with the fewest runs and returns it, or nil if no executor has capacity. The executor at which the
// item failed last is only used if it is the only available one.
func (r *serviceCapacity) takeSlot(failedExecutor string) *wire.ExecutorRecord {
	best := -1
	for index := range r.executors {
		limit := max(1, int(float64(r.executors[index].Slots)*maxSlotShare))
		if len(r.executors) > 1 && r.executors[index].ID == failedExecutor {
			continue
		}
		if r.runCounts[index] < limit && (best < 0 || r.runCounts[index] < r.runCounts[best]) {
			best = index
		}
	}
	if best < 0 {
		return nil
	}
	r.runCounts[best]++
	return &r.executors[best]
}

// start starts a run of an item at an executor.
func (p *Part) start(item *item, route *configuration.Route, executor wire.ExecutorRecord) {
	item.isRunning = true
	health := p.executors[executor.ID]
	if health == nil {
		health = &executorHealth{}
		p.executors[executor.ID] = health
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
func (p *Part) handleOutcome(item *item, executor string, outcome Outcome, progress Progress) {
	now := p.Clock.Monotonic()
	item.isRunning = false
	p.executors[executor].running--
	p.executors[executor].recordOutcome(outcome, now)
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
		item.failedExecutor = executor
		item.progress, item.notBefore = Progress{}, now+brokenRetryDelay
		if route := p.Route(item.lot.record.Route); route != nil && item.failures >= max(1, route.MaxAttempts) {
			p.recordResult(item, stateDeadLetter, "")
			return
		}
	case OutcomeRefused:
		item.notBefore = now + refusedRetryDelay
	case OutcomeTimedOut:
		item.timeouts++
		item.failedExecutor = executor
		item.progress, item.notBefore = progress, now
	default:
		item.progress, item.notBefore = progress, now+brokenRetryDelay
	}
	p.insert(item.lot, item)
}

// recordResult assigns the next position of its lot to the result of an item. The result is visible to readers once it is committed.
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

// expireItems records a dead-letter result for queued items that have waited for longer than the limit of their route.
func (p *Part) expireItems() {
	nowMs := p.leadership.WallMs()
	for _, item := range slices.Clone(p.queue) {
		route := p.Route(item.lot.record.Route)
		if route == nil || route.MaxQueueS <= 0 || item.hasResult || item.lot.isEnded {
			continue
		}
		waited := clock.Milliseconds(nowMs - item.lot.record.AcceptedMs)
		if waited > time.Duration(route.MaxQueueS*float64(time.Second))+queueTimeMargin {
			p.recordResult(item, stateDeadLetter, "")
		}
	}
}

// queueTimeMargin is added to the maximum queue time of a route, since a new leader determines the agreed time of day only gradually.
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

// StatusOutcome returns the outcome of a run for a status of the executor's answer other than success.
func StatusOutcome(status int) Outcome {
	switch status {
	case http.StatusUnprocessableEntity:
		return OutcomeImpossible
	case http.StatusInternalServerError:
		return OutcomeFailed
	}
	return OutcomeBroken
}
