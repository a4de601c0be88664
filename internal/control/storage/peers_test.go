package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/storage"
)

var _ = Describe("the addresses of peers", func() {
	It("are empty on a new disk, and are kept when the process ends", func() {
		folder := GinkgoT().TempDir()
		store, err := storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Peers()).To(BeEmpty())
		Expect(store.SavePeers([]string{"10.0.0.1:1", "10.0.0.2:1"})).To(Succeed())
		Expect(store.Close()).To(Succeed())
		store, err = storage.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		Expect(store.Peers()).To(Equal([]string{"10.0.0.1:1", "10.0.0.2:1"}))
	})
})
