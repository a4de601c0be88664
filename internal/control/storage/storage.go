// Package storage keeps the replicas of control keys on disk; one goroutine writes.
package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all head.go

var (
	bucketMeta  = []byte("meta")
	bucketHeads = []byte("heads")
	bucketPairs = []byte("pairs")
	nameDisk    = []byte("disk")
)

const mostPerTransaction = 64

// Write is one durable step of a replica: a promise, changes that follow on, or a snapshot.
type Write struct {
	Key      string
	Epoch    uint64
	Prev     wire.LogPosition
	Changes  []wire.Change
	Snapshot *wire.Snapshot
	Promise  bool
}

// Outcome is what came of a write. Where Err is set nothing is known: the write may be on the disk or not, and Head is
// empty; the next outcome without an error shows what the replica holds.
type Outcome struct {
	Taken bool
	State ReplicaState
	Err   error
}

type job struct {
	write Write
	done  func(Outcome)
}

// Store holds the replicas of one disk in a file. One goroutine writes, many writes in one sync.
type Store struct {
	db    *bolt.DB
	disk  string
	isNew bool
	jobs  chan job
	over  chan struct{}

	clock clock.Clock
	files Files
	// update runs a transaction of the file.
	update func(func(tx *bolt.Tx) error) error
	// isUnclear is set while a transaction has failed that may nevertheless be in the file.
	isUnclear bool
}

// Option changes how a store is opened.
type Option func(*Store)

// WithFiles opens the store on another file system; tests use it to lose what was not synced.
func WithFiles(files Files) Option { return func(s *Store) { s.files = files } }

// Open makes the folder's file if there is none, and names the disk at random then. When it returns, the file, its
// folder and all folders that were made for it outlast a loss of power. Errors name the step and the folder.
func Open(folder string, options ...Option) (*Store, error) {
	store := &Store{jobs: make(chan job, 4096), over: make(chan struct{}), clock: clock.System(), files: osFiles{}}
	for _, option := range options {
		option(store)
	}
	if err := store.openFile(folder); err != nil {
		return nil, err
	}
	go store.run()
	return store, nil
}

func (s *Store) openFile(folder string) error {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return errors.Annotate(err, "finding the data directory")
	}
	if err := makeFolders(s.files, folder); err != nil {
		return err
	}
	s.db, err = bolt.Open(filepath.Join(folder, dataFile), 0o600, &bolt.Options{NoFreelistSync: true,
		FreelistType: bolt.FreelistMapType, InitialMmapSize: 16 << 20, Timeout: time.Second, OpenFile: s.files.OpenFile})
	if err != nil {
		return errors.Annotatef(err, "opening %s", dataFile)
	}
	s.db.MaxBatchDelay = 0
	if s.update == nil {
		s.update = s.db.Update
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

func (s *Store) prepare() error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		for _, name := range [][]byte{bucketHeads, bucketPairs} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		if disk := meta.Get(nameDisk); disk != nil {
			s.disk = string(disk)
			return nil
		}
		var name [8]byte
		if _, err := rand.Read(name[:]); err != nil {
			return err
		}
		s.disk, s.isNew = hex.EncodeToString(name[:]), true
		return meta.Put(nameDisk, []byte(s.disk))
	})
}

// Disk is the random name that the disk got when its file was made.
func (s *Store) Disk() string { return s.disk }

// IsNew tells whether the disk was empty when it was opened.
func (s *Store) IsNew() bool { return s.isNew }

// Close writes what was submitted and closes the file; nothing may be submitted afterwards.
func (s *Store) Close() error {
	close(s.jobs)
	<-s.over
	return s.db.Close()
}

// Submit queues a write; done is called from the store's goroutine after the sync.
func (s *Store) Submit(write Write, done func(Outcome)) {
	s.jobs <- job{write, done}
}

func (s *Store) run() {
	defer close(s.over)
	for first := range s.jobs {
		batch := []job{first}
	gather:
		for len(batch) < mostPerTransaction {
			select {
			case next, isOpen := <-s.jobs:
				if !isOpen {
					break gather
				}
				batch = append(batch, next)
			default:
				break gather
			}
		}
		s.commit(batch)
	}
}

func (s *Store) commit(batch []job) {
	outcomes := make([]Outcome, len(batch))
	began := s.clock.Monotonic()
	var pages bolt.TxStats
	err := s.settle()
	if err == nil {
		err = s.update(func(tx *bolt.Tx) error {
			tx.OnCommit(func() { pages = tx.Stats() })
			return applyAll(tx, batch, outcomes)
		})
	}
	s.isUnclear = err != nil
	commitSeconds.Observe(s.clock.Monotonic() - began)
	transactions.Inc()
	writes.Add(len(batch))
	recordBytesTotal.Add(takenBytes(batch, outcomes))
	pageBytesTotal.AddInt64(pages.GetPageAlloc())
	for place, one := range batch {
		if err != nil {
			outcomes[place] = Outcome{Err: errors.Annotate(err, "syncing keys")}
		}
		one.done(outcomes[place])
	}
}

func applyAll(tx *bolt.Tx, batch []job, outcomes []Outcome) error {
	for place, one := range batch {
		outcome, err := apply(tx, one.write)
		if err != nil {
			return err
		}
		outcomes[place] = outcome
	}
	return nil
}

func takenBytes(batch []job, outcomes []Outcome) int {
	var all int
	for place, one := range batch {
		if outcomes[place].Taken {
			all += one.write.recordBytes()
		}
	}
	return all
}

// settle makes sure, after a failed transaction, that whatever of it is in the file is durable before anything is
// answered on top of it: one more transaction has to succeed.
func (s *Store) settle() error {
	if !s.isUnclear {
		return nil
	}
	return s.update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		return meta.Put(nameDisk, bytes.Clone(meta.Get(nameDisk)))
	})
}

func apply(tx *bolt.Tx, write Write) (Outcome, error) {
	heads := tx.Bucket(bucketHeads)
	head, err := readHead(heads, write.Key)
	if err != nil {
		return Outcome{}, err
	}
	outcome, pairs := Decide(head, write)
	if !outcome.Taken {
		return outcome, nil
	}
	if err := updatePairs(tx, write.Key, pairs); err != nil {
		return Outcome{}, err
	}
	text, err := easyjson.Marshal(outcome.State)
	if err != nil {
		return Outcome{}, err
	}
	return outcome, heads.Put([]byte(write.Key), text)
}

func updatePairs(tx *bolt.Tx, key string, update PairUpdate) error {
	if !update.Clear && len(update.Ops) == 0 {
		return nil
	}
	all := tx.Bucket(bucketPairs)
	if update.Clear && all.Bucket([]byte(key)) != nil {
		if err := all.DeleteBucket([]byte(key)); err != nil {
			return err
		}
	}
	pairs, err := all.CreateBucketIfNotExists([]byte(key))
	if err != nil {
		return err
	}
	return putAll(pairs, update.Ops)
}

func putAll(pairs *bolt.Bucket, ops []wire.Op) error {
	for _, op := range ops {
		if len(op.Value) == 0 {
			if err := pairs.Delete([]byte(op.Name)); err != nil {
				return err
			}
			continue
		}
		if err := pairs.Put([]byte(op.Name), op.Value); err != nil {
			return err
		}
	}
	return nil
}

func readHead(heads *bolt.Bucket, key string) (ReplicaState, error) {
	var head ReplicaState
	text := heads.Get([]byte(key))
	if text == nil {
		return head, nil
	}
	return head, easyjson.Unmarshal(bytes.Clone(text), &head)
}

// ReplicaStates are the states of all replicas on the disk, by key.
func (s *Store) ReplicaStates() (map[string]ReplicaState, error) {
	all := map[string]ReplicaState{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketHeads).ForEach(func(key, text []byte) error {
			var head ReplicaState
			if err := easyjson.Unmarshal(bytes.Clone(text), &head); err != nil {
				return err
			}
			all[string(key)] = head
			return nil
		})
	})
	return all, errors.Annotate(err, "reading heads")
}

// Read gives the whole state of a key as it is on the disk.
func (s *Store) Read(key string) (wire.Snapshot, error) {
	var whole wire.Snapshot
	err := s.db.View(func(tx *bolt.Tx) error {
		head, err := readHead(tx.Bucket(bucketHeads), key)
		if err != nil {
			return err
		}
		whole.Last, whole.Set = head.Last, head.Set
		pairs := tx.Bucket(bucketPairs).Bucket([]byte(key))
		if pairs == nil {
			return nil
		}
		return pairs.ForEach(func(name, value []byte) error {
			whole.Pairs = append(whole.Pairs, wire.Op{Name: string(name), Value: bytes.Clone(value)})
			return nil
		})
	})
	return whole, errors.Annotatef(err, "reading the pairs of %s", key)
}
