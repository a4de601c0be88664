package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/storage"
)

var _ = Describe("the saved configuration", func() {
	It("is nil on a new disk, and is kept when the process ends", func() {
		folder := GinkgoT().TempDir()
		store, err := storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Configuration()).To(BeNil())
		for version := range int64(3) {
			Expect(store.SaveConfiguration(&wire.Configuration{Version: version, Body: []byte(`{"route-list":[]}`)})).To(Succeed())
		}
		Expect(store.Close()).To(Succeed())
		store, err = storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		saved, err := store.Configuration()
		Expect(err).NotTo(HaveOccurred())
		Expect(*saved).To(Equal(wire.Configuration{Version: 2, Body: []byte(`{"route-list":[]}`)}))
		Expect(store.ReplicaStates()).To(BeEmpty(), "the saved configuration is no replica")
	})
})
