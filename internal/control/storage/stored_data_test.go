package storage_test

import (
	"compress/gzip"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/storage"
	"gannetline/internal/testsupport/golden"
)

// unpackStore unpacks the data file of an earlier version into a new folder and returns the folder.
func unpackStore(packed string) (folder string) {
	folder = GinkgoT().TempDir()
	from, err := os.Open(packed)
	Expect(err).NotTo(HaveOccurred())
	defer from.Close()
	unpacked, err := gzip.NewReader(from)
	Expect(err).NotTo(HaveOccurred())
	to, err := os.Create(filepath.Join(folder, "keys.db"))
	Expect(err).NotTo(HaveOccurred())
	defer to.Close()
	_, err = io.Copy(to, unpacked)
	Expect(err).NotTo(HaveOccurred())
	return folder
}

var _ = Describe("a data file of an earlier version", func() {
	It("is read completely", func() {
		store, err := storage.Open(unpackStore("testdata/store-cb820b6.db.gz"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		Expect(store.IsNew()).To(BeFalse())
		states, err := store.ReplicaStates()
		Expect(err).NotTo(HaveOccurred())
		peers, err := store.Peers()
		Expect(err).NotTo(HaveOccurred())
		var contents strings.Builder
		fmt.Fprintf(&contents, "disk %s\npeers %v\n", store.Disk(), peers)
		for _, key := range slices.Sorted(maps.Keys(states)) {
			state, err := store.Read(key)
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(&contents, "key %s promised %d last %v voters %v\n", key, states[key].Promised, states[key].Last, states[key].Voters)
			Expect(state.Last).To(Equal(states[key].Last))
			for _, pair := range state.Pairs {
				fmt.Fprintf(&contents, "%s\t%s\t%s\n", key, pair.Name, pair.Value)
			}
		}
		Expect(golden.CheckText("testdata/store-contents.txt", contents.String())).To(Succeed())
	})
})
