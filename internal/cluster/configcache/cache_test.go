package configcache_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// scriptedPeer is an HTTP transport to a simulated peer. The peer passes each call for a configuration to calls, and answers it with the next
// element of answers. With another mux, the transport passes requests to that mux.
type scriptedPeer struct {
	mux     *http.ServeMux
	calls   chan wire.ConfigurationCall
	answers chan *wire.ConfigurationAnswer
}

func newScriptedPeer() *scriptedPeer {
	s := &scriptedPeer{mux: http.NewServeMux(), calls: make(chan wire.ConfigurationCall, 9), answers: make(chan *wire.ConfigurationAnswer, 9)}
	peerapi.Serve(s.mux, peerapi.ProcedurePlan, func(_ context.Context, call *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
		s.calls <- *call
		return <-s.answers, nil
	})
	return s
}

func (s *scriptedPeer) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	s.mux.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

var _ = Describe("a cache with a scripted peer", func() {
	var peer *scriptedPeer
	var cache *configcache.Cache
	var fakeClock *clock.Fake
	var inForce chan int64
	old := committedVersion(3, body(3, routes(40)...))
	next := committedVersion(5, body(5, append(routes(39), route("x", 1))...))
	BeforeEach(func() {
		peer, fakeClock, inForce = newScriptedPeer(), clock.NewFake(1), make(chan int64, 9)
		cache = configcache.New(peerapi.NewCaller(&http.Client{Transport: peer}), fakeClock, logging.Silent(),
			func(snapshot *configcache.Snapshot) { inForce <- snapshot.Committed.Version })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go cache.Run(ctx)
	})

	It("asks for the deltas since its version, and for the full configuration if they don't fit", func() {
		cache.AdoptIfNewer(old)
		Expect(<-inForce).To(Equal(int64(3)))
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:1"}, 5)
		Expect(<-peer.calls).To(Equal(wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true, AcceptsChunks: true}))
		wrong := *versionOf(old, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true}).Changes[0]
		wrong.Digest = "of another configuration"
		peer.answers <- &wire.ConfigurationAnswer{Changes: []*wire.ConfigurationDelta{&wrong}}
		Expect(<-peer.calls).To(Equal(wire.ConfigurationCall{HeldVersion: 3, AcceptsChunks: true}))
		Expect(cache.Current().Committed.Version).To(Equal(int64(3)))
		peer.answers <- &wire.ConfigurationAnswer{Full: next}
		Expect(<-inForce).To(Equal(int64(5)))
		Expect(cache.Current().Committed.Body).To(Equal(next.Body))
	})

	It("asks for the full configuration if it has none, and serves its version to others", func() {
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:1"}, 3)
		Expect(<-peer.calls).To(Equal(wire.ConfigurationCall{AcceptsChunks: true}))
		peer.answers <- &wire.ConfigurationAnswer{Full: old}
		Expect(<-inForce).To(Equal(int64(3)))
		cache.AdoptIfNewer(next)
		Expect(<-inForce).To(Equal(int64(5)))
		cache.AdoptIfNewer(old)
		mux := http.NewServeMux()
		cache.Handle(mux)
		caller := peerapi.NewCaller(&http.Client{Transport: &scriptedPeer{mux: mux}})
		answer, err := peerapi.Call[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), caller, "10.0.0.9:1",
			peerapi.ProcedurePlan, time.Second, &wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Changes).To(HaveLen(1))
	})

	It("asks each peer reported during a fetch once, if the fetched version is older than theirs", func() {
		cache.AdoptIfNewer(old)
		<-inForce
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:1"}, 5)
		<-peer.calls
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:1"}, 7)
		cache.AdoptIfNewer(old)
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:2"}, 7)
		peer.answers <- versionOf(old, next).AnswerTo(&wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true})
		Expect(<-inForce).To(Equal(int64(5)))
		for range 2 {
			Expect(<-peer.calls).To(Equal(wire.ConfigurationCall{HeldVersion: 5, AcceptsChanges: true, AcceptsChunks: true}))
			peer.answers <- &wire.ConfigurationAnswer{}
		}
		cache.AdoptIfNewer(committedVersion(9, body(9)))
		Expect(<-inForce).To(Equal(int64(9)))
		Expect(peer.calls).To(BeEmpty())
	})

	It("asks a second peer only once the call to the first has stalled", func() {
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:1"}, 3)
		<-peer.calls
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:2"}, 3)
		cache.AdoptIfNewer(old)
		Expect(<-inForce).To(Equal(int64(3)))
		Expect(peer.calls).To(BeEmpty())
		fakeClock.Advance(250 * time.Millisecond)
		cache.FetchFrom(wire.Member{Address: "10.0.0.9:2"}, 5)
		Expect(<-peer.calls).To(Equal(wire.ConfigurationCall{HeldVersion: 3, AcceptsChanges: true, AcceptsChunks: true}))
		peer.answers <- &wire.ConfigurationAnswer{}
		peer.answers <- &wire.ConfigurationAnswer{}
	})
})
