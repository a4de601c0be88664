package localproxy

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
)

// executorState is what the proxy knows of one incarnation of the executor, from its first heartbeat to its end.
type executorState struct {
	id string
	// sequence is that of the last heartbeat; a lower one is late.
	sequence  int64
	heartbeat executorapi.Heartbeat
	// currentSince is when it became the current incarnation.
	currentSince time.Duration
	// lastBusyAt is when it was last known to run anything.
	lastBusyAt time.Duration
	departure
	runLease
	runReports
	wantedLists
	orderDelivery
	responsiveness
}

// departure is how far it is on its way out.
type departure struct {
	// isDraining tells that it takes no new runs.
	isDraining bool
	// departureAt is when it may be gone, 0 if that is not known.
	departureAt time.Duration
	// isLeaving tells that it has deregistered, at leftAt.
	isLeaving bool
	leftAt    time.Duration
	// isServingOn is set at a deregistration that nothing announced: the executor serves on for some time, and how long is not
	// known.
	isServingOn bool
}

// runLease is how long its runs may go on, and for which leader.
type runLease struct {
	clock clockSample
	// leaseExpiryMs is how long its runs may go on, by its own clock. It only grows, and only by grants of the leader.
	leaseExpiryMs int64
	renewedAt     time.Duration
	hasRenewed    bool
	// fence is that of the leader which answered last; fenceAtExecutor the highest that the executor has answered to.
	fence           uint64
	fenceAtExecutor uint64
}

// runReports are what the leader has to learn of its runs.
type runReports struct {
	// lastSeen is the number of the last end that the leader has acknowledged; ends are those after it.
	lastSeen int64
	ends     []wire.EndReport
	running  []wire.RunReport
	// runningSentAt is when an exchange with the list of running runs was answered last.
	runningSentAt time.Duration
	feed          *feed
}

// wantedLists are the complete lists of runs that the leader asks for by rising numbers: the last one asked for, taken and
// reported.
type wantedLists struct {
	listWanted   uint64
	listTaken    uint64
	listReported uint64
	listedRuns   []wire.RunReport
}

// orderDelivery is what becomes of orders.
type orderDelivery struct {
	// ordersInFlight are being carried to the executor; answers are its answers, until the leader has them.
	ordersInFlight map[orderKey]givenOrder
	answers        []givenAnswer
	// uncertainRuns are those whose start may yet be carried out; areAllUncertain is set once they are more than
	// maxUncertainRuns.
	uncertainRuns   map[runKey]bool
	areAllUncertain bool
}

// responsiveness is whether the executor answers.
type responsiveness struct {
	// misses counts calls in a row that it did not answer, the last of them at missedAt.
	misses   int
	missedAt time.Duration
	// lostAt is when an answer was last lost.
	lostAt        time.Duration
	hasLostAnswer bool
}

func (t *Table) newIncarnation(id string) *executorState {
	return &executorState{id: id, lastBusyAt: t.now(), runReports: runReports{feed: newFeed(t.session)},
		orderDelivery: orderDelivery{ordersInFlight: map[orderKey]givenOrder{}, uncertainRuns: map[runKey]bool{}}}
}
