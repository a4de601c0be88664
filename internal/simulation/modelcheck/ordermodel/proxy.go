package ordermodel

import (
	"net/http"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// The loops of localproxy.Proxy wait on sockets; these are their pauses and limits.
const (
	holdGap       = 15 * time.Millisecond
	pollWaitMs    = 300
	startPause    = 80 * time.Millisecond
	orderLimit    = 150 * time.Millisecond
	orderAttempts = 2
	ordersAtOnce  = 6
	leaderPause   = 60 * time.Millisecond
	failedPause   = 300 * time.Millisecond
	exchangeSlow  = 1500 * time.Millisecond
	shortWaitMs   = 150
)

// proxyTable is what the model drives of a local-proxy; injected faults wrap it.
type proxyTable interface {
	Heartbeat(id string, heartbeat *executorapi.Heartbeat) (status int, why string)
	Deregister(id string)
	NextHold(isForList bool) (localproxy.HoldWork, bool)
	HandleHold(work localproxy.HoldWork, answer executorapi.Answer)
	HandleHoldFailure(work localproxy.HoldWork, isOtherExecutor bool)
	Compose(waitMs int64) (*wire.ExchangeCall, bool)
	HandleAnswer(call *wire.ExchangeCall, askedAt time.Duration, answer *wire.ExchangeAnswer) []wire.Order
	HasUnsent() bool
	Ready(executorID string, order wire.Order) (localproxy.OrderWork, bool)
	HandleOrderRefusal(work localproxy.OrderWork)
	HandleOrderTimeout(work localproxy.OrderWork)
	ReadClock(executorID string, executorMs int64)
	HandleOrderResult(work localproxy.OrderWork, result wire.OrderResult)
}

// timerSignal is a channel of one place: it rings once, however often it was struck.
type timerSignal struct {
	isStruck bool
	waiter   func()
}

func (b *timerSignal) strike() {
	b.isStruck = true
	b.answer()
}

func (b *timerSignal) wait(run func()) {
	b.waiter = run
	b.answer()
}

func (b *timerSignal) answer() {
	if b.isStruck && b.waiter != nil {
		run := b.waiter
		b.isStruck, b.waiter = false, nil
		run()
	}
}

// modelProxy plays the loops of a local-proxy, as events, round its real table.
type modelProxy struct {
	modelProcess
	executor *modelExecutor
	table    proxyTable
	carrying int
	queued   []func()
	pending  []*pendingCall
	work     timerSignal
	starts   timerSignal
	looks    timerSignal
	acks     timerSignal
}

func (p *modelProxy) start() {
	p.boot()
	p.carrying, p.queued, p.pending = 0, nil, nil
	p.work, p.starts, p.looks, p.acks = timerSignal{}, timerSignal{}, timerSignal{}, timerSignal{}
	notify := func(signal *timerSignal) func() { return func() { p.later(0, signal.strike) } }
	// A session is the time of day at which the process began.
	session := uint64(p.cluster.queue.clock.WallMs())
	zone := zoneOf(p.executor.number)
	isEvacuated := func() (time.Duration, bool) {
		return p.evacuations.at, p.cluster.fault.heedsEvacuations() && p.evacuations.list.Has(zone)
	}
	p.table = p.cluster.fault.table(p, localproxy.NewTable(p.cluster.queue.clock, logging.Silent(), service, zone, p.name, notify(&p.work), notify(&p.looks),
		notify(&p.acks), localproxy.WithSession(session), localproxy.WithStartSignal(notify(&p.starts)), localproxy.WithEvacuation(evacuationBound, isEvacuated)))
	p.holdLoop()
	p.listLoop()
	p.pollLoop()
	p.reportLoop()
}

func (p *modelProxy) holdLoop() {
	work, isDue := p.table.NextHold(false)
	begunAt := p.cluster.queue.now()
	if !isDue {
		p.awaitAck()
		return
	}
	p.hold(work, func(isWaiting bool) {
		switch {
		case isWaiting:
			p.later(holdGap, p.holdLoop)
		case work.Hold.WaitMs == shortWaitMs:
			p.later(localproxy.PauseAfterMiss(p.cluster.queue.now()-begunAt), p.holdLoop)
		default:
			p.awaitAck()
		}
	})
}

// awaitAck goes on with the next hold after a pause, or as soon as the leader has taken note of all ends.
func (p *modelProxy) awaitAck() {
	isOver := false
	resume := func() {
		if !isOver {
			isOver = true
			p.acks.waiter = nil
			p.holdLoop()
		}
	}
	p.acks.wait(resume)
	p.later(failedPause, resume)
}

func (p *modelProxy) listLoop() {
	p.looks.wait(func() {
		work, isDue := p.table.NextHold(true)
		if !isDue {
			p.listLoop()
			return
		}
		p.hold(work, func(isWaiting bool) {
			if isWaiting {
				p.listLoop()
				return
			}
			p.later(failedPause, func() {
				p.looks.isStruck = true
				p.listLoop()
			})
		})
	})
}

func (p *modelProxy) hold(work localproxy.HoldWork, done func(isWaiting bool)) {
	p.ask(work.Executor, localproxy.HoldTimeout(work.Hold), executorRequest{hold: &work.Hold}, func(reply executorReply) {
		isWaiting := reply.err == nil && reply.status == http.StatusOK
		if isWaiting {
			p.table.HandleHold(work, reply.answer)
		} else {
			p.table.HandleHoldFailure(work, reply.err == nil && reply.status == http.StatusMisdirectedRequest)
		}
		done(isWaiting)
	})
}

func (p *modelProxy) pollLoop() {
	p.exchange(pollWaitMs, func(isAnswered bool) {
		wait := time.Duration(0)
		if !isAnswered {
			wait = leaderPause
		}
		p.later(wait, p.pollLoop)
	})
}

// reportLoop waits for news; news of starts waits a moment for more.
func (p *modelProxy) reportLoop() {
	report := func() {
		p.work.waiter, p.starts.waiter = nil, nil
		p.report()
	}
	p.work.wait(report)
	if p.work.waiter == nil {
		return
	}
	p.starts.wait(func() {
		p.work.waiter = nil
		p.awaitMore()
	})
}

// awaitMore lets a start wait a moment for what can share its report.
func (p *modelProxy) awaitMore() {
	isOver := false
	p.work.wait(func() {
		isOver = true
		p.report()
	})
	p.later(startPause, func() {
		switch {
		case isOver:
		case p.table.HasUnsent():
			p.work.waiter = nil
			p.report()
		default:
			p.work.waiter = nil
			p.reportLoop()
		}
	})
}

// report makes one exchange at once, again after a pause if it fails.
func (p *modelProxy) report() {
	p.exchange(0, func(isAnswered bool) {
		if isAnswered {
			p.reportLoop()
			return
		}
		p.later(leaderPause, func() {
			p.work.isStruck = true
			p.reportLoop()
		})
	})
}

// exchange composes a call to the leader, sends it, and carries the orders of the answer.
func (p *modelProxy) exchange(waitMs int64, done func(isAnswered bool)) {
	request, _ := p.table.Compose(waitMs)
	if request == nil {
		if waitMs > 0 {
			p.later(failedPause, func() { done(true) })
			return
		}
		done(true)
		return
	}
	p.cluster.oracles.reported(p, request)
	askedAt := p.cluster.queue.now()
	leader := p.cluster.stewards[p.leaderHint]
	limit := clock.Milliseconds(request.WaitMs) + exchangeSlow
	callLeader(p.cluster, &p.modelProcess, &leader.modelProcess, limit, func(answer func(wire.ExchangeAnswer)) {
		leader.exchange(request, answer)
	}, func(answer wire.ExchangeAnswer, err error) {
		if err != nil || answer.NotLeader {
			done(false)
			return
		}
		if answer.Fence > 0 {
			for _, order := range p.table.HandleAnswer(request, askedAt, &answer) {
				p.carryInTurn(request.Executor, order)
			}
		}
		done(true)
	})
}

// carryInTurn lets few orders be on their way to the executor at once.
func (p *modelProxy) carryInTurn(executorID string, order wire.Order) {
	if p.carrying >= ordersAtOnce {
		p.queued = append(p.queued, func() { p.carry(executorID, order, 0) })
		return
	}
	p.carrying++
	p.carry(executorID, order, 0)
}

// carried frees the place of an order that was delivered, for the next one in the queue.
func (p *modelProxy) carried() {
	p.carrying--
	if len(p.queued) > 0 {
		next := p.queued[0]
		p.queued = p.queued[1:]
		p.carrying++
		next()
	}
}

// carry brings one order to the executor, again if it is not answered.
func (p *modelProxy) carry(executorID string, order wire.Order, attempt int) {
	work, isDue := p.table.Ready(executorID, order)
	if !isDue {
		p.carried()
		return
	}
	p.cluster.oracles.checkLaunch(p.executor, order)
	p.ask(work.Executor, orderLimit, requestOf(work), func(reply executorReply) {
		switch {
		case reply.err == nil:
			p.table.ReadClock(executorID, reply.answer.ClockMs)
			p.table.HandleOrderResult(work, localproxy.ResultOf(reply.status, reply.answer.Reason))
		case order.Kind == "launch" && reply.isRefused:
			p.table.HandleOrderRefusal(work)
		default:
			if !reply.isRefused {
				p.table.HandleOrderTimeout(work)
			}
			if attempt+1 < orderAttempts {
				p.carry(executorID, order, attempt+1)
				return
			}
			p.table.HandleOrderResult(work, "timeout")
		}
		p.carried()
	})
}

// executorRequest is one of the calls that an executor takes.
type executorRequest struct {
	start *executorapi.RunStart
	stop  *executorapi.RunStop
	hold  *executorapi.Hold
}

type executorReply struct {
	status    int
	answer    executorapi.Answer
	err       error
	isRefused bool
}

func requestOf(work localproxy.OrderWork) executorRequest {
	order := work.Order
	if order.Kind == "launch" {
		return executorRequest{start: &executorapi.RunStart{Task: order.Task, Run: order.Run, Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs,
			Fence: work.Fence, Checkpoint: order.Checkpoint}}
	}
	return executorRequest{stop: &executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence}}
}

// ask calls the executor; an answer that comes after the limit is lost.
func (p *modelProxy) ask(executorID string, limit time.Duration, request executorRequest, done func(executorReply)) {
	isOver := false
	finish := func(reply executorReply) {
		if !isOver {
			isOver = true
			done(reply)
		}
	}
	finish = p.cluster.fault.answers(p, request, finish)
	p.later(limit, func() { finish(executorReply{err: errNoAnswer}) })
	incarnation := p.incarnation
	p.executor.receive(executorID, request, p.cluster.fault, func(wait time.Duration, reply executorReply) {
		p.cluster.queue.after(wait, func() { p.enter(incarnation, func() { finish(reply) }) })
	})
}
