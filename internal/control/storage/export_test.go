package storage

import bolt "go.etcd.io/bbolt"

// WithUpdate lets a test stand between the store and its transactions.
func WithUpdate(update func(run func(func(tx *bolt.Tx) error) error, transaction func(tx *bolt.Tx) error) error) Option {
	return func(s *Store) {
		s.update = func(transaction func(tx *bolt.Tx) error) error { return update(s.db.Update, transaction) }
	}
}
