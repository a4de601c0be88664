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

	It("reads bounds under their newer and their earlier names, and names those that it does not know", func() {
		renamed := strings.Replace(sound, "  max-hold-ms: 6000\n", `  early-margin-ms: 100
  status-retention-s: 60
  quota-overrun: 0.1
  revocation-closed: true
  max-surprise-ms: 3
`, 1)
		nodeSettings, err := settings.Parse([]byte(renamed))
		Expect(err).NotTo(HaveOccurred())
		Expect(nodeSettings.Bounds.EarlyMs).To(Equal(int64(100)))
		Expect(nodeSettings.Bounds.StatusS).To(Equal(60.0))
		Expect(nodeSettings.Bounds.QuotaOverrun).To(Equal(0.1))
		Expect(nodeSettings.Bounds.RevocationClosed).To(BeTrue())
		Expect(nodeSettings.Bounds.Unknown).To(Equal([]string{"max-surprise-ms"}))
		earlier, err := settings.Parse([]byte(strings.Replace(sound, "max-hold-ms: 6000", "status_s: 60", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier.Bounds.StatusS).To(Equal(60.0))
	})

	// The names are those that the pages about deployments list, earlier and newer ones.
	It("knows every bound of the pages", func() {
		names := []string{"seed-delay-s", "address-reuse-s", "contact-window-ms", "ack-timeout-ms", "catch-up-s", "drain-timeout-ms",
			"grace-period-s", "loss-slack-ms", "config-apply-ms", "downgrade-slack-ms", "max-stretch-ms", "recovery-time-s", "max-hold-ms",
			"stop-timeout-ms", "gang-wait-ms", "cancel_ms", "visible_ms", "early_ms", "finish_s", "status_s", "remote-factor",
			"checkpoint-interval-s", "restore-time-ms", "revoke-timeout-ms", "quota-window-s", "quota-overrun", "quota-slack",
			"cancel-timeout-ms", "visibility-timeout-ms", "early-margin-ms", "completion-s", "status-retention-s"}
		bounds := "protocol-bounds:\n  revocation-closed: true\n"
		for _, name := range names {
			bounds += "  " + name + ": 1\n"
		}
		nodeSettings, err := settings.Parse([]byte(strings.Replace(sound, "protocol-bounds:\n  max-hold-ms: 6000\n", bounds, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(nodeSettings.Bounds.Unknown).To(BeEmpty())
	})

	It("refuses bounds that are no mapping, and an overrun below 0", func() {
		_, err := settings.Parse([]byte(strings.Replace(sound, "protocol-bounds:\n  max-hold-ms: 6000\n", "protocol-bounds: [1]\n", 1)))
		Expect(err).To(HaveOccurred())
		_, err = settings.Parse([]byte(strings.Replace(sound, "max-hold-ms: 6000", "quota-overrun: -0.1", 1)))
		Expect(err).To(MatchError(ContainSubstring("quota-overrun")))
	})

	It("says what a role needs", func() {
		nodeSettings, err := settings.Parse([]byte(sound))
		Expect(err).NotTo(HaveOccurred())
		Expect(nodeSettings.Require("gate")).To(MatchError(ContainSubstring("listen-addresses")))
	})
})
