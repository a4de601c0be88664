package settings_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/settings"
)

const validSettings = `node-name: "edge-1"
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

var _ = Describe("Settings", func() {
	It("are read from a valid file, with unknown fields ignored and defaults for missing bounds", func() {
		parsed, err := settings.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Bounds.MaxHoldMs).To(Equal(int64(6000)))
		Expect(parsed.Bounds.StopTimeoutMs).To(Equal(int64(400)))
		Expect(parsed.Require("steward")).To(Succeed())
	})

	DescribeTable("are refused by Parse with the name of the invalid field", func(old, replacement, field string) {
		_, err := settings.Parse([]byte(strings.Replace(validSettings, old, replacement, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("no name", `node-name: "edge-1"`, ``, "node-name"),
		Entry("a host name as IP address", `"10.1.0.10"`, `"host"`, "ip-address"),
		Entry("a descending port range", `[7720, 7735]`, `[7735, 7720]`, "internal-port-range"),
		Entry("a malformed seed", `["10.1.0.10:8166"]`, `["nowhere"]`, "seed-nodes"),
		Entry("no seeds", `["10.1.0.10:8166"]`, `[]`, "seed-nodes"),
		Entry("a negative bound", `6000`, `-1`, "max-hold-ms"),
		Entry("a malformed queue rule", `something-new: {a: 1}`, `queue-rules: {q: {use: "speed > 3"}}`, "queue-rules"),
		Entry("a negative interval of the metrics log", `something-new: {a: 1}`, `metrics-log-s: -1`, "metrics-log-s"),
		Entry("an interval of the metrics log that is too short", `something-new: {a: 1}`, `metrics-log-s: 0.001`, "metrics-log-s"),
		Entry("an interval of the metrics log that is not a number", `something-new: {a: 1}`, `metrics-log-s: .nan`, "metrics-log-s"),
		Entry("malformed YAML", `zone: "hall"`, `zone: [`, "settings"),
	)

	It("accept bounds under their newer and their earlier names, and list unknown bounds", func() {
		renamed := strings.Replace(validSettings, "  max-hold-ms: 6000\n", `  early-margin-ms: 100
  status-retention-s: 60
  quota-overrun: 0.1
  revocation-closed: true
  max-surprise-ms: 3
`, 1)
		parsed, err := settings.Parse([]byte(renamed))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Bounds.EarlyMs).To(Equal(int64(100)))
		Expect(parsed.Bounds.StatusS).To(Equal(60.0))
		Expect(parsed.Bounds.QuotaOverrun).To(Equal(0.1))
		Expect(parsed.Bounds.RevocationClosed).To(BeTrue())
		Expect(parsed.Bounds.Unknown).To(Equal([]string{"max-surprise-ms"}))
		earlier, err := settings.Parse([]byte(strings.Replace(validSettings, "max-hold-ms: 6000", "status_s: 60", 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier.Bounds.StatusS).To(Equal(60.0))
	})

	// The list holds the earlier and the newer names of the bounds in the documentation of deployments.
	It("know every documented bound", func() {
		names := []string{"seed-delay-s", "address-reuse-s", "contact-window-ms", "ack-timeout-ms", "catch-up-s", "drain-timeout-ms",
			"grace-period-s", "loss-slack-ms", "config-apply-ms", "downgrade-slack-ms", "max-stretch-ms", "recovery-time-s", "max-hold-ms",
			"stop-timeout-ms", "gang-wait-ms", "cancel_ms", "visible_ms", "early_ms", "finish_s", "status_s", "remote-factor",
			"checkpoint-interval-s", "restore-time-ms", "revoke-timeout-ms", "quota-window-s", "quota-overrun", "quota-slack",
			"cancel-timeout-ms", "visibility-timeout-ms", "early-margin-ms", "completion-s", "status-retention-s"}
		bounds := "protocol-bounds:\n  revocation-closed: true\n"
		for _, name := range names {
			bounds += "  " + name + ": 1\n"
		}
		parsed, err := settings.Parse([]byte(strings.Replace(validSettings, "protocol-bounds:\n  max-hold-ms: 6000\n", bounds, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Bounds.Unknown).To(BeEmpty())
	})

	It("are refused if the bounds are not a mapping or quota-overrun is negative", func() {
		_, err := settings.Parse([]byte(strings.Replace(validSettings, "protocol-bounds:\n  max-hold-ms: 6000\n", "protocol-bounds: [1]\n", 1)))
		Expect(err).To(HaveOccurred())
		_, err = settings.Parse([]byte(strings.Replace(validSettings, "max-hold-ms: 6000", "quota-overrun: -0.1", 1)))
		Expect(err).To(MatchError(ContainSubstring("quota-overrun")))
	})

	It("report a missing field that a role requires", func() {
		parsed, err := settings.Parse([]byte(validSettings))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Require("gate")).To(MatchError(ContainSubstring("listen-addresses")))
	})
})
