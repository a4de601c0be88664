// Package queuemoves derives from a configuration which queues no longer lead to the service of a pool, so that the pool can transfer the
// jobs of these queues to the pools that run them now.
package queuemoves

import (
	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
)

// Queues finds the queues of jobs, which keep the name that their queue had when they were submitted. It is immutable.
type Queues struct {
	matcher *configuration.Matcher
	// successors maps each former name of a queue to the queue's present name.
	successors map[string]string
}

// NewQueues returns the queues of a version of the configuration.
func NewQueues(snapshot *configcache.Snapshot) *Queues {
	queues := &Queues{matcher: snapshot.Matcher, successors: map[string]string{}}
	for _, moved := range snapshot.Committed.Moved {
		if queues.named(moved.Route) == nil {
			continue
		}
		for _, name := range moved.Names {
			queues.successors[name] = moved.Route
		}
	}
	return queues
}

// RouteOf returns the route of the queue with a present or former name, nil if there is none. A present name goes before a former one.
func (q *Queues) RouteOf(name string) *configuration.Route {
	if route := q.named(name); route != nil {
		return route
	}
	return q.named(q.successors[name])
}

// named returns the route with a present name, nil if there is none or if it doesn't run jobs.
func (q *Queues) named(name string) *configuration.Route {
	if route := q.matcher.ByName(name); route != nil && route.RunsJobs() {
		return route
	}
	return nil
}
