package hollow_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/hollow"
)

const validSettings = `node-name: "w-1"
ip-address: "127.10.10.1"
zone: "z"
listen-addresses: {control-plane: "127.10.10.1:8166"}
internal-port-range: [7720, 7735]
seed-nodes: ["127.10.0.1:8166"]
app: "127.10.10.1:8080"
service: "scale"
`

const validSpec = `{"workers":[{"settings":"SETTINGS","capacity":{"cpu-units":1,"memory-req-mb":1},"pace":1}],"report":"127.10.2.1:7800","for-ms":1000}`

var _ = Describe("the spec of hollow workers", func() {
	load := func(spec, settings string) error {
		folder := GinkgoT().TempDir()
		path := filepath.Join(folder, "settings.yaml")
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "spec.json"), []byte(strings.ReplaceAll(spec, "SETTINGS", path)), 0o600)).To(Succeed())
		_, _, err := hollow.LoadSpec(filepath.Join(folder, "spec.json"))
		return err
	}

	It("is accepted if it is valid", func() { Expect(load(validSpec, validSettings)).To(Succeed()) })

	DescribeTable("is refused with the name of the wrong field", func(before, after, message string) {
		Expect(load(strings.Replace(validSpec, before, after, 1), validSettings)).To(MatchError(ContainSubstring(message)))
	},
		Entry("no JSON", "{", "", "can't be read"),
		Entry("no worker", `{"settings":"SETTINGS","capacity":{"cpu-units":1,"memory-req-mb":1},"pace":1}`, "", "workers"),
		Entry("a report on a public address", "127.10.2.1:7800", "0.0.0.0:7800", "report"),
		Entry("no run time", `"for-ms":1000`, `"for-ms":0`, "for-ms"),
		Entry("a run time above the longest", `"for-ms":1000`, `"for-ms":99999999`, "for-ms"),
		Entry("no capacity", `"cpu-units":1`, `"cpu-units":0`, "capacity"),
		Entry("a clock that is too fast", `"pace":1`, `"pace":2`, "pace"),
	)

	DescribeTable("is refused if settings name an address other than loopback", func(before, after, message string) {
		Expect(load(validSpec, strings.Replace(validSettings, before, after, 1))).To(MatchError(ContainSubstring(message)))
	},
		Entry("its address", `ip-address: "127.10.10.1"`, `ip-address: "10.0.0.1"`, "ip-address"),
		Entry("its executor", `app: "127.10.10.1:8080"`, `app: "10.0.0.1:8080"`, "app"),
		Entry("its control address", `"127.10.10.1:8166"`, `"192.168.0.1:8166"`, "control-plane"),
		Entry("a seed", `"127.10.0.1:8166"`, `"10.0.0.1:8166"`, "seed-nodes"),
	)
})
