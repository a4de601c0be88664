package storage

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
)

// readState returns the state of a key's replica, or an empty state if the disk has no replica of the key.
func readState(states *bolt.Bucket, key string) (ReplicaState, error) {
	record := states.Get([]byte(key))
	if record == nil {
		return ReplicaState{}, nil
	}
	return decodeState(record)
}

// decodeState decodes a record of a replica's state. It decodes a copy, because the record lies in the mapped file, which is valid only
// during the transaction.
func decodeState(record []byte) (state ReplicaState, err error) {
	err = easyjson.Unmarshal(bytes.Clone(record), &state)
	return state, err
}

// ReplicaStates returns the states of all replicas on the disk, by key. Any goroutine may call it.
func (s *Store) ReplicaStates() (map[string]ReplicaState, error) {
	all := map[string]ReplicaState{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketReplicaStates).ForEach(func(key, record []byte) error {
			state, err := decodeState(record)
			if err != nil {
				return errors.Annotatef(err, "decoding the replica state of key %s", key)
			}
			all[string(key)] = state
			return nil
		})
	})
	return all, errors.Annotate(err, "reading the states of replicas")
}

// Read returns the state of a key's replica with all pairs. After a failed transaction this may include writes that are not durable yet. Any
// goroutine may call Read.
func (s *Store) Read(key string) (wire.Snapshot, error) {
	var snapshot wire.Snapshot
	err := s.db.View(func(tx *bolt.Tx) error {
		state, err := readState(tx.Bucket(bucketReplicaStates), key)
		if err != nil {
			return err
		}
		snapshot.Last, snapshot.Voters = state.Last, state.Voters
		pairs := tx.Bucket(bucketPairs).Bucket([]byte(key))
		if pairs == nil {
			return nil
		}
		return pairs.ForEach(func(name, value []byte) error {
			snapshot.Pairs = append(snapshot.Pairs, wire.Op{Name: string(name), Value: bytes.Clone(value)})
			return nil
		})
	})
	return snapshot, errors.Annotatef(err, "reading the replica of key %s", key)
}
