package storage

import bolt "go.etcd.io/bbolt"

// WithUpdate lets a test stand between the store and its transactions.
func WithUpdate(update func(run func(func(tx *bolt.Tx) error) error, transaction func(tx *bolt.Tx) error) error) Option {
	return func(s *Store) {
		s.update = func(transaction func(tx *bolt.Tx) error) error { return update(s.db.Update, transaction) }
	}
}

// WithSync lets a test stand between the store and the syncs that are no part of a transaction.
func WithSync(sync func(run func() error) error) Option {
	return func(s *Store) { s.sync = func() error { return sync(s.db.Sync) } }
}

// WithoutRealSyncs has transactions not wait for the disk of the machine that runs a test which plays the syncs itself.
func WithoutRealSyncs() Option {
	return func(s *Store) {
		update := s.update
		s.update = func(transaction func(tx *bolt.Tx) error) error {
			s.db.NoSync = true
			return update(transaction)
		}
	}
}

// WithInitialMap maps so much of the file at once, so that a small one already grows.
func WithInitialMap(bytes int) Option { return func(s *Store) { s.initialMapBytes = bytes } }
