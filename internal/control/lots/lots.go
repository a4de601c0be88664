// Package lots manages lots, which are batches of requests (items) that a client submits together and whose results it reads later. It
// stores lots and runs their items while this process leads the key of a partition. It has no goroutines and no sockets: one goroutine calls
// it with the commands of clients and the outcomes of runs. The goroutine calls Flush after each burst of such calls and after each Tick.
//
// A lot is acknowledged once all its records are committed. A result gets its position when it is recorded, which is at the end of a run or
// when the item expires. It is visible to readers once it is committed at that position. No position gets two committed results, since each
// leader appends its results to all results that were committed before. An item may run more than once, since a new leader doesn't know the
// runs that are in progress.
package lots

import (
	"maps"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

// IsKey reports whether a replication key belongs to a partition of this package.
func IsKey(key string) bool { return strings.HasPrefix(key, wire.LotsKeyPrefix) }

// Run is one attempt to run an item at an executor.
type Run struct {
	Executor wire.ExecutorRecord
	ItemID   string
	Host     string
	Path     string
	Tenant   string
	Headers  map[string]string
	Body     []byte
	Progress Progress
	// IdleTimeout is the time without an event after which the run is ended.
	IdleTimeout time.Duration
}

// Outcome states how a run ended.
type Outcome int

const (
	// OutcomeCompleted means that the output of the item is complete.
	OutcomeCompleted Outcome = iota
	// OutcomeBroken means that the connection broke or the answer was unusable. The item may continue at another executor.
	OutcomeBroken
	// OutcomeTimedOut means that the executor sent no event for the idle timeout. The item may continue at another executor.
	OutcomeTimedOut
	// OutcomeRefused means that the executor did not run the item, usually for lack of capacity.
	OutcomeRefused
	// OutcomeFailed means that the executor failed (status 500). The item may start again from the beginning.
	OutcomeFailed
	// OutcomeImpossible means that no executor can process the item (status 422, or an item that can't be sent as a request).
	OutcomeImpossible
)

// Runner executes runs. It calls done exactly once for each run, on the goroutine of the partition.
type Runner interface {
	Start(run Run, done func(Outcome, Progress))
}

// Dependencies holds the dependencies and settings of a partition.
type Dependencies struct {
	Clock  clock.Clock
	Log    logging.Logger
	Runner Runner
	// Configuration returns the configuration in force, nil before the first. It may change between two calls.
	Configuration func() *configuration.Matcher
	// Executors returns the executors of a service.
	Executors func(service string) []wire.ExecutorRecord
	// Retention is the minimum time for which a lot is kept after it was accepted. A lot that isn't finished is kept for longer.
	Retention time.Duration
}

// Part manages the lots of one replication key.
type Part struct {
	Dependencies
	key string
	// leadership is nil while another process leads the key. The tables below are empty then.
	leadership scheduler.Leadership
	lots       map[string]*lot
	// queue holds the items of committed lots that have neither a result nor a run, in the order in which their lots were accepted. Items
	// that expire and items of ended lots stay in it until the next startItems.
	queue []*item
	// healthByExecutor holds the health of the executors that had a run, by their IDs. An entry is removed once the executor has no runs,
	// no failures and no ejection.
	healthByExecutor map[string]*executorHealth
	changes          changeSet
	// generation increases with each leadership. Outcomes of runs that an earlier generation started are ignored.
	generation uint64
	// nextCleanUpAt is when Tick cleans up next, on the monotonic clock.
	nextCleanUpAt time.Duration
}

// New returns a partition of the given key. It is closed until Open is called.
func New(key string, dependencies Dependencies) *Part {
	return &Part{key: key, Dependencies: dependencies}
}

// IsOpen reports whether this process leads the key.
func (p *Part) IsOpen() bool { return p.leadership != nil }

// Open takes over the leadership of the key, with its committed records as pairs. An invalid record is logged, and its stored copy stays
// unchanged.
func (p *Part) Open(leadership scheduler.Leadership, pairs []wire.Op) {
	p.generation++
	p.leadership, p.lots, p.queue, p.healthByExecutor, p.changes = leadership, map[string]*lot{}, nil, map[string]*executorHealth{}, changeSet{}
	for _, prefix := range []string{prefixLot, prefixBody, prefixResult, prefixEnd} {
		for _, pair := range pairs {
			if !strings.HasPrefix(pair.Name, prefix) {
				continue
			}
			if err := p.load(prefix, pair); err != nil {
				p.Log.Error(err, "unreadable record", "key", p.key, "record", pair.Name)
			}
		}
	}
	openItems := 0
	for _, lot := range p.lots {
		lot.committedResults = len(lot.results)
		openItems += lot.openCount()
		p.enqueue(lot)
	}
	p.Log.Info("lots taken over", "key", p.key, "epoch", leadership.Epoch(), "lots", len(p.lots), "open_items", openItems)
}

// load reads one record. It returns an error if the record is invalid or its lot does not exist.
func (p *Part) load(prefix string, pair wire.Op) error {
	id, number, _ := strings.Cut(pair.Name[len(prefix):], "/")
	if prefix == prefixLot {
		return p.loadLot(id, pair.Value)
	}
	lot := p.lots[id]
	if lot == nil {
		return errors.New("the lot of the record does not exist")
	}
	switch prefix {
	case prefixEnd:
		lot.isEnded = true
		return nil
	case prefixBody:
		return lot.loadBody(number, pair.Value)
	}
	return lot.loadResult(number, pair.Value)
}

// loadLot reads the record of a lot. The bodies and results of its items are loaded after it.
func (p *Part) loadLot(id string, value []byte) error {
	lot := &lot{id: id, isCommitted: true}
	if err := easyjson.Unmarshal(value, &lot.record); err != nil {
		return err
	}
	for index := range lot.record.Items {
		lot.items = append(lot.items, &item{lot: lot, index: index})
	}
	p.lots[id] = lot
	return nil
}

// Close ends the leadership of the key. Calls whose changes are not committed are answered with an unknown outcome, and waiting readers
// are referred to the next leader.
func (p *Part) Close() {
	uncommitted, lots := p.changes.takeCallbacks(), p.lots
	p.leadership, p.lots, p.queue, p.healthByExecutor, p.changes = nil, nil, nil, nil, changeSet{}
	for _, lot := range lots {
		for _, reader := range lot.readers {
			reader.answer(wire.ClientAnswer{NotLeader: true})
		}
	}
	for _, callback := range uncommitted {
		callback(errClosed)
	}
}

// errClosed is passed to the callbacks that are waiting for a commit when the leadership ends.
const errClosed = errors.ConstError("the leadership of the key has ended")

// Tick answers expired readers. Once a second, it also expires items and removes old lots and entries of idle executors.
func (p *Part) Tick() {
	if !p.IsOpen() {
		return
	}
	now := p.Clock.Monotonic()
	p.answerExpiredReaders(now)
	if now >= p.nextCleanUpAt {
		p.nextCleanUpAt = now + time.Second
		p.expireItems()
		p.removeOldLots()
		p.removeIdleExecutors(now)
	}
}

// Flush starts the items that can run and commits the changes since the last call.
func (p *Part) Flush() {
	if !p.IsOpen() {
		return
	}
	p.startItems()
	commit, ops := p.changes.startCommit()
	if commit == nil {
		return
	}
	p.leadership.Commit(ops, func(err error) { p.changes.pending.End(commit, err) })
}

// removeOldLots removes committed and finished lots whose retention time has passed.
func (p *Part) removeOldLots() {
	oldest := p.leadership.WallMs() - p.Retention.Milliseconds()
	for id, lot := range p.lots {
		if lot.record.AcceptedMs < oldest && lot.isFinished() && lot.isCommitted {
			p.dropRecords(lot)
			delete(p.lots, id)
		}
	}
}

// removeIdleExecutors removes the entries of executors without runs, failures and an ejection.
func (p *Part) removeIdleExecutors(now time.Duration) {
	maps.DeleteFunc(p.healthByExecutor, func(_ string, health *executorHealth) bool {
		return health.running == 0 && health.failures == 0 && now >= health.ejectedUntil
	})
}

// dropRecords adds the deletion of all records of a lot to the change set.
func (p *Part) dropRecords(lot *lot) {
	p.changes.drop(prefixLot + lot.id)
	p.changes.drop(prefixEnd + lot.id)
	for index := range lot.items {
		p.changes.drop(recordName(prefixBody, lot.id, index))
	}
	for position := range lot.results {
		p.changes.drop(recordName(prefixResult, lot.id, position))
	}
}
