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

// childSettings is the environment variable with the settings file for the child process that runs TestShutdownDuringStart. The process of
// the suite doesn't have it.
const childSettings = "GANNETLINE_TEST_CHILD_SETTINGS"

// TestShutdownDuringStart runs in a child process that the suite starts. The child receives SIGTERM before it runs its parts, and must shut
// down in order. It needs a process of its own because Ginkgo handles the signal in the process of the suite.
func TestShutdownDuringStart(t *testing.T) {
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
	hasHandedOver := false
	if err := b.run(func() { hasHandedOver = true }); err != nil || !hasHandedOver {
		t.Fatalf("handed over: %t, error: %v", hasHandedOver, err)
	}
}

var _ = It("a process that receives SIGTERM during its start shuts down in order once it runs", func() {
	path := filepath.Join(GinkgoT().TempDir(), "local.yaml")
	Expect(os.WriteFile(path, []byte(`node-name: "n"
ip-address: "127.0.0.1"
zone: "z"
internal-port-range: [21720, 21790]
seed-nodes: ["127.0.0.1:1"]
listen-addresses:
  control-plane: "127.0.0.1:1"
`), 0o600)).To(Succeed())
	child := exec.Command(os.Args[0], "-test.run", "^TestShutdownDuringStart$", "-test.timeout", "20s")
	child.Env = append(os.Environ(), childSettings+"="+path)
	output, err := child.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
	Expect(string(output)).To(ContainSubstring("PASS"))
})
