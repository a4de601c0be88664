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

var errEnded = errors.New("the process ended here")

// losingFiles is a file system that loses each entry whose folder was not synced after it was made.
type losingFiles struct {
	unsynced []string
	// operationsLeft is how many more operations succeed before the process ends; below zero it never does.
	operationsLeft int
	// ignoresSyncs makes the syncs of folders do nothing.
	ignoresSyncs bool
}

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
	var kept []string
	for _, entry := range f.unsynced {
		if f.ignoresSyncs || filepath.Dir(entry) != path {
			kept = append(kept, entry)
		}
	}
	f.unsynced = kept
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

// losePower takes away what was not synced.
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

	It("keeps a promise, with all folders that were made for it", func() {
		before, after := promiseAndLosePower(&losingFiles{operationsLeft: -1})
		Expect(after.Disk()).To(Equal(before))
		states, err := after.ReplicaStates()
		Expect(err).NotTo(HaveOccurred())
		Expect(states["k"].Promised).To(Equal(uint64(3)))
	})

	It("would lose the replica if the folders were not synced", func() {
		before, after := promiseAndLosePower(&losingFiles{operationsLeft: -1, ignoresSyncs: true})
		Expect(after.Disk()).NotTo(Equal(before))
	})

	It("keeps a promise after an earlier process ended anywhere within its first opening", func() {
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

	It("says which step failed", func() {
		_, err := storage.Open(folder, storage.WithFiles(&losingFiles{operationsLeft: 2}))
		Expect(err).To(MatchError(ContainSubstring("syncing " + filepath.Dir(filepath.Dir(filepath.Dir(folder))))))
	})
})

var _ = Describe("a transaction whose end is unclear", func() {
	It("is looked at again before anything is answered on top of it", func() {
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

		By("a transaction that is in the file though its sync failed")
		failures = 1
		outcome := write(store, first)
		Expect(outcome.Err).To(MatchError(ContainSubstring("the sync failed")))
		Expect(outcome.Taken).To(BeFalse())
		attempts = 0
		Expect(write(store, first).State.Last).To(Equal(at(1, 1)))
		Expect(attempts).To(Equal(2))

		By("one that is not, with a second failure while the first is looked into")
		isWritten = false
		failures = 2
		second := storage.Write{Key: "k", Epoch: 1, Prev: at(1, 1), Changes: []wire.Change{change(1, 2, "b", "2")}}
		Expect(write(store, second).Err).To(HaveOccurred())
		Expect(write(store, second).Err).To(HaveOccurred())
		Expect(write(store, second).Taken).To(BeTrue())
	})
})
