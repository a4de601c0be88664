package storage

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxWritesPerTransaction is how many writes share one sync at most.
const maxWritesPerTransaction = 64

// Write is one durable step of a replica: a promise, changes that follow on Prev, or a snapshot.
type Write struct {
	Key      string
	Epoch    uint64
	Prev     wire.LogPosition
	Changes  []wire.Change
	Snapshot *wire.Snapshot
	Promise  bool
}

// Outcome is what came of a write. Where Err is set nothing is known: the write may be on the disk or not, and State is
// empty; the next outcome without an error shows what the replica holds.
type Outcome struct {
	// Taken tells that the write is on the disk; else the replica has refused it.
	Taken bool
	// State is that of the replica after the write.
	State ReplicaState
	Err   error
}

// queuedWrite is a write that waits for the store's goroutine: apply carries it out in a transaction, whose error undoes the whole
// transaction.
type queuedWrite struct {
	apply       func(tx *bolt.Tx) (Outcome, error)
	recordBytes int
	done        func(Outcome)
}

// Submit queues a write; done is called from the store's goroutine after the sync.
func (s *Store) Submit(write Write, done func(Outcome)) {
	apply := func(tx *bolt.Tx) (Outcome, error) { return apply(tx, write) }
	s.queue <- queuedWrite{apply, write.recordBytes(), done}
}

// run commits what is queued until Close.
func (s *Store) run() {
	defer close(s.closed)
	for first := range s.queue {
		s.commit(s.gather(first))
	}
}

// gather adds to a first write those that wait already, as many as share a transaction.
func (s *Store) gather(first queuedWrite) []queuedWrite {
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

// commit writes a batch in one transaction and answers each write.
func (s *Store) commit(batch []queuedWrite) {
	outcomes := make([]Outcome, len(batch))
	began := s.clock.Monotonic()
	var pages bolt.TxStats
	err := s.resolveUnclear()
	if err == nil {
		err = s.update(func(tx *bolt.Tx) error {
			tx.OnCommit(func() { pages = tx.Stats() })
			return applyAll(tx, batch, outcomes)
		})
	}
	s.isUnclear = err != nil
	commitSeconds.Observe(s.clock.Monotonic() - began)
	transactions.Inc()
	writes.Add(len(batch))
	recordBytesTotal.Add(takenBytes(batch, outcomes))
	filePageBytes.AddInt64(pages.GetPageAlloc())
	for index, queued := range batch {
		if err != nil {
			outcomes[index] = Outcome{Err: errors.Annotate(err, "syncing keys")}
		}
		queued.done(outcomes[index])
	}
}

// resolveUnclear makes sure, after a failed transaction, that whatever of it is in the file is durable before anything is
// answered on top of it: one more transaction has to succeed. The sync comes before that transaction writes its pages, as these may
// be pages of the last durable state, which the failed transaction has set free.
func (s *Store) resolveUnclear() error {
	if !s.isUnclear {
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

// applyAll applies the writes of a batch in one transaction; an error undoes them all.
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

// apply decides on a write and carries the decision out. An error fails the whole transaction.
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
	text, err := easyjson.Marshal(outcome.State)
	if err != nil {
		return Outcome{}, err
	}
	return outcome, states.Put([]byte(write.Key), text)
}

// updatePairs changes the pairs of a key, which are cleared first if the update says so.
func updatePairs(tx *bolt.Tx, key string, update PairUpdate) error {
	if !update.Clear && len(update.Ops) == 0 {
		return nil
	}
	all := tx.Bucket(bucketPairs)
	if update.Clear && all.Bucket([]byte(key)) != nil {
		if err := all.DeleteBucket([]byte(key)); err != nil {
			return err
		}
	}
	pairs, err := all.CreateBucketIfNotExists([]byte(key))
	if err != nil {
		return err
	}
	return putPairs(pairs, update.Ops)
}

// putPairs writes pairs; one with an empty value is deleted.
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
