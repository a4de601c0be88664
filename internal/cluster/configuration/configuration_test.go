package configuration_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

const valid = `{"config-version":7,"route-list":[{"name":"a","host":"h.example","path-prefix":"/q/","timeout-ms":3000,"service":"s"},` +
	`{"name":"b","host":"h.example","path-prefix":"/q/deep/","timeout-ms":3000,"service":"s","new-field":[1]}],"service-list":[{"name":"s"}]}`

var _ = Describe("reading a configuration", func() {
	It("accepts unknown fields", func() {
		decoded, err := configuration.Read([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Version).To(Equal(int64(7)))
	})

	DescribeTable("fails with an error that names the invalid field", func(old, replacement, field string) {
		_, err := configuration.Read([]byte(strings.Replace(valid, old, replacement, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("unknown service", `"service":"s"}`, `"service":"x"}`, "service"),
		Entry("two routes with the same host and prefix", `/q/deep/`, `/q/`, "path-prefix"),
		Entry("no timeout", `"timeout-ms":3000`, `"timeout-ms":0`, "timeout-ms"),
		Entry("no version", `"config-version":7`, `"config-version":0`, "config-version"),
		Entry("cut short", `"service-list":[{"name":"s"}]}`, ``, "the configuration can't be read"),
		Entry("a wrong type", `"config-version":7`, `"config-version":"seven"`, "the configuration can't be read"),
		Entry("a service without a name", `{"name":"s"}`, `{"name":"s"},{}`, "service-list"),
	)

	DescribeTable("fails for an invalid weighted split", func(split, field string) {
		_, err := configuration.Read([]byte(strings.Replace(valid, `"service":"s"`, `"weighted-split":[`+split+`]`, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("an unknown service", `{"service":"s","weight":1},{"service":"x","weight":1}`, `"x"`),
		Entry("no weight", `{"service":"s","weight":0}`, "sum is 0"),
		Entry("a negative weight", `{"service":"s","weight":2},{"service":"s","weight":-1}`, "negative"),
	)

	It("divides the requests of a route among its services in proportion to their weights", func() {
		withSplit := strings.Replace(strings.Replace(valid, `"service":"s"`, `"weighted-split":[{"service":"s","weight":90},{"service":"t","weight":10}]`, 1),
			`"service-list":[`, `"service-list":[{"name":"t"},`, 1)
		decoded, err := configuration.Read([]byte(withSplit))
		Expect(err).NotTo(HaveOccurred())
		counts := map[string]int{}
		for number := range 10000 {
			counts[decoded.Routes[0].ServiceFor(fmt.Sprintf("%016x", number*2654435761))]++
		}
		Expect(counts["s"]).To(BeNumerically("~", 9000, 200))
		Expect(counts["s"] + counts["t"]).To(Equal(10000))
		Expect(decoded.Routes[1].ServiceFor("any")).To(Equal("s"))
	})

	DescribeTable("decodes a route's limit on pending tokens", func(limit string, tokens int64) {
		decoded, err := configuration.Read([]byte(strings.Replace(valid, `"new-field"`, `"route-type":"batch","upper-limit":`+limit+`,"new-field"`, 1)))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Routes[1].TokenLimit()).To(Equal(tokens))
		Expect(decoded.Routes[1].RunsJobs()).To(BeFalse())
		Expect(decoded.Routes[0].RunsJobs()).To(BeTrue())
	},
		Entry("a number", "1400000", int64(1400000)),
		Entry("0 for no limit", "0", int64(0)),
		Entry("an object, which is no limit", `{"cpu-units":5}`, int64(0)),
	)

	DescribeTable("fails for invalid tenants, with an error that names the field and no API key", func(tenants, field string) {
		_, err := configuration.Read([]byte(strings.Replace(valid, `"service-list"`, `"tenant-list":[`+tenants+`],"service-list"`, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
		Expect(err).NotTo(MatchError(ContainSubstring("secret")))
	},
		Entry("no name", `{"api-keys":["secret"]}`, "tenant-list"),
		Entry("a name twice", `{"name":"t"},{"name":"t"}`, "tenant-list"),
		Entry("a shared key", `{"name":"t","api-keys":["secret"]},{"name":"u","api-keys":["other","secret"]}`, "api-keys"),
		Entry("an empty key", `{"name":"t","api-keys":[""]}`, "api-keys"),
		Entry("a negative weight", `{"name":"t","weight":-1}`, "weight"),
		Entry("a negative limit", `{"name":"t","upper-limit":{"cpu-units":-1}}`, "upper-limit"),
		Entry("an unknown unit", `{"name":"t","upper-limit":{"cpu-units":1,"bricks":2}}`, "bricks"),
	)

	It("looks up tenants by key and name, and needs no key on public routes or without tenants", func() {
		tenants := `"tenant-list":[{"name":"t","api-keys":["k1","k2","k2"],"weight":2.5,"priority":1,"upper-limit":{"cpu-units":5,"gpu-count":0}},{"name":"u","upper-limit":7}],"service-list"`
		text := strings.Replace(strings.Replace(valid, `"service-list"`, tenants, 1), `"new-field"`, `"public":true,"new-field"`, 1)
		decoded, err := configuration.Read([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		matcher := configuration.NewMatcher(decoded)
		Expect(matcher.TenantOfKey("k2").Name).To(Equal("t"))
		Expect(matcher.TenantOfKey("k3")).To(BeNil())
		Expect(matcher.TenantOfKey("")).To(BeNil())
		Expect(matcher.Tenant("t").Limit).To(Equal(configuration.UpperLimit{CPU: 5}))
		Expect(matcher.Tenant("u").Limit).To(Equal(configuration.UpperLimit{}))
		Expect(matcher.Tenant("v")).To(BeNil())
		Expect(matcher.NeedsKey(matcher.ByName("a"))).To(BeTrue())
		Expect(matcher.NeedsKey(matcher.ByName("b"))).To(BeFalse())
		without, err := configuration.Read([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		matcher = configuration.NewMatcher(without)
		Expect(matcher.NeedsKey(matcher.ByName("a"))).To(BeFalse())
	})

	It("matches a request by host and the longest prefix", func() {
		decoded, _ := configuration.Read([]byte(valid))
		matcher := configuration.NewMatcher(decoded)
		Expect(matcher.Match("H.example:80", "/q/deep/x").Name).To(Equal("b"))
		Expect(matcher.Match("h.example", "/q/x").Name).To(Equal("a"))
		Expect(matcher.Match("h.example", "/other")).To(BeNil())
		Expect(matcher.Match("else.example", "/q/x")).To(BeNil())
	})
})
