// Package storage keeps the replicas of keys on a disk, in one bbolt file. The file has these buckets:
//
//   - meta: the random name of the disk, the addresses of peers, the last committed configuration, and whether the disk is being emptied
//   - heads: the ReplicaState of each replica, by key
//   - pairs: a nested bucket for each key, with the values by name
//
// One goroutine writes. It commits many writes in one transaction with one sync and answers each write after the sync. Decide is the only
// function that decides whether a replica accepts a write. The rest of the package applies its decision.
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

// The names of the buckets and of the records in meta. They are part of the disk format and must not change.
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
	// initialMapBytes is the initial size of the memory map. With a large map a growing file rarely has to be remapped.
	initialMapBytes = 16 << 20
	// fileLockTimeout is how long Open waits for another process to release the file.
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
	// closed is closed when the writing goroutine has ended.
	closed chan struct{}

	clock clock.Clock
	files Files
	// update runs a read-write transaction. sync makes everything that was written to the file durable.
	update func(func(tx *bolt.Tx) error) error
	sync   func() error
	// hasUnclearTransaction is set after a failed transaction, whose pages may nevertheless be in the file. Only the writing goroutine
	// uses it.
	hasUnclearTransaction bool
	// initialMapBytes is the initial size of the memory map.
	initialMapBytes int
}

// Option configures a Store before Open reads the file.
type Option func(*Store)

// WithFiles replaces the file system. Tests use it to simulate a loss of everything that was not synced.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// Open opens the data file in a folder. If there is none, Open creates the folder and the file and gives the disk a random name. When Open
// returns, the file, its folder and all new parent folders are durable. Errors name the step that failed.
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

// openFile opens or creates the data file. It syncs the folder, because a loss of power could otherwise remove a new file.
func (s *Store) openFile(folder string) error {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return errors.Annotate(err, "resolving the path of the data directory")
	}
	if err := makeFolders(s.files, folder); err != nil {
		return err
	}
	path := filepath.Join(folder, dataFile)
	if err := removeUnusedFile(s.files, path); err != nil {
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
	if err = s.initialize(); err != nil {
		err = errors.Annotatef(err, "initializing %s", dataFile)
	} else {
		err = errors.Annotatef(s.files.SyncFolder(folder), "syncing %s", folder)
	}
	if err != nil {
		s.db.Close()
	}
	return err
}

// initialize creates the missing buckets, and reads the name of the disk or generates one. If everything exists already, the transaction
// writes only a meta page. bbolt syncs the file before that, which makes durable what an earlier process left unsynced, before any page is
// reused.
func (s *Store) initialize() error {
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

// Disk returns the hexadecimal random name that the disk got when its file was created.
func (s *Store) Disk() string { return s.disk }

// IsNew reports whether the disk was empty when it was opened.
func (s *Store) IsNew() bool { return s.isNew }

// Close commits the queued writes and closes the file. No write may be submitted afterwards.
func (s *Store) Close() error {
	close(s.queue)
	<-s.closed
	return s.db.Close()
}
