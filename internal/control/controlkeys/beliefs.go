package controlkeys

import (
	"context"
	"maps"
	"slices"
	"strings"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

// Beliefs gathers what this steward holds true, for an operator who compares nodes. What can't be had before ctx is done is
// left out.
func (m *Manager) Beliefs(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief) {
	if !m.hasDisk() {
		return nil, nil, nil
	}
	keys, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func([]wire.KeyBelief)) { answer(m.replicaBeliefs()) })
	if err != nil {
		return nil, nil, nil
	}
	runners, err := mailbox.Ask(ctx, m.mailbox, func(answer func(map[string]*keyRunner)) { answer(maps.Clone(m.runners)) })
	if err != nil {
		return keys, nil, nil
	}
	var jobs []wire.JobBelief
	var executors []wire.ExecutorBelief
	for key, runner := range runners {
		if !strings.HasPrefix(key, wire.PoolPrefix) {
			continue
		}
		if snapshot, err := m.Store.Read(key); err == nil {
			jobs = append(jobs, scheduler.JobsOf(key, snapshot.Pairs)...)
		}
		executors = append(executors, runner.executorBeliefs(ctx)...)
	}
	return keys, jobs, executors
}

// executorBeliefs is what the pool believes of its executors, if it is led here.
func (r *keyRunner) executorBeliefs(ctx context.Context) []wire.ExecutorBelief {
	executors, err := mailbox.Ask(ctx, r.stateMailbox, func(answer func([]wire.ExecutorBelief)) {
		if !r.pool.IsOpen() {
			answer(nil)
			return
		}
		_, executors := r.pool.Beliefs()
		answer(executors)
	})
	if err != nil {
		return nil
	}
	return executors
}

// ZoneLoads tells what runs in each zone by the pools that are led here. What can't be had before ctx is done is left out.
func (m *Manager) ZoneLoads(ctx context.Context) []wire.ZoneLoad {
	var loads []wire.ZoneLoad
	runners, err := mailbox.Ask(ctx, m.mailbox, func(answer func(map[string]*keyRunner)) { answer(maps.Clone(m.runners)) })
	if err != nil {
		return nil
	}
	for _, key := range slices.Sorted(maps.Keys(runners)) {
		if !strings.HasPrefix(key, wire.PoolPrefix) {
			continue
		}
		runner := runners[key]
		ofPool, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func([]wire.ZoneLoad)) {
			if !runner.pool.IsOpen() {
				answer(nil)
				return
			}
			answer(runner.pool.ZoneLoads())
		})
		if err == nil {
			loads = append(loads, ofPool...)
		}
	}
	return loads
}

// replicaBeliefs is what the replicas of this disk hold. It must run on their goroutine.
func (m *Manager) replicaBeliefs() []wire.KeyBelief {
	var keys []wire.KeyBelief
	for _, key := range m.Replicas.Keys() {
		status := m.Replicas.Status(key)
		keys = append(keys, wire.KeyBelief{Key: key, Leader: status.LeaseHolder, Epoch: status.Promised,
			Last: status.State.Last, Voters: status.State.Voters})
	}
	return keys
}
