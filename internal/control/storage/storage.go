// Package storage keeps the replicas of keys on a disk, in one bbolt file. The file has these buckets:
//
//   - meta: the random name of the disk, the addresses of peers, and the configuration that was last in force here
//   - heads: the ReplicaState of each replica, by key
//   - pairs: a bucket for each key, with the values by their names
//
// One goroutine writes, many writes in one sync, and answers each write after the sync. Decide is the only place that tells
// whether a replica takes a write; everything else carries its decision out.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/platform/clock"
)

// The names of buckets and of records in them; they are on the disks of earlier versions too.
var (
	bucketMeta          = []byte("meta")
	bucketReplicaStates = []byte("heads")
	bucketPairs         = []byte("pairs")
	recordDisk          = []byte("disk")
	recordPeers         = []byte("peers")
	recordConfiguration = []byte("configuration")
	recordRetiring      = []byte("retiring")
)

const (
	// dataFile is the name of the file in the data directory.
	dataFile = "keys.db"
	// initialMapBytes is mapped at once, so that the file seldom has to be mapped anew while it grows.
	initialMapBytes = 16 << 20
	// fileLockTimeout is how long another process may still hold the file.
	fileLockTimeout = time.Second
	// maxQueuedWrites is how many writes may wait for the store's goroutine before Submit blocks.
	maxQueuedWrites = 4096
	diskNameBytes   = 8
)

// Store holds the replicas of one disk in a file.
type Store struct {
	db    *bolt.DB
	disk  string
	isNew bool
	queue chan queuedWrite
	// closed is closed when the store's goroutine has ended.
	closed chan struct{}

	clock clock.Clock
	files Files
	// update runs a transaction of the file, sync makes all that was written to it durable.
	update func(func(tx *bolt.Tx) error) error
	sync   func() error
	// isUnclear is set while a transaction has failed that may nevertheless be in the file; only the store's goroutine uses it.
	isUnclear bool
	// initialMapBytes is how much of the file is mapped at once.
	initialMapBytes int
}

// Option changes how a store is opened.
type Option func(*Store)

// WithFiles opens the store on another file system; tests use it to lose what was not synced.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// Open makes the folder's file if there is none, and names the disk at random then. When it returns, the file, its
// folder and all folders that were made for it outlast a loss of power. Errors name the step and the folder.
func Open(folder string, options ...Option) (*Store, error) {
	store := &Store{queue: make(chan queuedWrite, maxQueuedWrites), closed: make(chan struct{}), clock: clock.System(), files: osFiles{},
		initialMapBytes: initialMapBytes}
	for _, option := range options {
		option(store)
	}
	if err := store.openFile(folder); err != nil {
		return nil, err
	}
	go store.run()
	return store, nil
}

// openFile opens the data file, makes it if there is none, and syncs the folder, as a new file may else be lost with a
// power failure.
func (s *Store) openFile(folder string) error {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return errors.Annotate(err, "finding the data directory")
	}
	if err := makeFolders(s.files, folder); err != nil {
		return err
	}
	path := filepath.Join(folder, dataFile)
	if err := discardUnused(s.files, path); err != nil {
		return err
	}
	s.db, err = bolt.Open(path, 0o600, &bolt.Options{NoFreelistSync: true,
		FreelistType: bolt.FreelistMapType, InitialMmapSize: s.initialMapBytes, Timeout: fileLockTimeout, OpenFile: s.files.OpenFile})
	if err != nil {
		return errors.Annotatef(err, "opening %s", dataFile)
	}
	s.db.MaxBatchDelay = 0
	if s.update == nil {
		s.update = s.db.Update
	}
	if s.sync == nil {
		s.sync = s.db.Sync
	}
	if err = s.prepare(); err != nil {
		err = errors.Annotatef(err, "preparing %s", dataFile)
	} else {
		err = errors.Annotatef(s.files.SyncFolder(folder), "syncing %s", folder)
	}
	if err != nil {
		s.db.Close()
	}
	return err
}

// prepare makes the buckets, and reads the disk's name or makes one. Where all of it is there, the transaction writes no pages, so that
// its first sync makes durable whatever an earlier process left unsynced, before any page is used again.
func (s *Store) prepare() error {
	return s.update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		for _, name := range [][]byte{bucketReplicaStates, bucketPairs} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		if disk := meta.Get(recordDisk); disk != nil {
			s.disk = string(disk)
			return nil
		}
		var name [diskNameBytes]byte
		if _, err := rand.Read(name[:]); err != nil {
			return err
		}
		s.disk, s.isNew = hex.EncodeToString(name[:]), true
		return meta.Put(recordDisk, []byte(s.disk))
	})
}

// Disk is the random name that the disk got when its file was made, in hexadecimal.
func (s *Store) Disk() string { return s.disk }

// IsNew tells whether the disk was empty when it was opened.
func (s *Store) IsNew() bool { return s.isNew }

// Close writes what was submitted and closes the file; nothing may be submitted afterwards.
func (s *Store) Close() error {
	close(s.queue)
	<-s.closed
	return s.db.Close()
}
