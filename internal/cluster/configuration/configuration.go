// Package configuration reads and checks the operator's configurations.
package configuration

import (
	"hash/fnv"
	"strconv"

	"github.com/mailru/easyjson"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all configuration.go rollouts.go

// The types of routes.
const (
	// RouteStreaming answers with a series of events, as they come.
	RouteStreaming = "streaming"
	// RouteBatch takes lots of requests, which are run later.
	RouteBatch = "batch"
	// RouteIdempotent takes requests that may run more than once.
	RouteIdempotent = "idempotent"
)

// WeightedService is one of the services that share the requests of a route by their weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route is a queue: jobs for a host and path prefix go to a service. Priority 0 is the most urgent; MaxAttempts is how
// often a task may fail; the aim for a job is Stretch times its longest chain of work, plus TargetLatencyMs.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path-prefix"`
	Type            string  `json:"route-type"`
	TimeoutMs       int64   `json:"timeout-ms"`
	TargetLatencyMs int64   `json:"target-latency-ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max-attempts"`
	StretchFactor   float64 `json:"stretch-factor"`
	// IsPublic lets calls through that bear no key, also where the configuration has tenants.
	IsPublic bool `json:"public,omitempty"`
	// Split names services in place of Service.
	Split []WeightedService `json:"weighted-split,omitempty"`
	// IsResumable tells that a stream may go on at another executor after its last event.
	IsResumable bool `json:"resumable,omitempty"`
	// MaxQueueS is how many seconds an item of a lot may wait before it may be given up.
	MaxQueueS float64 `json:"max-queue-s,omitempty"`
	// ResultDeadlineMs is how long after a lot was sent its results are due.
	ResultDeadlineMs int64 `json:"result-deadline-ms,omitempty"`
	// UpperLimit is how many tokens a tenant may have waiting in lots of the route, as a number; TokenLimit reads it.
	UpperLimit easyjson.RawMessage `json:"upper-limit,omitempty"`
}

// Tenant is a team that hands jobs in under its keys. Weight is its share once everything is full, and the jobs a second that it may
// expect to be done; Limit is what it may have running at once over all executors.
type Tenant struct {
	Name   string     `json:"name"`
	Keys   []string   `json:"api-keys"`
	Weight float64    `json:"weight"`
	Limit  UpperLimit `json:"upper-limit"`
}

// Service is a pool of executors. ConnectionLimit is how many connections each takes; Guards says that they turn away what does
// not fit.
type Service struct {
	Name            string `json:"name"`
	ConnectionLimit int    `json:"connection-limit"`
	GuardsCapacity  bool   `json:"guard-list"`
	Protocol        string `json:"protocol"`
}

// Limits are those of clients' requests; sizes in bytes, times in milliseconds.
type Limits struct {
	HeaderBytes     int   `json:"max-header-bytes"`
	BodyBytes       int64 `json:"max-body-bytes"`
	HeaderTimeoutMs int64 `json:"header-timeout-ms"`
	IdleTimeoutMs   int64 `json:"idle-timeout-ms"`
}

// Configuration is what the operator sent, as far as this system uses it.
type Configuration struct {
	Version  int64     `json:"config-version"`
	Routes   []Route   `json:"route-list"`
	Services []Service `json:"service-list"`
	Limits   Limits    `json:"limits"`
	// Tenants is nil where the configuration has none; then no call needs a key.
	Tenants []Tenant `json:"tenant-list,omitempty"`
	// Rollouts bring new versions of services to routes step by step.
	Rollouts []Rollout `json:"rollout-list,omitempty"`
}

// TokenLimit is how many tokens a tenant may have waiting in lots of the route; 0 is no limit.
func (r *Route) TokenLimit() int64 {
	limit, err := strconv.ParseFloat(string(r.UpperLimit), 64)
	if err != nil {
		return 0
	}
	return int64(limit)
}

// RunsJobs tells whether the route is a queue of jobs: its type is none of those that pass requests on.
func (r *Route) RunsJobs() bool { return r.Type != RouteStreaming && r.Type != RouteBatch }

// ServiceFor gives the service of a request by its ID: the only one, or one of those that share the route by weight. It is the same for
// an ID at every process.
func (r *Route) ServiceFor(id string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := drawOf(id) * total
	for _, share := range r.Split {
		if left -= share.Weight; left < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// drawOf is a number from 0 on and below 1 that an ID decides.
func drawOf(id string) float64 {
	sum := fnv.New32a()
	sum.Write([]byte(id))
	return float64(sum.Sum32()) / (1 << 32)
}
