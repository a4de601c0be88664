package ordermodel

import (
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

const tickInterval = 50 * time.Millisecond

// poolLeader is a scheduler pool with the methods that the model calls. Pools with an injected fault implement it too.
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

// jumpingClock is the cluster's clock as one steward reads it: its time of day may jump.
type jumpingClock struct {
	*clock.Fake
	steward *modelSteward
}

// WallMs returns the steward's time of day in milliseconds.
func (c jumpingClock) WallMs() int64 { return c.Fake.WallMs() + c.steward.wallJumpMs }

// modelSteward is a steward. It runs the real pool, which is open while the steward leads the key.
type modelSteward struct {
	modelProcess
	pool poolLeader
	// leading is the leadership under which the pool is open; nil if there is none.
	leading *leadership
	// wallJumpMs is how far the steward's time of day has jumped ahead, or back if negative, in milliseconds.
	wallJumpMs int64
	isLeaving  bool
	// coreSide is this steward's side of a split of the core. Stewards of one side reach each other; all other processes
	// reach both sides.
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

// flushPool sends the answers that the pool has collected, unless the steward is down or frozen.
func (s *modelSteward) flushPool() {
	if s.isUp && !s.isFrozen {
		s.pool.Flush()
	}
}

// becomeLeader opens the pool under a new leadership. It closes a former leadership of this steward first.
func (s *modelSteward) becomeLeader(successor *leadership, pairs []wire.Op) {
	if s.leading != nil {
		s.leading.close()
	}
	s.leading = successor
	s.pool.Open(s.cluster.fault.wrapLeadership(successor), pairs)
	if unreadable := s.pool.Unreadable(); len(unreadable) > 0 {
		s.cluster.violate("READ", "a new leader can't read records of the key: %v", unreadable)
	}
}

// exchange passes a proxy's call to the pool if this steward leads, and refuses it otherwise.
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

// serve passes a client's call to the pool, as the steward's command handlers do.
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
