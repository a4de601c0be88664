package lots

import (
	"time"

	"gannetline/internal/cluster/configuration"
)

// removedRouteGrace is how long the route of a lot has to be missing until its items are given up, so that an operator can put it back or
// correct its name. It is longer than a new leader may lag behind with the configuration.
const removedRouteGrace = 3 * time.Second

// routeNamed returns the route for lots with a name in the configuration in force, nil if there is none.
func (p *Part) routeNamed(name string) *configuration.Route {
	matcher := p.Configuration()
	if matcher == nil {
		return nil
	}
	return batchRoute(matcher.ByName(name))
}

// routeOf returns the route of a lot in the configuration in force: the one of the name that the lot was submitted to or, if there is none,
// the one at the same host and path prefix, as a route may get another name. It returns nil if the lot has no route any more.
func (p *Part) routeOf(lot *lot) *configuration.Route {
	if route := p.routeNamed(lot.record.Route); route != nil {
		return route
	}
	if matcher := p.Configuration(); matcher != nil && lot.record.Address != "" {
		return batchRoute(matcher.ByAddress(lot.record.Address))
	}
	return nil
}

// batchRoute returns a route if it accepts lots, otherwise nil.
func batchRoute(route *configuration.Route) *configuration.Route {
	if route == nil || route.Type != configuration.RouteBatch {
		return nil
	}
	return route
}

// needsKey reports whether calls about a lot need the API key of its tenant. They do if there are tenants, unless the lot's route is public.
func (p *Part) needsKey(lot *lot) bool {
	matcher := p.Configuration()
	if matcher == nil {
		return true
	}
	if route := p.routeOf(lot); route != nil {
		return matcher.NeedsKey(route)
	}
	return matcher.HasTenants()
}

// hasLostRoute reports whether a lot has had no route for removedRouteGrace. It is called about once a second for a lot without a route.
func (p *Part) hasLostRoute(lot *lot, now time.Duration) bool {
	if matcher := p.Configuration(); matcher == nil || matcher.Configuration().Version <= lot.record.Version {
		// This leader's configuration is older than the one by which the lot was accepted.
		return false
	}
	if !lot.isRouteMissing {
		lot.isRouteMissing, lot.routeMissingSince = true, now
	}
	return now-lot.routeMissingSince >= removedRouteGrace
}
