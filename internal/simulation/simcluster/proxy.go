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
	stage     *Stage
	executor  *Executor
	table     *localproxy.Table
	life      int
	isUp      bool
	sequence  int64
	reporting bool
	isDirty   bool
	// guess is the steward that is tried after misses, where the one that was said to lead did not answer as the leader.
	guess  int
	misses int
}

func (p *Proxy) start() {
	p.life++
	p.isUp, p.reporting, p.isDirty = true, false, false
	life := p.life
	later := func(run func()) func() {
		return func() { p.stage.Line.After(0, func() { p.enter(life, run) }) }
	}
	p.table = localproxy.NewTable(p.stage.Line.Clock, p.stage.log, p.stage.service, p.executor.Domain, p.executor.Machine,
		later(p.report), later(func() { p.hold(life, true) }), later(func() { p.hold(life, false) }), localproxy.WithSession(uint64(life)),
		localproxy.WithStartSignal(func() { p.stage.Line.After(startPause, func() { p.enter(life, p.reportStarts) }) }))
	p.beat(life)
	p.holdLoop(life)
	p.poll(life)
}

func (p *Proxy) enter(life int, run func()) {
	if p.isUp && p.life == life {
		run()
	}
}

func (p *Proxy) place() *place {
	life := p.life
	return &place{p.executor.Machine, func(run func()) { p.enter(life, run) }}
}

func (p *Proxy) beat(life int) {
	p.enter(life, func() {
		if p.executor.isUp {
			p.sequence++
			state := "ready"
			if p.executor.isDrain {
				state = "draining"
			}
			p.table.Heartbeat(p.executor.ID, &executorapi.Heartbeat{Service: p.stage.service, State: state, Capacity: p.executor.Room,
				Labels: p.executor.Labels, ClockMs: p.executor.ClockMs(), Sequence: p.sequence})
		}
		p.stage.Line.After(1500*time.Millisecond, func() { p.beat(life) })
	})
}

func (p *Proxy) holdLoop(life int) {
	p.enter(life, func() { p.hold(life, false) })
	if p.isUp && p.life == life {
		p.stage.Line.After(500*time.Millisecond, func() { p.holdLoop(life) })
	}
}

// ask brings a call to the executor; a late one is carried out seconds after it was given up.
func (p *Proxy) ask(executor string, limit time.Duration, serve func(answer func(int, executorapi.Answer)), done func(int, executorapi.Answer, bool)) {
	life, isOver := p.life, false
	finish := func(status int, answer executorapi.Answer, isAnswered bool) {
		p.enter(life, func() {
			if !isOver {
				isOver = true
				done(status, answer, isAnswered)
			}
		})
	}
	p.stage.Line.After(limit, func() { finish(0, executorapi.Answer{}, false) })
	birth, wait := p.executor.birth, time.Millisecond
	isMute := p.executor.isLate && p.stage.Line.Draw.IntN(2) == 0
	if isMute {
		wait = time.Duration(2+p.stage.Line.Draw.IntN(10)) * time.Second
	}
	p.stage.Line.After(wait, func() {
		switch {
		case !p.executor.isUp:
		case p.executor.isRefusing:
			p.stage.Refusals++
			finish(refused, executorapi.Answer{}, false)
		case p.executor.birth != birth || p.executor.ID != executor:
			finish(421, executorapi.Answer{}, true)
		default:
			serve(func(status int, answer executorapi.Answer) {
				if !isMute {
					p.stage.Line.After(time.Millisecond, func() { finish(status, answer, true) })
				}
			})
		}
	})
}

func (p *Proxy) hold(life int, isLook bool) {
	work, isDue := p.table.NextHold(isLook)
	if !isDue || p.life != life {
		return
	}
	p.ask(work.Executor, localproxy.HoldLimit(work.Hold), func(answer func(int, executorapi.Answer)) { p.executor.Hold(work.Hold, answer) },
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

func (p *Proxy) report() {
	if p.reporting {
		p.isDirty = true
		return
	}
	p.reporting = true
	p.stage.Reports++
	life := p.life
	p.exchange(0, func(isTold bool) {
		p.reporting = false
		if !isTold || p.isDirty {
			p.isDirty = false
			wait := time.Duration(0)
			if !isTold {
				wait = 60 * time.Millisecond
			}
			p.stage.Line.After(wait, func() { p.enter(life, p.report) })
		}
	})
}

func (p *Proxy) poll(life int) {
	p.enter(life, func() {
		p.stage.Polls++
		p.exchange(300, func(isTold bool) {
			wait := time.Millisecond
			if !isTold {
				wait = 60 * time.Millisecond
			}
			p.stage.Line.After(wait, func() { p.poll(life) })
		})
	})
}

func (p *Proxy) exchange(waitMs int64, done func(isTold bool)) {
	ask, isDue := p.table.Compose(waitMs)
	if !isDue {
		life := p.life
		p.stage.Line.After(300*time.Millisecond, func() { p.enter(life, func() { done(true) }) })
		return
	}
	guess := p.guess
	owner := p.stage.heardOwner
	if owner == nil || p.misses > 0 {
		owner = p.stage.Nodes[guess%len(p.stage.Nodes)]
	}
	askedAt := p.stage.Line.Now()
	call(p.stage, p.place(), owner.place(), clock.Milliseconds(ask.WaitMs)+1500*time.Millisecond, func(answer func(wire.ExchangeAnswer)) {
		pool := owner.pools[ask.Key]
		if pool == nil || !pool.IsOpen() {
			answer(wire.ExchangeAnswer{NotLeader: true})
			return
		}
		pool.Exchange(ask, answer)
	}, func(answer wire.ExchangeAnswer, err error) {
		if err != nil || answer.NotLeader {
			if p.guess == guess || !p.stage.hasGossip {
				p.guess++
			}
			p.misses = (p.misses + 1) % len(p.stage.Nodes)
			done(false)
			return
		}
		p.misses = 0
		answer.GrantMs *= p.stage.grantBy
		if answer.Fence > 0 {
			for _, order := range p.table.HandleAnswer(ask, askedAt, &answer) {
				p.carry(ask.Executor, order, 0)
			}
		}
		done(true)
	})
}

func (p *Proxy) carry(executor string, order wire.Order, try int) {
	work, isDue := p.table.Ready(executor, order)
	if !isDue {
		return
	}
	p.ask(executor, 150*time.Millisecond, func(answer func(int, executorapi.Answer)) {
		status, reply := p.deliver(work)
		if isLost := p.executor.isLossy && order.Kind == "launch" && p.stage.Line.Draw.IntN(5) == 0; !isLost {
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
			if try == 0 {
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
