package storage

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxWritesPerTransaction is the maximum number of writes that share one transaction and its sync.
const maxWritesPerTransaction = 64

// Write is one durable step of a replica: a promise, changes after the position Prev, or a snapshot with the changes that follow it.
type Write struct {
	Key      string
	Epoch    uint64
	Prev     wire.LogPosition
	Changes  []wire.Change
	Snapshot *wire.Snapshot
	Promise  bool
}

// Outcome is the result of a write. If Err is set, the result is unknown: the write may be on the disk or not, and State is empty. The next
// outcome without an error shows what the replica holds.
type Outcome struct {
	// Taken is set if the replica accepted the write and the write is on the disk. It is false if the replica refused it or Err is set.
	Taken bool
	// State is the state of the replica after the write.
	State ReplicaState
	Err   error
}

// queuedWrite is a write that waits for the writing goroutine. An error of apply rolls the whole transaction back.
type queuedWrite struct {
	apply       func(tx *bolt.Tx) (Outcome, error)
	recordBytes int
	done        func(Outcome)
}

// Submit queues a write and blocks while the queue is full. The function done runs on the writing goroutine after the transaction of the
// write has been synced or has failed.
func (s *Store) Submit(write Write, done func(Outcome)) {
	apply := func(tx *bolt.Tx) (Outcome, error) { return apply(tx, write) }
	s.queue <- queuedWrite{apply, write.recordBytes(), done}
}

// run commits queued writes until Close.
func (s *Store) run() {
	defer close(s.closed)
	for first := range s.queue {
		s.commit(s.collectBatch(first))
	}
}

// collectBatch returns the first write and the writes that are queued already, up to maxWritesPerTransaction.
func (s *Store) collectBatch(first queuedWrite) []queuedWrite {
	batch := []queuedWrite{first}
	for len(batch) < maxWritesPerTransaction {
		select {
		case next, isOpen := <-s.queue:
			if !isOpen {
				return batch
			}
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch in one transaction and reports the outcome of each write.
func (s *Store) commit(batch []queuedWrite) {
	outcomes := make([]Outcome, len(batch))
	start := s.clock.Monotonic()
	var stats bolt.TxStats
	err := s.resolveUnclearTransaction()
	if err == nil {
		err = s.update(func(tx *bolt.Tx) error {
			tx.OnCommit(func() { stats = tx.Stats() })
			return applyAll(tx, batch, outcomes)
		})
	}
	s.hasUnclearTransaction = err != nil
	commitSeconds.Observe(s.clock.Monotonic() - start)
	transactions.Inc()
	writes.Add(len(batch))
	recordBytesTotal.Add(sumAcceptedBytes(batch, outcomes))
	filePageBytes.AddInt64(stats.GetPageAlloc())
	for index, queued := range batch {
		if err != nil {
			outcomes[index] = Outcome{Err: errors.Annotate(err, "committing writes to the store")}
		}
		queued.done(outcomes[index])
	}
}

// resolveUnclearTransaction makes durable what a failed transaction may have left in the file, before the store answers a write that builds
// on it. It syncs the file and then runs one more transaction. The sync comes first because the failed transaction has freed pages of the
// last durable state, and the next transaction may overwrite them.
func (s *Store) resolveUnclearTransaction() error {
	if !s.hasUnclearTransaction {
		return nil
	}
	if err := s.sync(); err != nil {
		return err
	}
	return s.update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		return meta.Put(recordDisk, bytes.Clone(meta.Get(recordDisk)))
	})
}

// applyAll applies the writes of a batch in one transaction. An error rolls all of them back.
func applyAll(tx *bolt.Tx, batch []queuedWrite, outcomes []Outcome) error {
	for index, queued := range batch {
		outcome, err := queued.apply(tx)
		if err != nil {
			return err
		}
		outcomes[index] = outcome
	}
	return nil
}

// apply decides on a write and applies the decision. An error rolls the whole transaction back.
func apply(tx *bolt.Tx, write Write) (Outcome, error) {
	states := tx.Bucket(bucketReplicaStates)
	state, err := readState(states, write.Key)
	if err != nil {
		return Outcome{}, err
	}
	outcome, pairs := Decide(state, write)
	if !outcome.Taken {
		return outcome, nil
	}
	if err := updatePairs(tx, write.Key, pairs); err != nil {
		return Outcome{}, err
	}
	encoded, err := easyjson.Marshal(outcome.State)
	if err != nil {
		return Outcome{}, err
	}
	return outcome, states.Put([]byte(write.Key), encoded)
}

// updatePairs applies an update to the pairs of a key.
func updatePairs(tx *bolt.Tx, key string, update PairUpdate) error {
	if !update.Clear && len(update.Ops) == 0 {
		return nil
	}
	pairsByKey := tx.Bucket(bucketPairs)
	if update.Clear && pairsByKey.Bucket([]byte(key)) != nil {
		if err := pairsByKey.DeleteBucket([]byte(key)); err != nil {
			return err
		}
	}
	pairs, err := pairsByKey.CreateBucketIfNotExists([]byte(key))
	if err != nil {
		return err
	}
	return putPairs(pairs, update.Ops)
}

// putPairs writes pairs. It deletes those with an empty value.
func putPairs(pairs *bolt.Bucket, ops []wire.Op) error {
	for _, op := range ops {
		if len(op.Value) == 0 {
			if err := pairs.Delete([]byte(op.Name)); err != nil {
				return err
			}
			continue
		}
		if err := pairs.Put([]byte(op.Name), op.Value); err != nil {
			return err
		}
	}
	return nil
}
