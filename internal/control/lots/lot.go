package lots

import (
	"strconv"
	"time"
)

// The states of a result.
const (
	stateCompleted  = "completed"
	stateDeadLetter = "dead_letter"
)

// lot is a lot under way, or one that is over and still read.
type lot struct {
	id     string
	record lotRecord
	items  []*item
	// results are those that have a position, in the order of positions; readable is how many of them are committed.
	results  []resultRecord
	readable int
	// isCommitted tells that the lot itself is durable; isEnded that its client has ended it.
	isCommitted bool
	isEnded     bool
	// readers wait for a result at a position.
	readers []*reader
}

// item is one request of a lot.
type item struct {
	lot   *lot
	index int
	body  []byte
	// isListed tells that it has a position; isRunning that a run is under way.
	isListed  bool
	isRunning bool
	// failures counts answers of 500; notBefore is when it may run again.
	failures  int
	notBefore time.Duration
	// timeouts counts runs that were ended as their executor brought nothing.
	timeouts int
	// failedAt is the executor at which the last run failed, empty if it ended otherwise.
	failedAt string
	// progress is what runs that broke off have brought so far.
	progress Progress
}

// Progress are the data of the events that an item has brought so far, and the ID of the last event.
type Progress struct {
	LastEventID string
	Texts       []string
}

// idleTimeout is for how long the next run may bring nothing.
func (i *item) idleTimeout() time.Duration {
	limit := minIdleTimeout
	for range i.timeouts {
		limit = min(2*limit, maxIdleTimeout)
	}
	return limit
}

func (i *item) record() *itemRecord { return &i.lot.record.Items[i.index] }

// open is how many items have no result yet.
func (l *lot) open() int { return len(l.items) - len(l.results) }

// isOver tells that nothing of the lot will run any more.
func (l *lot) isOver() bool { return l.isEnded || l.open() == 0 }

// waitingTokens are those of items without a result.
func (l *lot) waitingTokens() int64 {
	if l.isEnded {
		return 0
	}
	var tokens int64
	for _, item := range l.items {
		if !item.isListed {
			tokens += item.record().Tokens
		}
	}
	return tokens
}

// itemByID finds an item, or nil.
func (l *lot) itemByID(id string) *item {
	for _, item := range l.items {
		if item.record().ID == id {
			return item
		}
	}
	return nil
}

func nameOf(prefix, lot string, number int) string { return prefix + lot + "/" + strconv.Itoa(number) }
