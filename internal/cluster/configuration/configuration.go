// Package configuration decodes, checks and edits the operator's configurations, and looks up routes, tenants and rollouts in them.
package configuration

import (
	"hash/fnv"
	"strconv"

	"github.com/mailru/easyjson"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all configuration.go rollouts.go

// The types of routes that are treated specially. Routes of any type but RouteStreaming and RouteBatch run jobs.
const (
	// RouteStreaming passes requests on to an executor, whose answer is a stream of events.
	RouteStreaming = "streaming"
	// RouteBatch accepts requests in lots, which run later.
	RouteBatch = "batch"
	// RouteIdempotent accepts requests that may run more than once.
	RouteIdempotent = "idempotent"
)

// WeightedService is one of several services of a route. Its share of the requests is its weight over the sum of weights.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route leads the requests for a host and path prefix to a service. Priority 0 is the most urgent. MaxAttempts is the number of failures
// after which a task is not attempted again; 0 counts as 1. The target time of a job is StretchFactor times its longest chain of dependent
// work, plus TargetLatencyMs.
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
	// IsPublic allows calls without an API key even if the configuration has tenants.
	IsPublic bool `json:"public,omitempty"`
	// Split, if not empty, replaces Service by several services.
	Split []WeightedService `json:"weighted-split,omitempty"`
	// IsResumable allows a broken stream to resume at another executor after the last event.
	IsResumable bool `json:"resumable,omitempty"`
	// MaxQueueS is the maximum time in seconds that an item of a lot may wait. An item that waits for longer is dropped; 0 is no maximum.
	MaxQueueS float64 `json:"max-queue-s,omitempty"`
	// ResultDeadlineMs is the time from the submission of a lot to the deadline of its results.
	ResultDeadlineMs int64 `json:"result-deadline-ms,omitempty"`
	// UpperLimit is the JSON number that TokenLimit returns. Any other JSON value is no limit.
	UpperLimit easyjson.RawMessage `json:"upper-limit,omitempty"`
}

// Tenant is a team that submits jobs under its API keys. Weight is both its relative share of the executors under full load, and its rate in
// jobs per second: jobs above the rate are surplus. A weight of 0 counts as 1. Limit bounds the resources of the tenant's running tasks over
// all executors.
type Tenant struct {
	Name   string     `json:"name"`
	Keys   []string   `json:"api-keys"`
	Weight float64    `json:"weight"`
	Limit  UpperLimit `json:"upper-limit"`
}

// Service is a pool of executors. ConnectionLimit is how many connections each executor accepts. GuardsCapacity is set if the executors
// reject work that exceeds their capacity.
type Service struct {
	Name            string `json:"name"`
	ConnectionLimit int    `json:"connection-limit"`
	GuardsCapacity  bool   `json:"guard-list"`
	Protocol        string `json:"protocol"`
}

// Limits bound the requests of clients. Sizes are in bytes, times in milliseconds.
type Limits struct {
	HeaderBytes     int   `json:"max-header-bytes"`
	BodyBytes       int64 `json:"max-body-bytes"`
	HeaderTimeoutMs int64 `json:"header-timeout-ms"`
	IdleTimeoutMs   int64 `json:"idle-timeout-ms"`
}

// Configuration holds the fields of the operator's configuration that this system uses.
type Configuration struct {
	Version  int64     `json:"config-version"`
	Routes   []Route   `json:"route-list"`
	Services []Service `json:"service-list"`
	Limits   Limits    `json:"limits"`
	// Tenants is nil if the configuration has no list of tenants; no call needs an API key then.
	Tenants []Tenant `json:"tenant-list,omitempty"`
	// Rollouts move routes to new versions of their services, step by step.
	Rollouts []Rollout `json:"rollout-list,omitempty"`
}

// TokenLimit is how many tokens a tenant may have pending in lots of the route; 0 is no limit.
func (r *Route) TokenLimit() int64 {
	limit, err := strconv.ParseFloat(string(r.UpperLimit), 64)
	if err != nil {
		return 0
	}
	return int64(limit)
}

// RunsJobs reports whether the requests of the route are jobs, which are queued and scheduled.
func (r *Route) RunsJobs() bool { return r.Type != RouteStreaming && r.Type != RouteBatch }

// Address identifies the requests that a route accepts: the name of the host, in lower case and without a port, and the path prefix.
func (r *Route) Address() string { return hostName(r.Host) + r.PathPrefix }

// ServiceFor returns the service of a request. In a weighted split, a hash of the request's ID chooses the service, so that all processes
// choose the same one.
func (r *Route) ServiceFor(id string) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := hashFractionOf(id) * total
	for _, share := range r.Split {
		if remaining -= share.Weight; remaining < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// hashFractionOf hashes an ID to a number of at least 0 and below 1.
func hashFractionOf(id string) float64 {
	sum := fnv.New32a()
	sum.Write([]byte(id))
	return float64(sum.Sum32()) / (1 << 32)
}
