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
	// noticeTime is the time that the platform may need to notice that a gate is no longer ready.
	noticeTime = 2200 * time.Millisecond
	// quietTime is the time without new connections or received bytes after which a gate that shuts down closes.
	quietTime = 250 * time.Millisecond
	// reservedDescriptors is the number of file descriptors kept free for files and for the runtime.
	reservedDescriptors = 200
)

// Gate runs a gate, which serves clients, until SIGTERM or SIGINT.
func Gate(path string, options ...Option) error {
	b, err := newBase(path, "gate", options...)
	if err != nil {
		return err
	}
	clientListener, err := b.listen("front-plain", b.settings.Listen.Front)
	if err != nil {
		return err
	}
	readinessListener, err := b.listen("readiness", b.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	configurations := configcache.New(b.caller, b.clock, b.log, func(snapshot *configcache.Snapshot) { b.node.AnnounceConfiguration(snapshot.Committed.Version) })
	configurations.Handle(b.internalMux)
	b.join(wire.Member{Role: "gate"}, membership.OnConfigurationAhead(configurations.FetchFrom))
	comparenodes.Handle(b.internalMux, comparenodes.Sources{View: b.node.View, Configuration: configurations.Current})
	evacuationview.Handle(b.internalMux, b.node.View, nil)
	var isLeaving atomic.Bool
	leaderClient := leaderclient.New(b.caller, b.clock, b.node.View)
	api, canServe := b.clientHandler(leaderClient, configurations)
	server := httpserver.New(clientListener, b.meter.Handler(api), b.clock, b.log,
		httpserver.WithMaxConnections(maxClientConnections(b.settings.Limits.FileDescriptors)), httpserver.WithRefusalHeaders(headerrules.Echo))
	b.tree.Add("plan", configurations.Run)
	b.tree.Add("clients", func(context.Context) error { return server.Serve() })
	b.tree.Add("readiness", b.newServerPart(readinessListener, readinessHandler(func() bool {
		return !isLeaving.Load() && configurations.Current() != nil && b.node.View().SeesSteward() && canServe()
	}), internalShutdownTimes))
	return b.run(func() {
		isLeaving.Store(true)
		server.Shutdown(clientShutdownTimes(b.settings.GracePeriod()))
	})
}

// clientHandler returns the handler for the client APIs that the active contracts name: jobs, requests that executors answer, or both.
// canServe reports whether there are executors to forward requests to. It always returns true if the gate serves jobs.
func (b *base) clientHandler(leaderClient *leaderclient.Client, configurations *configcache.Cache) (handler http.Handler, canServe func() bool) {
	areKeysFresh := b.keyFreshness(leaderClient, configurations)
	always := func() bool { return true }
	if !b.settings.ServesRequests() {
		return clientapi.New(configurations.Current, leaderClient, b.clock, clientapi.WithKeyFreshness(areKeysFresh), clientapi.WithLog(b.log)), always
	}
	executors := balancer.New(b.settings.Domain, b.clock, balancer.WithEvacuations(b.node.IsEvacuated))
	b.followExecutors(executorlist.NearSteward, func(list *executorlist.List) { executors.Update(list.Executors) })
	forwarder := forwarding.New(newExecutorClient(), executors, b.clock)
	requests := servingapi.New(configurations.Current, leaderClient, forwarder, b.clock, servingapi.WithKeyFreshness(areKeysFresh))
	if !b.settings.ServesJobs() {
		return requests, executors.HasExecutors
	}
	jobs := clientapi.New(configurations.Current, leaderClient, b.clock, clientapi.WithKeyFreshness(areKeysFresh), clientapi.WithLog(b.log))
	return routekind.New(configurations.Current, jobs, requests), always
}

// keyFreshness returns a function that reports whether the API keys of the configuration are recent enough to be accepted. If
// revocation-closed is set, all gates must refuse a revoked key within revoke-timeout-ms, so keyFreshness adds a part that confirms the version
// of the configuration with its leader. Otherwise the function always returns true.
func (b *base) keyFreshness(leaderClient *leaderclient.Client, configurations *configcache.Cache) func() bool {
	bounds := b.settings.Bounds
	if !bounds.RevocationClosed {
		return func() bool { return true }
	}
	keyTracker := keyfreshness.New(leaderClient, b.clock, clock.Milliseconds(bounds.RevokeTimeoutMs), configurations.Version)
	b.tree.Add("key-freshness", keyTracker.Run)
	return keyTracker.IsFresh
}

// clientShutdownTimes returns the shutdown times of a gate's client server, within the grace period. Calls that wait for an unreachable leader
// are cancelled while there is time left to write all their answers on a slow machine and link. Requests that executors are answering go on
// into the last sixth of the grace period, as long as the platform expects them to be answered.
func clientShutdownTimes(gracePeriod time.Duration) httpserver.ShutdownTimes {
	return httpserver.ShutdownTimes{
		Notice:      min(noticeTime, gracePeriod/2),
		Quiet:       quietTime,
		CallsEnd:    gracePeriod * 3 / 4,
		RequestsEnd: gracePeriod * 7 / 8,
		Close:       gracePeriod * 11 / 12,
	}
}

// maxClientConnections returns half of the unreserved descriptors, and at least 1. The other half is for the calls that the gate makes for its
// clients.
func maxClientConnections(descriptors int) int {
	return max(1, (descriptors-reservedDescriptors)/2)
}

// readinessHandler answers 200 while the process is ready and 503 otherwise.
func readinessHandler(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		if isReady() {
			response.Empty(http.StatusOK).Write(to)
			return
		}
		response.Empty(http.StatusServiceUnavailable).Write(to)
	})
}
