package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

const tickInterval = 50 * time.Millisecond

// poolLeader is what the model drives of a pool; injected faults wrap it.
type poolLeader interface {
	Open(leadership scheduler.Leadership, pairs []wire.Op)
	Unreadable() []string
	Close()
	IsOpen() bool
	Tick()
	Flush()
	Exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer))
	Submit(call *wire.ClientCall, answer func(wire.ClientAnswer))
	State(call *wire.ClientCall, answer func(wire.ClientAnswer))
	Cancel(call *wire.ClientCall, answer func(wire.ClientAnswer))
}

// jumpingClock is the simulated cluster's clock with a time of day that may jump.
type jumpingClock struct {
	*clock.Fake
	steward *modelSteward
}

// WallMs is the steward's time of day in milliseconds.
func (c jumpingClock) WallMs() int64 { return c.Fake.WallMs() + c.steward.wallJumpMs }

// modelSteward runs the real pool while it leads the key.
type modelSteward struct {
	modelProcess
	pool       poolLeader
	leading    *leadership
	wallJumpMs int64
	isLeaving  bool
	// half is the side of a split of the core; stewards of one half reach each other, and all else reaches both halves.
	coreSide int
}

func (s *modelSteward) start() {
	s.boot()
	s.leading = nil
	isEvacuated := func(zone string) bool { return s.cluster.fault.obeysEvacuations() && s.evacuations.list.Has(zone) }
	s.pool = s.cluster.fault.wrapPool(scheduler.New(poolKey, jumpingClock{s.cluster.queue.clock, s}, s.cluster.timing, logging.Silent(),
		scheduler.WithEvacuations(isEvacuated)))
	s.tick()
}

func (s *modelSteward) tick() {
	if s.pool.IsOpen() {
		s.pool.Tick()
		s.flushPool()
	}
	s.later(tickInterval, s.tick)
}

func (s *modelSteward) flushPool() {
	if s.isUp && !s.isFrozen {
		s.pool.Flush()
	}
}

// lead opens the pool under a new leadership.
func (s *modelSteward) becomeLeader(fresh *leadership, pairs []wire.Op) {
	if s.leading != nil {
		s.leading.close()
	}
	s.leading = fresh
	s.pool.Open(s.cluster.fault.wrapLeadership(fresh), pairs)
	if unreadable := s.pool.Unreadable(); len(unreadable) > 0 {
		s.cluster.violate("READ", "the state of the key can't be taken over: %v", unreadable)
	}
}

// exchange answers a proxy's call if this steward leads.
func (s *modelSteward) exchange(call *wire.ExchangeCall, answer func(wire.ExchangeAnswer)) {
	if !s.pool.IsOpen() {
		answer(wire.ExchangeAnswer{NotLeader: true})
		return
	}
	s.pool.Exchange(call, func(response wire.ExchangeAnswer) {
		s.cluster.oracles.recordOrders(call, response.Orders)
		answer(response)
	})
	s.flushPool()
}

// serve runs a client's command, as the steward's own table of commands does.
func (s *modelSteward) serve(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if !s.pool.IsOpen() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	switch call.Verb {
	case verbSubmit:
		s.pool.Submit(call, answer)
	case verbState:
		s.pool.State(call, answer)
	case verbCancel:
		s.pool.Cancel(call, answer)
	}
	s.flushPool()
}
