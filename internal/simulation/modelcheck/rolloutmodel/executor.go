package rolloutmodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	minRunMs, maxRunMs = 50, 900
	// outcomeStopped is the outcome of a run that was stopped by an order.
	outcomeStopped wire.RunOutcome = "stopped"
	// outcomeLost is the outcome of a run that ended with its executor.
	outcomeLost wire.RunOutcome = "lost"
	// badPercent is the percentage of the runs of a bad version that fail.
	badPercent = 60
)

// modelExecutor is an executor with its local proxy. It carries out each order at once and reports in each tick. The embedded call is
// its next report without the runs, the fence and the list number.
type modelExecutor struct {
	wire.ExchangeCall
	pool    *modelPool
	running []wire.Order
	// highestRun is the highest run that has ended here or was ordered to stop, by task.
	highestRun map[string]int64
	// lastEnd is the number of the last end.
	lastEnd int64
	// hasCrashed is set once the executor has ended for good.
	hasCrashed bool
}

func newModelExecutor(pool *modelPool, number int) *modelExecutor {
	return &modelExecutor{pool: pool, highestRun: map[string]int64{}, ExchangeCall: wire.ExchangeCall{Key: pool.name(),
		Executor: fmt.Sprintf("i-%d-%d", pool.number, number), Proxy: fmt.Sprintf("side-%d-%d", pool.number, number), Domain: fmt.Sprintf("zone-%d", number),
		Capacity: wire.Capacity{CPU: executorCPU, Memory: executorMemory}, Labels: []string{"a", "r1"}}}
}

// maxListNumber is a list number above any that the leader asks for, so that each list counts as the one that the leader wants.
const maxListNumber = 1 << 40

// exchange reports all runs, ends and answers to the leader, and carries out the orders in its answer. An answer that comes after the
// leadership or the executor has ended is ignored.
func (e *modelExecutor) exchange() {
	call := e.ExchangeCall
	call.Fence, call.ListNumber, call.Running = e.pool.key.Epoch, maxListNumber, nil
	for _, order := range e.running {
		call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
	}
	e.Answers = nil
	epoch := e.pool.key.Epoch
	e.pool.pool.Exchange(&call, func(answer wire.ExchangeAnswer) {
		if e.pool.key.Epoch != epoch || e.hasCrashed {
			return
		}
		e.Ends = slices.DeleteFunc(e.Ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
		for _, order := range answer.Orders {
			e.carryOut(order)
		}
	})
	e.pool.flush()
}

// carryOut starts or stops a run and records the answer for the next report. It does not start a run that is active already, and
// refuses to start a run that is not above highestRun.
func (e *modelExecutor) carryOut(order wire.Order) {
	result := wire.ResultOK
	switch {
	case order.Kind == wire.OrderStop:
		e.highestRun[order.Task] = max(e.highestRun[order.Task], order.Run)
		e.end(order, outcomeStopped)
	case slices.ContainsFunc(e.running, func(known wire.Order) bool { return known.Task == order.Task && known.Run == order.Run }):
	case order.Run <= e.highestRun[order.Task]:
		result = wire.ResultNotRun
	default:
		e.begin(order)
	}
	e.Answers = append(e.Answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result})
}

// begin starts a run, which ends after a drawn time.
func (e *modelExecutor) begin(order wire.Order) {
	c := e.pool.cluster
	c.checkStart(e, order)
	e.running = append(e.running, order)
	outcome := wire.OutcomeDone
	if e.pool.isBad && c.queue.Draw.IntN(100) < badPercent {
		outcome = wire.OutcomeFailed
	}
	c.queue.After(time.Duration(minRunMs+c.queue.Draw.IntN(maxRunMs-minRunMs))*time.Millisecond, func() { e.end(order, outcome) })
}

// crash ends all runs without a report. Ends that no leader has acknowledged yet are lost, so that their tasks may start again.
func (e *modelExecutor) crash() {
	for _, order := range e.running {
		e.pool.cluster.recordEnd(order.Task, outcomeLost)
	}
	for _, end := range e.Ends {
		e.pool.cluster.forgetEnd(end.Task, end.Outcome)
	}
	e.running, e.Ends, e.hasCrashed = nil, nil, true
}

// end ends a run and records its end for the next report; it does nothing if the run is not active.
func (e *modelExecutor) end(order wire.Order, outcome wire.RunOutcome) {
	index := slices.IndexFunc(e.running, func(known wire.Order) bool { return known.Task == order.Task && known.Run == order.Run })
	if index < 0 {
		return
	}
	e.running = slices.Delete(e.running, index, index+1)
	e.highestRun[order.Task] = max(e.highestRun[order.Task], order.Run)
	e.lastEnd++
	e.Ends = append(e.Ends, wire.EndReport{Number: e.lastEnd, Task: order.Task, Run: order.Run, Outcome: outcome})
	e.pool.cluster.recordEnd(order.Task, outcome)
}
