package roles

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/executorlist"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/balancer"
	"gannetline/internal/gate/clientapi"
	"gannetline/internal/gate/forwarding"
	"gannetline/internal/gate/headerrules"
	"gannetline/internal/gate/keyfreshness"
	"gannetline/internal/gate/routekind"
	"gannetline/internal/gate/servingapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/response"
)

const (
	// noticeTime is how long the platform may need to learn that a gate is no longer ready.
	noticeTime = 2200 * time.Millisecond
	// quietTime is how long nothing may arrive at a leaving gate before it closes.
	quietTime = 250 * time.Millisecond
	// reservedDescriptors are left to files and to what the runtime opens.
	reservedDescriptors = 200
)

// Gate serves clients until SIGTERM.
func Gate(path string, options ...Option) error {
	b, err := newBase(path, "gate", options...)
	if err != nil {
		return err
	}
	front, err := b.listen("front-plain", b.settings.Listen.Front)
	if err != nil {
		return err
	}
	ready, err := b.listen("readiness", b.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	configurations := configcache.New(b.caller, b.clock, b.log, func(snapshot *configcache.Snapshot) { b.node.HoldsConfiguration(snapshot.Committed.Version) })
	configurations.Handle(b.inner)
	b.join(wire.Member{Role: "gate"}, membership.OnConfigurationAhead(configurations.FetchFrom))
	comparenodes.Handle(b.inner, comparenodes.Sources{View: b.node.View, Configuration: configurations.Current})
	evacuationview.Handle(b.inner, b.node.View, nil)
	var isLeaving atomic.Bool
	asker := leaderclient.New(b.caller, b.clock, b.node.View)
	api, canServe := b.clientHandler(asker, configurations)
	server := httpserver.New(front, b.meter.Handler(api), b.clock, b.log,
		httpserver.WithMaxConnections(maxClientConnections(b.settings.Limits.FileDescriptors)), httpserver.WithRefusalHeaders(headerrules.Echo))
	b.tree.Add("plan", configurations.Run)
	b.tree.Add("clients", func(context.Context) error { return server.Serve() })
	b.tree.Add("readiness", b.serving(ready, readiness(func() bool {
		return !isLeaving.Load() && configurations.Current() != nil && b.node.View().SeesSteward() && canServe()
	}), internalLeave))
	return b.run(func() {
		isLeaving.Store(true)
		server.Shutdown(clientLeave(b.settings.GracePeriod()))
	})
}

// clientHandler serves clients as the contracts in force say: jobs, requests that executors answer, or both. canServe tells whether there
// is anything to pass requests on to, where nothing else is served.
func (b *base) clientHandler(asker *leaderclient.Client, configurations *configcache.Cache) (handler http.Handler, canServe func() bool) {
	areKeysFresh := b.keyFreshness(asker, configurations)
	always := func() bool { return true }
	if !b.settings.ServesRequests() {
		return clientapi.New(configurations.Current, asker, b.clock, clientapi.WithKeyFreshness(areKeysFresh)), always
	}
	executors := balancer.New(b.settings.Domain, b.clock, balancer.WithEvacuations(b.node.IsEvacuated))
	b.followExecutors(executorlist.NearSteward, func(list *executorlist.List) { executors.Update(list.Executors) })
	forwarder := forwarding.New(executorClient(), executors, b.clock)
	requests := servingapi.New(configurations.Current, asker, forwarder, b.clock, servingapi.WithKeyFreshness(areKeysFresh))
	if !b.settings.ServesJobs() {
		return requests, executors.HasExecutors
	}
	jobs := clientapi.New(configurations.Current, asker, b.clock, clientapi.WithKeyFreshness(areKeysFresh))
	return routekind.New(configurations.Current, jobs, requests), always
}

// keyFreshness tells whether the keys of the configuration may be trusted. A gate watches its configuration for that where keys that were
// taken away must be of no use anywhere after a while.
func (b *base) keyFreshness(asker *leaderclient.Client, configurations *configcache.Cache) func() bool {
	bounds := b.settings.Bounds
	if !bounds.RevocationClosed {
		return func() bool { return true }
	}
	watch := keyfreshness.New(asker, b.clock, clock.Milliseconds(bounds.RevokeTimeoutMs), configurations.Version)
	b.tree.Add("key-freshness", watch.Run)
	return watch.IsFresh
}

// clientLeave says how a gate leaves within the grace period: calls to leaders that are away are ended while there is
// time left to write all their answers on a slow machine and link.
func clientLeave(gracePeriod time.Duration) httpserver.ShutdownTimes {
	return httpserver.ShutdownTimes{
		Notice:   min(noticeTime, gracePeriod/2),
		Quiet:    quietTime,
		CallsEnd: gracePeriod * 3 / 4,
		Close:    gracePeriod * 11 / 12,
	}
}

// maxClientConnections leaves half of the descriptors to the calls that a gate makes for its clients.
func maxClientConnections(descriptors int) int {
	return max(1, (descriptors-reservedDescriptors)/2)
}

// readiness answers 200 while the process is ready and 503 otherwise.
func readiness(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		if isReady() {
			response.Empty(http.StatusOK).Write(to)
			return
		}
		response.Empty(http.StatusServiceUnavailable).Write(to)
	})
}
