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

var _ = Describe("where a steward keeps its keys", func() {
	var nodeSettings *settings.Settings
	open := func() (*durableState, error) {
		return openStorage(&base{settings: nodeSettings, log: logging.Silent(), clock: clock.NewFake(0)})
	}
	BeforeEach(func() {
		nodeSettings = &settings.Settings{Seeds: []string{"10.0.0.1:1"}}
		nodeSettings.Listen.Control = "10.0.0.1:1"
	})

	It("is its data directory", func() {
		nodeSettings.DataDirectory = GinkgoT().TempDir()
		kept, err := open()
		Expect(err).NotTo(HaveOccurred())
		defer kept.close()
		Expect(kept.member("c").Disk).NotTo(BeEmpty())
	})

	It("must be usable if it is named", func() {
		nodeSettings.DataDirectory = filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(nodeSettings.DataDirectory, nil, 0o600)).To(Succeed())
		_, err := open()
		Expect(err).To(MatchError(ContainSubstring("field data-directory")))
	})

	It("is a temporary folder for a seed without a disk", func() {
		GinkgoT().Setenv("TMPDIR", GinkgoT().TempDir())
		kept, err := open()
		Expect(err).NotTo(HaveOccurred())
		defer kept.close()
		Expect(kept.member("c").Disk).To(BeEmpty())
		Expect(kept.member("c").TemporaryDisk).NotTo(BeEmpty())
	})

	It("is nowhere for a seed that can have no temporary folder, and it goes on without", func() {
		GinkgoT().Setenv("TMPDIR", filepath.Join(GinkgoT().TempDir(), "gone"))
		kept, err := open()
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.member("c").MayLead()).To(BeFalse())
	})

	It("is nowhere for a steward that is neither a seed nor has a disk", func() {
		nodeSettings.Listen.Control = "10.0.0.2:1"
		kept, err := open()
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.member("c").MayLead()).To(BeFalse())
	})
})
