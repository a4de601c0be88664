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
	holdGap      = 15 * time.Millisecond
	deafPause    = 100 * time.Millisecond
	pollWaitMs   = 300
	startPause   = 80 * time.Millisecond
	startLimit   = 150 * time.Millisecond
	startTries   = 2
	atOnce       = 6
	ownerPause   = 60 * time.Millisecond
	failedPause  = 300 * time.Millisecond
	exchangeSlow = 1500 * time.Millisecond
)

// Proxy joins one executor to the leader of its pool: it takes the executor's heartbeats, carries orders to it and
// reports what runs and what has ended.
type Proxy struct {
	box      *mailbox.Mailbox
	table    *Table
	clock    clock.Clock
	log      logging.Logger
	executor *executorapi.Client
	caller   *peerapi.Caller
	view     func() *membership.View
	service  string
	work     chan struct{}
	starts   chan struct{}
	looks    chan struct{}
	acks     chan struct{}
	slots    chan struct{}
}

// New makes a proxy for the executors of a service on this machine. It calls nobody before Run.
func New(service, domain, name string, clock clock.Clock, log logging.Logger, executor *executorapi.Client, caller *peerapi.Caller,
	view func() *membership.View, options ...TableOption) *Proxy {
	proxy := &Proxy{box: mailbox.New(256), clock: clock, log: log, executor: executor, caller: caller, view: view, service: service,
		work: make(chan struct{}, 1), starts: make(chan struct{}, 1), looks: make(chan struct{}, 1), acks: make(chan struct{}, 1), slots: make(chan struct{}, atOnce)}
	options = append([]TableOption{WithSession(uint64(clock.WallMs())), WithStartBell(func() { nudge(proxy.starts) })}, options...)
	proxy.table = NewTable(clock, log, service, domain, name, func() { nudge(proxy.work) }, func() { nudge(proxy.looks) },
		func() { nudge(proxy.acks) }, options...)
	return proxy
}

func nudge(bell chan struct{}) {
	select {
	case bell <- struct{}{}:
	default:
	}
}

// Run keeps the loops going until ctx is done.
func (p *Proxy) Run(ctx context.Context) error {
	go p.holdLoop(ctx)
	go p.lookLoop(ctx)
	go p.pollLoop(ctx)
	go p.reportLoop(ctx)
	p.box.Run(ctx, p.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

func ask[T any](ctx context.Context, p *Proxy, question func() T) (T, bool) {
	value, err := mailbox.Ask(ctx, p.box, func(answer func(T)) { answer(question()) })
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
	answer, isTaken := ask(request.Context(), p, func() response.Reply { return p.obey(command) })
	if !isTaken {
		answer = response.Text(http.StatusServiceUnavailable, "the table is busy")
	}
	answer.Write(to)
}

func (p *Proxy) obey(command executorapi.Command) response.Reply {
	if command.IsLeave {
		p.table.Leave(command.Executor)
		return response.Raw(http.StatusOK, []byte("{}"))
	}
	status, why := p.table.Beat(command.Executor, command.Beat)
	if why != "" {
		return response.Text(status, why)
	}
	return response.Raw(status, []byte("{}"))
}

type holdTurn struct {
	work  HoldWork
	isDue bool
}

func (p *Proxy) holdLoop(ctx context.Context) {
	for {
		turn, isOpen := ask(ctx, p, func() holdTurn {
			work, isDue := p.table.NextHold(false)
			return holdTurn{work, isDue}
		})
		if !isOpen {
			return
		}
		begunAt := p.clock.Monotonic()
		if turn.isDue && p.hold(ctx, turn.work) {
			p.pause(ctx, holdGap)
			continue
		}
		if turn.isDue && turn.work.Hold.WaitMs == shortWaitMs {
			p.pause(ctx, PauseAfterMiss(p.clock.Monotonic()-begunAt))
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-p.acks:
		case <-p.clock.After(failedPause):
		}
	}
}

// PauseAfterMiss is longer where a hold was cut or refused at once: each try is then a new connection.
func PauseAfterMiss(took time.Duration) time.Duration { return max(holdGap, deafPause-took) }

func (p *Proxy) lookLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.looks:
		}
		turn, isOpen := ask(ctx, p, func() holdTurn {
			work, isDue := p.table.NextHold(true)
			return holdTurn{work, isDue}
		})
		if !isOpen {
			return
		}
		if turn.isDue && !p.hold(ctx, turn.work) {
			if !p.pause(ctx, failedPause) {
				return
			}
			nudge(p.looks)
		}
	}
}

func (p *Proxy) hold(ctx context.Context, work HoldWork) bool {
	limit := HoldLimit(work.Hold)
	status, answer, err := p.executor.Call(ctx, "/v1/hold", work.Life, limit, work.Hold)
	isHeld := err == nil && status == http.StatusOK
	p.box.Post(func() {
		if isHeld {
			p.table.Held(work, answer)
			return
		}
		p.table.HoldFailed(work, err == nil && status == http.StatusMisdirectedRequest)
	})
	if !isHeld {
		p.log.V(1).Info("lease renewal failed", "executor", work.Life, "status", status, "reason", errorText(err))
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
		if !p.exchange(ctx, pollWaitMs) && !p.pause(ctx, ownerPause) {
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
		case <-p.work:
		case <-p.starts:
			if !p.awaitMore(ctx) {
				continue
			}
		}
		if !p.exchange(ctx, 0) {
			if !p.pause(ctx, ownerPause) {
				return
			}
			nudge(p.work)
		}
	}
}

// awaitMore lets news that can wait share the report of what follows; it tells whether a report is due.
func (p *Proxy) awaitMore(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.work:
		return true
	case <-p.clock.After(startPause):
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
	owner := ownerAddress(view, call.Key)
	if owner == "" {
		return false
	}
	askedAt := p.clock.Monotonic()
	patience, release := membership.UntilLeaderMoved(ctx, view)
	defer release()
	answer, err := peerapi.Call[wire.ExchangeCall, wire.ExchangeAnswer](patience, p.caller, owner,
		peerapi.ProcedureExchange, clock.Milliseconds(call.WaitMs)+exchangeSlow, call)
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
	orders, _ := ask(ctx, p, func() []wire.Order { return p.table.Told(call, askedAt, answer) })
	for _, order := range orders {
		go p.carry(ctx, call.Executor, order)
	}
	return true
}

func ownerAddress(view *membership.View, key string) string {
	if owner, isKnown := view.Steward(view.Leaders[key].Name); isKnown {
		return owner.Address
	}
	for _, steward := range slices.Backward(view.Stewards) {
		if steward.MayLead() {
			return steward.Address
		}
	}
	return ""
}

type orderTurn struct {
	work  OrderWork
	isDue bool
}

// carry brings one order to the executor, again if it is not answered.
func (p *Proxy) carry(ctx context.Context, executor string, order wire.Order) {
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	for try := range startTries {
		turn, isOpen := ask(ctx, p, func() orderTurn {
			work, isDue := p.table.Ready(executor, order)
			return orderTurn{work, isDue}
		})
		if !isOpen || !turn.isDue {
			return
		}
		status, answer, err := p.deliver(ctx, turn.work)
		if err == nil {
			result := ResultOf(status, answer.Reason)
			p.box.Post(func() {
				p.table.Clock(executor, answer.ClockMs)
				p.table.Carried(turn.work, result)
			})
			return
		}
		if order.Kind == "launch" && isRefused(err) {
			p.box.Post(func() { p.table.Refused(turn.work) })
			return
		}
		isLast := try == startTries-1
		p.box.Post(func() {
			if !isRefused(err) {
				p.table.Unanswered(turn.work)
			}
			if isLast {
				p.table.Carried(turn.work, "timeout")
			}
		})
	}
}

func isRefused(err error) bool {
	var timeout interface{ Timeout() bool }
	return peerapi.NeverSent(err) && !(stderrors.As(err, &timeout) && timeout.Timeout())
}

func (p *Proxy) deliver(ctx context.Context, work OrderWork) (int, executorapi.Answer, error) {
	order := work.Order
	if order.Kind == "launch" {
		return p.executor.Call(ctx, "/v1/run-start", work.Life, startLimit, executorapi.RunStart{Task: order.Task, Run: order.Run,
			Spec: order.Descriptor, ExpiryMs: work.ExpiryMs, Fence: work.Fence, Saved: order.Checkpoint})
	}
	return p.executor.Call(ctx, "/v1/run-stop", work.Life, startLimit,
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
