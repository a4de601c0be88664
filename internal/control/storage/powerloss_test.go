package storage_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
)

// lossesInCI is the number of power losses that CI simulates. The environment variable STORAGE_LOSSES overrides it.
const lossesInCI = 1000

func readLossCount() int {
	if count, err := strconv.Atoi(os.Getenv("STORAGE_LOSSES")); err == nil {
		return count
	}
	return lossesInCI
}

// injectedFault is a fault of the store that the simulation has to find.
type injectedFault int

const (
	noFault injectedFault = iota
	// answersBeforeSync treats each write as answered, even if its transaction was not synced.
	answersBeforeSync
	// ignoresMetaChecksum accepts a meta page with a wrong checksum.
	ignoresMetaChecksum
	// skipsSyncAfterFailure skips the sync that the store makes after a failed transaction.
	skipsSyncAfterFailure
)

// lossSimulation runs one process after another on a disk. Each process ends by a loss of power or a kill, and syncs may fail.
type lossSimulation struct {
	random *rand.Rand
	fault  injectedFault
	file   *lossyFile
	// disk is the name of the disk. It is empty until an Open has succeeded.
	disk string
	// answered is the state after the last answered write. unanswered is the write in flight, or nil if there is none. inFlight is the state
	// after that write.
	answered   wire.Snapshot
	unanswered *storage.Write
	inFlight   wire.Snapshot
	epoch      uint64
	losses     int
}

func newLossSimulation(seed uint64, fault injectedFault) *lossSimulation {
	return &lossSimulation{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, file: &lossyFile{acceptsTornMetas: fault == ignoresMetaChecksum}}
}

const (
	// errProcessEnded is the error of each transaction and sync after the simulated process has ended.
	errProcessEnded = errors.ConstError("the simulated process has ended")
	errSyncFailed   = errors.ConstError("the sync failed")
)

// runProcess starts a process on the disk, lets it write for a while and ends it. An error describes a violation of durability.
func (s *lossSimulation) runProcess() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("the file is corrupt: %v", cause)
		}
	}()
	folder, err := os.MkdirTemp("", "loss")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	if s.file.size > 0 {
		if err := os.WriteFile(filepath.Join(folder, dataFile), s.file.cached(), 0o600); err != nil {
			return err
		}
	}
	process := &lossProcess{simulation: s, folder: folder, transactionsLeft: s.random.IntN(12), moment: commitMoment(s.random.IntN(int(commitMoments)))}
	store, err := storage.Open(folder, storage.WithUpdate(process.update), storage.WithoutRealSyncs(),
		storage.WithSync(process.sync), storage.WithInitialMap(pageBytes))
	if process.hasEnded || errors.Is(err, errSyncFailed) {
		return nil
	}
	if err != nil {
		return err
	}
	defer store.Close()
	if err := s.check(store); err != nil {
		return err
	}
	for !process.hasEnded {
		s.writeOnce(store)
	}
	return nil
}

// writeOnce submits a write and records whether it was answered. It repeats an unanswered write, as a leader does.
func (s *lossSimulation) writeOnce(store *storage.Store) {
	if s.unanswered == nil {
		next := s.drawWrite()
		s.unanswered, s.inFlight = &next, applyWrite(s.answered, next)
	}
	outcome := write(store, *s.unanswered)
	if outcome.Err == nil || s.fault == answersBeforeSync {
		s.answered, s.unanswered = s.inFlight, nil
	}
}

// drawWrite returns a random change of some pairs, or a snapshot that replaces all pairs. The values are large enough to make the file grow
// now and then.
func (s *lossSimulation) drawWrite() storage.Write {
	if s.random.IntN(10) == 0 {
		s.epoch++
	}
	position := wire.LogPosition{Epoch: s.epoch, Index: s.answered.Last.Index + 1}
	if s.random.IntN(12) == 0 {
		s.epoch++
		position.Epoch = s.epoch
		return storage.Write{Key: "k", Epoch: s.epoch, Snapshot: &wire.Snapshot{Last: position, Pairs: s.ops(s.random.IntN(30))}}
	}
	return storage.Write{Key: "k", Epoch: s.epoch, Prev: s.answered.Last, Changes: []wire.Change{{Position: position, Ops: s.ops(1 + s.random.IntN(8))}}}
}

func (s *lossSimulation) ops(count int) []wire.Op {
	var ops []wire.Op
	for range count {
		value := make([]byte, s.random.IntN(400))
		for index := range value {
			value[index] = byte(s.random.IntN(256))
		}
		ops = append(ops, wire.Op{Name: fmt.Sprintf("r/%03d", s.random.IntN(120)), Value: value})
	}
	return ops
}

// applyWrite returns the state after a write.
func applyWrite(state wire.Snapshot, write storage.Write) wire.Snapshot {
	pairs := map[string][]byte{}
	put := func(ops []wire.Op) {
		for _, op := range ops {
			pairs[op.Name] = op.Value
			if len(op.Value) == 0 {
				delete(pairs, op.Name)
			}
		}
	}
	last := state.Last
	if write.Snapshot != nil {
		put(write.Snapshot.Pairs)
		last = write.Snapshot.Last
	} else {
		put(state.Pairs)
	}
	for _, change := range write.Changes {
		put(change.Ops)
		last = change.Position
	}
	return wire.Snapshot{Last: last, Pairs: sortPairs(pairs)}
}

// check compares the contents of the store with the answered writes. The store must hold either the answered state or the state after the
// write in flight. In the first case the write in flight is either dropped or repeated, at random.
func (s *lossSimulation) check(store *storage.Store) error {
	if s.disk != "" && store.Disk() != s.disk {
		return errors.Errorf("the name of the disk has changed: %s instead of %s", store.Disk(), s.disk)
	}
	s.disk = store.Disk()
	found, err := store.Read("k")
	if err != nil {
		return err
	}
	isInFlight := s.unanswered != nil && isSameState(found, s.inFlight)
	if !isSameState(found, s.answered) && !isInFlight {
		return errors.Errorf("after %d losses: found %v with %d records, answered %v with %d, in flight: %t", s.losses, found.Last, len(found.Pairs),
			s.answered.Last, len(s.answered.Pairs), s.unanswered != nil)
	}
	if isInFlight || s.random.IntN(2) == 0 {
		s.answered, s.unanswered = found, nil
	}
	return nil
}

// lossProcess is one process of the store. It ends during or after one of its transactions.
type lossProcess struct {
	simulation *lossSimulation
	folder     string
	// transactionsLeft is the number of transactions before the last one. The process ends at the given moment of the last one.
	transactionsLeft int
	moment           commitMoment
	hasEnded         bool
}

// update simulates a transaction. It runs the transaction on the real file and then repeats its steps on the lossy file, up to the moment at
// which the process ends or the sync fails.
func (p *lossProcess) update(run func(func(tx *bolt.Tx) error) error, transaction func(tx *bolt.Tx) error) error {
	if p.hasEnded {
		return errProcessEnded
	}
	file, random := p.simulation.file, p.simulation.random
	before := readDataFile(p.folder)
	p.simulateFileCreation(before)
	if p.hasEnded {
		return errProcessEnded
	}
	if err := run(transaction); err != nil {
		return err
	}
	steps := diffSteps(before, readDataFile(p.folder))
	if p.transactionsLeft > 0 {
		p.transactionsLeft--
		if random.IntN(8) == 0 {
			return p.failSync(steps)
		}
		steps.apply(file, afterCommit, random)
		return nil
	}
	steps.apply(file, p.moment, random)
	p.end()
	if p.moment == afterCommit {
		return nil
	}
	return errProcessEnded
}

// simulateFileCreation repeats on the lossy file the four pages that bbolt writes into a new file. The process may end before their sync.
func (p *lossProcess) simulateFileCreation(image []byte) {
	file := p.simulation.file
	if file.size > 0 {
		return
	}
	file.size = len(image)
	for offset := 0; offset < len(image); offset += pageBytes {
		file.pending = append(file.pending, pageWrite{offset, image[offset : offset+pageBytes]})
	}
	if p.transactionsLeft == 0 && p.simulation.random.IntN(3) == 0 {
		p.end()
		return
	}
	file.sync()
}

// failSync simulates a transaction whose last sync fails: its meta page is in the file but not durable.
func (p *lossProcess) failSync(steps commitSteps) error {
	steps.apply(p.simulation.file, whileWritingMeta, p.simulation.random)
	return errSyncFailed
}

// sync simulates a sync outside a transaction.
func (p *lossProcess) sync(run func() error) error {
	switch {
	case p.hasEnded:
		return errProcessEnded
	case p.simulation.fault == skipsSyncAfterFailure:
		return nil
	}
	p.simulation.file.sync()
	return run()
}

// end ends the process by a loss of power or by a kill. A kill leaves the file as the process saw it.
func (p *lossProcess) end() {
	p.hasEnded = true
	if p.simulation.random.IntN(3) > 0 {
		p.simulation.losses++
		p.simulation.file.losePower(p.simulation.random)
	}
}

// simulateLosses runs simulations with different seeds until the given number of power losses is reached, and returns the first error.
func simulateLosses(losses int, fault injectedFault) error {
	for seed := uint64(1); losses > 0; seed++ {
		simulation := newLossSimulation(seed, fault)
		for range 40 {
			if err := simulation.runProcess(); err != nil {
				return errors.Annotatef(err, "seed %d", seed)
			}
		}
		losses -= simulation.losses
	}
	return nil
}

var _ = Describe("the store on a disk that loses unsynced writes", func() {
	It("holds all answered writes after power losses, kills and failed syncs", func() {
		Expect(simulateLosses(readLossCount(), noFault)).To(Succeed())
	})
})
