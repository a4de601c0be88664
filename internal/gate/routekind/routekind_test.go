package routekind_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/gate/routekind"
)

func TestRouteKind(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routekind")
}

const text = `{"config-version":1,"service-list":[{"name":"s"}],"route-list":[
	{"name":"jobs","host":"h","path-prefix":"/j/","route-type":"non_idempotent","timeout-ms":2000,"service":"s"},
	{"name":"ask","host":"h","path-prefix":"/a/","route-type":"streaming","timeout-ms":2000,"service":"s"},
	{"name":"lots","host":"h","path-prefix":"/l/","route-type":"batch","timeout-ms":6000,"service":"s"}]}`

var _ = Describe("Handler", func() {
	named := func(name string) http.Handler {
		return http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { to.Header().Set("By", name) })
	}
	read, err := configuration.Read([]byte(text))
	snapshot := &configcache.Snapshot{Matcher: configuration.NewMatcher(read)}
	servedBy := func(snapshot *configcache.Snapshot, path string) string {
		request, answer := httptest.NewRequest(http.MethodPost, path, nil), httptest.NewRecorder()
		request.Host = "h"
		routekind.New(func() *configcache.Snapshot { return snapshot }, named("jobs"), named("requests")).ServeHTTP(answer, request)
		return answer.Header().Get("By")
	}

	DescribeTable("decides by the route", func(path, by string) {
		Expect(err).NotTo(HaveOccurred())
		Expect(servedBy(snapshot, path)).To(Equal(by))
	},
		Entry("a job", "/j/5c0e7a21d94b36f8", "jobs"),
		Entry("a stream", "/a/1", "requests"),
		Entry("a lot", "/l/1", "requests"),
		Entry("results of a lot", "/v1/lots/7c41", "requests"),
		Entry("an item", "/v1/items/7c41", "requests"),
		Entry("no route", "/x/1", "requests"),
	)

	It("serves requests before the first configuration", func() {
		Expect(servedBy(nil, "/j/1")).To(Equal("requests"))
	})
})
