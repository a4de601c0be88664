package configleader

import (
	"slices"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// maxMovedRoutes routes are remembered that went to another service; beyond that those go first which are no longer
	// in the configuration, the oldest of them before others.
	maxMovedRoutes = 2048
	// maxFormerServices that a route went to before are remembered, the last ones.
	maxFormerServices = 16
)

// movedRoutes adds the routes that the next configuration sends to another service than the one before, and those whose jobs a rollout
// may divide between two: the jobs of either version stay where they were accepted.
func movedRoutes(moved []wire.MovedRoute, before, next *configuration.Configuration) []wire.MovedRoute {
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
		moved[position].Services = withService(moved[position].Services, service)
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
	return boundMoved(moved, next)
}

// withService adds a service to those that a route led to before.
func withService(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	services = append(slices.Clone(services), service)
	return services[max(0, len(services)-maxFormerServices):]
}

// boundMoved drops what is beyond maxMovedRoutes, if it is no longer in the configuration.
func boundMoved(moved []wire.MovedRoute, next *configuration.Configuration) []wire.MovedRoute {
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
