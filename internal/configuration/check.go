package configuration

import (
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"go.uber.org/multierr"
)

// Read decodes a plan and checks all that can be checked without knowing the current one.
func Read(body []byte) (*Configuration, error) {
	plan := &Configuration{}
	if err := easyjson.Unmarshal(body, plan); err != nil {
		return nil, errors.Annotate(err, "the plan can't be read whole")
	}
	return plan, plan.check()
}

func (p *Configuration) check() error {
	var found error
	complain := func(format string, values ...any) {
		found = multierr.Append(found, errors.Errorf(format, values...))
	}
	if p.Version <= 0 {
		complain("field config-version must be above 0")
	}
	services := map[string]bool{}
	for _, service := range p.Services {
		if service.Name == "" {
			complain("field service-list: a service has no name")
		}
		if services[service.Name] {
			complain("field service-list: %q stands twice", service.Name)
		}
		services[service.Name] = true
	}
	places := map[string]string{}
	for _, entry := range p.Entries {
		if entry.Name == "" {
			complain("field route-list: a route has no name")
		}
		if !services[entry.Service] {
			complain("route %q: field service names %q, which is unknown", entry.Name, entry.Service)
		}
		if entry.TimeoutMs <= 0 {
			complain("route %q: field timeout-ms must be above 0", entry.Name)
		}
		if entry.MaxAttempts < 0 || entry.Stretch < 0 || entry.TargetMs < 0 {
			complain("route %q: a field is negative", entry.Name)
		}
		place := entry.Host + " " + entry.Prefix
		if other, isTaken := places[place]; isTaken {
			complain("route %q: fields host and path-prefix are those of route %q", entry.Name, other)
		}
		places[place] = entry.Name
	}
	return found
}

// Matcher finds the entry of a call: host, then the longest prefix.
type Matcher struct {
	plan   *Configuration
	byHost map[string][]int
	byName map[string]int
}

// NewMatcher prepares the look-up of a configuration's routes.
func NewMatcher(plan *Configuration) *Matcher {
	matcher := &Matcher{plan: plan, byHost: map[string][]int{}, byName: map[string]int{}}
	for place, entry := range plan.Entries {
		host := strings.ToLower(entry.Host)
		matcher.byHost[host] = append(matcher.byHost[host], place)
		matcher.byName[entry.Name] = place
	}
	for _, places := range matcher.byHost {
		slices.SortFunc(places, func(one, two int) int {
			return len(plan.Entries[two].Prefix) - len(plan.Entries[one].Prefix)
		})
	}
	return matcher
}

// Plan gives the configuration that is looked up.
func (m *Matcher) Plan() *Configuration { return m.plan }

// Match gives the route of a request, nil if there is none.
func (m *Matcher) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, place := range m.byHost[host] {
		if entry := &m.plan.Entries[place]; strings.HasPrefix(path, entry.Prefix) {
			return entry
		}
	}
	return nil
}

// ByName gives a route by its name, nil if there is none.
func (m *Matcher) ByName(name string) *Route {
	if place, isThere := m.byName[name]; isThere {
		return &m.plan.Entries[place]
	}
	return nil
}
