package configleader

import (
	"slices"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// mostMoved routes are remembered that went to another service; beyond that those go first which are no longer
	// in the configuration, the oldest of them before others.
	mostMoved = 2048
	// mostServices that a route went to before are remembered, the last ones.
	mostServices = 16
)

// movedRoutes adds the routes that the next configuration sends to another service than the one before.
func movedRoutes(moved []wire.MovedRoute, before, next *configuration.Configuration) []wire.MovedRoute {
	former := configuration.NewMatcher(before)
	places := map[string]int{}
	for place, route := range moved {
		places[route.Entry] = place
	}
	for _, route := range next.Entries {
		was := former.ByName(route.Name)
		if was == nil || was.Service == route.Service {
			continue
		}
		place, isThere := places[route.Name]
		if !isThere {
			places[route.Name] = len(moved)
			moved = append(moved, wire.MovedRoute{Entry: route.Name, Services: []string{was.Service}})
			continue
		}
		moved[place].Services = withService(moved[place].Services, was.Service)
	}
	return boundMoved(moved, next)
}

// withService adds a service to those that a route led to before.
func withService(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	services = append(slices.Clone(services), service)
	return services[max(0, len(services)-mostServices):]
}

// boundMoved drops what is beyond mostMoved, if it is no longer in the configuration.
func boundMoved(moved []wire.MovedRoute, next *configuration.Configuration) []wire.MovedRoute {
	beyond := len(moved) - mostMoved
	if beyond <= 0 {
		return moved
	}
	inForce := configuration.NewMatcher(next)
	return slices.DeleteFunc(moved, func(route wire.MovedRoute) bool {
		isDropped := beyond > 0 && inForce.ByName(route.Entry) == nil
		if isDropped {
			beyond--
		}
		return isDropped
	})
}
