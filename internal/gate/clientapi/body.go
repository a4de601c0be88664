package clientapi

import (
	"io"
	"net/http"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/platform/response"
)

// ReadBody reads the whole body of a client's request. The size limit is that of the configuration, or defaultLimit bytes if the
// configuration sets none or there is no configuration. A reply with a status means that the body was refused.
func ReadBody(snapshot *configcache.Snapshot, request *http.Request, defaultLimit int64) ([]byte, response.Reply) {
	limit := defaultLimit
	if snapshot != nil && snapshot.Matcher.Configuration().Limits.BodyBytes > 0 {
		limit = snapshot.Matcher.Configuration().Limits.BodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	switch {
	case err != nil:
		return nil, response.Text(http.StatusBadRequest, "the body ended early")
	case int64(len(body)) > limit:
		return nil, response.Text(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	return body, response.Reply{}
}
