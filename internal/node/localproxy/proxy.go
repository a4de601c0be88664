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
	holdPause           = 15 * time.Millisecond
	unansweredHoldPause = 100 * time.Millisecond
	pollWaitMs          = 300
	startReportDelay    = 80 * time.Millisecond
	orderTimeout        = 150 * time.Millisecond
	maxOrderAttempts    = 2
	maxConcurrentOrders = 6
	leaderPause         = 60 * time.Millisecond
	failedPause         = 300 * time.Millisecond
	exchangeTimeout     = 1500 * time.Millisecond
)

// Proxy joins one executor to the leader of its pool: it takes the executor's heartbeats, carries orders to it and
// reports what runs and what has ended.
type Proxy struct {
	mailbox    *mailbox.Mailbox
	table      *Table
	clock      clock.Clock
	log        logging.Logger
	executor   *executorapi.Client
	caller     *peerapi.Caller
	view       func() *membership.View
	service    string
	reportDue  chan struct{}
	runStarted chan struct{}
	listDue    chan struct{}
	ackDue     chan struct{}
	orderSlots chan struct{}
}

// New makes a proxy for the executors of a service on this machine. It calls nobody before Run.
func New(service, domain, name string, clock clock.Clock, log logging.Logger, executor *executorapi.Client, caller *peerapi.Caller,
	view func() *membership.View, options ...TableOption) *Proxy {
	proxy := &Proxy{mailbox: mailbox.New(256), clock: clock, log: log, executor: executor, caller: caller, view: view, service: service,
		reportDue: make(chan struct{}, 1), runStarted: make(chan struct{}, 1), listDue: make(chan struct{}, 1), ackDue: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxConcurrentOrders)}
	options = append([]TableOption{WithSession(uint64(clock.WallMs())), WithStartSignal(func() { signal(proxy.runStarted) })}, options...)
	proxy.table = NewTable(clock, log, service, domain, name, func() { signal(proxy.reportDue) }, func() { signal(proxy.listDue) },
		func() { signal(proxy.ackDue) }, options...)
	return proxy
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run keeps the loops going until ctx is done.
func (p *Proxy) Run(ctx context.Context) error {
	go p.holdLoop(ctx)
	go p.listLoop(ctx)
	go p.pollLoop(ctx)
	go p.reportLoop(ctx)
	p.mailbox.Run(ctx, p.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

func ask[T any](ctx context.Context, p *Proxy, question func() T) (T, bool) {
	value, err := mailbox.Ask(ctx, p.mailbox, func(answer func(T)) { answer(question()) })
	return value, err == nil
}

func (p *Proxy) pause(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(wait):
		return true
	}
}

// ServeHTTP takes the executor's own calls.
func (p *Proxy) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	command, refusal := executorapi.Decode(request)
	if refusal.Status != 0 {
		refusal.Write(to)
		return
	}
	answer, isTaken := ask(request.Context(), p, func() response.Reply { return p.execute(command) })
	if !isTaken {
		answer = response.Text(http.StatusServiceUnavailable, "the table is busy")
	}
	answer.Write(to)
}

// execute carries out an executor's call on the table and makes the reply.
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
