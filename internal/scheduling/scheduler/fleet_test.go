package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
)

// fleetTick is how often a fleet's pool ticks and its executors are heard.
const fleetTick = 50 * time.Millisecond

// fleetExecutor is an executor and its local proxy, which carry out every order at once unless a test says otherwise.
type fleetExecutor struct {
	wire.ExchangeCall
	running  []wire.Order
	isSilent bool
	// refusal answers every launch, if it is set.
	refusal string
	starts  int
	lastEnd int64
}

// fleet is a pool, the executors that report to it, and a leadership whose commits succeed at once.
type fleet struct {
	clock      *clock.Fake
	leadership *scriptedLeadership
	pool       *scheduler.Pool
	timing     scheduler.Timing
	executors  []*fleetExecutor
	options    []scheduler.Option
}

func newFleet(timing scheduler.Timing, options ...scheduler.Option) *fleet {
	clock := clock.NewFake(1_000_000)
	f := &fleet{clock: clock, timing: timing, options: options, leadership: &scriptedLeadership{clock: clock, hasLease: true, kept: map[string][]byte{}}}
	f.takeOver()
	return f
}

// takeOver gives the pool to another leader, which knows only what is committed.
func (f *fleet) takeOver() {
	f.leadership.epoch++
	f.pool = scheduler.New("pool/s", f.clock, f.timing, logging.Silent(), f.options...)
	f.pool.Open(f.leadership, f.leadership.pairs())
	f.settle()
}

// add brings executors of one kind that are known to the pool.
func (f *fleet) add(count int, resources wire.Capacity, labels ...string) []*fleetExecutor {
	var added []*fleetExecutor
	for range count {
		name := fmt.Sprintf("%03d", len(f.executors))
		executor := &fleetExecutor{ExchangeCall: wire.ExchangeCall{Key: "pool/s", Executor: "i-" + name, Proxy: "side-" + name, Capacity: resources, Labels: labels}}
		f.executors = append(f.executors, executor)
		added = append(added, executor)
	}
	f.pass(2 * fleetTick)
	return added
}

func (f *fleet) settle() {
	for f.pool.Flush(); len(f.leadership.waiting) > 0; f.pool.Flush() {
		f.leadership.settle(nil)
	}
}

// exchangeOnce exchanges once for an executor and has it carry out its orders.
func (f *fleet) exchangeOnce(executor *fleetExecutor) {
	call := executor.ExchangeCall
	call.Fence, call.ListNumber = f.leadership.epoch, 1<<40
	for _, order := range executor.running {
		call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
	}
	executor.Answers = nil
	f.pool.Exchange(&call, func(answer wire.ExchangeAnswer) {
		executor.Ends = slices.DeleteFunc(executor.Ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
		for _, order := range answer.Orders {
			executor.carryOut(order)
		}
	})
	f.settle()
}

func (executor *fleetExecutor) carryOut(order wire.Order) {
	result := "ok"
	switch {
	case order.Kind == "stop":
		executor.end(order.Task, "stopped")
	case executor.refusal != "":
		result = executor.refusal
	default:
		executor.starts++
		executor.running = append(executor.running, order)
	}
	executor.Answers = append(executor.Answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: wire.OrderResult(result)})
}

// end ends the run of a task here, if there is one.
func (executor *fleetExecutor) end(task, how string) {
	executor.running = slices.DeleteFunc(executor.running, func(order wire.Order) bool {
		if order.Task != task {
			return false
		}
		executor.lastEnd++
		executor.Ends = append(executor.Ends, wire.EndReport{Number: executor.lastEnd, Task: task, Run: order.Run, Outcome: wire.RunOutcome(how)})
		return true
	})
}

// endAll ends all that runs anywhere.
func (f *fleet) endAll(how string) {
	for _, executor := range f.executors {
		for _, order := range slices.Clone(executor.running) {
			executor.end(order.Task, how)
		}
	}
}

// pass lets time go on.
func (f *fleet) pass(length time.Duration) {
	for end := f.clock.Monotonic() + length; f.clock.Monotonic() < end; f.clock.Advance(fleetTick) {
		f.pool.Tick()
		f.settle()
		for _, executor := range f.executors {
			if !executor.isSilent {
				f.exchangeOnce(executor)
			}
		}
	}
}

func (f *fleet) handIn(id string, terms wire.RouteTerms, body string) {
	f.pool.Submit(&wire.ClientCall{Route: "e", ID: id, Terms: &terms, Body: []byte(body)}, func(answer wire.ClientAnswer) {
		Expect(answer.Status).To(Equal(200))
	})
	f.settle()
}

func (f *fleet) state(id string) (reported string) {
	f.pool.State(&wire.ClientCall{Route: "e", ID: id}, func(answer wire.ClientAnswer) { reported = fmt.Sprint(answer.Status, string(answer.Body)) })
	f.settle()
	return reported
}

// tasks names what runs now, and on how many executors.
func (f *fleet) tasks() []string {
	var names []string
	for _, executor := range f.executors {
		for _, order := range executor.running {
			names = append(names, order.Task)
		}
	}
	return names
}

func (f *fleet) starts() (count int) {
	for _, executor := range f.executors {
		count += executor.starts
	}
	return count
}
