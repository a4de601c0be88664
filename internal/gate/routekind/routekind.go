// Package routekind serves clients where gates both take jobs and pass requests on: the type of its route says which of the two a request
// is.
package routekind

import (
	"net/http"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/gate/servingapi"
)

// Handler sends each request to one of two others. Any goroutine may call it.
type Handler struct {
	snapshot func() *configcache.Snapshot
	jobs     http.Handler
	requests http.Handler
}

// New makes a handler that chooses by the newest configuration.
func New(snapshot func() *configcache.Snapshot, jobs, requests http.Handler) *Handler {
	return &Handler{snapshot: snapshot, jobs: jobs, requests: requests}
}

// ServeHTTP answers one request of a client.
func (h *Handler) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	if h.isForJobs(request) {
		h.jobs.ServeHTTP(to, request)
		return
	}
	h.requests.ServeHTTP(to, request)
}

// isForJobs tells whether a request is about jobs. What has no route is refused by either in the same way.
func (h *Handler) isForJobs(request *http.Request) bool {
	snapshot := h.snapshot()
	if snapshot == nil || servingapi.IsAboutLots(request.URL.Path) {
		return false
	}
	route := snapshot.Matcher.Match(request.Host, request.URL.Path)
	return route != nil && route.RunsJobs()
}
