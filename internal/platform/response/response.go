// Package response builds and writes the answers of the project's HTTP interfaces.
package response

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"

	"github.com/juju/errors"

	"gannetline/internal/platform/logging"
)

// A final answer has a status of three digits; those below 200 are interim and can't end an answer.
const (
	minFinalStatus = 200
	maxFinalStatus = 999
)

// processLog takes the errors of Write; the daemons log to standard error.
var processLog = logging.New(os.Stderr, 0)

// Reply is one answer to an HTTP request. The zero value is no answer: decoders return it where nothing is refused.
type Reply struct {
	// Status is the HTTP status code; 0 is no answer.
	Status int
	// Body is the JSON text of the answer; empty is an answer without a body.
	Body []byte
	// RetryAfter is the header of that name, in seconds; 0 leaves it out.
	RetryAfter int
	// Challenge is the header WWW-Authenticate, which goes with 401; empty leaves it out.
	Challenge string
}

// Empty is an answer without a body.
func Empty(status int) Reply { return Reply{Status: status} }

// Text is an answer whose body names the reason in the field `error-text`.
func Text(status int, why string) Reply {
	body, err := json.Marshal(map[string]string{"error-text": why})
	if err != nil {
		return Reply{Status: status}
	}
	return Reply{Status: status, Body: body}
}

// Unauthorized is the answer to a caller without a known key.
func Unauthorized(why string) Reply {
	answer := Text(http.StatusUnauthorized, why)
	answer.Challenge = "Bearer"
	return answer
}

// Raw is an answer whose body is JSON text already.
func Raw(status int, body []byte) Reply { return Reply{Status: status, Body: body} }

// Later is an answer with a reason that asks the caller to try again after so many seconds.
func Later(status int, seconds int, why string) Reply {
	answer := Text(status, why)
	answer.RetryAfter = seconds
	return answer
}

// Write sends the answer. One without a final status is a fault of this process: it is logged to standard error,
// and the caller gets 502.
func (r Reply) Write(to http.ResponseWriter) { r.WriteLogged(to, processLog) }

// WriteLogged is Write with a logger for the fault of an answer without a final status.
func (r Reply) WriteLogged(to http.ResponseWriter, log logging.Logger) {
	if r.Status < minFinalStatus || r.Status > maxFinalStatus {
		err := errors.Errorf("an answer has the status %d, which is not a final one", r.Status)
		log.Error(err, "response not written", "status", r.Status, "body_bytes", len(r.Body))
		r = Text(http.StatusBadGateway, "no answer with a status came")
	}
	if len(r.Body) > 0 {
		to.Header().Set("Content-Type", "application/json")
	}
	if r.RetryAfter > 0 {
		to.Header().Set("Retry-After", strconv.Itoa(r.RetryAfter))
	}
	if r.Challenge != "" {
		to.Header().Set("WWW-Authenticate", r.Challenge)
	}
	to.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	to.WriteHeader(r.Status)
	if len(r.Body) > 0 {
		to.Write(r.Body)
	}
}
