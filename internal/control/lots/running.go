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
	// slotShare is the part of an executor's slots that items may take at most; requests that people wait for go first there all the same.
	slotShare = 0.7
	// brokenPause and refusedPause lie before the next run of an item that broke off or was refused.
	brokenPause  = 100 * time.Millisecond
	refusedPause = 300 * time.Millisecond
	// minIdleTimeout is for how long an executor may bring nothing of an item before another one goes on with it. An executor that is busy
	// with more urgent requests brings nothing, too, so each time-out doubles the next one, up to maxIdleTimeout.
	minIdleTimeout = 2500 * time.Millisecond
	maxIdleTimeout = 10 * time.Second
)

// enqueue lets the items of a lot run that have no result.
func (p *Part) enqueue(lot *lot) {
	if lot.isOver() {
		return
	}
	var waiting []*item
	for _, item := range lot.items {
		if !item.isListed && !item.isRunning {
			waiting = append(waiting, item)
		}
	}
	p.insert(lot, waiting...)
}

// insert puts items of a lot into the queue, behind those of the lot and of lots that were accepted before.
func (p *Part) insert(lot *lot, items ...*item) {
	place, _ := slices.BinarySearchFunc(p.queue, lot.record.AcceptedMs+1, func(queued *item, acceptedMs int64) int {
		return cmp.Compare(queued.lot.record.AcceptedMs, acceptedMs)
	})
	p.queue = slices.Insert(p.queue, place, items...)
}

// startItems starts as many items as there is capacity for.
func (p *Part) startItems() {
	if len(p.queue) == 0 {
		return
	}
	now := p.Clock.Monotonic()
	capacities := map[string]*serviceCapacity{}
	p.queue = slices.DeleteFunc(p.queue, func(item *item) bool {
		if item.lot.isEnded || item.isListed {
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
		executor := capacity.take(item.failedAt)
		if executor == nil {
			return false
		}
		p.start(item, route, *executor)
		return true
	})
}

// serviceCapacity is what the executors of a service can take now.
type serviceCapacity struct {
	executors []wire.ExecutorRecord
	taken     []int
}

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
		capacity.taken = append(capacity.taken, running)
	}
	return capacity
}

// take gives the executor with the most capacity, or nil if there is none left; the one where the item failed last only if it is the only one.
func (r *serviceCapacity) take(failedAt string) *wire.ExecutorRecord {
	best := -1
	for index := range r.executors {
		limit := max(1, int(float64(r.executors[index].Slots)*slotShare))
		if len(r.executors) > 1 && r.executors[index].ID == failedAt {
			continue
		}
		if r.taken[index] < limit && (best < 0 || r.taken[index] < r.taken[best]) {
			best = index
		}
	}
	if best < 0 {
		return nil
	}
	r.taken[best]++
	return &r.executors[best]
}

// start has an item run at an executor.
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
			p.runEnded(item, executor.ID, outcome, progress)
		}
	})
}

// runEnded takes how a run ended: the item gets its result, or waits for another run.
func (p *Part) runEnded(item *item, executor string, outcome Outcome, progress Progress) {
	now := p.Clock.Monotonic()
	item.isRunning = false
	p.executors[executor].running--
	p.executors[executor].note(outcome, now)
	if item.lot.isEnded || item.isListed {
		return
	}
	item.failedAt = ""
	switch outcome {
	case OutcomeCompleted:
		p.list(item, stateCompleted, strings.Join(progress.Texts, "\n"))
		return
	case OutcomeImpossible:
		p.list(item, stateDeadLetter, "")
		return
	case OutcomeFailed:
		item.failures++
		item.failedAt = executor
		item.progress, item.notBefore = Progress{}, now+brokenPause
		if route := p.Route(item.lot.record.Route); route != nil && item.failures >= max(1, route.MaxAttempts) {
			p.list(item, stateDeadLetter, "")
			return
		}
	case OutcomeRefused:
		item.notBefore = now + refusedPause
	case OutcomeTimedOut:
		item.timeouts++
		item.failedAt = executor
		item.progress, item.notBefore = progress, now
	default:
		item.progress, item.notBefore = progress, now+brokenPause
	}
	p.insert(item.lot, item)
}

// list gives an item the next position of its lot; it is shown once that is committed.
func (p *Part) list(item *item, state, text string) {
	lot := item.lot
	result := resultRecord{Index: item.index, State: state, Text: text}
	value, err := easyjson.Marshal(result)
	if err != nil {
		p.Log.Error(err, "record not written", "lot", lot.id, "item", item.record().ID)
		return
	}
	position := len(lot.results)
	lot.results = append(lot.results, result)
	item.isListed, item.progress = true, Progress{}
	results.With(state).Inc()
	p.changes.put(nameOf(prefixResult, lot.id, position), value)
	p.changes.drop(nameOf(prefixBody, lot.id, item.index))
	p.changes.afterCommit(func(err error) {
		if err == nil {
			lot.readable = position + 1
			item.body = nil
			p.answerReaders(lot)
		}
	})
}

// giveUpItems lists the items as dead that have waited for longer than their route says.
func (p *Part) giveUpItems() {
	nowMs := p.leadership.WallMs()
	for _, item := range slices.Clone(p.queue) {
		route := p.Route(item.lot.record.Route)
		if route == nil || route.MaxQueueS <= 0 || item.isListed || item.lot.isEnded {
			continue
		}
		waited := clock.Milliseconds(nowMs - item.lot.record.AcceptedMs)
		if waited > time.Duration(route.MaxQueueS*float64(time.Second))+giveUpMargin {
			p.list(item, stateDeadLetter, "")
		}
	}
}

// giveUpMargin is how much longer than its route says an item waits, as the time of day is only known by and by.
const giveUpMargin = time.Second

// CommandFor gives the command of a verb, or nil if there is none.
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

// StatusOutcome is what the status of an executor's answer says of a run, if it is no success.
func StatusOutcome(status int) Outcome {
	switch status {
	case http.StatusUnprocessableEntity:
		return OutcomeImpossible
	case http.StatusInternalServerError:
		return OutcomeFailed
	}
	return OutcomeBroken
}
