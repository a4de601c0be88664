package lots

import (
	"strconv"
	"time"
)

// The states of a result, in records and in answers to clients.
const (
	stateCompleted  = "completed"
	stateDeadLetter = "dead_letter"
)

// lot is a list of items that a client submitted together, with their results. It is kept for readers until it is finished and
// the retention time since its acceptance has passed.
type lot struct {
	id     string
	record lotRecord
	items  []*item
	// results holds the results in the order of their positions. The first committedResults of them are durable.
	results          []resultRecord
	committedResults int
	// isCommitted reports whether the lot itself is durable.
	isCommitted bool
	// isEnded reports whether the client has ended the lot.
	isEnded bool
	// isRouteMissing reports whether the lot had no route when its items were last expired. routeMissingSince is the monotonic time of the
	// first such check.
	isRouteMissing    bool
	routeMissingSince time.Duration
	// readers holds the calls that wait for a result.
	readers []*reader
}

// item is one request of a lot.
type item struct {
	lot   *lot
	index int
	body  []byte
	// hasResult reports whether the lot's results contain the item's result, committed or not. isRunning reports whether a run is in
	// progress.
	hasResult bool
	isRunning bool
	// failures counts failed runs (status 500). The item does not run again before notBefore, which is on the monotonic clock.
	failures  int
	notBefore time.Duration
	// timeouts counts runs that were ended because their executor was idle for too long.
	timeouts int
	// failedExecutor is the ID of the executor if the last run failed or timed out, and empty otherwise.
	failedExecutor string
	// progress is the output of the runs that broke off or timed out since the last failed run. The next run continues after it.
	progress Progress
}

// Progress is the partial output of an item: the data of its events so far, and the ID of the last event.
type Progress struct {
	LastEventID string
	Texts       []string
}

// idleTimeout returns the time without an event after which the next run is ended.
func (i *item) idleTimeout() time.Duration {
	timeout := minIdleTimeout
	for range i.timeouts {
		timeout = min(2*timeout, maxIdleTimeout)
	}
	return timeout
}

// record returns the stored record of the item.
func (i *item) record() *itemRecord { return &i.lot.record.Items[i.index] }

// openCount returns the number of items without a result.
func (l *lot) openCount() int { return len(l.items) - len(l.results) }

// isFinished reports whether no item of the lot will run any more.
func (l *lot) isFinished() bool { return l.isEnded || l.openCount() == 0 }

// waitingTokens returns the number of tokens of items without a result, or 0 if the lot was ended.
func (l *lot) waitingTokens() int64 {
	if l.isEnded {
		return 0
	}
	var tokens int64
	for _, item := range l.items {
		if !item.hasResult {
			tokens += item.record().Tokens
		}
	}
	return tokens
}

// itemByID returns the item with an ID, or nil if there is none.
func (l *lot) itemByID(id string) *item {
	for _, item := range l.items {
		if item.record().ID == id {
			return item
		}
	}
	return nil
}

// recordName returns the record name of an item or a result of a lot.
func recordName(prefix, lot string, number int) string {
	return prefix + lot + "/" + strconv.Itoa(number)
}
