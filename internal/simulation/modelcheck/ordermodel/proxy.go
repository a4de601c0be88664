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

// The constants of the loops of localproxy.Proxy, which modelProxy replaces by events; they have the same names and values there.
const (
	holdPause           = 15 * time.Millisecond
	pollWaitMs          = 300
	startReportDelay    = 80 * time.Millisecond
	orderTimeout        = 150 * time.Millisecond
	maxOrderAttempts    = 2
	maxConcurrentOrders = 6
	leaderRetryDelay    = 60 * time.Millisecond
	retryDelay          = 300 * time.Millisecond
	exchangeTimeout     = 1500 * time.Millisecond
	shortWaitMs         = 150
)

// proxyTable is a local-proxy's table with the methods that the model calls. Tables with an injected fault implement it too.
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

// wakeSignal stands for a channel of capacity one: it calls its waiter once, however often it was set before.
type wakeSignal struct {
	isSet  bool
	waiter func()
}

// set calls the waiter, or the next waiter if there is none now.
func (s *wakeSignal) set() {
	s.isSet = true
	s.deliverSignal()
}

// wait calls run once the signal is set, or at once if it is set already. run replaces a former waiter.
func (s *wakeSignal) wait(run func()) {
	s.waiter = run
	s.deliverSignal()
}

func (s *wakeSignal) deliverSignal() {
	if s.isSet && s.waiter != nil {
		run := s.waiter
		s.isSet, s.waiter = false, nil
		run()
	}
}

// modelProxy is a local-proxy. It runs the loops of localproxy.Proxy as events on the real table.
type modelProxy struct {
	modelProcess
	executor       *modelExecutor
	table          proxyTable
	ordersInFlight int
	// queued are the deliveries of orders that wait until fewer than maxConcurrentOrders are in flight.
	queued []func()
	// pending are the calls to the executor in their order; it is used only with faultAnswerByPlace.
	pending []*pendingCall
	// The table sets reportSignal when a report should be sent or the grant renewed, startSignal when a run was started, listSignal
	// when the leader wants the list of runs, and ackSignal when a hold is due at once, for example to acknowledge ends.
	reportSignal wakeSignal
	startSignal  wakeSignal
	listSignal   wakeSignal
	ackSignal    wakeSignal
}

func (p *modelProxy) start() {
	p.boot()
	p.ordersInFlight, p.queued, p.pending = 0, nil, nil
	p.reportSignal, p.startSignal, p.listSignal, p.ackSignal = wakeSignal{}, wakeSignal{}, wakeSignal{}, wakeSignal{}
	notify := func(signal *wakeSignal) func() { return func() { p.later(0, signal.set) } }
	// A session is identified by the time of day at which the process started.
	session := uint64(p.cluster.queue.clock.WallMs())
	zone := zoneOf(p.executor.number)
	isEvacuated := func() (time.Duration, bool) {
		return p.evacuations.receivedAt, p.cluster.fault.obeysEvacuations() && p.evacuations.list.Has(zone)
	}
	p.table = p.cluster.fault.wrapTable(p, localproxy.NewTable(p.cluster.queue.clock, logging.Silent(), service, zone, p.name, notify(&p.reportSignal), notify(&p.listSignal),
		notify(&p.ackSignal), localproxy.WithSession(session), localproxy.WithStartSignal(notify(&p.startSignal)), localproxy.WithEvacuation(evacuationDeadline, isEvacuated)))
	p.holdLoop()
	p.listLoop()
	p.pollLoop()
	p.reportLoop()
}

// holdLoop makes one hold after another, to extend the executor's lease and to get the ends of runs.
func (p *modelProxy) holdLoop() {
	work, isDue := p.table.NextHold(false)
	begunAt := p.cluster.queue.now()
	if !isDue {
		p.awaitAck()
		return
	}
	p.hold(work, func(isAnswered bool) {
		switch {
		case isAnswered:
			p.later(holdPause, p.holdLoop)
		case work.Hold.WaitMs == shortWaitMs:
			p.later(localproxy.PauseAfterMiss(p.cluster.queue.now()-begunAt), p.holdLoop)
		default:
			p.awaitAck()
		}
	})
}

// awaitAck continues with the next hold after retryDelay, or as soon as the table signals that a hold is due at once.
func (p *modelProxy) awaitAck() {
	isOver := false
	resume := func() {
		if !isOver {
			isOver = true
			p.ackSignal.waiter = nil
			p.holdLoop()
		}
	}
	p.ackSignal.wait(resume)
	p.later(retryDelay, resume)
}

// listLoop gets the list of runs from the executor whenever the leader asks for it.
func (p *modelProxy) listLoop() {
	p.listSignal.wait(func() {
		work, isDue := p.table.NextHold(true)
		if !isDue {
			p.listLoop()
			return
		}
		p.hold(work, func(isAnswered bool) {
			if isAnswered {
				p.listLoop()
				return
			}
			p.later(retryDelay, func() {
				p.listSignal.isSet = true
				p.listLoop()
			})
		})
	})
}

// hold makes one hold, and passes to done whether the executor answered it with success.
func (p *modelProxy) hold(work localproxy.HoldWork, done func(isAnswered bool)) {
	p.callExecutor(work.Executor, localproxy.HoldTimeout(work.Hold), executorRequest{hold: &work.Hold}, func(reply executorReply) {
		isAnswered := reply.err == nil && reply.status == http.StatusOK
		if isAnswered {
			p.table.HandleHold(work, reply.answer)
		} else {
			p.table.HandleHoldFailure(work, reply.err == nil && reply.status == http.StatusMisdirectedRequest)
		}
		done(isAnswered)
	})
}

// pollLoop makes one exchange after another that waits at the leader for orders.
func (p *modelProxy) pollLoop() {
	p.exchange(pollWaitMs, func(isAnswered bool) {
		wait := time.Duration(0)
		if !isAnswered {
			wait = leaderRetryDelay
		}
		p.later(wait, p.pollLoop)
	})
}

// reportLoop waits until there is something to report. The report of a started run is delayed by startReportDelay; all others are
// sent at once.
func (p *modelProxy) reportLoop() {
	report := func() {
		p.reportSignal.waiter, p.startSignal.waiter = nil, nil
		p.report()
	}
	p.reportSignal.wait(report)
	if p.reportSignal.waiter == nil {
		return
	}
	p.startSignal.wait(func() {
		p.reportSignal.waiter = nil
		p.awaitMore()
	})
}

// awaitMore delays the report of a started run by startReportDelay, so that later results can be sent with it. If another report
// is due before, both are sent at once.
func (p *modelProxy) awaitMore() {
	isOver := false
	p.reportSignal.wait(func() {
		isOver = true
		p.report()
	})
	p.later(startReportDelay, func() {
		switch {
		case isOver:
		case p.table.HasUnsent():
			p.reportSignal.waiter = nil
			p.report()
		default:
			p.reportSignal.waiter = nil
			p.reportLoop()
		}
	})
}

// report makes one exchange that doesn't wait at the leader, and tries again after a pause if it fails.
func (p *modelProxy) report() {
	p.exchange(0, func(isAnswered bool) {
		if isAnswered {
			p.reportLoop()
			return
		}
		p.later(leaderRetryDelay, func() {
			p.reportSignal.isSet = true
			p.reportLoop()
		})
	})
}

// exchange composes a call to the leader, sends it, and delivers the orders in the answer. It passes to done whether the leader
// answered. If there is nothing to send, that counts as answered, for a poll after retryDelay.
func (p *modelProxy) exchange(waitMs int64, done func(isAnswered bool)) {
	request, _ := p.table.Compose(waitMs)
	if request == nil {
		if waitMs > 0 {
			p.later(retryDelay, func() { done(true) })
			return
		}
		done(true)
		return
	}
	p.cluster.oracles.checkReportedAnswers(p, request)
	askedAt := p.cluster.queue.now()
	leader := p.cluster.stewards[p.leaderHint]
	timeout := clock.Milliseconds(request.WaitMs) + exchangeTimeout
	callLeader(p.cluster, &p.modelProcess, &leader.modelProcess, timeout, func(answer func(wire.ExchangeAnswer)) {
		leader.exchange(request, answer)
	}, func(answer wire.ExchangeAnswer, err error) {
		if err != nil || answer.NotLeader {
			done(false)
			return
		}
		if answer.Fence > 0 {
			for _, order := range p.table.HandleAnswer(request, askedAt, &answer) {
				p.deliverInTurn(request.Executor, order)
			}
		}
		done(true)
	})
}

// deliverInTurn delivers an order to the executor, or queues it if maxConcurrentOrders are in flight.
func (p *modelProxy) deliverInTurn(executorID string, order wire.Order) {
	if p.ordersInFlight >= maxConcurrentOrders {
		p.queued = append(p.queued, func() { p.deliver(executorID, order, 0) })
		return
	}
	p.ordersInFlight++
	p.deliver(executorID, order, 0)
}

// finishDelivery ends the delivery of an order and starts that of the next one in the queue.
func (p *modelProxy) finishDelivery() {
	p.ordersInFlight--
	if len(p.queued) > 0 {
		next := p.queued[0]
		p.queued = p.queued[1:]
		p.ordersInFlight++
		next()
	}
}

// deliver sends one order to the executor. It makes up to maxOrderAttempts attempts if the order is not answered, but only one for
// a start that certainly did not reach the executor.
func (p *modelProxy) deliver(executorID string, order wire.Order, attempt int) {
	work, isDue := p.table.Ready(executorID, order)
	if !isDue {
		p.finishDelivery()
		return
	}
	p.cluster.oracles.checkLaunch(p.executor, order)
	p.callExecutor(work.Executor, orderTimeout, requestOf(work), func(reply executorReply) {
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
			if attempt+1 < maxOrderAttempts {
				p.deliver(executorID, order, attempt+1)
				return
			}
			p.table.HandleOrderResult(work, "timeout")
		}
		p.finishDelivery()
	})
}

// executorRequest is a call to an executor; exactly one field is set.
type executorRequest struct {
	start *executorapi.RunStart
	stop  *executorapi.RunStop
	hold  *executorapi.Hold
}

// executorReply is an executor's answer, or an error; isRefused is set if the call has certainly not reached the executor.
type executorReply struct {
	status    int
	answer    executorapi.Answer
	err       error
	isRefused bool
}

// requestOf returns the call that carries out an order.
func requestOf(work localproxy.OrderWork) executorRequest {
	order := work.Order
	if order.Kind == "launch" {
		return executorRequest{start: &executorapi.RunStart{Task: order.Task, Run: order.Run, Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs,
			Fence: work.Fence, Checkpoint: order.Checkpoint}}
	}
	return executorRequest{stop: &executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence}}
}

// callExecutor calls the executor; an answer that comes after the timeout is ignored.
func (p *modelProxy) callExecutor(executorID string, timeout time.Duration, request executorRequest, done func(executorReply)) {
	isOver := false
	finish := func(reply executorReply) {
		if !isOver {
			isOver = true
			done(reply)
		}
	}
	finish = p.cluster.fault.wrapAnswer(p, request, finish)
	p.later(timeout, func() { finish(executorReply{err: errNoAnswer}) })
	incarnation := p.incarnation
	p.executor.receive(executorID, request, p.cluster.fault, func(wait time.Duration, reply executorReply) {
		p.cluster.queue.after(wait, func() { p.enter(incarnation, func() { finish(reply) }) })
	})
}
