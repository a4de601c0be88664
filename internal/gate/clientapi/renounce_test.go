package clientapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/clientapi"
	"gannetline/internal/platform/clock"
)

// directCalls is a transport that serves calls to peers within the process.
type directCalls struct{ handler http.Handler }

func (d directCalls) RoundTrip(request *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	d.handler.ServeHTTP(answer, request)
	return answer.Result(), nil
}

var _ = Describe("a submission to a queue that was moved", func() {
	// submit submits a job at a gate and returns the status of its answer and the calls that the gate made. The former pool answers as
	// answerOf says.
	submit := func(answerOf func(wire.Verb) *wire.ClientAnswer) (status int, callsMade []string) {
		mux := http.NewServeMux()
		peerapi.Serve(mux, peerapi.ProcedureClient, func(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
			callsMade = append(callsMade, call.Key+" "+string(call.Verb))
			if call.Key == "pool/s" {
				return &wire.ClientAnswer{Status: http.StatusOK}, nil
			}
			return answerOf(call.Verb), nil
		})
		view := &membership.View{Leaders: map[string]wire.KeyLeader{"pool/s": {Name: "one"}, "pool/former": {Name: "one"}},
			Stewards: []wire.Member{{Name: "one", Role: membership.RoleSteward, Address: "one:1", Disk: "d"}}}
		moved := testSnapshot()
		moved.Committed = &wire.Configuration{Moved: []wire.MovedRoute{{Route: "a", Services: []string{"former"}}}}
		clock := clock.NewFake(0)
		leaderClient := leaderclient.New(peerapi.NewCaller(&http.Client{Transport: directCalls{mux}}), clock, func() *membership.View { return view })
		answer := httptest.NewRecorder()
		clientapi.New(func() *configcache.Snapshot { return moved }, leaderClient, clock).ServeHTTP(answer,
			httptest.NewRequest("POST", "http://h.example/q/"+id, strings.NewReader("{}")))
		return answer.Code, callsMade
	}

	// Guards against a job that two pools accept: the former pool transfers it to a pool that was asked before, and so promises nothing.
	It("is not passed on if the former pool has transferred the job, as it was accepted then", func() {
		status, callsMade := submit(func(wire.Verb) *wire.ClientAnswer {
			return &wire.ClientAnswer{Status: http.StatusGone, Reason: "the job was moved to another pool", MovedTo: "third"}
		})
		Expect(status).To(Equal(http.StatusOK))
		Expect(callsMade).To(Equal([]string{"pool/former renounce"}))
	})

	DescribeTable("is accepted only once the former pool does not accept it any more", func(statusByVerb map[string]int, status int, calls ...string) {
		given, callsMade := submit(func(verb wire.Verb) *wire.ClientAnswer {
			return &wire.ClientAnswer{Status: statusByVerb[string(verb)], Reason: "told so"}
		})
		Expect(given).To(Equal(status))
		Expect(callsMade).To(Equal(calls))
	},
		Entry("the former pool promises that", map[string]int{"renounce": 410}, 200, "pool/former renounce", "pool/s hand-in"),
		Entry("the former pool has the job already", map[string]int{"renounce": 200}, 200, "pool/former renounce"),
		Entry("the leader of the former pool, of an older software version, has no such job", map[string]int{"renounce": 400, "state": 410}, 200,
			"pool/former renounce", "pool/former state", "pool/s hand-in"),
	)
})
