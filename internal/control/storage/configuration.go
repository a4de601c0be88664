package storage

import (
	"bytes"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
)

// SaveConfiguration keeps a committed configuration, so that this process knows it at its next start before any leader is elected. It is
// no replica of the configuration's key. It returns after the sync.
func (s *Store) SaveConfiguration(committed *wire.Configuration) error {
	text, err := easyjson.Marshal(committed)
	if err != nil {
		return errors.Annotatef(err, "writing version %d of the configuration", committed.Version)
	}
	return errors.Annotatef(s.putMeta(recordConfiguration, text), "keeping version %d of the configuration", committed.Version)
}

// Configuration gives the configuration that was saved last, nil on a disk that has none.
func (s *Store) Configuration() (*wire.Configuration, error) {
	var text []byte
	err := s.db.View(func(tx *bolt.Tx) error {
		text = bytes.Clone(tx.Bucket(bucketMeta).Get(recordConfiguration))
		return nil
	})
	if err != nil || len(text) == 0 {
		return nil, errors.Annotate(err, "reading the saved configuration")
	}
	saved := &wire.Configuration{}
	if err := easyjson.Unmarshal(text, saved); err != nil {
		return nil, errors.Annotate(err, "decoding the saved configuration")
	}
	return saved, nil
}
