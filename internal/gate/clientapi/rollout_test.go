package clientapi_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

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
)

// rolloutText returns a configuration whose queue runs on a service and has a rollout. progress contains further JSON fields of the rollout.
func rolloutText(service, progress string) string {
	return strings.Replace(strings.Replace(configurationText, `"service":"s"`, `"service":"`+service+`"`, 1), `"service-list":[{"name":"s"}]`,
		`"service-list":[{"name":"s"},{"name":"t"}],"rollout-list":[{"name":"r","route":"a","from-service":"s","to-service":"t",
		"steps":[{"share":0.5},{"share":1}],"agreed":{"failures":0.1}`+progress+`}]`, 1)
}

func snapshotOf(text string, moved ...wire.MovedRoute) *configcache.Snapshot {
	decoded, err := configuration.Read([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return &configcache.Snapshot{Committed: &wire.Configuration{Version: decoded.Version, Moved: moved}, Matcher: configuration.NewMatcher(decoded)}
}

// rolloutGate serves requests with scripted answers of the pools and records the calls to them.
type rolloutGate struct {
	calls  []string
	answer func(call *wire.ClientCall) *wire.ClientAnswer
}

// request serves a request with the given configuration. path is the path within the queue.
func (r *rolloutGate) request(snapshot *configcache.Snapshot, method, path string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	peerapi.Serve(mux, peerapi.ProcedureClient, func(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
		r.calls = append(r.calls, fmt.Sprintf("%s %s %d", call.Key, call.Verb, call.Version))
		return r.answer(call), nil
	})
	leaders := map[string]wire.KeyLeader{"pool/s": {Name: "one"}, "pool/t": {Name: "one"}, "pool/u": {Name: "one"}}
	view := &membership.View{Leaders: leaders, Stewards: []wire.Member{{Name: "one", Role: membership.RoleSteward, Address: "one:1", Disk: "d"}}}
	clock := clock.NewFake(0)
	leaderClient := leaderclient.New(peerapi.NewCaller(&http.Client{Transport: directCalls{mux}}), clock, func() *membership.View { return view })
	answer := httptest.NewRecorder()
	gate := clientapi.New(func() *configcache.Snapshot { return snapshot }, leaderClient, clock)
	gate.ServeHTTP(answer, httptest.NewRequest(method, "http://h.example/q/"+path, strings.NewReader("{}")))
	return answer
}

var _ = Describe("a queue in a rollout", func() {
	const widening = `,"state":"widening","begun-ms":1`
	var gate *rolloutGate
	BeforeEach(func() {
		gate = &rolloutGate{answer: func(call *wire.ClientCall) *wire.ClientAnswer {
			if call.Verb == wire.VerbSubmit {
				return &wire.ClientAnswer{Status: http.StatusOK}
			}
			return &wire.ClientAnswer{Status: http.StatusGone, Reason: "no such job"}
		}}
	})
	// idOf returns a job ID that the rollout assigns to a service.
	idOf := func(snapshot *configcache.Snapshot, service string) string {
		for number := range 100 {
			id := fmt.Sprintf("%016x", number)
			if snapshot.Matcher.ServiceFor(snapshot.Matcher.ByName("a"), id) == service {
				return id
			}
		}
		Fail("found no ID for service " + service)
		return ""
	}

	It("submits each job to the version that its ID selects, once the other version has promised not to accept the job", func() {
		snapshot := snapshotOf(rolloutText("s", widening))
		for service, other := range map[string]string{"s": "t", "t": "s"} {
			gate.calls = nil
			Expect(gate.request(snapshot, http.MethodPost, idOf(snapshot, service)).Code).To(Equal(200))
			Expect(gate.calls).To(Equal([]string{"pool/" + other + " renounce 7", "pool/" + service + " hand-in 7"}))
		}
	})

	It("gives all jobs to the old version before the start and after a rollback, and to the new one after the finish", func() {
		for progress, service := range map[string]string{"": "s", `,"state":"turned-back","begun-ms":1`: "s", `,"state":"finished","begun-ms":1`: "t"} {
			snapshot := snapshotOf(rolloutText(service, progress))
			for number := range 50 {
				Expect(snapshot.Matcher.ServiceFor(snapshot.Matcher.ByName("a"), fmt.Sprintf("%016x", number))).To(Equal(service))
			}
		}
	})

	It("adds up the waiting jobs of both versions", func() {
		gate.answer = func(call *wire.ClientCall) *wire.ClientAnswer {
			return &wire.ClientAnswer{Status: http.StatusOK, Body: []byte(map[string]string{"pool/s": `{"waiting-count":3}`, "pool/t": `{"waiting-count":4}`}[call.Key])}
		}
		Expect(gate.request(snapshotOf(rolloutText("s", widening)), http.MethodGet, "").Body.String()).To(Equal(`{"waiting-count":7}`))
		gate.answer = func(call *wire.ClientCall) *wire.ClientAnswer {
			if call.Key == "pool/t" {
				return &wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "full"}
			}
			return &wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"waiting-count":3}`)}
		}
		Expect(gate.request(snapshotOf(rolloutText("s", widening)), http.MethodGet, "").Code).To(Equal(503))
	})

	DescribeTable("finds a job that was transferred back to the pool of the old version", func(method string, hasArrived bool, status int) {
		isInOldPool := false
		gate.answer = func(call *wire.ClientCall) *wire.ClientAnswer {
			if call.Key == "pool/t" {
				isInOldPool = hasArrived
				return &wire.ClientAnswer{Status: http.StatusGone, Reason: "moved", MovedTo: "s"}
			}
			if isInOldPool {
				return &wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{}`)}
			}
			return &wire.ClientAnswer{Status: http.StatusGone, Reason: "no such job"}
		}
		moved := wire.MovedRoute{Route: "a", Services: []string{"s", "t"}}
		snapshot := snapshotOf(rolloutText("s", `,"state":"turned-back","begun-ms":1`), moved)
		Expect(gate.request(snapshot, method, id).Code).To(Equal(status))
	},
		Entry("between the calls to the two pools", http.MethodGet, true, 200),
		Entry("and has not arrived yet", http.MethodGet, false, 503),
		Entry("to cancel it", http.MethodDelete, true, 200),
		Entry("to cancel it before it has arrived", http.MethodDelete, false, 503),
	)
})

var _ = Describe("a queue that returned to an earlier service", func() {
	It("submits jobs there without asking that service to renounce them", func() {
		gate := &rolloutGate{answer: func(call *wire.ClientCall) *wire.ClientAnswer {
			if call.Verb == wire.VerbSubmit {
				return &wire.ClientAnswer{Status: http.StatusOK}
			}
			return &wire.ClientAnswer{Status: http.StatusGone, Reason: "no such job"}
		}}
		snapshot := snapshotOf(configurationText, wire.MovedRoute{Route: "a", Services: []string{"s", "u"}})
		Expect(gate.request(snapshot, http.MethodPost, id).Code).To(Equal(200))
		Expect(gate.calls).To(Equal([]string{"pool/u renounce 7", "pool/s hand-in 7"}))
	})
})

var _ = Describe("a queue that had another name", func() {
	It("names it to the pools, which may have jobs under that name", func() {
		var names [][]string
		gate := &rolloutGate{answer: func(call *wire.ClientCall) *wire.ClientAnswer {
			names = append(names, call.FormerRoutes)
			return &wire.ClientAnswer{Status: http.StatusOK}
		}}
		snapshot := snapshotOf(configurationText, wire.MovedRoute{Route: "a", Services: []string{"s"}, Names: []string{"z"}})
		Expect(gate.request(snapshot, http.MethodPost, id).Code).To(Equal(200))
		Expect(gate.request(snapshot, http.MethodGet, "").Code).To(Equal(200))
		Expect(names).To(Equal([][]string{{"z"}, {"z"}}))
	})
})
