package rollouts

import (
	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/control/queuemoves"
	"gannetline/internal/scheduling/scheduler"
)

// PolicyFor returns what the pool of a service must know of the rollouts in which the service is one of the two versions. These are the
// rollouts in progress and, for the new version, also those that were rolled back: the pool returns the new version's jobs to the old one.
func PolicyFor(snapshot *configcache.Snapshot, service string) scheduler.RolloutPolicy {
	policy, matcher, queues := scheduler.RolloutPolicy{Version: snapshot.Committed.Version}, snapshot.Matcher, queuemoves.NewQueues(snapshot)
	for index := range matcher.Configuration().Rollouts {
		rollout := &matcher.Configuration().Rollouts[index]
		if rollout.BegunMs == 0 || service != rollout.From && service != rollout.To {
			continue
		}
		terms := scheduler.RolloutTerms{Name: rollout.Name, BegunMs: rollout.BegunMs, Route: rollout.Route}
		switch {
		case rollout.State == configuration.RolloutRolledBack:
			route := queues.RouteOf(rollout.Route)
			if !returnsJobs(rollout, route, matcher, service) {
				continue
			}
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
// also if the queue was removed meanwhile and route is nil. It keeps them if the queue, which may have another name now, leads to the new
// version again, or another rollout is moving the queue there.
func returnsJobs(rollout *configuration.Rollout, route *configuration.Route, matcher *configuration.Matcher, service string) bool {
	if service != rollout.To {
		return false
	}
	if route == nil {
		return true
	}
	inProgress := matcher.Rollout(route.Name)
	return route.Service != service && (inProgress == nil || inProgress.To != service)
}
