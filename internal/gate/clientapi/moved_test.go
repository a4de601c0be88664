package clientapi_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/juju/errors"
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

// scriptedLeaders is a transport to the leaders of two pools, which run on the stewards currentPool and formerPool. A call to the silent
// steward fails after attemptTimeout.
type scriptedLeaders struct {
	clock *clock.Fake
	// muxes are the stewards' handlers by name.
	muxes  map[string]*http.ServeMux
	silent string
	// submissions counts the submissions that reached a leader.
	submissions int
}

const (
	// attemptTimeout is the timeout of one attempt in leaderclient.
	attemptTimeout = 450 * time.Millisecond
	currentPool    = "current"
	formerPool     = "former"
	// movedRequest is the path of a job in the queue that was moved.
	movedRequest = "/q/" + id
)

func (s *scriptedLeaders) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Hostname() == s.silent {
		s.clock.Advance(attemptTimeout)
		return nil, errors.New("no answer")
	}
	answer := httptest.NewRecorder()
	s.muxes[request.URL.Hostname()].ServeHTTP(answer, request)
	return answer.Result(), nil
}

var _ = Describe("a queue that was moved to another service", func() {
	// routeTimeout is the timeout of the route in configurationText.
	const routeTimeout = 3 * time.Second
	var fakeClock advancingClock
	// ask sends a request about a job and returns the status of the answer. The pool of serviceWithJob has the job, if it is not empty. The
	// steward silent, if it is not empty, does not answer.
	ask := func(method, serviceWithJob, silent string) (int, *scriptedLeaders) {
		fakeClock = advancingClock{clock.NewFake(0)}
		leaders := &scriptedLeaders{clock: fakeClock.Fake, muxes: map[string]*http.ServeMux{}, silent: silent}
		lead := func(steward, key string) {
			leaders.muxes[steward] = http.NewServeMux()
			peerapi.Serve(leaders.muxes[steward], peerapi.ProcedureClient, func(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
				switch {
				case call.Key != key:
					return &wire.ClientAnswer{NotLeader: true}, nil
				case call.Verb == "hand-in":
					leaders.submissions++
					return &wire.ClientAnswer{Status: http.StatusOK}, nil
				case call.Key == "pool/"+serviceWithJob:
					return &wire.ClientAnswer{Status: http.StatusOK}, nil
				}
				return &wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job"}, nil
			})
		}
		lead(currentPool, "pool/s")
		lead(formerPool, "pool/"+formerPool)
		view := &membership.View{
			Leaders: map[string]wire.KeyLeader{"pool/s": {Name: currentPool}, "pool/" + formerPool: {Name: formerPool}},
			Stewards: []wire.Member{{Name: currentPool, Role: membership.RoleSteward, Address: "current:1", Disk: "d"},
				{Name: formerPool, Role: membership.RoleSteward, Address: "former:1", Disk: "e"}}}
		moved := testSnapshot()
		moved.Committed.Moved = []wire.MovedRoute{{Route: "a", Services: []string{formerPool}}}
		leaderClient := leaderclient.New(peerapi.NewCaller(&http.Client{Transport: leaders}), fakeClock, func() *membership.View { return view })
		request := httptest.NewRequest(method, "http://h.example"+movedRequest, strings.NewReader("{}"))
		answer := httptest.NewRecorder()
		clientapi.New(func() *configcache.Snapshot { return moved }, leaderClient, fakeClock).ServeHTTP(answer, request)
		Expect(fakeClock.Monotonic()).To(BeNumerically("<=", routeTimeout), "the answer came after the timeout of the route")
		return answer.Code, leaders
	}

	DescribeTable("answers a request about a job", func(method, serviceWithJob, silent string, status int) {
		got, _ := ask(method, serviceWithJob, silent)
		Expect(got).To(Equal(status))
	},
		Entry("that the current pool has", http.MethodGet, "s", "", 200),
		Entry("that the former pool has", http.MethodGet, formerPool, "", 200),
		Entry("that no pool has", http.MethodGet, "", "", 410),
		Entry("that the current pool has, while the former one is silent", http.MethodGet, "s", formerPool, 200),
		Entry("that the former pool has, while the current one is silent", http.MethodGet, formerPool, currentPool, 200),
		Entry("that the former pool may have, which is silent", http.MethodGet, "", formerPool, 503),
		Entry("that the current pool may have, which is silent", http.MethodGet, "", currentPool, 503),
		Entry("to cancel it, while the former pool is silent", http.MethodDelete, "s", formerPool, 200),
		Entry("to cancel it in the former pool, while the current one is silent", http.MethodDelete, formerPool, currentPool, 200),
		Entry("to cancel it while the former pool, which may have it, is silent", http.MethodDelete, "", formerPool, 503),
	)

	DescribeTable("submits a job to at most one pool", func(serviceWithJob, silent string, status, submissions int) {
		got, leaders := ask(http.MethodPost, serviceWithJob, silent)
		Expect(got).To(Equal(status))
		Expect(leaders.submissions).To(Equal(submissions))
	},
		Entry("that no pool has", "", "", 200, 1),
		Entry("that the former pool has", formerPool, "", 200, 0),
		Entry("that the former pool may have", "", formerPool, 503, 0),
		Entry("while the current pool is silent", "", currentPool, 504, 0),
	)
})
