package storage_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/metrics"
)

func write(store *storage.Store, request storage.Write) storage.Outcome {
	outcomes := make(chan storage.Outcome, 1)
	store.Submit(request, func(outcome storage.Outcome) { outcomes <- outcome })
	return <-outcomes
}

func at(epoch, index uint64) wire.LogPosition {
	return wire.LogPosition{Epoch: epoch, Index: index}
}

func change(epoch, index uint64, name, value string) wire.Change {
	return wire.Change{Position: at(epoch, index), Ops: []wire.Op{{Name: name, Value: []byte(value)}}}
}

var _ = Describe("the store", func() {
	var folder string
	var store *storage.Store
	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		opened, err := storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		store = opened
	})
	AfterEach(func() { Expect(store.Close()).To(Succeed()) })

	It("keeps the disk name, promises and pairs when it is reopened", func() {
		Expect(store.IsNew()).To(BeTrue())
		disk := store.Disk()
		Expect(write(store, storage.Write{Key: "k", Epoch: 3, Promise: true}).Taken).To(BeTrue())
		Expect(write(store, storage.Write{Key: "k", Epoch: 3, Changes: []wire.Change{change(3, 1, "a", "1")}}).Taken).To(BeTrue())
		Expect(store.Close()).To(Succeed())
		reopened, err := storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		store = reopened
		Expect(store.Disk()).To(Equal(disk))
		Expect(store.IsNew()).To(BeFalse())
		state, err := store.Read("k")
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Last).To(Equal(at(3, 1)))
		Expect(string(state.Pairs[0].Value)).To(Equal("1"))
	})

	It("refuses a stale epoch, a second promise for an epoch, and a change that does not continue the log", func() {
		write(store, storage.Write{Key: "k", Epoch: 3, Promise: true})
		Expect(write(store, storage.Write{Key: "k", Epoch: 3, Promise: true}).Taken).To(BeFalse())
		Expect(write(store, storage.Write{Key: "k", Epoch: 2, Changes: []wire.Change{change(2, 1, "a", "1")}}).Taken).To(BeFalse())
		Expect(write(store, storage.Write{Key: "k", Epoch: 3, Prev: at(3, 7), Changes: []wire.Change{change(3, 8, "a", "1")}}).Taken).To(BeFalse())
	})

	It("replaces all pairs by a snapshot, and deletes pairs with an empty value", func() {
		write(store, storage.Write{Key: "k", Epoch: 1, Changes: []wire.Change{change(1, 1, "old", "1")}})
		snapshot := &wire.Snapshot{Last: at(2, 9), Pairs: []wire.Op{{Name: "new", Value: []byte("2")}}}
		Expect(write(store, storage.Write{Key: "k", Epoch: 2, Snapshot: snapshot}).Taken).To(BeTrue())
		Expect(write(store, storage.Write{Key: "k", Epoch: 2, Prev: at(2, 9), Changes: []wire.Change{change(2, 10, "new", "")}}).Taken).To(BeTrue())
		state, _ := store.Read("k")
		Expect(state.Pairs).To(BeEmpty())
		Expect(state.Last).To(Equal(at(2, 10)))
	})

	It("counts its transactions, writes and bytes", func() {
		before := metrics.Own()
		write(store, storage.Write{Key: "k", Epoch: 1, Changes: []wire.Change{change(1, 1, "name", "value")}})
		write(store, storage.Write{Key: "k", Epoch: 0, Changes: []wire.Change{change(0, 2, "old", "value")}})
		snapshot := &wire.Snapshot{Last: at(2, 9), Pairs: []wire.Op{{Name: "a", Value: []byte("2")}}}
		write(store, storage.Write{Key: "k", Epoch: 2, Snapshot: snapshot})
		own := metrics.Own()
		since := func(name string) float64 { return own["gannetline_store_"+name] - before["gannetline_store_"+name] }
		Expect(since("transactions_total")).To(Equal(3.0))
		Expect(since("writes_total")).To(Equal(3.0))
		Expect(since("commit_seconds_count")).To(Equal(3.0))
		Expect(since("record_bytes_total")).To(Equal(float64(len("name" + "value" + "a" + "2"))))
		Expect(since("page_bytes_total")).To(BeNumerically(">=", 3*4096))
	})

	It("names the data directory in the error if it can't create the directory", func() {
		path := filepath.Join(folder, "file")
		Expect(os.WriteFile(path, nil, 0o600)).To(Succeed())
		_, err := storage.Open(filepath.Join(path, "below"))
		Expect(err).To(MatchError(ContainSubstring("data directory")))
	})
})

var _ = Describe("a snapshot", func() {
	It("is refused if it is older than the replica, whatever its epoch", func() {
		current := storage.ReplicaState{Promised: 3, Last: at(2, 9)}
		for _, last := range []wire.LogPosition{at(2, 8), at(1, 20), {}} {
			outcome, _ := storage.Decide(current, storage.Write{Key: "k", Epoch: 4, Snapshot: &wire.Snapshot{Last: last}})
			Expect(outcome).To(Equal(storage.Outcome{State: current}))
		}
		for _, last := range []wire.LogPosition{at(2, 9), at(3, 1)} {
			outcome, _ := storage.Decide(current, storage.Write{Key: "k", Epoch: 4, Snapshot: &wire.Snapshot{Last: last}})
			Expect(outcome.State).To(Equal(storage.ReplicaState{Promised: 4, Last: last}))
		}
	})
})
