package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/multierr"
)

// Read decodes a configuration and checks all that can be checked without knowing the one in force. If the body can't be decoded, it returns
// nil and an error. If the check fails, it returns both the configuration and an error that combines a *FieldError for each invalid field.
func Read(body []byte) (*Configuration, error) {
	decoded := &Configuration{}
	if err := easyjson.Unmarshal(body, decoded); err != nil {
		return nil, errors.Annotate(err, "the configuration can't be read")
	}
	return decoded, decoded.check()
}

// FieldError describes an invalid field of a configuration.
type FieldError struct {
	// Route is the name of the route and Rollout that of the rollout; both are empty for a field of the configuration itself.
	Route, Rollout string
	// Problem names the field and says why it is invalid.
	Problem string
}

// Error names the route or rollout and the field.
func (e *FieldError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("route %q: %s", e.Route, e.Problem)
	case e.Rollout != "":
		return fmt.Sprintf("rollout %q: %s", e.Rollout, e.Problem)
	}
	return e.Problem
}

// problems collects a FieldError for each invalid field of a configuration.
type problems struct{ err error }

// add adds an invalid field of a route, or of the configuration itself if the route is empty.
func (p *problems) add(route, format string, values ...any) {
	p.err = multierr.Append(p.err, &FieldError{Route: route, Problem: fmt.Sprintf(format, values...)})
}

func (p *problems) addRollout(rollout, format string, values ...any) {
	p.err = multierr.Append(p.err, &FieldError{Rollout: rollout, Problem: fmt.Sprintf(format, values...)})
}

func (c *Configuration) check() error {
	var problems problems
	if c.Version <= 0 {
		problems.add("", "field config-version must be above 0")
	}
	services := c.checkServices(&problems)
	c.checkRoutes(&problems, services)
	c.checkRollouts(&problems, services)
	c.checkTenants(&problems)
	return problems.err
}

// checkServices checks the list of services and returns their names.
func (c *Configuration) checkServices(problems *problems) map[string]bool {
	services := map[string]bool{}
	for _, service := range c.Services {
		if service.Name == "" {
			problems.add("", "field service-list: a service has no name")
		}
		if services[service.Name] {
			problems.add("", "field service-list: %q stands twice", service.Name)
		}
		services[service.Name] = true
	}
	return services
}

// checkRoutes checks each route's fields, and that no two routes have the same host and path prefix.
func (c *Configuration) checkRoutes(problems *problems, services map[string]bool) {
	routeAt := map[string]string{}
	for _, route := range c.Routes {
		if route.Name == "" {
			problems.add("", "field route-list: a route has no name")
		}
		route.checkServices(problems, services)
		if route.TimeoutMs <= 0 {
			problems.add(route.Name, "field timeout-ms must be above 0")
		}
		if route.MaxAttempts < 0 || route.StretchFactor < 0 || route.TargetLatencyMs < 0 {
			problems.add(route.Name, "a field is negative")
		}
		location := route.Host + " " + route.PathPrefix
		if other, isTaken := routeAt[location]; isTaken {
			problems.add(route.Name, "fields host and path-prefix are those of route %q", other)
		}
		routeAt[location] = route.Name
	}
}

// checkServices checks that the route's service exists or, for a weighted split, that its services exist and its weights are valid.
func (r *Route) checkServices(problems *problems, services map[string]bool) {
	if len(r.Split) == 0 {
		if !services[r.Service] {
			problems.add(r.Name, "field service names %q, which is unknown", r.Service)
		}
		return
	}
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			problems.add(r.Name, "field weighted-split names %q, which is unknown", share.Service)
		}
		if share.Weight < 0 {
			problems.add(r.Name, "field weighted-split has a negative weight")
		}
		total += share.Weight
	}
	if total <= 0 {
		problems.add(r.Name, "field weighted-split has weights whose sum is 0")
	}
}

// Matcher looks up routes, tenants and rollouts in a configuration. The route of a request is, among the routes of the request's host, the
// one with the longest matching path prefix.
type Matcher struct {
	configuration *Configuration
	// byHost and byName hold indices in the list of routes; those of a host are sorted by the length of the prefix, the longest first.
	byHost map[string][]int
	byName map[string]int

	tenants tenantIndex
	// rollouts holds, by the name of the route, the index of its rollout that isn't over.
	rollouts map[string]int
}

// NewMatcher builds the indices of a configuration, which must not change afterwards.
func NewMatcher(configuration *Configuration) *Matcher {
	matcher := &Matcher{configuration: configuration, byHost: map[string][]int{}, byName: map[string]int{},
		tenants: newTenantIndex(configuration.Tenants), rollouts: map[string]int{}}
	for index, rollout := range configuration.Rollouts {
		if !rollout.IsOver() {
			matcher.rollouts[rollout.Route] = index
		}
	}
	for index, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		matcher.byHost[host] = append(matcher.byHost[host], index)
		matcher.byName[route.Name] = index
	}
	for _, indices := range matcher.byHost {
		slices.SortFunc(indices, func(a, b int) int {
			return len(configuration.Routes[b].PathPrefix) - len(configuration.Routes[a].PathPrefix)
		})
	}
	return matcher
}

// Configuration returns the configuration that the matcher was built from.
func (m *Matcher) Configuration() *Configuration { return m.configuration }

// hostName is the name in a Host header, in lower case and without the port, as byHost has it.
func hostName(host string) string {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	return name
}

// Match returns the route of a request, nil if there is none.
func (m *Matcher) Match(host, path string) *Route {
	for _, index := range m.byHost[hostName(host)] {
		if route := &m.configuration.Routes[index]; strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Rollout returns the unfinished rollout of a route, nil if there is none.
func (m *Matcher) Rollout(route string) *Rollout {
	if index, exists := m.rollouts[route]; exists {
		return &m.configuration.Rollouts[index]
	}
	return nil
}

// ServiceFor returns the service that runs the job of an ID: the one that the route's rollout chooses, or Route.Service without a rollout.
func (m *Matcher) ServiceFor(route *Route, id string) string {
	if rollout := m.Rollout(route.Name); rollout != nil {
		return rollout.ServiceFor(id)
	}
	return route.Service
}

// ByAddress returns the route of an address (see Route.Address), nil if there is none.
func (m *Matcher) ByAddress(address string) *Route {
	host, _, _ := strings.Cut(address, "/")
	for _, index := range m.byHost[host] {
		if route := &m.configuration.Routes[index]; route.Address() == address {
			return route
		}
	}
	return nil
}

// ByName returns the route of a name, nil if there is none.
func (m *Matcher) ByName(name string) *Route {
	if index, exists := m.byName[name]; exists {
		return &m.configuration.Routes[index]
	}
	return nil
}
