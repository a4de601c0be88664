package hollow_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/simulation/hollow"
)

const soundSettings = `node-name: "w-1"
ip-address: "127.10.10.1"
zone: "z"
listen-addresses: {control-plane: "127.10.10.1:8166"}
internal-port-range: [7720, 7735]
seed-nodes: ["127.10.0.1:8166"]
app: "127.10.10.1:8080"
service: "scale"
`

const soundSpec = `{"workers":[{"settings":"SETTINGS","capacity":{"cpu-units":1,"memory-req-mb":1},"pace":1}],"report":"127.10.2.1:7800","for-ms":1000}`

var _ = Describe("the spec of hollow workers", func() {
	load := func(spec, settings string) error {
		folder := GinkgoT().TempDir()
		path := filepath.Join(folder, "settings.yaml")
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(folder, "spec.json"), []byte(strings.ReplaceAll(spec, "SETTINGS", path)), 0o600)).To(Succeed())
		_, _, err := hollow.LoadSpec(filepath.Join(folder, "spec.json"))
		return err
	}

	It("is taken when it is sound", func() { Expect(load(soundSpec, soundSettings)).To(Succeed()) })

	DescribeTable("names what is wrong in the spec", func(old, fresh, why string) {
		Expect(load(strings.Replace(soundSpec, old, fresh, 1), soundSettings)).To(MatchError(ContainSubstring(why)))
	},
		Entry("no JSON", "{", "", "can't be read"),
		Entry("no worker", `{"settings":"SETTINGS","capacity":{"cpu-units":1,"memory-req-mb":1},"pace":1}`, "", "workers"),
		Entry("a report for everybody", "127.10.2.1:7800", "0.0.0.0:7800", "report"),
		Entry("no end", `"for-ms":1000`, `"for-ms":0`, "for-ms"),
		Entry("a day and more", `"for-ms":1000`, `"for-ms":99999999`, "for-ms"),
		Entry("no room", `"cpu-units":1`, `"cpu-units":0`, "capacity"),
		Entry("a clock that leaps", `"pace":1`, `"pace":2`, "pace"),
	)

	DescribeTable("refuses settings off the loopback", func(old, fresh, why string) {
		Expect(load(soundSpec, strings.Replace(soundSettings, old, fresh, 1))).To(MatchError(ContainSubstring(why)))
	},
		Entry("its address", `ip-address: "127.10.10.1"`, `ip-address: "10.0.0.1"`, "ip-address"),
		Entry("its executor", `app: "127.10.10.1:8080"`, `app: "10.0.0.1:8080"`, "app"),
		Entry("its control address", `"127.10.10.1:8166"`, `"192.168.0.1:8166"`, "control-plane"),
		Entry("a seed", `"127.10.0.1:8166"`, `"10.0.0.1:8166"`, "seed-nodes"),
	)
})
