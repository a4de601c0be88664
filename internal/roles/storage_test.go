package roles

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/settings"
)

func TestRoles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roles")
}

var _ = Describe("the store of a steward", func() {
	var nodeSettings *settings.Settings
	open := func() (*durableState, error) {
		return openStorage(&base{settings: nodeSettings, log: logging.Silent(), clock: clock.NewFake(0)})
	}
	BeforeEach(func() {
		nodeSettings = &settings.Settings{Seeds: []string{"10.0.0.1:1"}}
		nodeSettings.Listen.Control = "10.0.0.1:1"
	})

	It("is in its data directory", func() {
		nodeSettings.DataDirectory = GinkgoT().TempDir()
		state, err := open()
		Expect(err).NotTo(HaveOccurred())
		defer state.close()
		Expect(state.member("c").Disk).NotTo(BeEmpty())
	})

	It("fails to open if the data directory can't be used", func() {
		nodeSettings.DataDirectory = filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(nodeSettings.DataDirectory, nil, 0o600)).To(Succeed())
		_, err := open()
		Expect(err).To(MatchError(ContainSubstring("field data-directory")))
	})

	It("is in a temporary folder for a seed without a data directory", func() {
		GinkgoT().Setenv("TMPDIR", GinkgoT().TempDir())
		state, err := open()
		Expect(err).NotTo(HaveOccurred())
		defer state.close()
		Expect(state.member("c").Disk).To(BeEmpty())
		Expect(state.member("c").TemporaryDisk).NotTo(BeEmpty())
	})

	It("is missing on a seed that can't create a temporary folder, which starts without it", func() {
		GinkgoT().Setenv("TMPDIR", filepath.Join(GinkgoT().TempDir(), "gone"))
		state, err := open()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.member("c").MayLead()).To(BeFalse())
	})

	It("is missing on a steward that is no seed and has no data directory", func() {
		nodeSettings.Listen.Control = "10.0.0.2:1"
		state, err := open()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.member("c").MayLead()).To(BeFalse())
	})
})
