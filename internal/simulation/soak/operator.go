package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/platform/headers"
)

const (
	// operatorRandomStream is the random stream of each operator.
	operatorRandomStream = 2
	// changeInterval is the time between two configurations, and probeInterval the time between two probes of the gates.
	changeInterval = 2 * time.Second
	probeInterval  = 500 * time.Millisecond
	// operatorTimeout is the timeout of one call. probedVersions is the number of newest versions that have a queue for probes.
	operatorTimeout = 1500 * time.Millisecond
	probedVersions  = 4
)

// operator changes the configuration, reads it back and probes whether the gates have applied it. Another operator evacuates
// zones (evacuate).
type operator struct {
	*soak
	client  *http.Client
	random  *rand.Rand
	version int64
}

func newOperator(s *soak) *operator {
	return &operator{soak: s, client: &http.Client{Timeout: operatorTimeout}, random: rand.New(rand.NewPCG(s.options.Seed, operatorRandomStream)), version: firstVersion}
}

// jobsRoute is the name of the route of the clients' queue.
const jobsRoute = "jobs"

// firstVersion is the version of the configuration at the start of a soak.
const firstVersion = 1

// run changes, probes and reads back the configuration until ctx is done. Then it puts the clients' queue back if there is none.
func (o *operator) run(ctx context.Context) {
	// Each call uses a new connection, so that probes don't keep persistent connections of the gates open.
	o.client.Transport = &http.Transport{DisableKeepAlives: true}
	nextChange := o.recorder.now() + changeInterval
	for ctx.Err() == nil {
		if o.recorder.now() >= nextChange {
			o.change(ctx)
			nextChange = o.recorder.now() + changeInterval
		}
		o.probe(ctx)
		o.readBack(ctx)
		pause(ctx, probeInterval)
	}
	o.returnQueue(ctx)
}

// change proposes the next version repeatedly until it is acknowledged.
func (o *operator) change(ctx context.Context) {
	if o.options.Rollouts {
		o.changeWithRollouts(ctx)
		return
	}
	next := o.version + 1
	for ctx.Err() == nil {
		if o.proposeVersion(ctx, next) {
			at := o.recorder.now()
			o.version = next
			o.recorder.write(func(h *History) { h.Acknowledgements = append(h.Acknowledgements, Acknowledgement{next, at}) })
			return
		}
		pause(ctx, probeInterval)
	}
}

// changeWithRollouts changes the current configuration, with attempts until one is acknowledged. Each attempt reads the
// configuration anew, as the leader of the configuration may change it at the same time.
func (o *operator) changeWithRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		if current := o.readCurrent(ctx); current != nil {
			next := o.nextConfiguration(current)
			if o.propose(ctx, current.Version, next) {
				at := o.recorder.now()
				o.version = next.Version
				o.recorder.write(func(h *History) { h.Acknowledgements = append(h.Acknowledgements, Acknowledgement{next.Version, at}) })
				return
			}
		}
		pause(ctx, probeInterval)
	}
}

// proposeVersion proposes a version to a steward and reports whether it is acknowledged.
func (o *operator) proposeVersion(ctx context.Context, version int64) bool {
	return o.propose(ctx, version-1, o.newConfiguration(version))
}

// propose proposes a configuration that is based on a version to a steward, and reports whether it is acknowledged.
func (o *operator) propose(ctx context.Context, base int64, next configuration.Configuration) bool {
	status := o.call(ctx, sling.New().Post(o.stewardURL("/v1/configuration/replace")).
		Set(headers.BaseVersion, strconv.FormatInt(base, 10)).BodyJSON(next), nil)
	return status/100 == 2
}

// call makes one call and decodes the answer into result unless that is nil. It returns the status, or 0 if no answer came or
// the answer could not be decoded.
func (o *operator) call(ctx context.Context, builder *sling.Sling, result any) int {
	request, err := builder.Request()
	if err != nil {
		return 0
	}
	response, err := builder.Client(o.client).Do(request.WithContext(ctx), result, nil)
	if response == nil || err != nil && result != nil {
		return 0
	}
	return response.StatusCode
}

// stewardURL returns the URL of a path at a random steward that hasn't ended. Every steward accepts the operator's calls.
func (o *operator) stewardURL(path string) string {
	var stewards []Node
	for _, running := range o.cluster.stewards() {
		stewards = append(stewards, running.node)
	}
	if len(stewards) == 0 {
		stewards = o.layout.Stewards
	}
	return "http://" + endpoint(stewards[o.random.IntN(len(stewards))].IP, controlPort) + path
}

// probe calls a random gate for the queue of the newest acknowledged version, and records the status if an answer comes. If there
// are tenants, it then also probes the gate with an unknown key.
func (o *operator) probe(ctx context.Context) {
	gate := o.layout.Gates[o.random.IntN(len(o.layout.Gates))]
	version := o.version
	probe := Probe{Gate: gate.Name, Version: version, SentAt: o.recorder.now()}
	builder := sling.New().Get("http://" + endpoint(gate.IP, frontPort) + probePrefix(version))
	request, err := builder.Request()
	if err != nil {
		return
	}
	request.Host = frontHost
	if key := o.layout.keyOf(0); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
		defer o.probeKey(ctx, gate)
	}
	response, err := o.client.Do(request.WithContext(ctx))
	if err != nil {
		return
	}
	response.Body.Close()
	probe.Status = response.StatusCode
	o.recorder.write(func(h *History) { h.Probes = append(h.Probes, probe) })
}

// readBack reads the newest configuration from a steward and records its version.
func (o *operator) readBack(ctx context.Context) {
	url := o.stewardURL("/v1/configuration/retrieve")
	sentAt := o.recorder.now()
	var newest configuration.Configuration
	if o.call(ctx, sling.New().Get(url), &newest) == http.StatusOK {
		read := ReadBack{Steward: url, SentAt: sentAt, Version: newest.Version}
		o.recorder.write(func(h *History) { h.ReadBacks = append(h.ReadBacks, read) })
	}
}

// probePrefix returns the path prefix of the queue that a version adds.
func probePrefix(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// newConfiguration returns the configuration of a version, with the queue of the clients, unless moves have removed it, and a queue for
// each of the newest versions up to this one.
func (o *operator) newConfiguration(version int64) configuration.Configuration {
	result := configuration.Configuration{Version: version,
		Services: []configuration.Service{{Name: serviceName, ConnectionLimit: 64, Protocol: "h1", GuardsCapacity: true}},
		Limits:   configuration.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: time.Minute.Milliseconds()},
		Routes:   append(o.layout.queueRoutes(version), o.layout.tierRoutes(version)...), Tenants: o.layout.tenants()}
	if o.layout.Mix.Has(FeatureMoves) {
		result.Services = append(result.Services, configuration.Service{Name: movedServiceName, ConnectionLimit: 64, Protocol: "h1", GuardsCapacity: true})
	}
	if o.layout.Mix.Has(FeatureTier) {
		result.Services = append(result.Services, configuration.Service{Name: assistantService, ConnectionLimit: 64, Protocol: "h1"})
	}
	if o.options.Rollouts {
		for _, name := range []string{badServiceName, goodServiceName} {
			result.Services = append(result.Services, configuration.Service{Name: name, ConnectionLimit: 64, Protocol: "h1", GuardsCapacity: true})
		}
	}
	for older := max(firstVersion, version-probedVersions+1); older <= version; older++ {
		result.Routes = append(result.Routes, routeOf(fmt.Sprintf("version-%d", older), probePrefix(older)))
	}
	return result
}

func routeOf(name, prefix string) configuration.Route {
	return configuration.Route{Name: name, Host: frontHost, PathPrefix: prefix, Type: "non_idempotent", TimeoutMs: callTimeout.Milliseconds(),
		TargetLatencyMs: 1000, Priority: 1, Service: serviceName, MaxAttempts: 4, StretchFactor: 3}
}
