// Package routekind serves clients of gates that both accept jobs and forward requests. The type of a request's route decides which of
// the two handlers serves it.
package routekind

import (
	"net/http"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/gate/servingapi"
)

// Handler passes each request to one of two handlers. Any goroutine may call it.
type Handler struct {
	snapshot func() *configcache.Snapshot
	jobs     http.Handler
	requests http.Handler
}

// New returns a handler that decides by the latest configuration.
func New(snapshot func() *configcache.Snapshot, jobs, requests http.Handler) *Handler {
	return &Handler{snapshot: snapshot, jobs: jobs, requests: requests}
}

// ServeHTTP passes a client's request to the handler of its kind.
func (h *Handler) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	if h.isForJobs(request) {
		h.jobs.ServeHTTP(to, request)
		return
	}
	h.requests.ServeHTTP(to, request)
}

// isForJobs reports whether a request is about jobs. A request without a route is not about jobs; the other handler refuses it.
func (h *Handler) isForJobs(request *http.Request) bool {
	snapshot := h.snapshot()
	if snapshot == nil || servingapi.IsAboutLots(request.URL.Path) {
		return false
	}
	route := snapshot.Matcher.Match(request.Host, request.URL.Path)
	return route != nil && route.RunsJobs()
}
