package scheduler

import (
	"maps"
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// ReportedState is what the leader believes of an executor, and of which session and number it is.
func (p *Pool) ReportedState(id string) (reported wire.ExchangeCall, checkpoint map[string]string) {
	executor := p.executors[id]
	if executor == nil || !executor.isKnown {
		return reported, nil
	}
	checkpoint = map[string]string{}
	for _, key := range slices.Collect(maps.Keys(executor.runs)) {
		checkpoint[key.task] = executor.runs[key].task.checkpoint
	}
	return wire.ExchangeCall{Session: executor.exchange.session, Number: executor.exchange.number, Proxy: executor.proxy, Domain: executor.domain,
		Labels: executor.labels, Capacity: wire.Capacity{CPU: executor.capacity.CPU, Memory: executor.capacity.Memory, GPU: executor.capacity.GPU},
		Draining: executor.isDraining}, checkpoint
}

// PenaltyScore is how little the leader trusts an executor.
func (p *Pool) PenaltyScore(id string) float64 { return p.executors[id].penaltyScore() }

// RunLimit is how many runs an executor may have at once; 0 sets no bound.
func (p *Pool) RunLimit(id string) int { return p.executors[id].runLimit }
