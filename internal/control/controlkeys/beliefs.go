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

// Beliefs returns this steward's view of keys, jobs and executors, which operators use to compare nodes. The keys and jobs are those of the
// replicas on its disk. The executors are those of the pools that this process leads. Beliefs omits everything that it can't collect before
// ctx is done.
func (m *Manager) Beliefs(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief) {
	if !m.hasDisk() {
		return nil, nil, nil
	}
	keys, err := mailbox.Ask(ctx, m.Replicas.Mailbox(), func(answer func([]wire.KeyBelief)) { answer(m.readReplicaBeliefs()) })
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
		executors = append(executors, runner.readExecutorBeliefs(ctx)...)
	}
	return keys, jobs, executors
}

// readExecutorBeliefs returns the pool's view of its executors, nil if this process does not lead the pool or ctx is done first.
func (r *keyRunner) readExecutorBeliefs(ctx context.Context) []wire.ExecutorBelief {
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

// ZoneLoads returns the load of each zone, according to the pools that this process leads. It omits the pools that do not answer before
// ctx is done.
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
		poolLoads, err := mailbox.Ask(ctx, runner.stateMailbox, func(answer func([]wire.ZoneLoad)) {
			if !runner.pool.IsOpen() {
				answer(nil)
				return
			}
			answer(runner.pool.ZoneLoads())
		})
		if err == nil {
			loads = append(loads, poolLoads...)
		}
	}
	return loads
}

// readReplicaBeliefs returns the state of each replica on this disk. It must run on the goroutine that owns the replicas.
func (m *Manager) readReplicaBeliefs() []wire.KeyBelief {
	var keys []wire.KeyBelief
	for _, key := range m.Replicas.Keys() {
		status := m.Replicas.Status(key)
		keys = append(keys, wire.KeyBelief{Key: key, Leader: status.LeaseHolder, Epoch: status.Promised,
			Last: status.State.Last, Voters: status.State.Voters})
	}
	return keys
}
