package configuration_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
)

const sound = `{"config-version":7,"route-list":[{"name":"a","host":"h.example","path-prefix":"/q/","timeout-ms":3000,"service":"s"},` +
	`{"name":"b","host":"h.example","path-prefix":"/q/deep/","timeout-ms":3000,"service":"s","new-field":[1]}],"service-list":[{"name":"s"}]}`

var _ = Describe("a configuration", func() {
	It("is read, with fields that are new", func() {
		decoded, err := configuration.Read([]byte(sound))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Version).To(Equal(int64(7)))
	})

	DescribeTable("is refused with a text that names the field", func(old, fresh, field string) {
		_, err := configuration.Read([]byte(strings.Replace(sound, old, fresh, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("unknown service", `"service":"s"}`, `"service":"x"}`, "service"),
		Entry("the same place twice", `/q/deep/`, `/q/`, "path-prefix"),
		Entry("no time-out", `"timeout-ms":3000`, `"timeout-ms":0`, "timeout-ms"),
		Entry("no version", `"config-version":7`, `"config-version":0`, "config-version"),
		Entry("cut short", `"service-list":[{"name":"s"}]}`, ``, "the configuration can't be read"),
		Entry("a wrong type", `"config-version":7`, `"config-version":"seven"`, "the configuration can't be read"),
		Entry("a service without a name", `{"name":"s"}`, `{"name":"s"},{}`, "service-list"),
	)

	It("matches host, then the longest prefix", func() {
		decoded, _ := configuration.Read([]byte(sound))
		matcher := configuration.NewMatcher(decoded)
		Expect(matcher.Match("H.example:80", "/q/deep/x").Name).To(Equal("b"))
		Expect(matcher.Match("h.example", "/q/x").Name).To(Equal("a"))
		Expect(matcher.Match("h.example", "/other")).To(BeNil())
		Expect(matcher.Match("else.example", "/q/x")).To(BeNil())
	})
})
