// Package simkey stands for the replication of a key in models that don't look into it: commits are durable in their order, and of those under
// way when a leadership ends some last.
package simkey

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/simcluster"
)

// The time that a commit takes, in milliseconds.
const shortestCommitMs, longestCommitMs = 2, 12

// Key is a key as package replication gives it: commits are durable in their order, a leader learns of each after a while, and of those under
// way when its leadership ends the first ones, as many as chance has it, last.
type Key struct {
	// Records are those that are committed, and Epoch is that of the present leadership.
	Records map[string][]byte
	Epoch   uint64

	queue    *simcluster.EventQueue
	coverage modelcheck.Coverage
	pending  []*commit
	lastDue  time.Duration
}

type commit struct {
	ops  []wire.Op
	done func(error)
}

// New makes a key without records, in its first epoch.
func New(queue *simcluster.EventQueue, coverage modelcheck.Coverage) *Key {
	return &Key{Records: map[string][]byte{}, Epoch: 1, queue: queue, coverage: coverage}
}

// Propose commits a change under the present epoch; done is not called once that is over.
func (k *Key) Propose(ops []wire.Op, done func(error)) {
	proposed, epoch := &commit{ops, done}, k.Epoch
	k.pending = append(k.pending, proposed)
	k.lastDue = max(k.lastDue, k.queue.Now()+commitTime(k.queue))
	k.queue.After(k.lastDue-k.queue.Now(), func() {
		if k.Epoch != epoch || len(k.pending) == 0 || k.pending[0] != proposed {
			return
		}
		k.pending = k.pending[1:]
		k.Apply(ops)
		done(nil)
	})
}

func commitTime(queue *simcluster.EventQueue) time.Duration {
	return time.Duration(shortestCommitMs+queue.Draw.IntN(longestCommitMs-shortestCommitMs+1)) * time.Millisecond
}

// Apply commits records at once.
func (k *Key) Apply(ops []wire.Op) {
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(k.Records, op.Name)
			continue
		}
		k.Records[op.Name] = op.Value
	}
}

// EndEpoch ends the leadership. Some of the commits under way last all the same, and their proposer never hears of it.
func (k *Key) EndEpoch() {
	lasting := k.queue.Draw.IntN(len(k.pending) + 1)
	if lasting > 0 {
		k.coverage["commit_unknown_to_leader"]++
	}
	for _, proposed := range k.pending[:lasting] {
		k.Apply(proposed.ops)
	}
	k.pending = nil
	k.Epoch++
}

// Pairs are the committed records of one kind, in the order of their names.
func (k *Key) Pairs(prefix string) []wire.Op {
	var pairs []wire.Op
	for _, name := range slices.Sorted(maps.Keys(k.Records)) {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			pairs = append(pairs, wire.Op{Name: name, Value: k.Records[name]})
		}
	}
	return pairs
}
