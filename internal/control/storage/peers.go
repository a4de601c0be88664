package storage

import (
	"strings"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
)

// SavePeers stores the control addresses of other stewards, the best known first. It returns after the sync.
func (s *Store) SavePeers(addresses []string) error {
	return errors.Annotate(s.putMeta(recordPeers, []byte(strings.Join(addresses, "\n"))), "saving the addresses of peers")
}

// putMeta writes a record of the meta bucket, which belongs to no key. It returns after the sync.
func (s *Store) putMeta(record, value []byte) error {
	outcomes := make(chan Outcome, 1)
	put := func(tx *bolt.Tx) (Outcome, error) {
		return Outcome{Taken: true}, tx.Bucket(bucketMeta).Put(record, value)
	}
	s.queue <- queuedWrite{apply: put, done: func(outcome Outcome) { outcomes <- outcome }}
	outcome := <-outcomes
	return outcome.Err
}

// Peers returns the addresses that were saved last. On a new disk there are none.
func (s *Store) Peers() ([]string, error) {
	var addresses []string
	err := s.db.View(func(tx *bolt.Tx) error {
		if text := tx.Bucket(bucketMeta).Get(recordPeers); len(text) > 0 {
			addresses = strings.Split(string(text), "\n")
		}
		return nil
	})
	return addresses, errors.Annotate(err, "reading the addresses of peers")
}
