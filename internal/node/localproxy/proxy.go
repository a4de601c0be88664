package localproxy

import (
	"context"
	stderrors "errors"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
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

type nextHold struct {
	work  HoldWork
	isDue bool
}

func (p *Proxy) holdLoop(ctx context.Context) {
	for {
		turn, isOpen := ask(ctx, p, func() nextHold {
			work, isDue := p.table.NextHold(false)
			return nextHold{work, isDue}
		})
		if !isOpen {
			return
		}
		begunAt := p.clock.Monotonic()
		if turn.isDue && p.hold(ctx, turn.work) {
			p.pause(ctx, holdPause)
			continue
		}
		if turn.isDue && turn.work.Hold.WaitMs == shortWaitMs {
			p.pause(ctx, PauseAfterMiss(p.clock.Monotonic()-begunAt))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.ackDue:
		case <-p.clock.After(failedPause):
		}
	}
}

// PauseAfterMiss is longer where a hold was cut or refused at once: each try is then a new connection.
func PauseAfterMiss(took time.Duration) time.Duration {
	return max(holdPause, unansweredHoldPause-took)
}

func (p *Proxy) listLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.listDue:
		}
		turn, isOpen := ask(ctx, p, func() nextHold {
			work, isDue := p.table.NextHold(true)
			return nextHold{work, isDue}
		})
		if !isOpen {
			return
		}
		if turn.isDue && !p.hold(ctx, turn.work) {
			if !p.pause(ctx, failedPause) {
				return
			}
			signal(p.listDue)
		}
	}
}

func (p *Proxy) hold(ctx context.Context, work HoldWork) bool {
	limit := HoldLimit(work.Hold)
	status, answer, err := p.executor.Call(ctx, "/v1/hold", work.Executor, limit, work.Hold)
	isHeld := err == nil && status == http.StatusOK
	p.mailbox.Post(func() {
		if isHeld {
			p.table.HandleHold(work, answer)
			return
		}
		p.table.HandleHoldFailure(work, err == nil && status == http.StatusMisdirectedRequest)
	})
	if !isHeld {
		p.log.V(1).Info("lease renewal failed", "executor", work.Executor, "status", status, "reason", errorText(err))
	}
	return isHeld
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (p *Proxy) pollLoop(ctx context.Context) {
	for {
		if !p.exchange(ctx, pollWaitMs) && !p.pause(ctx, leaderPause) {
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (p *Proxy) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reportDue:
		case <-p.runStarted:
			if !p.waitForMore(ctx) {
				continue
			}
		}
		if !p.exchange(ctx, 0) {
			if !p.pause(ctx, leaderPause) {
				return
			}
			signal(p.reportDue)
		}
	}
}

// waitForMore lets news that can wait share the report of what follows; it tells whether a report is due.
func (p *Proxy) waitForMore(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.reportDue:
		return true
	case <-p.clock.After(startReportDelay):
	}
	hasUnsent, _ := ask(ctx, p, p.table.HasUnsent)
	return hasUnsent
}

// exchange talks to the owner once; it tells whether the owner answered.
func (p *Proxy) exchange(ctx context.Context, waitMs int64) bool {
	call, isOpen := ask(ctx, p, func() *wire.ExchangeCall {
		call, _ := p.table.Compose(waitMs)
		return call
	})
	if !isOpen {
		return false
	}
	if call == nil {
		if waitMs > 0 {
			p.pause(ctx, failedPause)
		}
		return true
	}
	view := p.view()
	leader := leaderAddress(view, call.Key)
	if leader == "" {
		return false
	}
	askedAt := p.clock.Monotonic()
	callCtx, release := membership.UntilLeaderMoved(ctx, view)
	defer release()
	answer, err := peerapi.Call[wire.ExchangeCall, wire.ExchangeAnswer](callCtx, p.caller, leader,
		peerapi.ProcedureExchange, clock.Milliseconds(call.WaitMs)+exchangeTimeout, call)
	if err != nil {
		p.log.V(1).Info("exchange failed", "reason", err.Error())
		return false
	}
	if answer.NotLeader {
		return false
	}
	if answer.Fence == 0 {
		return true
	}
	orders, _ := ask(ctx, p, func() []wire.Order { return p.table.HandleAnswer(call, askedAt, answer) })
	for _, order := range orders {
		go p.deliverOrder(ctx, call.Executor, order)
	}
	return true
}

func leaderAddress(view *membership.View, key string) string {
	if leader, isKnown := view.Steward(view.Leaders[key].Name); isKnown {
		return leader.Address
	}
	for _, steward := range slices.Backward(view.Stewards) {
		if steward.MayLead() {
			return steward.Address
		}
	}
	return ""
}

type nextOrder struct {
	work  OrderWork
	isDue bool
}

// deliverOrder brings one order to the executor, again if it is not answered.
func (p *Proxy) deliverOrder(ctx context.Context, executor string, order wire.Order) {
	p.orderSlots <- struct{}{}
	defer func() { <-p.orderSlots }()
	for attempt := range maxOrderAttempts {
		turn, isOpen := ask(ctx, p, func() nextOrder {
			work, isDue := p.table.Ready(executor, order)
			return nextOrder{work, isDue}
		})
		if !isOpen || !turn.isDue {
			return
		}
		status, answer, err := p.send(ctx, turn.work)
		if err == nil {
			result := ResultOf(status, answer.Reason)
			p.mailbox.Post(func() {
				p.table.ReadClock(executor, answer.ClockMs)
				p.table.HandleOrderResult(turn.work, result)
			})
			return
		}
		if order.Kind == "launch" && isRefused(err) {
			p.mailbox.Post(func() { p.table.HandleOrderRefusal(turn.work) })
			return
		}
		isLast := attempt == maxOrderAttempts-1
		p.mailbox.Post(func() {
			if !isRefused(err) {
				p.table.HandleOrderTimeout(turn.work)
			}
			if isLast {
				p.table.HandleOrderResult(turn.work, "timeout")
			}
		})
	}
}

func isRefused(err error) bool {
	var timeout interface{ Timeout() bool }
	return peerapi.NeverSent(err) && !(stderrors.As(err, &timeout) && timeout.Timeout())
}

func (p *Proxy) send(ctx context.Context, work OrderWork) (int, executorapi.Answer, error) {
	order := work.Order
	if order.Kind == "launch" {
		return p.executor.Call(ctx, "/v1/run-start", work.Executor, orderTimeout, executorapi.RunStart{Task: order.Task, Run: order.Run,
			Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs, Fence: work.Fence, Checkpoint: order.Checkpoint})
	}
	return p.executor.Call(ctx, "/v1/run-stop", work.Executor, orderTimeout,
		executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence})
}

// ResultOf names what an executor's answer to an order means.
func ResultOf(status int, reason string) string {
	switch {
	case status == http.StatusOK:
		return "ok"
	case status == http.StatusConflict && reason == "room":
		return "room"
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return "sick"
	case status == http.StatusBadRequest || status == http.StatusMisdirectedRequest:
		return "not-run"
	}
	return "unsure"
}
