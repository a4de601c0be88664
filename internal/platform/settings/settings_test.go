package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/settings"
)

const sound = `node-name: "edge-1"
ip-address: "10.1.0.10"
zone: "hall"
listen-addresses:
  control-plane: "10.1.0.10:8166"
internal-port-range: [7720, 7735]
seed-nodes: ["10.1.0.10:8166"]
protocol-bounds:
  max-hold-ms: 6000
something-new: {a: 1}
`

var _ = Describe("settings", func() {
	It("reads a sound file, ignores what is new, and fills in what is left out", func() {
		nodeSettings, err := settings.Parse([]byte(sound))
		Expect(err).NotTo(HaveOccurred())
		Expect(nodeSettings.Bounds.MaxHoldMs).To(Equal(int64(6000)))
		Expect(nodeSettings.Bounds.StopTimeoutMs).To(Equal(int64(400)))
		Expect(nodeSettings.Require("steward")).To(Succeed())
	})

	DescribeTable("names the field that is wrong", func(old, fresh, field string) {
		_, err := settings.Parse([]byte(strings.Replace(sound, old, fresh, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("no name", `node-name: "edge-1"`, ``, "node-name"),
		Entry("no IP number", `"10.1.0.10"`, `"host"`, "ip-address"),
		Entry("ports that fall", `[7720, 7735]`, `[7735, 7720]`, "internal-port-range"),
		Entry("a bad seed", `["10.1.0.10:8166"]`, `["nowhere"]`, "seed-nodes"),
		Entry("no seeds", `["10.1.0.10:8166"]`, `[]`, "seed-nodes"),
		Entry("a negative bound", `6000`, `-1`, "max-hold-ms"),
		Entry("a rule that can't be read", `something-new: {a: 1}`, `queue-rules: {q: {use: "speed > 3"}}`, "queue-rules"),
		Entry("metrics logged at a negative pace", `something-new: {a: 1}`, `metrics-log-s: -1`, "metrics-log-s"),
		Entry("metrics logged without a pause", `something-new: {a: 1}`, `metrics-log-s: 0.001`, "metrics-log-s"),
		Entry("metrics logged at no pace", `something-new: {a: 1}`, `metrics-log-s: .nan`, "metrics-log-s"),
		Entry("no YAML", `zone: "hall"`, `zone: [`, "settings"),
	)

	It("says what a role needs", func() {
		nodeSettings, err := settings.Parse([]byte(sound))
		Expect(err).NotTo(HaveOccurred())
		Expect(nodeSettings.Require("gate")).To(MatchError(ContainSubstring("listen-addresses")))
	})
})
