package storage

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
)

// SaveConfiguration stores a committed configuration, so that this process knows it after a restart even before a leader is elected. The
// record is separate from the replica of the configuration's key. SaveConfiguration returns after the sync.
func (s *Store) SaveConfiguration(committed *wire.Configuration) error {
	encoded, err := easyjson.Marshal(committed)
	if err != nil {
		return errors.Annotatef(err, "encoding version %d of the configuration", committed.Version)
	}
	return errors.Annotatef(s.putMeta(recordConfiguration, encoded), "saving version %d of the configuration", committed.Version)
}

// Configuration returns the configuration that was saved last, or nil if none was saved.
func (s *Store) Configuration() (*wire.Configuration, error) {
	var encoded []byte
	err := s.db.View(func(tx *bolt.Tx) error {
		encoded = bytes.Clone(tx.Bucket(bucketMeta).Get(recordConfiguration))
		return nil
	})
	if err != nil || len(encoded) == 0 {
		return nil, errors.Annotate(err, "reading the saved configuration")
	}
	saved := &wire.Configuration{}
	if err := easyjson.Unmarshal(encoded, saved); err != nil {
		return nil, errors.Annotate(err, "decoding the saved configuration")
	}
	return saved, nil
}
