package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/multierr"
)

// Read decodes a configuration and checks all that can be checked without knowing the current one. An error that comes
// with a configuration holds a *FieldError for every field at fault; without one, the body can't be read.
func Read(body []byte) (*Configuration, error) {
	decoded := &Configuration{}
	if err := easyjson.Unmarshal(body, decoded); err != nil {
		return nil, errors.Annotate(err, "the configuration can't be read")
	}
	return decoded, decoded.check()
}

// FieldError tells what is wrong with a field of a configuration.
type FieldError struct {
	// Route is the name of the route and Rollout that of the rollout; both are empty for a field of the configuration itself.
	Route, Rollout string
	// Problem names the field and says what is wrong with it.
	Problem string
}

// Error names the route and the field.
func (e *FieldError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("route %q: %s", e.Route, e.Problem)
	case e.Rollout != "":
		return fmt.Sprintf("rollout %q: %s", e.Rollout, e.Problem)
	}
	return e.Problem
}

// problems gathers all that is wrong with a configuration.
type problems struct{ err error }

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

// checkServices gives the names of the services.
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
	takenBy := map[string]string{}
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
		if other, isTaken := takenBy[location]; isTaken {
			problems.add(route.Name, "fields host and path-prefix are those of route %q", other)
		}
		takenBy[location] = route.Name
	}
}

// checkServices checks the service of a route, or those that share it.
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

// Matcher finds the route of a request: host, then the longest prefix.
type Matcher struct {
	configuration *Configuration
	// byHost and byName hold places in the list of routes, those of a host with the longest prefix first.
	byHost map[string][]int
	byName map[string]int

	tenants tenantIndex
	// rollouts holds, by route, the place of the rollout that decides on its jobs.
	rollouts map[string]int
}

// NewMatcher prepares the look-up of a configuration's routes and tenants.
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

// Configuration gives the configuration in which routes are looked up.
func (m *Matcher) Configuration() *Configuration { return m.configuration }

// hostName is a Host header as routes are looked up by it: without a port.
func hostName(host string) string {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	return name
}

// Match gives the route of a request, nil if there is none.
func (m *Matcher) Match(host, path string) *Route {
	for _, index := range m.byHost[hostName(host)] {
		if route := &m.configuration.Routes[index]; strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Rollout gives the rollout that is under way for a route, nil if there is none.
func (m *Matcher) Rollout(route string) *Rollout {
	if index, exists := m.rollouts[route]; exists {
		return &m.configuration.Rollouts[index]
	}
	return nil
}

// ServiceFor gives the service that runs the job of an ID: that of its route, or the version that a rollout under way decides on.
func (m *Matcher) ServiceFor(route *Route, id string) string {
	if rollout := m.Rollout(route.Name); rollout != nil {
		return rollout.ServiceFor(id)
	}
	return route.Service
}

// ByName gives a route by its name, nil if there is none.
func (m *Matcher) ByName(name string) *Route {
	if index, exists := m.byName[name]; exists {
		return &m.configuration.Routes[index]
	}
	return nil
}
