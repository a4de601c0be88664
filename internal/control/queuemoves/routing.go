package queuemoves

import "gannetline/internal/cluster/configcache"

// Routing implements scheduler.QueueRouting for the pool of one service under one version of the configuration. It is immutable.
type Routing struct {
	*Queues
	version int64
	service string
}

// NewRouting returns the routing for the pool of a service.
func NewRouting(snapshot *configcache.Snapshot, service string) *Routing {
	return &Routing{Queues: NewQueues(snapshot), version: snapshot.Committed.Version, service: service}
}

// Version returns the version of the configuration.
func (r *Routing) Version() int64 { return r.version }

// HasMoved reports whether a queue exists and leads to another service. While a rollout is in progress, a queue leads to both versions of its
// service.
func (r *Routing) HasMoved(queue string) bool {
	route := r.RouteOf(queue)
	if route == nil || route.Service == "" || route.Service == r.service {
		return false
	}
	rollout := r.matcher.Rollout(route.Name)
	return rollout == nil || rollout.From != r.service && rollout.To != r.service
}

// ServiceFor returns the service that runs a job of a queue that exists.
func (r *Routing) ServiceFor(queue, id string) string {
	return r.matcher.ServiceFor(r.RouteOf(queue), id)
}
