package configuration

import (
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/multierr"
)

// Read decodes a configuration and checks all that can be checked without knowing the current one. An error that comes
// with a configuration names every field at fault; without one, the body can't be read.
func Read(body []byte) (*Configuration, error) {
	decoded := &Configuration{}
	if err := easyjson.Unmarshal(body, decoded); err != nil {
		return nil, errors.Annotate(err, "the plan can't be read whole")
	}
	return decoded, decoded.check()
}

// complaints gathers what is wrong with a configuration.
type complaints struct{ found error }

func (c *complaints) add(format string, values ...any) {
	c.found = multierr.Append(c.found, errors.Errorf(format, values...))
}

func (c *Configuration) check() error {
	var wrong complaints
	if c.Version <= 0 {
		wrong.add("field config-version must be above 0")
	}
	c.checkRoutes(&wrong, c.checkServices(&wrong))
	return wrong.found
}

// checkServices gives the names of the services.
func (c *Configuration) checkServices(wrong *complaints) map[string]bool {
	services := map[string]bool{}
	for _, service := range c.Services {
		if service.Name == "" {
			wrong.add("field service-list: a service has no name")
		}
		if services[service.Name] {
			wrong.add("field service-list: %q stands twice", service.Name)
		}
		services[service.Name] = true
	}
	return services
}

func (c *Configuration) checkRoutes(wrong *complaints, services map[string]bool) {
	takenBy := map[string]string{}
	for _, route := range c.Entries {
		if route.Name == "" {
			wrong.add("field route-list: a route has no name")
		}
		if !services[route.Service] {
			wrong.add("route %q: field service names %q, which is unknown", route.Name, route.Service)
		}
		if route.TimeoutMs <= 0 {
			wrong.add("route %q: field timeout-ms must be above 0", route.Name)
		}
		if route.MaxAttempts < 0 || route.Stretch < 0 || route.TargetMs < 0 {
			wrong.add("route %q: a field is negative", route.Name)
		}
		place := route.Host + " " + route.Prefix
		if other, isTaken := takenBy[place]; isTaken {
			wrong.add("route %q: fields host and path-prefix are those of route %q", route.Name, other)
		}
		takenBy[place] = route.Name
	}
}

// Matcher finds the route of a request: host, then the longest prefix.
type Matcher struct {
	configuration *Configuration
	// byHost and byName hold places in the list of routes, those of a host with the longest prefix first.
	byHost map[string][]int
	byName map[string]int
}

// NewMatcher prepares the look-up of a configuration's routes.
func NewMatcher(configuration *Configuration) *Matcher {
	matcher := &Matcher{configuration: configuration, byHost: map[string][]int{}, byName: map[string]int{}}
	for place, route := range configuration.Entries {
		host := strings.ToLower(route.Host)
		matcher.byHost[host] = append(matcher.byHost[host], place)
		matcher.byName[route.Name] = place
	}
	for _, places := range matcher.byHost {
		slices.SortFunc(places, func(a, b int) int {
			return len(configuration.Entries[b].Prefix) - len(configuration.Entries[a].Prefix)
		})
	}
	return matcher
}

// Plan gives the configuration in which routes are looked up.
func (m *Matcher) Plan() *Configuration { return m.configuration }

// Match gives the route of a request, nil if there is none.
func (m *Matcher) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, place := range m.byHost[host] {
		if route := &m.configuration.Entries[place]; strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// ByName gives a route by its name, nil if there is none.
func (m *Matcher) ByName(name string) *Route {
	if place, isThere := m.byName[name]; isThere {
		return &m.configuration.Entries[place]
	}
	return nil
}
