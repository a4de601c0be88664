package localproxy

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
)

// executorState is the state of one incarnation of the executor, from its first heartbeat to its end.
type executorState struct {
	id string
	// sequence is the sequence number of the last heartbeat. A later heartbeat has a higher number, or 0, which is always accepted.
	sequence  int64
	heartbeat executorapi.Heartbeat
	// currentSince is when this became the current incarnation.
	currentSince time.Duration
	// lastBusyAt is when the executor last ran something or got a new order.
	lastBusyAt time.Duration
	departure
	runLease
	runReports
	wantedLists
	orderDelivery
	responsiveness
}

// departure is the progress of the executor's shutdown.
type departure struct {
	// isDraining is set once the executor takes no new runs.
	isDraining bool
	// departureAt is the earliest time at which the executor may shut down; 0 if unknown.
	departureAt time.Duration
	// isDeregistered is set once the executor has deregistered, at deregisteredAt.
	isDeregistered bool
	deregisteredAt time.Duration
	// hasSkippedDrain is set if the executor deregistered without draining first. It then keeps serving for an unknown time.
	hasSkippedDrain bool
}

// runLease is the lease of the executor's runs, granted by the leader.
type runLease struct {
	clock clockSample
	// leaseExpiryMs is when the lease expires, in milliseconds of the executor's clock. Only grants of the leader extend it.
	leaseExpiryMs int64
	// renewedAt is when the executor last answered a hold, if hasRenewed.
	renewedAt  time.Duration
	hasRenewed bool
	// fence is the highest fence of a leader that answered an exchange; fenceAtExecutor is the highest fence of a hold that the executor
	// answered.
	fence           uint64
	fenceAtExecutor uint64
}

// runReports is the state of runs that is reported to the leader.
type runReports struct {
	// lastSeen is the number of the last end that the current leader has acknowledged; ends are the later ones.
	lastSeen int64
	ends     []wire.EndReport
	// running are the running runs according to the last answer to a hold.
	running []wire.RunReport
	// runningSentAt is when the last exchange with a list of running runs was answered.
	runningSentAt time.Duration
	feed          *feed
}

// wantedLists tracks the complete lists of runs that the leader requests. Each request has a higher number than the one before.
type wantedLists struct {
	// listWanted is the number of the last list that the leader requested, listTaken that of the last one that the executor sent, and
	// listReported that of the last one that the leader got.
	listWanted   uint64
	listTaken    uint64
	listReported uint64
	// listedRuns is the list with the number listTaken.
	listedRuns []wire.RunReport
}

// orderDelivery tracks orders and their answers.
type orderDelivery struct {
	// ordersInFlight are the orders that are being delivered to the executor; answers are results of orders that the leader does not have
	// yet.
	ordersInFlight map[orderKey]inFlightOrder
	answers        []pendingAnswer
	// uncertainRuns are the runs with an unanswered order. Such a run may still be launched. Once there are more than maxUncertainRuns,
	// areAllUncertain is set for good, and every run counts as uncertain.
	uncertainRuns   map[runKey]bool
	areAllUncertain bool
}

// responsiveness tracks the executor's unanswered calls. A failed hold counts as unanswered, even if the executor answered with an error
// status.
type responsiveness struct {
	// misses counts consecutive unanswered calls; missedAt is when the last of them failed.
	misses   int
	missedAt time.Duration
	// lostAt is when the last call failed whose answer may have been lost, if hasLostAnswer.
	lostAt        time.Duration
	hasLostAnswer bool
}

func (t *Table) newIncarnation(id string) *executorState {
	return &executorState{id: id, lastBusyAt: t.now(), runReports: runReports{feed: newFeed(t.session)},
		orderDelivery: orderDelivery{ordersInFlight: map[orderKey]inFlightOrder{}, uncertainRuns: map[runKey]bool{}}}
}
