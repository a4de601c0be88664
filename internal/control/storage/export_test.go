package storage

import bolt "go.etcd.io/bbolt"

// WithUpdate makes the store run its transactions through update, which gets bbolt's own Update function as run.
func WithUpdate(update func(run func(func(tx *bolt.Tx) error) error, transaction func(tx *bolt.Tx) error) error) Option {
	return func(s *Store) {
		s.update = func(transaction func(tx *bolt.Tx) error) error { return update(s.db.Update, transaction) }
	}
}

// WithSync makes the store run the syncs outside transactions through sync, which gets bbolt's own Sync function as run.
func WithSync(sync func(run func() error) error) Option {
	return func(s *Store) { s.sync = func() error { return sync(s.db.Sync) } }
}

// WithoutRealSyncs turns off the syncs of transactions, for tests that simulate the syncs.
func WithoutRealSyncs() Option {
	return func(s *Store) {
		update := s.update
		s.update = func(transaction func(tx *bolt.Tx) error) error {
			s.db.NoSync = true
			return update(transaction)
		}
	}
}

// WithInitialMap sets the initial size of the memory map. With a small map even small files have to be remapped as they grow.
func WithInitialMap(bytes int) Option { return func(s *Store) { s.initialMapBytes = bytes } }
