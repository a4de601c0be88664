package rollouts

import (
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/scheduler"
)

// PolicyFor returns what the pool of a service must know of the rollouts in which the service is one of the two versions. These are the
// rollouts in progress and, for the new version, also those that were rolled back: the pool returns the new version's jobs to the old one.
func PolicyFor(version int64, matcher *configuration.Matcher, service string) scheduler.RolloutPolicy {
	policy := scheduler.RolloutPolicy{Version: version}
	for index := range matcher.Configuration().Rollouts {
		rollout := &matcher.Configuration().Rollouts[index]
		if rollout.BegunMs == 0 || service != rollout.From && service != rollout.To {
			continue
		}
		terms := scheduler.RolloutTerms{Name: rollout.Name, BegunMs: rollout.BegunMs, Route: rollout.Route}
		switch {
		case rollout.State == configuration.RolloutRolledBack:
			if !returnsJobs(rollout, matcher, service) {
				continue
			}
			route := matcher.ByName(rollout.Route)
			terms.ReturnTo, terms.StopsRuns = rollout.From, rollout.StopsRuns()
			terms.IsRepeatable = route != nil && route.Type == configuration.RouteIdempotent
		case rollout.IsOver():
			continue
		}
		policy.Rollouts = append(policy.Rollouts, terms)
	}
	return policy
}

// returnsJobs reports whether the pool of a service returns the jobs of a rollout that was rolled back. Only the pool of the new version does,
// also if the route was removed meanwhile. It keeps them if the route leads to the new version again, or another rollout is moving the route
// there.
func returnsJobs(rollout *configuration.Rollout, matcher *configuration.Matcher, service string) bool {
	route, inProgress := matcher.ByName(rollout.Route), matcher.Rollout(rollout.Route)
	leadsHere := route != nil && route.Service == service || inProgress != nil && inProgress.To == service
	return service == rollout.To && !leadsHere
}
