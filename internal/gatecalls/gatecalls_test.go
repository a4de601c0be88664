package gatecalls_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/gatecalls"
	"gannetline/internal/planbook"
	"gannetline/internal/plancheck"
	"gannetline/internal/siblingwire"
)

const body = `{"config-version":7,"route-list":[{"name":"a","host":"h.example","path-prefix":"/q/","timeout-ms":3000,"service":"s","priority":2,"max-attempts":4}],"service-list":[{"name":"s"}]}`

func page() *planbook.Page {
	plan, err := plancheck.Read([]byte(body))
	Expect(err).NotTo(HaveOccurred())
	return &planbook.Page{Fact: &siblingwire.PlanFact{Version: 7}, Matcher: plancheck.NewMatcher(plan)}
}

func request(method, path string) *http.Request {
	one := httptest.NewRequest(method, "http://h.example"+path, nil)
	one.Host = "h.example"
	return one
}

const id = "5c0e7a21d94b36f8"

var _ = Describe("the decision about a client's call", func() {
	It("asks the owner of the entry's pool", func() {
		decision := gatecalls.Decide(page(), request("POST", "/q/"+id), []byte(`{}`))
		Expect(decision.Call.Key).To(Equal("pool/s"))
		Expect(decision.Call.Verb).To(Equal("hand-in"))
		Expect(decision.Call.Terms.MaxAttempts).To(Equal(4))
		Expect(gatecalls.Decide(page(), request("GET", "/q/"+id), nil).Call.Verb).To(Equal("state"))
		Expect(gatecalls.Decide(page(), request("DELETE", "/q/"+id), nil).Call.Verb).To(Equal("cancel"))
		Expect(gatecalls.Decide(page(), request("GET", "/q/"), nil).Call.Verb).To(Equal("count"))
	})

	It("goes by the time that the client has left", func() {
		one := request("GET", "/q/"+id)
		one.Header.Set("X-Time-Remaining", "700")
		Expect(gatecalls.Decide(page(), one, nil).Limit).To(BeNumerically("~", 700*time.Millisecond, 30*time.Millisecond))
	})

	DescribeTable("refuses at once", func(method, path, text string, status int) {
		decision := gatecalls.Decide(page(), request(method, path), []byte(text))
		Expect(decision.Call).To(BeNil())
		Expect(decision.Refusal.Status).To(Equal(status))
	},
		Entry("an unknown queue", "GET", "/other/", "", 404),
		Entry("an ID that is none", "GET", "/q/xyz", "", 400),
		Entry("a body that is no JSON", "POST", "/q/"+id, "{", 400),
		Entry("a wrong method", "PUT", "/q/"+id, "", 405),
		Entry("a wrong method on a queue", "POST", "/q/", "{}", 405),
	)

	It("refuses a strange count of time, and answers 503 while there is no plan", func() {
		one := request("GET", "/q/"+id)
		one.Header.Set("X-Time-Remaining", "soon")
		Expect(gatecalls.Decide(page(), one, nil).Refusal.Status).To(Equal(400))
		none := gatecalls.Decide(nil, request("GET", "/q/"+id), nil)
		Expect(none.Refusal.Status).To(Equal(503))
		Expect(none.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})
})
