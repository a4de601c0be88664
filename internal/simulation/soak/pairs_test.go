package soak

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/metrics"
)

var _ = Describe("The measurement of pairs", func() {
	steward := nodeIncarnation{node: Node{Name: "steward-1", Role: RoleSteward}, incarnation: 1}

	It("adds up a metric over its labels, without other metrics with the same prefix", func() {
		samples := metrics.Samples{`a_total{kind="x"}`: 1, `a_total{kind="y"}`: 2, "a_total": 4, "a_total_more": 8}
		Expect(sumOf(samples, "a_total")).To(Equal(7.0))
	})

	It("returns the load per second, without processes that were read once or have restarted", func() {
		restarted := nodeIncarnation{node: Node{Name: "gate-1", Role: RoleGate}, incarnation: 2}
		before := map[nodeIncarnation]counters{steward: {at: 2 * time.Second, cpuSeconds: 1, sentBytes: 100, commits: 10}}
		after := map[nodeIncarnation]counters{steward: {at: 6 * time.Second, cpuSeconds: 3, sentBytes: 500, commits: 50}, restarted: {at: 6 * time.Second}}
		Expect(loadsBetween(before, after)).To(Equal([]ProcessLoad{{Process: "steward-1", Role: RoleSteward, Cores: 0.5, SentBytes: 100, Commits: 10}}))
	})

	It("takes the maximum of each figure over the processes of a role", func() {
		loads := []ProcessLoad{{Role: RoleSteward, Cores: 1, Commits: 5}, {Role: RoleSteward, Cores: 2, Commits: 3}, {Role: RoleGate, Cores: 9}}
		Expect(maxLoadOf(loads, RoleSteward)).To(Equal(ProcessLoad{Cores: 2, Commits: 5}))
	})

	It("parses the names of parts, and names an unknown one in the error", func() {
		Expect(ParseParts([]string{"jobs", "tier"})).To(Equal([]Part{PartJobs, PartTier}))
		_, err := ParseParts([]string{"jobs", "nothing"})
		Expect(err).To(MatchError(ContainSubstring(`"nothing"`)))
	})

	It("puts load only on the chosen parts, or on all without a choice", func() {
		options := Options{Parts: []Part{PartLocks}}
		Expect(options.isBusy(PartLocks)).To(BeTrue())
		Expect(options.isBusy(PartJobs)).To(BeFalse())
		Expect(options.jobClients()).To(BeZero())
		options.Parts = nil
		Expect(options.isBusy(PartJobs)).To(BeTrue())
		Expect(options.jobClients()).To(Equal(clientsPerGate))
	})

	It("configures tenants only if the part of tenants is busy", func() {
		options := Options{Processes: MinProcesses, Network: "127.92", Mix: &Mix{Features: AllFeatures, Zones: 2}, Parts: []Part{PartJobs}}
		layout := options.Layout()
		Expect(layout.keyOf(1)).To(BeEmpty())
		Expect(layout.tenants()).To(BeNil())
		options.Parts = []Part{PartTenants}
		Expect(options.Layout().tenants()).To(HaveLen(tenantCount))
	})

	It("is written as a table with one line per row", func() {
		var text strings.Builder
		rows := []PairRow{{}, {Parts: []Part{PartJobs}, Control: ProcessLoad{Cores: 0.25}}, {Parts: []Part{PartJobs, PartLocks}, Excess: -0.01}}
		Expect(WritePairs(&text, rows)).To(Succeed())
		Expect(text.String()).To(MatchRegexp(`(?m)^idle +0\.0000`))
		Expect(text.String()).To(MatchRegexp(`(?m)^jobs +0\.2500`))
		Expect(text.String()).To(MatchRegexp(`(?m)^jobs \+ locks .* -0\.0100$`))
	})
})
