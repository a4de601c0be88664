package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// executorState is one incarnation of an executor: a restarted executor has another ID and another state.
type executorState struct {
	id string
	executorFacts
	executorContact
	executorHealth
	executorOrders
	// allocated is the sum of the resources of its runs, including those that are stopping.
	allocated placement.Resources
	// isRecorded is set while there is a record of its machine; idleSince is when its last run was closed.
	isRecorded bool
	idleSince  time.Duration
	// index is its position in the executor table; isChanged is set while the table's view of it is out of date.
	index     int
	isChanged bool
}

// executorFacts is what the local proxy reports of its executor. The facts are valid only while isKnown is set, except for proxy, which
// a new leader takes from the executor's record before the first report.
type executorFacts struct {
	// isKnown is set from the first report to this leader until the executor has ended.
	isKnown bool
	// proxy names the local proxy, and with it the machine. domain is the zone.
	proxy      string
	domain     string
	labels     []string
	capacity   placement.Resources
	isDraining bool
	// departureAt is the earliest time at which a draining executor may shut down, 0 if it isn't known.
	departureAt time.Duration
}

// executorContact is the state of the pool's communication with the executor.
type executorContact struct {
	// exchange is the part of the proxy's reports that the pool holds.
	exchange exchangeState
	// contactAt is the time of the last report.
	contactAt time.Duration
	// leaseExpiry is when all its runs have stopped, unless it gets a further grant. It is never earlier than the expiry by the executor's
	// own clock, as it counts from the answer that carried the grant and includes a margin for that clock.
	leaseExpiry time.Duration
	// isFenced is set once the executor has confirmed this leader's fence and has listed its runs since. No orders of the outbox are sent
	// before that.
	isFenced bool
	// isUnreachable is set while the proxy reports that the executor has answered no hold for longer than Timing.HoldStale or is
	// unresponsive. The executor then gets no new runs and no further grant.
	isUnreachable bool
	// firstList is the number of the first list of runs that is valid under this leader. listWanted is the newest that was requested, at
	// listWantedAt.
	firstList    uint64
	listWanted   uint64
	listWantedAt time.Duration
	// poll is an exchange that waits for orders, nil if there is none.
	poll *pendingPoll
}

// executorHealth holds the failures, slowness and refusals of an executor. Placement chooses an unhealthy executor later, or not at all.
type executorHealth struct {
	// ejectedUntil is the end of the pause after a refusal, during which the executor gets no runs.
	ejectedUntil time.Duration
	// failures and successes are counts of runs that decay with time.
	failures  float64
	successes float64
	// slowFactor is the moving average of the durations of its runs, as multiples of their steps' medians.
	slowFactor float64
	// penalty is the penalty of its machine.
	penalty float64
	// runLimit is how many runs it may have at once until it has proved healthy; 0 means no limit.
	runLimit int
}

// executorOrders holds the runs of an executor and the orders to send to it.
type executorOrders struct {
	runs map[runKey]*runState
	// outbox holds the runs whose orders are sent with the next answer. orphanStops holds the stop orders of runs without a record.
	outbox      []*runState
	orphanStops []wire.Order
	// lastProcessedEnd is the number of the last end report that was processed, lastSeen that of the last one whose changes are committed.
	// Only lastSeen is acknowledged.
	lastProcessedEnd int64
	lastSeen         int64
}

// pendingPoll is an exchange that is answered when there are orders, or at the time until.
type pendingPoll struct {
	until  time.Duration
	answer func(wire.ExchangeAnswer)
}

func newExecutorState(id string, now time.Duration) *executorState {
	return &executorState{id: id, executorOrders: executorOrders{runs: map[runKey]*runState{}},
		executorHealth: executorHealth{slowFactor: 1}, executorContact: executorContact{contactAt: now}}
}

// sortedRuns returns the runs in an order that is the same at every replay.
func (e *executorState) sortedRuns() []*runState {
	runs := slices.Collect(maps.Values(e.runs))
	slices.SortFunc(runs, compareRuns)
	return runs
}

// rack returns the executor's rack, which is its last label, or an empty string without labels.
func (e *executorState) rack() string {
	if len(e.labels) == 0 {
		return ""
	}
	return e.labels[len(e.labels)-1]
}

// penaltyScore is the executor's failure rate plus the weighted penalty of its machine. priorSuccesses are added to its counted runs.
func (e *executorState) penaltyScore() float64 {
	return e.failures/(e.failures+e.successes+priorSuccesses) + machinePenaltyWeight*e.penalty
}
