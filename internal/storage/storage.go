// Package storage keeps the replicas of control keys on disk; one goroutine writes.
package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
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
	Prev     peerapi.LogPosition
	Changes  []peerapi.Change
	Snapshot *peerapi.Snapshot
	Promise  bool
}

type Outcome struct {
	Taken bool
	Head  ReplicaState
	Err   error
}

type job struct {
	write Write
	done  func(Outcome)
}

type Store struct {
	db   *bolt.DB
	disk string
	bare bool
	jobs chan job
	over chan struct{}

	clock pulse.Pulse
}

// Open makes the folder's file if there is none, and names the disk at random then.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Annotate(err, "making the data directory")
	}
	db, err := bolt.Open(filepath.Join(folder, "keys.db"), 0o600, &bolt.Options{
		NoFreelistSync: true, FreelistType: bolt.FreelistMapType, InitialMmapSize: 16 << 20, Timeout: time.Second})
	if err != nil {
		return nil, errors.Annotate(err, "opening keys.db")
	}
	db.MaxBatchDelay = 0
	store := &Store{db: db, jobs: make(chan job, 4096), over: make(chan struct{}), clock: pulse.Real()}
	if err := store.prepare(); err != nil {
		return nil, errors.Annotate(err, "preparing keys.db")
	}
	go store.run()
	return store, nil
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
		s.disk, s.bare = hex.EncodeToString(name[:]), true
		return meta.Put(nameDisk, []byte(s.disk))
	})
}

func (s *Store) Disk() string { return s.disk }

// Bare tells whether the disk was empty when it was opened.
func (s *Store) Bare() bool { return s.bare }

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
	began := s.clock.Steady()
	var recordBytes int
	var pages bolt.TxStats
	err := s.db.Update(func(tx *bolt.Tx) error {
		tx.OnCommit(func() { pages = tx.Stats() })
		for place, one := range batch {
			outcome, err := apply(tx, one.write)
			if err != nil {
				return err
			}
			outcomes[place] = outcome
			if outcome.Taken {
				recordBytes += one.write.recordBytes()
			}
		}
		return nil
	})
	commitSeconds.Observe(s.clock.Steady() - began)
	transactions.Inc()
	writes.Add(len(batch))
	recordBytesTotal.Add(recordBytes)
	pageBytesTotal.AddInt64(pages.GetPageAlloc())
	for place, one := range batch {
		if err != nil {
			outcomes[place] = Outcome{Err: errors.Annotate(err, "syncing keys")}
		}
		one.done(outcomes[place])
	}
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
	text, err := easyjson.Marshal(outcome.Head)
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

func putAll(pairs *bolt.Bucket, ops []peerapi.Op) error {
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

func (s *Store) Heads() (map[string]ReplicaState, error) {
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
func (s *Store) Read(key string) (peerapi.Snapshot, error) {
	var whole peerapi.Snapshot
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
			whole.Pairs = append(whole.Pairs, peerapi.Op{Name: string(name), Value: bytes.Clone(value)})
			return nil
		})
	})
	return whole, errors.Annotatef(err, "reading the pairs of %s", key)
}
