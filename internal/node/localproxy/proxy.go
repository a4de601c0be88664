package localproxy

import (
	"context"
	"net/http"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/platform/response"
)

const (
	// holdPause is the pause between an answered hold and the next one.
	holdPause = 15 * time.Millisecond
	// failedHoldInterval is the least time from the start of a failed hold with the short wait to the start of the next hold.
	failedHoldInterval = 100 * time.Millisecond
	// pollWaitMs is how long the leader may keep a poll open, in milliseconds.
	pollWaitMs = 300
	// startReportDelay is how long the report of a started run waits for further changes.
	startReportDelay = 80 * time.Millisecond
	// orderTimeout is the timeout of one call that delivers an order to the executor, maxOrderAttempts the limit of calls per order, and
	// maxConcurrentOrders the limit of orders that are delivered at the same time.
	orderTimeout        = 150 * time.Millisecond
	maxOrderAttempts    = 2
	maxConcurrentOrders = 6
	// leaderRetryDelay is the pause after an exchange that the leader did not answer.
	leaderRetryDelay = 60 * time.Millisecond
	// retryDelay is the pause after a failed hold with the normal wait or for a list of runs, and the interval of checks whether a hold is
	// due or an executor has registered.
	retryDelay = 300 * time.Millisecond
	// exchangeTimeout is how long an exchange may take in addition to its wait at the leader.
	exchangeTimeout = 1500 * time.Millisecond
)

// Proxy connects one executor to the leader of its pool. It receives the executor's heartbeats, delivers orders to it and
// reports running and ended runs to the leader.
type Proxy struct {
	mailbox  *mailbox.Mailbox
	table    *Table
	clock    clock.Clock
	log      logging.Logger
	executor *executorapi.Client
	caller   *peerapi.Caller
	view     func() *membership.View
	service  string
	// reportDue, runStarted, listDue and ackDue carry the table's signals to the loops; see NewTable and WithStartSignal.
	reportDue  chan struct{}
	runStarted chan struct{}
	listDue    chan struct{}
	ackDue     chan struct{}
	// orderSlots limits the orders that are delivered at the same time to maxConcurrentOrders.
	orderSlots chan struct{}
}

// New returns a proxy for the executor of a service on this machine. It makes no calls before Run.
func New(service, domain, name string, clock clock.Clock, log logging.Logger, executor *executorapi.Client, caller *peerapi.Caller,
	view func() *membership.View, options ...TableOption) *Proxy {
	proxy := &Proxy{mailbox: mailbox.New(256), clock: clock, log: log, executor: executor, caller: caller, view: view, service: service,
		reportDue: make(chan struct{}, 1), runStarted: make(chan struct{}, 1), listDue: make(chan struct{}, 1), ackDue: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxConcurrentOrders)}
	options = append([]TableOption{WithSession(uint64(clock.WallMs())), WithStartSignal(func() { signal(proxy.runStarted) })}, options...)
	proxy.table = NewTable(clock, log, service, domain, name, func() { signal(proxy.reportDue) }, func() { signal(proxy.listDue) },
		func() { signal(proxy.ackDue) }, options...)
	return proxy
}

// signal sends a signal without blocking. If an earlier signal was not received yet, the receiver gets only that one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run runs the hold, list, poll and report loops and handles the messages in the mailbox until ctx is done.
func (p *Proxy) Run(ctx context.Context) error {
	go p.holdLoop(ctx)
	go p.listLoop(ctx)
	go p.pollLoop(ctx)
	go p.reportLoop(ctx)
	p.mailbox.Run(ctx, p.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// ask runs a function on the goroutine that owns the table and returns its result. It returns false if ctx ends before that.
func ask[T any](ctx context.Context, p *Proxy, function func() T) (T, bool) {
	value, err := mailbox.Ask(ctx, p.mailbox, func(answer func(T)) { answer(function()) })
	return value, err == nil
}

// pause waits for the given time. It returns false if ctx ends before the wait is over.
func (p *Proxy) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(wait):
		return true
	}
}

// ServeHTTP serves the executor's heartbeats and deregistrations.
func (p *Proxy) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	command, refusal := executorapi.Decode(request)
	if refusal.Status != 0 {
		refusal.Write(to)
		return
	}
	answer, isOpen := ask(request.Context(), p, func() response.Reply { return p.execute(command) })
	if !isOpen {
		answer = response.Text(http.StatusServiceUnavailable, "the table is busy")
	}
	answer.Write(to)
}

// execute applies an executor's call to the table and returns the reply.
func (p *Proxy) execute(command executorapi.Command) response.Reply {
	if command.IsDeregistration {
		p.table.Deregister(command.Executor)
		return response.Raw(http.StatusOK, []byte("{}"))
	}
	status, problem := p.table.Heartbeat(command.Executor, command.Heartbeat)
	if problem != "" {
		return response.Text(status, problem)
	}
	return response.Raw(status, []byte("{}"))
}
