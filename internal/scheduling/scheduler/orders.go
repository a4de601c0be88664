package scheduler

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// answerFor builds the answer to an exchange: the lease grant, the number of the requested list of runs, the acknowledgement of end
// reports, and the orders. The orders of the outbox are sent only to an executor that has confirmed the epoch as its fence, so that orders
// of an older leader can't reach it after those of this leader.
func (p *Pool) answerFor(executor *executorState) wire.ExchangeAnswer {
	now := p.clock.Monotonic()
	answer := wire.ExchangeAnswer{Fence: p.leadership.Epoch(), LastSeen: executor.lastSeen, WantedList: executor.listWanted, HeldNumber: executor.exchange.number}
	if p.extendLease(executor, now) {
		answer.GrantMs = p.timing.Grant.Milliseconds()
	}
	answer.Orders = executor.orphanStops
	executor.orphanStops = nil
	if !executor.isFenced {
		return answer
	}
	for _, run := range executor.outbox {
		run.isQueued = false
		if executor.runs[run.key()] != run || run.phase == runRunning {
			continue
		}
		p.metrics.countSentOrder(run)
		run.sendCount++
		run.sentAt = now
		p.markChanged(run.task)
		answer.Orders = append(answer.Orders, p.orderFor(run))
	}
	executor.outbox = nil
	return answer
}

// orderFor returns the launch order of a run that is launching, and the stop order of any other run.
func (p *Pool) orderFor(run *runState) wire.Order {
	order := wire.Order{Kind: wire.OrderStop, Task: run.task.name, Run: run.number}
	if run.phase == runLaunching {
		order.Kind, order.Descriptor, order.Checkpoint = wire.OrderLaunch, run.task.job().spec.Descriptor, run.task.sharedTask().checkpoint
	}
	return order
}

// sendOrders answers the executor's waiting poll if there are orders for it.
func (p *Pool) sendOrders(executor *executorState) {
	if executor.isFenced && len(executor.outbox) > 0 || len(executor.orphanStops) > 0 {
		p.answerPoll(executor)
	}
}

func (p *Pool) answerPoll(executor *executorState) {
	if executor.poll != nil {
		p.endPoll(executor, p.answerFor(executor))
	}
}

// endPoll answers the executor's waiting poll, if there is one.
func (p *Pool) endPoll(executor *executorState, answer wire.ExchangeAnswer) {
	if executor.poll != nil {
		reply := executor.poll.answer
		executor.poll = nil
		reply(answer)
	}
}

// queueOrder adds the run's order to the outbox of its executor, unless it is there already or the run is closed.
func (p *Pool) queueOrder(run *runState) {
	if run.isQueued || run.executor.runs[run.key()] != run {
		return
	}
	run.isQueued = true
	run.executor.outbox = append(run.executor.outbox, run)
	p.ordersToSend[run.executor] = true
}
