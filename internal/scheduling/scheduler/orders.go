package scheduler

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// answerFor makes the answer to an exchange: the lease, the list of runs that is wanted, and the orders of the outbox.
// An executor gets orders only after it has taken the epoch as its fence, so that an older leader's orders can't reach
// it after this leader's.
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
		answer.Orders = append(answer.Orders, p.order(run))
	}
	executor.outbox = nil
	return answer
}

func (p *Pool) order(run *runState) wire.Order {
	order := wire.Order{Kind: wire.OrderStop, Task: run.task.name, Run: run.number}
	if run.phase == runLaunching {
		order.Kind, order.Descriptor, order.Checkpoint = wire.OrderLaunch, run.task.owner().spec.Descriptor, run.task.sharedState().checkpoint
	}
	return order
}

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

func (p *Pool) endPoll(executor *executorState, answer wire.ExchangeAnswer) {
	if executor.poll != nil {
		reply := executor.poll.answer
		executor.poll = nil
		reply(answer)
	}
}

func (p *Pool) queueOrder(run *runState) {
	if run.isQueued || run.executor.runs[run.key()] != run {
		return
	}
	run.isQueued = true
	run.executor.outbox = append(run.executor.outbox, run)
	p.ordersToSend[run.executor] = true
}
