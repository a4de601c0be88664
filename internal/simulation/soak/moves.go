package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"gannetline/internal/cluster/configuration"
)

const (
	// movedServiceName is the second service of a soak with moves. Half of the local proxies belong to it.
	movedServiceName = serviceName + "-moved"
	// renamedRoute is the second name of the route of the clients' queue.
	renamedRoute = "jobs-renamed"
	// lotsRoute is the name of the route for lots, and renamedLotsRoute its second name.
	lotsRoute        = "drafts"
	renamedLotsRoute = "drafts-renamed"
)

// queuePlace is the route of the clients' queue in one version of the configuration. Without a name there is no such route.
type queuePlace struct{ name, service string }

// queuePlaces are the places of the queue in consecutive versions, again and again, in a soak with moves: it is removed and comes back on the
// other service and on the same one, moves, and gets another name. The first version has the queue.
var queuePlaces = []queuePlace{{jobsRoute, serviceName}, {}, {jobsRoute, movedServiceName}, {}, {jobsRoute, movedServiceName}, {renamedRoute, movedServiceName},
	{renamedRoute, serviceName}, {}, {jobsRoute, serviceName}, {jobsRoute, movedServiceName}, {renamedRoute, serviceName}, {jobsRoute, serviceName}}

// lotsRouteNames are the names of the route for lots in consecutive versions, again and again, in a soak with moves. Without a name there is
// no such route. The first version has the route.
var lotsRouteNames = []string{lotsRoute, renamedLotsRoute, renamedLotsRoute, lotsRoute, "", renamedLotsRoute, lotsRoute}

// lotsRouteIn returns the name of the route for lots in a version, "" if the version has none.
func (l *Layout) lotsRouteIn(version int64) string {
	if !l.Mix.Has(FeatureMoves) {
		return lotsRoute
	}
	return lotsRouteNames[int(version-firstVersion)%len(lotsRouteNames)]
}

// queuePlaceIn returns the place of the clients' queue in a version.
func (l *Layout) queuePlaceIn(version int64) queuePlace {
	if !l.Mix.Has(FeatureMoves) {
		return queuePlace{jobsRoute, serviceName}
	}
	return queuePlaces[int(version-firstVersion)%len(queuePlaces)]
}

// queueRoutes returns the route of the clients' queue in a version, or no route.
func (l *Layout) queueRoutes(version int64) []configuration.Route {
	place := l.queuePlaceIn(version)
	if place.name == "" {
		return nil
	}
	route := routeOf(place.name, jobsPrefix)
	route.Service = place.service
	return []configuration.Route{route}
}

// returnQueue puts the clients' queue back if the last version has none, so that the jobs can be asked for at the end.
func (o *operator) returnQueue(ctx context.Context) {
	if o.layout.queuePlaceIn(o.version).name != "" {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout/2)
	defer cancel()
	o.change(timeoutCtx)
}

// unknownJobs is a part of OracleLost: a gate without a recent fault answers the client of a job with 410, contactWindow or longer after the
// job was accepted. Other clients may have the key of another tenant, to which the job is unknown.
func unknownJobs(h *History) []Violation {
	var violations []Violation
	accepted := acceptedJobs(h)
	for index := range h.Calls {
		call := &h.Calls[index]
		job := accepted[call.Job]
		isUnknown := call.Verb == verbState && call.Outcome == answered && call.Status == http.StatusGone
		if !isUnknown || job == nil || call.Client != job.client || call.SentAt < job.acceptedAt+contactWindow || h.hadFault(call.Gate, call.SentAt-contactWindow, call.EndedAt) {
			continue
		}
		violations = append(violations, Violation{OracleLost, call.EndedAt, fmt.Sprintf("job %s, accepted at %v, is unknown to %s", call.Job, job.acceptedAt, call.Gate)})
	}
	return violations
}

// hasMoved reports whether a version without the clients' queue, and one after it, were acknowledged.
func (h *History) hasMoved() bool {
	return slices.ContainsFunc(h.Acknowledgements, func(acknowledged Acknowledgement) bool {
		return acknowledged.Version > firstVersion+1
	})
}
