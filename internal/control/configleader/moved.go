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

// movedRoutes adds the routes that the next configuration sends to another service than the one before.
func movedRoutes(moved []wire.MovedRoute, before, next *configuration.Configuration) []wire.MovedRoute {
	former := configuration.NewMatcher(before)
	positions := map[string]int{}
	for position, route := range moved {
		positions[route.Route] = position
	}
	for _, route := range next.Routes {
		formerRoute := former.ByName(route.Name)
		if formerRoute == nil || formerRoute.Service == route.Service {
			continue
		}
		position, isKnown := positions[route.Name]
		if !isKnown {
			positions[route.Name] = len(moved)
			moved = append(moved, wire.MovedRoute{Route: route.Name, Services: []string{formerRoute.Service}})
			continue
		}
		moved[position].Services = withService(moved[position].Services, formerRoute.Service)
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
