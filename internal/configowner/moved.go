package configowner

import (
	"slices"

	"gannetline/internal/configuration"
	"gannetline/internal/peerapi"
)

const (
	// mostMoved routes are remembered that went to another service; beyond that those go first which are no longer
	// in the configuration, the oldest of them before others.
	mostMoved = 2048
	// mostServices that a route went to before are remembered, the last ones.
	mostServices = 16
)

// movedRoutes adds the routes that the next configuration sends to another service than the one before.
func movedRoutes(moved []peerapi.MovedRoute, before, next *configuration.Configuration) []peerapi.MovedRoute {
	old := configuration.NewMatcher(before)
	places := map[string]int{}
	for place, one := range moved {
		places[one.Entry] = place
	}
	for _, entry := range next.Entries {
		was := old.ByName(entry.Name)
		if was == nil || was.Service == entry.Service {
			continue
		}
		place, isThere := places[entry.Name]
		if !isThere {
			places[entry.Name] = len(moved)
			moved = append(moved, peerapi.MovedRoute{Entry: entry.Name, Services: []string{was.Service}})
			continue
		}
		moved[place].Services = withService(moved[place].Services, was.Service)
	}
	return boundMoved(moved, next)
}

func withService(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	services = append(slices.Clone(services), service)
	return services[max(0, len(services)-mostServices):]
}

func boundMoved(moved []peerapi.MovedRoute, next *configuration.Configuration) []peerapi.MovedRoute {
	beyond := len(moved) - mostMoved
	if beyond <= 0 {
		return moved
	}
	inForce := configuration.NewMatcher(next)
	return slices.DeleteFunc(moved, func(one peerapi.MovedRoute) bool {
		isDropped := beyond > 0 && inForce.ByName(one.Entry) == nil
		if isDropped {
			beyond--
		}
		return isDropped
	})
}
