// Package configuration reads and checks the operator's configurations.
package configuration

//go:generate go run github.com/mailru/easyjson/easyjson -all configuration.go

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
}
