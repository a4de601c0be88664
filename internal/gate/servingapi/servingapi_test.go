package servingapi_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/gate/servingapi"
	"gannetline/internal/platform/clock"
)

const text = `{"config-version":1,"service-list":[{"name":"s"}],"route-list":[
	{"name":"ask","host":"h","path-prefix":"/a/","route-type":"streaming","timeout-ms":2000,"service":"s"},
	{"name":"open","host":"h","path-prefix":"/o/","route-type":"streaming","timeout-ms":2000,"service":"s","public":true},
	{"name":"lots","host":"h","path-prefix":"/l/","route-type":"batch","timeout-ms":6000,"service":"s"},
	{"name":"public-lots","host":"public","path-prefix":"/l/","route-type":"batch","timeout-ms":6000,"service":"s","public":true}],
	"tenant-list":[{"name":"team","api-keys":["key"]}]}`

func snapshot() *configcache.Snapshot {
	read, err := configuration.Read([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return &configcache.Snapshot{Matcher: configuration.NewMatcher(read)}
}

// newRequest returns a request with headers, which are given as pairs of a name and a value.
func newRequest(method, path string, headers ...string) *http.Request {
	request := httptest.NewRequest(method, path, nil)
	request.Host = "h"
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	return request
}

// at changes the host of a request and returns the request.
func at(host string, request *http.Request) *http.Request {
	request.Host = host
	return request
}

var _ = Describe("Decide", func() {
	const bearer = "Bearer key"

	DescribeTable("accepts", func(request *http.Request, kind, tenant string) {
		decision := servingapi.Decide(snapshot(), request)
		Expect(string(decision.Kind)).To(Equal(kind))
		Expect(decision.Tenant).To(Equal(tenant))
	},
		Entry("a stream", newRequest("POST", "/a/1", "Authorization", bearer), "forward", "team"),
		Entry("a stream of a public route", newRequest("POST", "/o/1"), "forward", ""),
		Entry("a lot", newRequest("POST", "/l/1", "Authorization", bearer, "X-Request-Id", "7c41e09b52d6a3f8"), "lot", "team"),
		Entry("a read of a lot", newRequest("GET", "/v1/lots/7c41?depends-on=12", "Authorization", bearer), "lot-results", "team"),
		Entry("the end of a lot", newRequest("DELETE", "/v1/lots/7c41", "Authorization", bearer), "lot-end", "team"),
		Entry("an item", newRequest("GET", "/v1/items/7c41?executor-id=1", "Authorization", bearer), "lot-item", "team"),
		Entry("a read where lots are public", at("public", newRequest("GET", "/v1/lots/7c41")), "lot-results", ""),
		Entry("a read where lots are public, with a key", at("public", newRequest("GET", "/v1/lots/7c41", "Authorization", bearer)), "lot-results", "team"),
		Entry("a read of a lot whose route was removed", at("other", newRequest("GET", "/v1/lots/7c41")), "lot-results", ""),
	)

	DescribeTable("refuses", func(request *http.Request, status int) {
		decision := servingapi.Decide(snapshot(), request)
		Expect(decision.Refusal.Status).To(Equal(status))
	},
		Entry("no route", newRequest("POST", "/x/1", "Authorization", bearer), 404),
		Entry("no key", newRequest("POST", "/a/1"), 401),
		Entry("an unknown key", newRequest("POST", "/a/1", "Authorization", "Bearer other"), 401),
		Entry("an invalid remaining time", newRequest("POST", "/a/1", "Authorization", bearer, "X-Time-Remaining", "soon"), 400),
		Entry("a lot without an ID", newRequest("POST", "/l/1", "Authorization", bearer), 400),
		Entry("a lot by a wrong method", newRequest("GET", "/l/1", "Authorization", bearer), 405),
		Entry("an invalid position", newRequest("GET", "/v1/lots/7c41?depends-on=-1"), 400),
		Entry("a read without a key", newRequest("GET", "/v1/lots/7c41"), 401),
		Entry("a read with an unknown key", newRequest("GET", "/v1/lots/7c41", "Authorization", "Bearer other"), 401),
		// Guards against calls with a removed or unknown key that read, and ended, lots once their host had no route for lots.
		Entry("a read with an unknown key, where the route for lots was removed", at("other", newRequest("GET", "/v1/lots/7c41", "Authorization", "Bearer other")), 401),
		Entry("an end with an unknown key, where the route for lots was removed", at("other", newRequest("DELETE", "/v1/lots/7c41", "Authorization", "Bearer other")), 401),
		Entry("an item without a key", newRequest("GET", "/v1/items/7c41?executor-id=1"), 401),
		Entry("an item by a wrong method", newRequest("DELETE", "/v1/items/7c41"), 405),
	)

	It("refuses requests with a key, and no others, while the keys are not fresh", func() {
		areKeysFresh := false
		gate := servingapi.New(snapshot, nil, nil, clock.NewFake(0), servingapi.WithKeyFreshness(func() bool { return areKeysFresh }))
		status := func(request *http.Request) int {
			answer := httptest.NewRecorder()
			gate.ServeHTTP(answer, request)
			return answer.Code
		}
		stream := newRequest("POST", "/a/1", "Authorization", bearer)
		Expect(status(stream)).To(Equal(http.StatusServiceUnavailable))
		Expect(status(newRequest("GET", "/v1/lots/7c41", "Authorization", bearer))).To(Equal(http.StatusServiceUnavailable))
		Expect(status(newRequest("POST", "/a/1"))).To(Equal(http.StatusUnauthorized))
		Expect(servingapi.Decide(snapshot(), stream).Refusal.Status).To(BeZero())
	})

	It("refuses with 503 before the first configuration", func() {
		Expect(servingapi.Decide(nil, newRequest("POST", "/a/1")).Refusal.Status).To(Equal(503))
	})

	It("returns the shorter of the client's remaining time and the route's timeout", func() {
		request := newRequest("POST", "/o/1", "X-Time-Remaining", "700")
		Expect(servingapi.Decide(snapshot(), request).Timeout).To(Equal(700 * time.Millisecond))
		request.Header.Set("X-Time-Remaining", "70000")
		Expect(servingapi.Decide(snapshot(), request).Timeout).To(Equal(2 * time.Second))
	})
})
