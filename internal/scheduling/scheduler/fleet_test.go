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

// fleetTick is the interval at which a fleet's pool ticks and its executors exchange with it.
const fleetTick = 50 * time.Millisecond

// fleetExecutor is an executor with its local proxy. It carries out every order at once, unless isSilent or refusal is set.
type fleetExecutor struct {
	// ExchangeCall holds the facts, answers and ends of the next report.
	wire.ExchangeCall
	running []wire.Order
	// isSilent keeps the executor from exchanging with the pool.
	isSilent bool
	// refusal is the result of every launch order, if it isn't empty.
	refusal string
	// starts counts the runs that were started, and lastEnd is the number of the last end report.
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
	f := &fleet{clock: clock, timing: timing, options: options, leadership: &scriptedLeadership{clock: clock, hasLease: true, records: map[string][]byte{}}}
	f.takeOver()
	return f
}

// takeOver replaces the pool by one of the next leader, which has only the committed records.
func (f *fleet) takeOver() {
	f.leadership.epoch++
	f.pool = scheduler.New("pool/s", f.clock, f.timing, logging.Silent(), f.options...)
	f.pool.Open(f.leadership, f.leadership.pairs())
	f.settle()
}

// add adds executors of equal capacity and labels, and waits until the pool knows them.
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

// settle flushes the pool until all commits have succeeded.
func (f *fleet) settle() {
	for f.pool.Flush(); len(f.leadership.inFlight) > 0; f.pool.Flush() {
		f.leadership.settle(nil)
	}
}

// exchangeOnce makes one exchange for an executor, which carries out the orders of the answer.
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

// end ends the executor's run of a task, if there is one, and reports the outcome with the next exchange.
func (executor *fleetExecutor) end(task, outcome string) {
	executor.running = slices.DeleteFunc(executor.running, func(order wire.Order) bool {
		if order.Task != task {
			return false
		}
		executor.lastEnd++
		executor.Ends = append(executor.Ends, wire.EndReport{Number: executor.lastEnd, Task: task, Run: order.Run, Outcome: wire.RunOutcome(outcome)})
		return true
	})
}

// endAll ends the runs on all executors.
func (f *fleet) endAll(outcome string) {
	for _, executor := range f.executors {
		for _, order := range slices.Clone(executor.running) {
			executor.end(order.Task, outcome)
		}
	}
}

// pass advances the clock tick by tick; the pool ticks and all executors that aren't silent exchange with it.
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

// submitJob submits a job and expects it to be accepted.
func (f *fleet) submitJob(id string, terms wire.RouteTerms, body string) {
	f.pool.Submit(&wire.ClientCall{Route: "e", ID: id, Terms: &terms, Body: []byte(body)}, func(answer wire.ClientAnswer) {
		Expect(answer.Status).To(Equal(200))
	})
	f.settle()
}

// state returns the status and the body of the answer to a query for a job's state.
func (f *fleet) state(id string) (reported string) {
	f.pool.State(&wire.ClientCall{Route: "e", ID: id}, func(answer wire.ClientAnswer) { reported = fmt.Sprint(answer.Status, string(answer.Body)) })
	f.settle()
	return reported
}

// tasks returns the task names of all current runs; a task with two runs is in it twice.
func (f *fleet) tasks() []string {
	var names []string
	for _, executor := range f.executors {
		for _, order := range executor.running {
			names = append(names, order.Task)
		}
	}
	return names
}

// starts returns how many runs were started on all executors so far.
func (f *fleet) starts() (count int) {
	for _, executor := range f.executors {
		count += executor.starts
	}
	return count
}
