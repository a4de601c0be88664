package countmodel

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

// replicatedKey is the key of a part or of a pool as package replication gives it: commits are durable in their order, a leader learns
// of each after a while, and of those under way when it is killed the first ones, as many as chance has it, last.
type replicatedKey struct {
	cluster *simCluster
	records map[string][]byte
	epoch   uint64
	pending []*commit
	lastDue time.Duration
}

type commit struct {
	ops  []wire.Op
	done func(error)
}

func newKey(cluster *simCluster) *replicatedKey {
	return &replicatedKey{cluster: cluster, records: map[string][]byte{}, epoch: 1}
}

// propose commits a change under the present epoch; done is not called once that is over.
func (k *replicatedKey) propose(ops []wire.Op, done func(error)) {
	proposed, epoch := &commit{ops, done}, k.epoch
	k.pending = append(k.pending, proposed)
	k.lastDue = max(k.lastDue, k.cluster.queue.Now()+k.cluster.between(2, 12))
	k.cluster.queue.After(k.lastDue-k.cluster.queue.Now(), func() {
		if k.epoch != epoch || len(k.pending) == 0 || k.pending[0] != proposed {
			return
		}
		k.pending = k.pending[1:]
		k.apply(ops)
		done(nil)
	})
}

func (k *replicatedKey) apply(ops []wire.Op) {
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(k.records, op.Name)
			continue
		}
		k.records[op.Name] = op.Value
	}
}

// endEpoch ends the leadership. Some of the commits under way last all the same, and their proposer never hears of it.
func (k *replicatedKey) endEpoch() {
	lasting := k.cluster.queue.Draw.IntN(len(k.pending) + 1)
	if lasting > 0 {
		k.cluster.coverage["commit_unknown_to_leader"]++
	}
	for _, proposed := range k.pending[:lasting] {
		k.apply(proposed.ops)
	}
	k.pending = nil
	k.epoch++
}

// pairs are the committed records of one kind, in the order of their names.
func (k *replicatedKey) pairs(prefix string) []wire.Op {
	var pairs []wire.Op
	for _, name := range slices.Sorted(maps.Keys(k.records)) {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			pairs = append(pairs, wire.Op{Name: name, Value: k.records[name]})
		}
	}
	return pairs
}
