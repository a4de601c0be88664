package scheduler

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// executorState is one incarnation of an executor, from its start to its end.
type executorState struct {
	id string
	executorFacts
	executorContact
	executorHealth
	executorOrders
	// allocated is what its runs take, also those that are being stopped.
	allocated placement.Resources
	// isRecorded tells that there is a record of its machine; idleSince is when its last run ended.
	isRecorded bool
	idleSince  time.Duration
	// index is its place in the executor table; isChanged tells that the table's view of it has to be worked out anew.
	index     int
	isChanged bool
}

// executorFacts are what its local proxy says of it; they count only while isKnown.
type executorFacts struct {
	isKnown    bool
	proxy      string
	domain     string
	labels     []string
	capacity   placement.Resources
	isDraining bool
	// departureAt is when a draining executor may be gone, 0 if that is not known.
	departureAt time.Duration
}

// executorContact is what the pool knows of its connection to the executor.
type executorContact struct {
	// exchange is how much the pool holds of what the proxy reported.
	exchange  exchangeState
	contactAt time.Duration
	// leaseExpiry is when all its runs have stopped, if no further grant reaches it. It is never earlier than the executor
	// itself can think, as it counts from the answer that carried the grant, with a margin for its clock.
	leaseExpiry time.Duration
	// isFenced tells that it has seen this leader's fence and listed its runs since: only then are orders sent.
	isFenced bool
	// isUnschedulable tells that its proxy has not reached it for some time.
	isUnschedulable bool
	// firstList is the first list of runs that counts under this leader, listWanted the newest that was asked for, at
	// listWantedAt.
	firstList    uint64
	listWanted   uint64
	listWantedAt time.Duration
	// poll is an exchange that waits for orders.
	poll *pendingPoll
}

// executorHealth is how well it has done; it makes it a later choice, or none.
type executorHealth struct {
	// ejectedUntil ends a pause after a refusal.
	ejectedUntil time.Duration
	// failures and successes count runs, and fade with time.
	failures  float64
	successes float64
	// slowFactor is how long its runs take, as a multiple of their steps' medians, on average.
	slowFactor float64
	// penalty is that of its machine.
	penalty float64
	// runLimit is how many runs it may have at once until it has shown that it is healthy; 0 is no limit.
	runLimit int
}

// executorOrders are its runs, and what is to be sent to it.
type executorOrders struct {
	runs map[runKey]*runState
	// outbox holds the runs whose orders leave with the next answer, orphanStops the orders for runs that no record knows.
	outbox      []*runState
	orphanStops []wire.Order
	// takenEnd is the number of the last end that was taken, lastSeen of the last whose consequences are committed; only
	// lastSeen is acknowledged.
	takenEnd int64
	lastSeen int64
}

type pendingPoll struct {
	until  time.Duration
	answer func(wire.ExchangeAnswer)
}

func newExecutorState(id string, now time.Duration) *executorState {
	return &executorState{id: id, executorOrders: executorOrders{runs: map[runKey]*runState{}},
		executorHealth: executorHealth{slowFactor: 1}, executorContact: executorContact{contactAt: now}}
}

// sortedRuns gives the runs in an order that is the same at every replay.
func (e *executorState) sortedRuns() []*runState {
	runs := slices.Collect(maps.Values(e.runs))
	slices.SortFunc(runs, compareRuns)
	return runs
}

// rack is the executor's rack, which its last label names; it is empty without labels.
func (e *executorState) rack() string {
	if len(e.labels) == 0 {
		return ""
	}
	return e.labels[len(e.labels)-1]
}

// penaltyScore is the executor's rate of failures, with priorSuccesses assumed before the first, and the penalty of its
// machine.
func (e *executorState) penaltyScore() float64 {
	return e.failures/(e.failures+e.successes+priorSuccesses) + machinePenaltyWeight*e.penalty
}
