package storage

import (
	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
)

// SetRetiring records permanently that the disk is being emptied. It returns after the sync.
func (s *Store) SetRetiring() error {
	return errors.Annotate(s.putMeta(recordRetiring, []byte("1")), "recording that the disk is being emptied")
}

// IsRetiring reports whether the disk is being emptied.
func (s *Store) IsRetiring() (bool, error) {
	var isRetiring bool
	err := s.db.View(func(tx *bolt.Tx) error {
		isRetiring = tx.Bucket(bucketMeta).Get(recordRetiring) != nil
		return nil
	})
	return isRetiring, errors.Annotate(err, "reading whether the disk is being emptied")
}
