package roles

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// childSettings names the settings file to the process that TestToldToEndWhileStarting is in; the process of the suite has none.
const childSettings = "GANNETLINE_TEST_CHILD_SETTINGS"

// TestToldToEndWhileStarting is a process of its own that the suite starts: it is told to end before it runs, and ends in order. Within
// the suite's process ginkgo would take the signal for itself.
func TestToldToEndWhileStarting(t *testing.T) {
	path := os.Getenv(childSettings)
	if path == "" {
		return
	}
	b, err := newBase(path, "steward")
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	hasLeft := false
	if err := b.run(func() { hasLeft = true }); err != nil || !hasLeft {
		t.Fatalf("left: %t, error: %v", hasLeft, err)
	}
}

var _ = It("a process that is told to end while it starts notices it, and ends in order once it runs", func() {
	path := filepath.Join(GinkgoT().TempDir(), "local.yaml")
	Expect(os.WriteFile(path, []byte(`node-name: "n"
ip-address: "127.0.0.1"
zone: "z"
internal-port-range: [21720, 21790]
seed-nodes: ["127.0.0.1:1"]
listen-addresses:
  control-plane: "127.0.0.1:1"
`), 0o600)).To(Succeed())
	child := exec.Command(os.Args[0], "-test.run", "^TestToldToEndWhileStarting$", "-test.timeout", "20s")
	child.Env = append(os.Environ(), childSettings+"="+path)
	said, err := child.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(said))
	Expect(string(said)).To(ContainSubstring("PASS"))
})
