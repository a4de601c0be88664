package simcluster

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
)

// statusRefused stands for the HTTP status of a call whose connection was refused.
const statusRefused = -1

// startReportDelay is how long starts are collected before they are reported together.
const startReportDelay = 80 * time.Millisecond

// Proxy is a simulated local-proxy: it runs the production localproxy.Table for one simulated executor.
type Proxy struct {
	cluster     *Cluster
	executor    *Executor
	table       *localproxy.Table
	incarnation int
	isUp        bool
	sequence    int64
	isReporting bool
	needsReport bool
	// fallbackIndex, modulo the number of stewards, is the index of the steward to call while no leader is known, or after the known
	// leader did not answer as leader. consecutiveMisses counts the failed calls since a leader last answered. When it reaches the number
	// of stewards it restarts at 0, so that the known leader is called again.
	fallbackIndex     int
	consecutiveMisses int
}

// start starts the process with an empty table, and its periodic heartbeats, holds and polls.
func (p *Proxy) start() {
	p.incarnation++
	p.isUp, p.isReporting, p.needsReport = true, false, false
	incarnation := p.incarnation
	deferred := func(run func()) func() {
		return func() { p.cluster.Events.After(0, func() { p.runIfAlive(incarnation, run) }) }
	}
	p.table = localproxy.NewTable(p.cluster.Events.Clock, p.cluster.log, p.cluster.service, p.executor.Domain, p.executor.Machine,
		deferred(p.report), deferred(func() { p.sendHold(incarnation, true) }), deferred(func() { p.sendHold(incarnation, false) }), localproxy.WithSession(uint64(incarnation)),
		localproxy.WithStartSignal(func() { p.cluster.Events.After(startReportDelay, func() { p.runIfAlive(incarnation, p.reportStarts) }) }))
	p.sendHeartbeat(incarnation)
	p.holdPeriodically(incarnation)
	p.poll(incarnation)
}

func (p *Proxy) runIfAlive(incarnation int, run func()) {
	if p.isUp && p.incarnation == incarnation {
		run()
	}
}

func (p *Proxy) endpoint() *simEndpoint {
	incarnation := p.incarnation
	return &simEndpoint{p.executor.Machine, func(run func()) { p.runIfAlive(incarnation, run) }}
}

// sendHeartbeat passes a heartbeat of the executor to the proxy if the executor is up, and schedules the next one.
func (p *Proxy) sendHeartbeat(incarnation int) {
	p.runIfAlive(incarnation, func() {
		if p.executor.isUp {
			p.sequence++
			state := "ready"
			if p.executor.isDraining {
				state = "draining"
			}
			p.table.Heartbeat(p.executor.ID, &executorapi.Heartbeat{Service: p.cluster.service, State: state, Capacity: p.executor.Capacity,
				Labels: p.executor.Labels, ClockMs: p.executor.ClockMs(), Sequence: p.sequence})
		}
		p.cluster.Events.After(1500*time.Millisecond, func() { p.sendHeartbeat(incarnation) })
	})
}

// holdPeriodically checks every 500 ms whether a hold is due, until the process ends.
func (p *Proxy) holdPeriodically(incarnation int) {
	p.runIfAlive(incarnation, func() { p.sendHold(incarnation, false) })
	if p.isUp && p.incarnation == incarnation {
		p.cluster.Events.After(500*time.Millisecond, func() { p.holdPeriodically(incarnation) })
	}
}

// callExecutor sends a call to the executor, and calls done once: with the answer, with statusRefused, or after the timeout with status 0.
// The last argument of done reports whether the executor answered. An executor that has restarted or has another ID answers
// 421. An executor that delays calls carries out about half of the calls 2 to 11 s late, and their answers are lost.
func (p *Proxy) callExecutor(executorID string, timeout time.Duration, serve func(answer func(int, executorapi.Answer)), done func(int, executorapi.Answer, bool)) {
	incarnation, isOver := p.incarnation, false
	finish := func(status int, answer executorapi.Answer, isAnswered bool) {
		p.runIfAlive(incarnation, func() {
			if !isOver {
				isOver = true
				done(status, answer, isAnswered)
			}
		})
	}
	p.cluster.Events.After(timeout, func() { finish(0, executorapi.Answer{}, false) })
	incarnationAtCall, wait := p.executor.incarnation, time.Millisecond
	losesAnswer := p.executor.delaysCalls && p.cluster.Events.Draw.IntN(2) == 0
	if losesAnswer {
		wait = time.Duration(2+p.cluster.Events.Draw.IntN(10)) * time.Second
	}
	p.cluster.Events.After(wait, func() {
		switch {
		case !p.executor.isUp:
		case p.executor.isRefusing:
			p.cluster.Refusals++
			finish(statusRefused, executorapi.Answer{}, false)
		case p.executor.incarnation != incarnationAtCall || p.executor.ID != executorID:
			finish(421, executorapi.Answer{}, true)
		default:
			serve(func(status int, answer executorapi.Answer) {
				if !losesAnswer {
					p.cluster.Events.After(time.Millisecond, func() { finish(status, answer, true) })
				}
			})
		}
	})
}

// sendHold sends a hold to the executor if one is due. A hold for a list of runs does not wait for an end.
func (p *Proxy) sendHold(incarnation int, isForList bool) {
	work, isDue := p.table.NextHold(isForList)
	if !isDue || p.incarnation != incarnation {
		return
	}
	p.callExecutor(work.Executor, localproxy.HoldTimeout(work.Hold), func(answer func(int, executorapi.Answer)) { p.executor.Hold(work.Hold, answer) },
		func(status int, answer executorapi.Answer, isAnswered bool) {
			if isAnswered && status == 200 {
				p.table.HandleHold(work, answer)
				return
			}
			p.table.HandleHoldFailure(work, isAnswered && status == 421)
		})
}

// reportStarts reports starts that were collected, unless another report has included them already.
func (p *Proxy) reportStarts() {
	if p.table.HasUnsent() {
		p.report()
	}
}

// report reports changes to the leader. One report is in flight at a time; changes made meanwhile go into the next. A failed report is
// repeated after 60 ms.
func (p *Proxy) report() {
	if p.isReporting {
		p.needsReport = true
		return
	}
	p.isReporting = true
	p.cluster.Reports++
	incarnation := p.incarnation
	p.exchange(0, func(isAnswered bool) {
		p.isReporting = false
		if !isAnswered || p.needsReport {
			p.needsReport = false
			wait := time.Duration(0)
			if !isAnswered {
				wait = 60 * time.Millisecond
			}
			p.cluster.Events.After(wait, func() { p.runIfAlive(incarnation, p.report) })
		}
	})
}

// poll keeps a waiting exchange open at the leader.
func (p *Proxy) poll(incarnation int) {
	p.runIfAlive(incarnation, func() {
		p.cluster.Polls++
		p.exchange(300, func(isAnswered bool) {
			wait := time.Millisecond
			if !isAnswered {
				wait = 60 * time.Millisecond
			}
			p.cluster.Events.After(wait, func() { p.poll(incarnation) })
		})
	})
}

// exchange makes one exchange with the known leader or, if there is none or it failed before, with the node of fallbackIndex. done gets
// whether a leader answered. Without an executor in the table nothing is sent, and done gets true after 300 ms.
func (p *Proxy) exchange(waitMs int64, done func(isAnswered bool)) {
	request, isDue := p.table.Compose(waitMs)
	if !isDue {
		incarnation := p.incarnation
		p.cluster.Events.After(300*time.Millisecond, func() { p.runIfAlive(incarnation, func() { done(true) }) })
		return
	}
	fallbackIndex := p.fallbackIndex
	leader := p.cluster.knownLeader
	if leader == nil || p.consecutiveMisses > 0 {
		leader = p.cluster.Nodes[fallbackIndex%len(p.cluster.Nodes)]
	}
	sentAt := p.cluster.Events.Now()
	if count := len(request.Ends); p.cluster.acknowledgesEarly && count > 0 {
		p.table.HandleAnswer(request, sentAt, &wire.ExchangeAnswer{Fence: request.Fence, LastSeen: request.Ends[count-1].Number})
	}
	call(p.cluster, p.endpoint(), leader.endpoint(), clock.Milliseconds(request.WaitMs)+1500*time.Millisecond, func(answer func(wire.ExchangeAnswer)) {
		pool := leader.poolOf(request.Key)
		if pool == nil || !pool.IsOpen() {
			answer(wire.ExchangeAnswer{NotLeader: true})
			return
		}
		pool.Exchange(request, answer)
	}, func(answer wire.ExchangeAnswer, err error) {
		if err != nil || answer.NotLeader {
			if p.fallbackIndex == fallbackIndex || !p.cluster.hasGossip {
				p.fallbackIndex++
			}
			p.consecutiveMisses = (p.consecutiveMisses + 1) % len(p.cluster.Nodes)
			done(false)
			return
		}
		p.consecutiveMisses = 0
		answer.GrantMs *= p.cluster.grantFactor
		if answer.Fence > 0 {
			for _, order := range p.table.HandleAnswer(request, sentAt, &answer) {
				p.deliverWithRetry(request.Executor, order, 0)
			}
		}
		done(true)
	})
}

// deliverWithRetry sends an order to the executor. If no answer comes, it sends the order once more. A start whose connection was refused
// is not sent again.
func (p *Proxy) deliverWithRetry(executorID string, order wire.Order, attempt int) {
	work, isDue := p.table.Ready(executorID, order)
	if !isDue {
		return
	}
	p.callExecutor(executorID, 150*time.Millisecond, func(answer func(int, executorapi.Answer)) {
		status, reply := p.carryOut(work)
		if isAnswerLost := p.executor.losesStartAnswers && order.Kind == "launch" && p.cluster.Events.Draw.IntN(5) == 0; !isAnswerLost {
			answer(status, reply)
		}
	},
		func(status int, answer executorapi.Answer, isAnswered bool) {
			if isAnswered {
				p.table.ReadClock(executorID, answer.ClockMs)
				p.table.HandleOrderResult(work, localproxy.ResultOf(status, answer.Reason))
				return
			}
			if status == statusRefused && order.Kind == "launch" {
				p.table.HandleOrderRefusal(work)
				return
			}
			p.table.HandleOrderTimeout(work)
			if attempt == 0 {
				p.deliverWithRetry(executorID, order, 1)
				return
			}
			p.table.HandleOrderResult(work, "timeout")
		})
}

func (p *Proxy) carryOut(work localproxy.OrderWork) (int, executorapi.Answer) {
	order := work.Order
	if order.Kind == "launch" {
		return p.executor.Start(executorapi.RunStart{Task: order.Task, Run: order.Run, Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs,
			Fence: work.Fence, Checkpoint: order.Checkpoint})
	}
	return p.executor.Stop(executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence})
}
