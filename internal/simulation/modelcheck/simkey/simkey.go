// Package simkey replaces the replication of a key in models that don't test replication itself.
package simkey

import (
	"maps"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/simcluster"
)

// The shortest and longest time that a commit takes, in milliseconds.
const minCommitMs, maxCommitMs = 2, 12

// Key is a replicated key with the guarantees of package replication. Changes are committed in the order in which they are proposed, and
// the leader is notified of each commit after a delay. When a leadership ends, a random number of the changes in flight is still
// committed, in the same order, and the others are lost.
type Key struct {
	// Records are the committed records by name. Epoch is the epoch of the current leadership.
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

// New returns a key without records in epoch 1.
func New(queue *simcluster.EventQueue, coverage modelcheck.Coverage) *Key {
	return &Key{Records: map[string][]byte{}, Epoch: 1, queue: queue, coverage: coverage}
}

// Propose proposes a change in the current epoch. After a delay the change is committed and done is called with nil, unless the epoch has
// ended by then.
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
	return time.Duration(minCommitMs+queue.Draw.IntN(maxCommitMs-minCommitMs+1)) * time.Millisecond
}

// Apply commits changes of records at once. An empty value deletes the record.
func (k *Key) Apply(ops []wire.Op) {
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(k.Records, op.Name)
			continue
		}
		k.Records[op.Name] = op.Value
	}
}

// EndEpoch ends the leadership and begins the next epoch. A random number of the changes in flight is still committed, the first proposed
// first. done is not called for any of the changes in flight.
func (k *Key) EndEpoch() {
	survivors := k.queue.Draw.IntN(len(k.pending) + 1)
	if survivors > 0 {
		k.coverage["commit_unknown_to_leader"]++
	}
	for _, proposed := range k.pending[:survivors] {
		k.Apply(proposed.ops)
	}
	k.pending = nil
	k.Epoch++
}

// Pairs returns the committed records whose names begin with a prefix, sorted by name.
func (k *Key) Pairs(prefix string) []wire.Op {
	var pairs []wire.Op
	for _, name := range slices.Sorted(maps.Keys(k.Records)) {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			pairs = append(pairs, wire.Op{Name: name, Value: k.Records[name]})
		}
	}
	return pairs
}
