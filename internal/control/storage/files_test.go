package storage_test

import (
	"io/fs"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	bolt "go.etcd.io/bbolt"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
)

var errEnded = errors.New("the simulated process has ended")

// losingFiles is a file system on which losePower removes each new file or folder whose parent was not synced after its creation.
type losingFiles struct {
	unsynced []string
	// operationsLeft is the number of operations before the process ends. If it is negative, the process does not end.
	operationsLeft int
	// ignoresSyncs turns SyncFolder into a no-op.
	ignoresSyncs bool
}

// countOperation returns errEnded once the process has no operations left.
func (f *losingFiles) countOperation() error {
	if f.operationsLeft == 0 {
		return errEnded
	}
	f.operationsLeft--
	return nil
}

func (f *losingFiles) Exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func (f *losingFiles) MakeFolder(path string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	f.unsynced = append(f.unsynced, path)
	return os.Mkdir(path, 0o755)
}

func (f *losingFiles) SyncFolder(path string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	var stillUnsynced []string
	for _, entry := range f.unsynced {
		if f.ignoresSyncs || filepath.Dir(entry) != path {
			stillUnsynced = append(stillUnsynced, entry)
		}
	}
	f.unsynced = stillUnsynced
	return nil
}

func (f *losingFiles) OpenFile(path string, flag int, mode fs.FileMode) (*os.File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	if !f.Exists(path) {
		f.unsynced = append(f.unsynced, path)
	}
	return os.OpenFile(path, flag, mode)
}

func (f *losingFiles) Size(path string) (int64, error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) {
		return -1, nil
	}
	return info.Size(), err
}

func (f *losingFiles) Remove(path string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	return os.Remove(path)
}

// losePower removes all files and folders whose parent was not synced.
func (f *losingFiles) losePower() {
	for _, entry := range f.unsynced {
		Expect(os.RemoveAll(entry)).To(Succeed())
	}
	f.unsynced = nil
}

var _ = Describe("the store's files after a loss of power", func() {
	var folder string
	BeforeEach(func() { folder = filepath.Join(GinkgoT().TempDir(), "var", "lib", "keys") })

	promiseAndLosePower := func(files *losingFiles) (before string, after *storage.Store) {
		store, err := storage.Open(folder, storage.WithFiles(files))
		Expect(err).NotTo(HaveOccurred())
		Expect(write(store, storage.Write{Key: "k", Epoch: 3, Promise: true}).Taken).To(BeTrue())
		Expect(store.Close()).To(Succeed())
		files.losePower()
		after, err = storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { after.Close() })
		return store.Disk(), after
	}

	It("include the promise and all new folders", func() {
		before, after := promiseAndLosePower(&losingFiles{operationsLeft: -1})
		Expect(after.Disk()).To(Equal(before))
		states, err := after.ReplicaStates()
		Expect(err).NotTo(HaveOccurred())
		Expect(states["k"].Promised).To(Equal(uint64(3)))
	})

	It("are lost if the folders were not synced", func() {
		before, after := promiseAndLosePower(&losingFiles{operationsLeft: -1, ignoresSyncs: true})
		Expect(after.Disk()).NotTo(Equal(before))
	})

	It("include the promise if an earlier process ended at any operation of its first Open", func() {
		for count := range 20 {
			folder = filepath.Join(GinkgoT().TempDir(), "var", "lib", "keys")
			files := &losingFiles{operationsLeft: count}
			if store, err := storage.Open(folder, storage.WithFiles(files)); err == nil {
				Expect(store.Close()).To(Succeed())
			}
			files.operationsLeft = -1
			before, after := promiseAndLosePower(files)
			Expect(after.Disk()).To(Equal(before), "the first process ended after %d operations", count)
		}
	})

	It("are not opened if a step of Open fails, and the error names the step", func() {
		_, err := storage.Open(folder, storage.WithFiles(&losingFiles{operationsLeft: 2}))
		Expect(err).To(MatchError(ContainSubstring("syncing " + filepath.Dir(filepath.Dir(filepath.Dir(folder))))))
	})
})

// A transaction whose sync failed may be in the file or not. If the store answered a later write without another sync, a loss of power could
// remove that write and the failed transaction.
var _ = Describe("a failed transaction", func() {
	It("is followed by another sync and a successful transaction before the next write is answered", func() {
		var failures, attempts int
		isWritten := true
		update := func(run func(func(tx *bolt.Tx) error) error, transaction func(tx *bolt.Tx) error) error {
			attempts++
			if failures == 0 {
				return run(transaction)
			}
			failures--
			if isWritten {
				Expect(run(transaction)).To(Succeed())
			}
			return errors.New("the sync failed")
		}
		store, err := storage.Open(GinkgoT().TempDir(), storage.WithUpdate(update))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { store.Close() })
		first := storage.Write{Key: "k", Epoch: 1, Changes: []wire.Change{change(1, 1, "a", "1")}}

		By("the failed transaction is in the file")
		failures = 1
		outcome := write(store, first)
		Expect(outcome.Err).To(MatchError(ContainSubstring("the sync failed")))
		Expect(outcome.Taken).To(BeFalse())
		attempts = 0
		Expect(write(store, first).State.Last).To(Equal(at(1, 1)))
		Expect(attempts).To(Equal(2))

		By("the failed transaction is not in the file, and the store fails again while it resolves the first failure")
		isWritten = false
		failures = 2
		second := storage.Write{Key: "k", Epoch: 1, Prev: at(1, 1), Changes: []wire.Change{change(1, 2, "b", "2")}}
		Expect(write(store, second).Err).To(HaveOccurred())
		Expect(write(store, second).Err).To(HaveOccurred())
		Expect(write(store, second).Taken).To(BeTrue())
	})
})
