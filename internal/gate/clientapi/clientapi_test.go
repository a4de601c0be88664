package clientapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/clientapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/metrics"
)

// configurationText is a configuration with one queue.
const configurationText = `{"config-version":7,"route-list":[{"name":"a","host":"h.example","path-prefix":"/q/","timeout-ms":3000,"service":"s","priority":2,"max-attempts":4}],"service-list":[{"name":"s"}]}`

func testSnapshot() *configcache.Snapshot {
	decoded, err := configuration.Read([]byte(configurationText))
	Expect(err).NotTo(HaveOccurred())
	return &configcache.Snapshot{Committed: &wire.Configuration{Version: 7}, Matcher: configuration.NewMatcher(decoded)}
}

func newRequest(method, path string) *http.Request {
	request := httptest.NewRequest(method, "http://h.example"+path, nil)
	request.Host = "h.example"
	return request
}

const id = "5c0e7a21d94b36f8"

var _ = Describe("a client's request", func() {
	It("becomes a call to the leader of the route's pool", func() {
		decision := clientapi.Decide(testSnapshot(), newRequest("POST", "/q/"+id), []byte(`{}`))
		Expect(decision.Call.Key).To(Equal("pool/s"))
		Expect(decision.Call.Verb).To(Equal(wire.VerbSubmit))
		Expect(decision.Call.Terms.MaxAttempts).To(Equal(4))
		Expect(clientapi.Decide(testSnapshot(), newRequest("GET", "/q/"+id), nil).Call.Verb).To(Equal(wire.VerbState))
		Expect(clientapi.Decide(testSnapshot(), newRequest("DELETE", "/q/"+id), nil).Call.Verb).To(Equal(wire.VerbCancel))
		Expect(clientapi.Decide(testSnapshot(), newRequest("GET", "/q/"), nil).Call.Verb).To(Equal(wire.VerbCount))
	})

	It("gets the client's remaining time as its timeout", func() {
		request := newRequest("GET", "/q/"+id)
		request.Header.Set("X-Time-Remaining", "700")
		Expect(clientapi.Decide(testSnapshot(), request, nil).Timeout).To(BeNumerically("~", 700*time.Millisecond, 30*time.Millisecond))
	})

	DescribeTable("is refused at once for", func(method, path, text string, status int) {
		decision := clientapi.Decide(testSnapshot(), newRequest(method, path), []byte(text))
		Expect(decision.Call).To(BeNil())
		Expect(decision.Refusal.Status).To(Equal(status))
	},
		Entry("an unknown queue", "GET", "/other/", "", 404),
		Entry("an invalid ID", "GET", "/q/xyz", "", 400),
		Entry("a body that is not JSON", "POST", "/q/"+id, "{", 400),
		Entry("a wrong method", "PUT", "/q/"+id, "", 405),
		Entry("a wrong method on a queue", "POST", "/q/", "{}", 405),
	)

	It("needs the key of a tenant, whose name but not the key is passed on", func() {
		text := strings.Replace(configurationText, `"service-list"`, `"tenant-list":[{"name":"t","api-keys":["k1"]}],"service-list"`, 1)
		decoded, err := configuration.Read([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		withTenant := &configcache.Snapshot{Committed: &wire.Configuration{Version: 7}, Matcher: configuration.NewMatcher(decoded)}
		decide := func(authorization string) clientapi.Decision {
			request := newRequest("POST", "/q/"+id)
			request.Header.Set("Authorization", authorization)
			return clientapi.Decide(withTenant, request, []byte(`{}`))
		}
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer k2", "Basic k1", "k1"} {
			refused := decide(authorization)
			Expect(refused.Call).To(BeNil(), authorization)
			Expect(refused.Refusal.Status).To(Equal(401), authorization)
			Expect(refused.Refusal.Challenge).To(Equal("Bearer"))
		}
		for _, authorization := range []string{"Bearer k1", "bearer k1"} {
			Expect(decide(authorization).Call.Tenant).To(Equal("t"), authorization)
		}
		Expect(clientapi.Decide(testSnapshot(), newRequest("GET", "/q/"+id), nil).Call.Tenant).To(BeEmpty())
		unknown := newRequest("GET", "/other/")
		Expect(clientapi.Decide(withTenant, unknown, nil).Refusal.Status).To(Equal(404))
	})

	It("gets 503 if it needs a key and the keys are not fresh, and is served if it needs none", func() {
		text := strings.Replace(configurationText, `"service-list"`, `"tenant-list":[{"name":"t","api-keys":["k1"]}],"service-list"`, 1)
		isFresh := false
		ask := func(text, authorization string) int {
			decoded, err := configuration.Read([]byte(text))
			Expect(err).NotTo(HaveOccurred())
			current := &configcache.Snapshot{Committed: &wire.Configuration{Version: 7}, Matcher: configuration.NewMatcher(decoded)}
			clock := clock.NewFake(0)
			gate := clientapi.New(func() *configcache.Snapshot { return current }, leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock,
				func() *membership.View { return &membership.View{} }), clock, clientapi.WithKeyFreshness(func() bool { return isFresh }))
			ctx, end := context.WithCancel(context.Background())
			end()
			request := newRequest("GET", "/q/"+id).WithContext(ctx)
			request.Header.Set("Authorization", authorization)
			answer := httptest.NewRecorder()
			gate.ServeHTTP(answer, request)
			Expect(answer.Body.String()).NotTo(ContainSubstring("k1"))
			// A negative status marks a refusal because of the keys.
			if strings.Contains(answer.Body.String(), "sure of the keys") {
				return -answer.Code
			}
			return answer.Code
		}
		Expect(ask(text, "Bearer k1")).To(Equal(-503))
		Expect(ask(text, "Bearer k2")).To(Equal(401))
		Expect(ask(configurationText, "")).To(Equal(503), "there is no leader")
		isFresh = true
		Expect(ask(text, "Bearer k1")).To(Equal(503), "there is no leader")
	})

	It("is counted by verb and status, and its duration is observed", func() {
		clock := clock.NewFake(0)
		view := func() *membership.View { return &membership.View{} }
		gate := clientapi.New(testSnapshot, leaderclient.New(peerapi.NewCaller(http.DefaultClient), clock, view), clock)
		before := metrics.Own()
		for _, path := range []string{"/other/", "/q/" + id} {
			request := newRequest("GET", path)
			ctx, end := context.WithCancel(context.Background())
			end()
			gate.ServeHTTP(httptest.NewRecorder(), request.WithContext(ctx))
		}
		counters := metrics.Own()
		for _, name := range []string{`calls_total{verb="refused",status="404"}`, `calls_total{verb="state",status="503"}`,
			`call_seconds_count{verb="refused"}`, `call_seconds_count{verb="state"}`} {
			Expect(counters["gannetline_client_"+name] - before["gannetline_client_"+name]).To(Equal(1.0))
		}
	})

	DescribeTable("is refused as a submission only if no steward can have accepted it", func(outcome leaderclient.Outcome, status int) {
		Expect(clientapi.ResponseOf(&wire.ClientCall{Verb: "hand-in", ID: id}, outcome).Status).To(Equal(status))
	},
		Entry("no steward was reached", leaderclient.Outcome{}, 503),
		Entry("the first attempt was not answered", leaderclient.Outcome{MayHaveRun: true}, 504),
		Entry("the first attempt was not answered, a later one was refused",
			leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 429, Reason: "full"}}, 504),
		Entry("all attempts were refused", leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 429, Reason: "full"}}, 429),
	)

	It("is refused with an invalid remaining time, and gets 503 before the first configuration", func() {
		request := newRequest("GET", "/q/"+id)
		request.Header.Set("X-Time-Remaining", "soon")
		Expect(clientapi.Decide(testSnapshot(), request, nil).Refusal.Status).To(Equal(400))
		withoutConfiguration := clientapi.Decide(nil, newRequest("GET", "/q/"+id), nil)
		Expect(withoutConfiguration.Refusal.Status).To(Equal(503))
		Expect(withoutConfiguration.Refusal.RetryAfter).To(BeNumerically(">", 0))
	})
})
