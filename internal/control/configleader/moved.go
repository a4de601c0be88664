package configleader

import (
	"slices"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxMovedRoutes limits the moved routes. If there are more, those that are no longer in the configuration are dropped, the oldest first.
	maxMovedRoutes = 2048
	// maxFormerServices is the maximum number of former services that are kept for a route. The newest are kept.
	maxFormerServices = 16
)

// addMovedRoutes adds to the moved routes those that lead to another service in the next configuration, and those whose jobs a rollout that
// has begun may split between two services. The pools of all these services may still hold jobs of the route.
func addMovedRoutes(moved []wire.MovedRoute, before, next *configuration.Configuration) []wire.MovedRoute {
	former := configuration.NewMatcher(before)
	positions := map[string]int{}
	for position, route := range moved {
		positions[route.Route] = position
	}
	add := func(route, service string) {
		position, isKnown := positions[route]
		if !isKnown {
			positions[route] = len(moved)
			moved = append(moved, wire.MovedRoute{Route: route, Services: []string{service}})
			return
		}
		moved[position].Services = addService(moved[position].Services, service)
	}
	for _, route := range next.Routes {
		if formerRoute := former.ByName(route.Name); formerRoute != nil && formerRoute.Service != route.Service {
			add(route.Name, formerRoute.Service)
		}
	}
	for _, rollout := range next.Rollouts {
		if rollout.BegunMs > 0 {
			add(rollout.Route, rollout.From)
			add(rollout.Route, rollout.To)
		}
	}
	return dropExcessRoutes(moved, next)
}

// addService adds a service to the former services of a route, unless it is among them. It drops the oldest ones above maxFormerServices.
func addService(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	services = append(slices.Clone(services), service)
	return services[max(0, len(services)-maxFormerServices):]
}

// dropExcessRoutes drops the oldest moved routes above maxMovedRoutes, but none that is still in the configuration.
func dropExcessRoutes(moved []wire.MovedRoute, next *configuration.Configuration) []wire.MovedRoute {
	excess := len(moved) - maxMovedRoutes
	if excess <= 0 {
		return moved
	}
	inForce := configuration.NewMatcher(next)
	return slices.DeleteFunc(moved, func(route wire.MovedRoute) bool {
		isDropped := excess > 0 && inForce.ByName(route.Route) == nil
		if isDropped {
			excess--
		}
		return isDropped
	})
}
