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
	operatorStream = 2
	// changeEvery lies between two configurations, and probeEvery between two looks at the gates.
	changeEvery = 2 * time.Second
	probeEvery  = 500 * time.Millisecond
	// operatorLimit is how long one call may take, and keptProbes how many of the newest versions have a queue to be probed by.
	operatorLimit = 1500 * time.Millisecond
	keptProbes    = 4
)

// operator changes the configuration, reads it back, and probes at the gates whether it is in force.
type operator struct {
	*soak
	client  *http.Client
	draw    *rand.Rand
	version int64
}

func newOperator(s *soak) *operator {
	return &operator{soak: s, client: &http.Client{Timeout: operatorLimit}, draw: rand.New(rand.NewPCG(s.options.Seed, operatorStream)), version: firstVersion}
}

// jobsRoute is the name of the clients' queue.
const jobsRoute = "jobs"

// firstVersion is the configuration that a soak begins with.
const firstVersion = 1

// run changes and probes until ctx is done.
func (o *operator) run(ctx context.Context) {
	// A probe connects anew, so that it costs the gate no kept connection.
	o.client.Transport = &http.Transport{DisableKeepAlives: true}
	nextChange := o.recorder.now() + changeEvery
	for ctx.Err() == nil {
		if o.recorder.now() >= nextChange {
			o.change(ctx)
			nextChange = o.recorder.now() + changeEvery
		}
		o.probe(ctx)
		o.readBack(ctx)
		pause(ctx, probeEvery)
	}
}

// change posts the next version, the same again until it is acknowledged.
func (o *operator) change(ctx context.Context) {
	if o.options.Rollouts {
		o.changeAmongRollouts(ctx)
		return
	}
	next := o.version + 1
	for ctx.Err() == nil {
		if o.post(ctx, next) {
			at := o.recorder.now()
			o.version = next
			o.recorder.write(func(h *History) { h.Acknowledgements = append(h.Acknowledgements, Acknowledgement{next, at}) })
			return
		}
		pause(ctx, probeEvery)
	}
}

// changeAmongRollouts makes one change on the configuration in force, which the leader of the configuration may change as well.
func (o *operator) changeAmongRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		if current := o.current(ctx); current != nil {
			next := o.nextConfiguration(current)
			if o.send(ctx, current.Version, next) {
				at := o.recorder.now()
				o.version = next.Version
				o.recorder.write(func(h *History) { h.Acknowledgements = append(h.Acknowledgements, Acknowledgement{next.Version, at}) })
				return
			}
		}
		pause(ctx, probeEvery)
	}
}

// post offers a version to a steward; it is false as long as it is not acknowledged.
func (o *operator) post(ctx context.Context, version int64) bool {
	return o.send(ctx, version-1, o.configurationOf(version))
}

// send offers a configuration that builds on a version.
func (o *operator) send(ctx context.Context, base int64, next configuration.Configuration) bool {
	status := o.ask(ctx, sling.New().Post(o.stewardURL("/v1/configuration/replace")).
		Set(headers.BaseVersion, strconv.FormatInt(base, 10)).BodyJSON(next), nil)
	return status/100 == 2
}

// ask makes one call and reads the answer into a value, if there is one; the status is 0 if none came.
func (o *operator) ask(ctx context.Context, call *sling.Sling, into any) int {
	request, err := call.Request()
	if err != nil {
		return 0
	}
	response, err := call.Client(o.client).Do(request.WithContext(ctx), into, nil)
	if response == nil || err != nil && into != nil {
		return 0
	}
	return response.StatusCode
}

// stewardURL names a steward that runs now; all of them serve the operator.
func (o *operator) stewardURL(path string) string {
	var stewards []Node
	for _, running := range o.cluster.stewards() {
		stewards = append(stewards, running.node)
	}
	if len(stewards) == 0 {
		stewards = o.layout.Stewards
	}
	return "http://" + endpoint(stewards[o.draw.IntN(len(stewards))].IP, controlPort) + path
}

// probe asks a gate for the queue of the newest version that must be in force.
func (o *operator) probe(ctx context.Context) {
	gate := o.layout.Gates[o.draw.IntN(len(o.layout.Gates))]
	version := o.version
	probe := Probe{Gate: gate.Name, Version: version, SentAt: o.recorder.now()}
	call := sling.New().Get("http://" + endpoint(gate.IP, frontPort) + probePrefix(version))
	request, err := call.Request()
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

// readBack asks a steward for the newest configuration.
func (o *operator) readBack(ctx context.Context) {
	url := o.stewardURL("/v1/configuration/retrieve")
	sentAt := o.recorder.now()
	var newest configuration.Configuration
	if o.ask(ctx, sling.New().Get(url), &newest) == http.StatusOK {
		read := ReadBack{Steward: url, SentAt: sentAt, Version: newest.Version}
		o.recorder.write(func(h *History) { h.ReadBacks = append(h.ReadBacks, read) })
	}
}

// probePrefix is that of the queue which a version brings.
func probePrefix(version int64) string { return fmt.Sprintf("/version-%d/", version) }

// configurationOf is a version: the queue of the clients, and one each for this version and the newest before it.
func (o *operator) configurationOf(version int64) configuration.Configuration {
	result := configuration.Configuration{Version: version,
		Services: []configuration.Service{{Name: serviceName, ConnectionLimit: 64, Protocol: "h1", GuardsCapacity: true}},
		Limits:   configuration.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: time.Minute.Milliseconds()},
		Routes:   append([]configuration.Route{routeOf(jobsRoute, jobsPrefix)}, o.layout.tierRoutes()...), Tenants: o.layout.tenants()}
	if o.layout.Mix.Has(FeatureTier) {
		result.Services = append(result.Services, configuration.Service{Name: assistantService, ConnectionLimit: 64, Protocol: "h1"})
	}
	if o.options.Rollouts {
		for _, name := range []string{badServiceName, goodServiceName} {
			result.Services = append(result.Services, configuration.Service{Name: name, ConnectionLimit: 64, Protocol: "h1", GuardsCapacity: true})
		}
	}
	for older := max(firstVersion, version-keptProbes+1); older <= version; older++ {
		result.Routes = append(result.Routes, routeOf(fmt.Sprintf("version-%d", older), probePrefix(older)))
	}
	return result
}

func routeOf(name, prefix string) configuration.Route {
	return configuration.Route{Name: name, Host: frontHost, PathPrefix: prefix, Type: "non_idempotent", TimeoutMs: callLimit.Milliseconds(),
		TargetLatencyMs: 1000, Priority: 1, Service: serviceName, MaxAttempts: 4, StretchFactor: 3}
}
