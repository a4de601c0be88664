package rolloutmodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	minRunMs, maxRunMs = 50, 900
	// outcomeStopped is how a run ends that was told to.
	outcomeStopped wire.RunOutcome = "stopped"
	// badPercent of the runs of a bad version fail.
	badPercent = 60
)

// modelExecutor is an executor with its local proxy: it carries out each order at once and reports every tick.
type modelExecutor struct {
	wire.ExchangeCall
	pool    *modelPool
	running []wire.Order
	// highest is, by task, the highest run that was ended or stopped here.
	highest map[string]int64
	lastEnd int64
}

func newModelExecutor(pool *modelPool, number int) *modelExecutor {
	return &modelExecutor{pool: pool, highest: map[string]int64{}, ExchangeCall: wire.ExchangeCall{Key: pool.name(),
		Executor: fmt.Sprintf("i-%d-%d", pool.number, number), Proxy: fmt.Sprintf("side-%d-%d", pool.number, number), Domain: fmt.Sprintf("zone-%d", number),
		Capacity: wire.Capacity{CPU: executorCPU, Memory: executorMemory}, Labels: []string{"a", "r1"}}}
}

// allRuns numbers a list of runs that is newer than any the leader asked for.
const allRuns = 1 << 40

// exchange reports all, and carries out what the leader orders.
func (e *modelExecutor) exchange() {
	call := e.ExchangeCall
	call.Fence, call.ListNumber, call.Running = e.pool.key.Epoch, allRuns, nil
	for _, order := range e.running {
		call.Running = append(call.Running, wire.RunReport{Task: order.Task, Run: order.Run})
	}
	e.Answers = nil
	epoch := e.pool.key.Epoch
	e.pool.pool.Exchange(&call, func(answer wire.ExchangeAnswer) {
		if e.pool.key.Epoch != epoch {
			return
		}
		e.Ends = slices.DeleteFunc(e.Ends, func(end wire.EndReport) bool { return end.Number <= answer.LastSeen })
		for _, order := range answer.Orders {
			e.carryOut(order)
		}
	})
	e.pool.flush()
}

// carryOut starts or stops a run.
func (e *modelExecutor) carryOut(order wire.Order) {
	result := wire.ResultOK
	switch {
	case order.Kind == wire.OrderStop:
		e.highest[order.Task] = max(e.highest[order.Task], order.Run)
		e.end(order, outcomeStopped)
	case slices.ContainsFunc(e.running, func(known wire.Order) bool { return known.Task == order.Task && known.Run == order.Run }):
	case order.Run <= e.highest[order.Task]:
		result = wire.ResultNotRun
	default:
		e.begin(order)
	}
	e.Answers = append(e.Answers, wire.OrderAnswer{Task: order.Task, Run: order.Run, Kind: order.Kind, Result: result})
}

// begin starts a run, which ends after a while.
func (e *modelExecutor) begin(order wire.Order) {
	c := e.pool.cluster
	c.noteStart(e, order)
	e.running = append(e.running, order)
	outcome := wire.OutcomeDone
	if e.pool.isBad && c.queue.Draw.IntN(100) < badPercent {
		outcome = wire.OutcomeFailed
	}
	c.queue.After(time.Duration(minRunMs+c.queue.Draw.IntN(maxRunMs-minRunMs))*time.Millisecond, func() { e.end(order, outcome) })
}

// end ends a run that goes on.
func (e *modelExecutor) end(order wire.Order, outcome wire.RunOutcome) {
	index := slices.IndexFunc(e.running, func(known wire.Order) bool { return known.Task == order.Task && known.Run == order.Run })
	if index < 0 {
		return
	}
	e.running = slices.Delete(e.running, index, index+1)
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	e.lastEnd++
	e.Ends = append(e.Ends, wire.EndReport{Number: e.lastEnd, Task: order.Task, Run: order.Run, Outcome: outcome})
	e.pool.cluster.noteEnd(order.Task, outcome)
}
