package rollouts

import (
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/scheduler"
)

// PolicyFor returns what the pool of a service must know of the rollouts in which the service is one of the two versions. These are the
// rollouts in progress and, for the new version, also those that were rolled back: the pool returns the new version's jobs to the old one.
// It does not return them if the route leads to the new version again, or another rollout is moving the route there.
func PolicyFor(version int64, matcher *configuration.Matcher, service string) scheduler.RolloutPolicy {
	policy := scheduler.RolloutPolicy{Version: version}
	for _, configured := range matcher.Configuration().Rollouts {
		terms := scheduler.RolloutTerms{Name: configured.Name, BegunMs: configured.BegunMs, Route: configured.Route}
		route := matcher.ByName(configured.Route)
		switch {
		case configured.BegunMs == 0 || route == nil || service != configured.From && service != configured.To:
			continue
		case configured.State == configuration.RolloutRolledBack:
			inProgress := matcher.Rollout(configured.Route)
			if service != configured.To || route.Service == service || inProgress != nil && inProgress.To == service {
				continue
			}
			terms.ReturnTo, terms.StopsRuns, terms.IsRepeatable = configured.From, configured.StopsRuns(), route.Type == configuration.RouteIdempotent
		case configured.IsOver():
			continue
		}
		policy.Rollouts = append(policy.Rollouts, terms)
	}
	return policy
}
