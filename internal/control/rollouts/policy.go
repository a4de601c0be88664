package rollouts

import (
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/scheduler"
)

// PolicyFor works out what a configuration says of the rollouts in which a service is a version. A rollout that was turned back
// returns no jobs where its route leads to the new version by now, or another rollout brings it there.
func PolicyFor(version int64, matcher *configuration.Matcher, service string) scheduler.RolloutPolicy {
	policy := scheduler.RolloutPolicy{Version: version}
	for _, one := range matcher.Configuration().Rollouts {
		terms := scheduler.RolloutTerms{Name: one.Name, BegunMs: one.BegunMs, Route: one.Route}
		route := matcher.ByName(one.Route)
		switch {
		case one.BegunMs == 0 || route == nil || service != one.From && service != one.To:
			continue
		case one.State == configuration.RolloutTurnedBack:
			underWay := matcher.Rollout(one.Route)
			if service != one.To || route.Service == service || underWay != nil && underWay.To == service {
				continue
			}
			terms.ReturnTo, terms.StopsRuns, terms.IsRepeatable = one.From, one.StopsRuns(), route.Type == configuration.RouteIdempotent
		case one.IsOver():
			continue
		}
		policy.Rollouts = append(policy.Rollouts, terms)
	}
	return policy
}
