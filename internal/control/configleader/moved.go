package configleader

import (
	"slices"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxMovedRoutes limits the moved routes. If there are more, those that are no longer in the configuration are dropped, the oldest first.
	maxMovedRoutes = 2048
	// droppedMovedRoutes is how many more routes are dropped then. A change that drops routes is sent to all peers as a full image rather than
	// as a delta, so it must be rare.
	droppedMovedRoutes = 256
	// maxFormerServices is the maximum number of former services that are kept for a route. The newest are kept.
	maxFormerServices = 16
	// maxFormerNames is the maximum number of former names that are kept for a route. The newest are kept.
	maxFormerNames = 8
)

// addMovedRoutes returns the moved routes of the next configuration. A queue is what its clients address: a host and a path prefix. So a
// route inherits the former services of the route that had its address before, also if that route has another name, or was removed several
// changes ago. Routes whose jobs a rollout that has begun may split between two services are added as well. The pools of all these services
// may still hold jobs of the route.
func addMovedRoutes(moved []wire.MovedRoute, before, next *configuration.Configuration) []wire.MovedRoute {
	table := newMovedTable(moved)
	former, following := configuration.NewMatcher(before), configuration.NewMatcher(next)
	for index := range before.Routes {
		table.recordChange(&before.Routes[index], following)
	}
	for index := range next.Routes {
		table.inherit(&next.Routes[index], former)
	}
	for _, rollout := range next.Rollouts {
		if rollout.BegunMs > 0 {
			table.addServices(rollout.Route, rollout.From, rollout.To)
		}
	}
	return dropExcessRoutes(table.routes, following)
}

// movedTable holds the moved routes with their positions by the name of the route.
type movedTable struct {
	routes    []wire.MovedRoute
	positions map[string]int
}

func newMovedTable(moved []wire.MovedRoute) *movedTable {
	table := &movedTable{routes: moved, positions: map[string]int{}}
	for position, route := range moved {
		table.positions[route.Route] = position
	}
	return table
}

// entry returns the entry of a route and adds it if there is none. The pointer is valid until the next call.
func (t *movedTable) entry(route string) *wire.MovedRoute {
	position, isKnown := t.positions[route]
	if !isKnown {
		position = len(t.routes)
		t.positions[route] = position
		t.routes = append(t.routes, wire.MovedRoute{Route: route})
	}
	return &t.routes[position]
}

// addServices adds services to the former services of a route.
func (t *movedTable) addServices(route string, services ...string) {
	entry := t.entry(route)
	for _, service := range services {
		entry.Services = appendNewest(entry.Services, service, maxFormerServices)
	}
}

// recordChange records the service that a queue leads to if the next configuration has no queue of this name that leads there, and the
// address of the queue if the next configuration has no queue of this name at this address.
func (t *movedTable) recordChange(before *configuration.Route, following *configuration.Matcher) {
	if !before.RunsJobs() {
		return
	}
	next := following.ByName(before.Name)
	remains := next != nil && next.RunsJobs()
	if !remains || next.Service != before.Service {
		t.addServices(before.Name, before.Service)
	}
	if !remains || next.Address() != before.Address() {
		t.addServices(before.Name, before.Service)
		t.entry(before.Name).LeftAddress = before.Address()
	}
}

// inherit adds the former services and names of the queues that have left the address of a queue, if the queue wasn't there before.
func (t *movedTable) inherit(next *configuration.Route, former *configuration.Matcher) {
	before := former.ByName(next.Name)
	wasThere := before != nil && before.RunsJobs() && before.Address() == next.Address()
	if !next.RunsJobs() || wasThere {
		return
	}
	address := next.Address()
	for position := range t.routes {
		if t.routes[position].LeftAddress == address && t.routes[position].Route != next.Name {
			t.inheritFrom(t.routes[position], next.Name)
		}
	}
}

// inheritFrom adds the former services and names of a route, and its own name, to those of another route.
func (t *movedTable) inheritFrom(predecessor wire.MovedRoute, route string) {
	t.addServices(route, predecessor.Services...)
	entry := t.entry(route)
	for _, name := range append(slices.Clone(predecessor.Names), predecessor.Route) {
		if name != route {
			entry.Names = appendNewest(entry.Names, name, maxFormerNames)
		}
	}
}

// appendNewest adds a value to a list without duplicates, unless it is there. It drops the oldest values above the limit. The list itself
// stays as it is.
func appendNewest(values []string, value string, limit int) []string {
	if slices.Contains(values, value) {
		return values
	}
	values = append(slices.Clone(values), value)
	return values[max(0, len(values)-limit):]
}

// dropExcessRoutes drops the oldest moved routes, with some in reserve, if there are more than maxMovedRoutes, but none that is still in the
// configuration.
func dropExcessRoutes(moved []wire.MovedRoute, inForce *configuration.Matcher) []wire.MovedRoute {
	if len(moved) <= maxMovedRoutes {
		return moved
	}
	excess := len(moved) - maxMovedRoutes + droppedMovedRoutes
	return slices.DeleteFunc(moved, func(route wire.MovedRoute) bool {
		isDropped := excess > 0 && inForce.ByName(route.Route) == nil
		if isDropped {
			excess--
		}
		return isDropped
	})
}
