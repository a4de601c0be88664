package simcluster

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
)

// refused is the status of a call that nobody listened to.
const refused = -1

const startPause = 80 * time.Millisecond

// Proxy drives the real table of a local-proxy beside a modelled executor.
type Proxy struct {
	cluster     *Cluster
	executor    *Executor
	table       *localproxy.Table
	incarnation int
	isUp        bool
	sequence    int64
	reporting   bool
	isDirty     bool
	// guess is the steward that is tried after misses, where the one that was said to lead did not answer as the leader.
	guess  int
	misses int
}

// start starts the proxy's process with an empty table.
func (p *Proxy) start() {
	p.incarnation++
	p.isUp, p.reporting, p.isDirty = true, false, false
	incarnation := p.incarnation
	later := func(run func()) func() {
		return func() { p.cluster.Events.After(0, func() { p.enter(incarnation, run) }) }
	}
	p.table = localproxy.NewTable(p.cluster.Events.Clock, p.cluster.log, p.cluster.service, p.executor.Domain, p.executor.Machine,
		later(p.report), later(func() { p.hold(incarnation, true) }), later(func() { p.hold(incarnation, false) }), localproxy.WithSession(uint64(incarnation)),
		localproxy.WithStartSignal(func() { p.cluster.Events.After(startPause, func() { p.enter(incarnation, p.reportStarts) }) }))
	p.sendHeartbeat(incarnation)
	p.holdLoop(incarnation)
	p.poll(incarnation)
}

func (p *Proxy) enter(incarnation int, run func()) {
	if p.isUp && p.incarnation == incarnation {
		run()
	}
}

func (p *Proxy) address() *addressOnLine {
	incarnation := p.incarnation
	return &addressOnLine{p.executor.Machine, func(run func()) { p.enter(incarnation, run) }}
}

// sendHeartbeat gives the executor's heartbeat to the proxy, and plans the next one.
func (p *Proxy) sendHeartbeat(incarnation int) {
	p.enter(incarnation, func() {
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

func (p *Proxy) holdLoop(incarnation int) {
	p.enter(incarnation, func() { p.hold(incarnation, false) })
	if p.isUp && p.incarnation == incarnation {
		p.cluster.Events.After(500*time.Millisecond, func() { p.holdLoop(incarnation) })
	}
}

// ask brings a call to the executor; a late one is carried out seconds after it was given up.
func (p *Proxy) ask(executor string, limit time.Duration, serve func(answer func(int, executorapi.Answer)), done func(int, executorapi.Answer, bool)) {
	incarnation, isOver := p.incarnation, false
	finish := func(status int, answer executorapi.Answer, isAnswered bool) {
		p.enter(incarnation, func() {
			if !isOver {
				isOver = true
				done(status, answer, isAnswered)
			}
		})
	}
	p.cluster.Events.After(limit, func() { finish(0, executorapi.Answer{}, false) })
	birth, wait := p.executor.incarnation, time.Millisecond
	isMute := p.executor.isLate && p.cluster.Events.Draw.IntN(2) == 0
	if isMute {
		wait = time.Duration(2+p.cluster.Events.Draw.IntN(10)) * time.Second
	}
	p.cluster.Events.After(wait, func() {
		switch {
		case !p.executor.isUp:
		case p.executor.isRefusing:
			p.cluster.Refusals++
			finish(refused, executorapi.Answer{}, false)
		case p.executor.incarnation != birth || p.executor.ID != executor:
			finish(421, executorapi.Answer{}, true)
		default:
			serve(func(status int, answer executorapi.Answer) {
				if !isMute {
					p.cluster.Events.After(time.Millisecond, func() { finish(status, answer, true) })
				}
			})
		}
	})
}

// hold calls the executor once to renew its lease, and with it to list its runs if that is asked for.
func (p *Proxy) hold(incarnation int, isForList bool) {
	work, isDue := p.table.NextHold(isForList)
	if !isDue || p.incarnation != incarnation {
		return
	}
	p.ask(work.Executor, localproxy.HoldTimeout(work.Hold), func(answer func(int, executorapi.Answer)) { p.executor.Hold(work.Hold, answer) },
		func(status int, answer executorapi.Answer, isAnswered bool) {
			if isAnswered && status == 200 {
				p.table.HandleHold(work, answer)
				return
			}
			p.table.HandleHoldFailure(work, isAnswered && status == 421)
		})
}

func (p *Proxy) reportStarts() {
	if p.table.HasUnsent() {
		p.report()
	}
}

// report sends one report at a time; what changes meanwhile goes in the next.
func (p *Proxy) report() {
	if p.reporting {
		p.isDirty = true
		return
	}
	p.reporting = true
	p.cluster.Reports++
	incarnation := p.incarnation
	p.exchange(0, func(isAnswered bool) {
		p.reporting = false
		if !isAnswered || p.isDirty {
			p.isDirty = false
			wait := time.Duration(0)
			if !isAnswered {
				wait = 60 * time.Millisecond
			}
			p.cluster.Events.After(wait, func() { p.enter(incarnation, p.report) })
		}
	})
}

// poll keeps an exchange open at the leader.
func (p *Proxy) poll(incarnation int) {
	p.enter(incarnation, func() {
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

// exchange talks to the node that is thought to lead, and to the next one after a failure.
func (p *Proxy) exchange(waitMs int64, done func(isAnswered bool)) {
	ask, isDue := p.table.Compose(waitMs)
	if !isDue {
		incarnation := p.incarnation
		p.cluster.Events.After(300*time.Millisecond, func() { p.enter(incarnation, func() { done(true) }) })
		return
	}
	guess := p.guess
	leader := p.cluster.leaderKnown
	if leader == nil || p.misses > 0 {
		leader = p.cluster.Nodes[guess%len(p.cluster.Nodes)]
	}
	askedAt := p.cluster.Events.Now()
	if count := len(ask.Ends); p.cluster.acksEarly && count > 0 {
		p.table.HandleAnswer(ask, askedAt, &wire.ExchangeAnswer{Fence: ask.Fence, LastSeen: ask.Ends[count-1].Number})
	}
	call(p.cluster, p.address(), leader.address(), clock.Milliseconds(ask.WaitMs)+1500*time.Millisecond, func(answer func(wire.ExchangeAnswer)) {
		pool := leader.pools[ask.Key]
		if pool == nil || !pool.IsOpen() {
			answer(wire.ExchangeAnswer{NotLeader: true})
			return
		}
		pool.Exchange(ask, answer)
	}, func(answer wire.ExchangeAnswer, err error) {
		if err != nil || answer.NotLeader {
			if p.guess == guess || !p.cluster.hasGossip {
				p.guess++
			}
			p.misses = (p.misses + 1) % len(p.cluster.Nodes)
			done(false)
			return
		}
		p.misses = 0
		answer.GrantMs *= p.cluster.grantBy
		if answer.Fence > 0 {
			for _, order := range p.table.HandleAnswer(ask, askedAt, &answer) {
				p.carry(ask.Executor, order, 0)
			}
		}
		done(true)
	})
}

// carry brings an order to the executor; one that isn't answered is tried a second time.
func (p *Proxy) carry(executor string, order wire.Order, attempt int) {
	work, isDue := p.table.Ready(executor, order)
	if !isDue {
		return
	}
	p.ask(executor, 150*time.Millisecond, func(answer func(int, executorapi.Answer)) {
		status, reply := p.deliver(work)
		if isLost := p.executor.isLossy && order.Kind == "launch" && p.cluster.Events.Draw.IntN(5) == 0; !isLost {
			answer(status, reply)
		}
	},
		func(status int, answer executorapi.Answer, isAnswered bool) {
			if isAnswered {
				p.table.ReadClock(executor, answer.ClockMs)
				p.table.HandleOrderResult(work, localproxy.ResultOf(status, answer.Reason))
				return
			}
			if status == refused && order.Kind == "launch" {
				p.table.HandleOrderRefusal(work)
				return
			}
			p.table.HandleOrderTimeout(work)
			if attempt == 0 {
				p.carry(executor, order, 1)
				return
			}
			p.table.HandleOrderResult(work, "timeout")
		})
}

func (p *Proxy) deliver(work localproxy.OrderWork) (int, executorapi.Answer) {
	order := work.Order
	if order.Kind == "launch" {
		return p.executor.Start(executorapi.RunStart{Task: order.Task, Run: order.Run, Descriptor: order.Descriptor, ExpiryMs: work.ExpiryMs,
			Fence: work.Fence, Checkpoint: order.Checkpoint})
	}
	return p.executor.Stop(executorapi.RunStop{Task: order.Task, Run: order.Run, Fence: work.Fence})
}
