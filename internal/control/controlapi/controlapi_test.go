package controlapi_test

import (
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlapi"
)

var _ = Describe("an operator's call", func() {
	It("is decoded with its verb and base", func() {
		request := httptest.NewRequest("POST", "/v1/configuration/replace", strings.NewReader(`{"config-version":1}`))
		request.Header.Set("X-Base-Version", "5")
		call, _ := controlapi.Decode(request)
		Expect(call.Verb).To(Equal(wire.VerbReplace))
		Expect(call.Base).To(Equal(int64(5)))
	})

	DescribeTable("is refused if it has", func(method, path, base, body string, status int) {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		request.Header.Set("X-Base-Version", base)
		call, refusal := controlapi.Decode(request)
		Expect(call).To(BeNil())
		Expect(refusal.Status).To(Equal(status))
	},
		Entry("an unknown path", "GET", "/v1/other", "", "", 404),
		Entry("a wrong method", "GET", "/v1/configuration/replace", "0", "", 405),
		Entry("no base version", "POST", "/v1/configuration/replace", "", "{}", 400),
		Entry("a negative base version", "POST", "/v1/configuration/replace", "-1", "{}", 400),
		Entry("a truncated body", "POST", "/v1/configuration/replace", "0", `{"config-version":`, 400),
	)
})
