package scheduler

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// ReportedState returns what an executor has reported, with the session and number of the last exchange, and the checkpoints of the tasks
// that run on it.
func (p *Pool) ReportedState(id string) (reported wire.ExchangeCall, checkpoints map[string]string) {
	executor := p.executors[id]
	if executor == nil || !executor.isKnown {
		return reported, nil
	}
	checkpoints = map[string]string{}
	for _, key := range slices.Collect(maps.Keys(executor.runs)) {
		checkpoints[key.task] = executor.runs[key].task.checkpoint
	}
	return wire.ExchangeCall{Session: executor.exchange.session, Number: executor.exchange.number, Proxy: executor.proxy, Domain: executor.domain,
		Labels: executor.labels, Capacity: wire.Capacity{CPU: executor.capacity.CPU, Memory: executor.capacity.Memory, GPU: executor.capacity.GPU},
		Draining: executor.isDraining}, checkpoints
}

// PenaltyScore is the part of an executor's penalty that comes from its failures and from the penalty of its machine.
func (p *Pool) PenaltyScore(id string) float64 { return p.executors[id].penaltyScore() }

// RunLimit is how many runs an executor may have at once. 0 means no limit.
func (p *Pool) RunLimit(id string) int { return p.executors[id].runLimit }
