// Package response builds and writes the responses of gannetline's HTTP interfaces.
package response

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"

	"github.com/juju/errors"

	"gannetline/internal/platform/logging"
)

// A final response has a three-digit status of 200 or above. A status below 200 is interim and can't end a response.
const (
	minFinalStatus = 200
	maxFinalStatus = 999
)

// processLog is the logger of Write. Daemons log to standard error.
var processLog = logging.New(os.Stderr, 0)

// Reply is the response to an HTTP request. The zero value means that there is no response yet. Decoders return it for a request that they
// don't refuse.
type Reply struct {
	// Status is the HTTP status code. 0 means that there is no response yet.
	Status int
	// Body is the JSON text of the response. It is empty for a response without a body.
	Body []byte
	// RetryAfter is the header Retry-After, in seconds. The header is left out if it is 0.
	RetryAfter int
	// Challenge is the header WWW-Authenticate of a 401 response. The header is left out if it is empty.
	Challenge string
}

// Empty returns a response without a body.
func Empty(status int) Reply { return Reply{Status: status} }

// Text returns a response whose body holds a reason in the field `error-text`.
func Text(status int, reason string) Reply {
	body, err := json.Marshal(map[string]string{"error-text": reason})
	if err != nil {
		return Reply{Status: status}
	}
	return Reply{Status: status, Body: body}
}

// Unauthorized returns the 401 response to a caller without a known key.
func Unauthorized(reason string) Reply {
	reply := Text(http.StatusUnauthorized, reason)
	reply.Challenge = "Bearer"
	return reply
}

// Raw returns a response with a body that is JSON text already.
func Raw(status int, body []byte) Reply { return Reply{Status: status, Body: body} }

// Later returns a response with a reason that asks the caller to retry after a number of seconds.
func Later(status int, seconds int, reason string) Reply {
	reply := Text(status, reason)
	reply.RetryAfter = seconds
	return reply
}

// Write sends the response. A response without a final status is a bug in this process. Write logs it to standard error and sends a 502
// instead.
func (r Reply) Write(writer http.ResponseWriter) { r.WriteLogged(writer, processLog) }

// WriteLogged sends the response like Write, but logs a status that is not final to the given logger.
func (r Reply) WriteLogged(writer http.ResponseWriter, log logging.Logger) {
	if r.Status < minFinalStatus || r.Status > maxFinalStatus {
		err := errors.Errorf("an HTTP response has status %d, which is not a final one", r.Status)
		log.Error(err, "response not written", "status", r.Status, "body_bytes", len(r.Body))
		r = Text(http.StatusBadGateway, "no answer with a status came")
	}
	if len(r.Body) > 0 {
		writer.Header().Set("Content-Type", "application/json")
	}
	if r.RetryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(r.RetryAfter))
	}
	if r.Challenge != "" {
		writer.Header().Set("WWW-Authenticate", r.Challenge)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	writer.WriteHeader(r.Status)
	if len(r.Body) > 0 {
		writer.Write(r.Body)
	}
}
