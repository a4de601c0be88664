package forwarding

import (
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/eventstream"
)

// ErrNotResumed is returned if an executor that should resume a stream answers with something else.
const ErrNotResumed = errors.ConstError("the stream was not resumed")

// relay writes the answer to the client. It is used for all attempts of a request: a stream that one executor breaks off continues at
// another one, after the last event that was written.
type relay struct {
	to      http.ResponseWriter
	request *Request
	// hasStarted is set once the head of the answer was written; isStream if a stream of events follows.
	hasStarted bool
	isStream   bool
	// lastEventID is the ID of the last event that was written, empty before the first.
	lastEventID string
}

// mayRunAgain reports whether another executor may run the request after one may have run all or part of it.
func (r *relay) mayRunAgain() bool {
	if r.hasStarted {
		return r.isStream && r.request.IsResumable
	}
	return r.request.IsIdempotent || r.request.IsResumable
}

// pass writes an executor's answer, or the rest of a resumed stream, to the client. An error means that the answer is incomplete.
// onEvent is called for each event that arrives.
func (r *relay) pass(answer *http.Response, onEvent func()) error {
	isStream := strings.HasPrefix(answer.Header.Get("Content-Type"), eventstream.MediaType) && answer.StatusCode == http.StatusOK
	if r.hasStarted && !isStream {
		return ErrNotResumed
	}
	if !r.hasStarted {
		r.writeHead(answer, isStream)
	}
	if isStream {
		return r.passEvents(answer.Body, onEvent)
	}
	_, err := io.Copy(r.to, answer.Body)
	return errors.Annotate(err, "copying the answer of an executor to the client")
}

// writeHead writes status and headers of the answer.
func (r *relay) writeHead(answer *http.Response, isStream bool) {
	headerrules.CopyToClient(answer.Header, r.to.Header())
	r.to.WriteHeader(answer.StatusCode)
	r.hasStarted, r.isStream = true, isStream
}

// passEvents writes complete events as they arrive, so that another executor can resume after any of them.
func (r *relay) passEvents(from io.Reader, onEvent func()) error {
	events := eventstream.NewReader(from)
	controller := http.NewResponseController(r.to)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "reading events from an executor")
		}
		onEvent()
		if _, err := r.to.Write(event.Raw); err != nil {
			return errors.Annotate(err, "writing events to the client")
		}
		if err := controller.Flush(); err != nil {
			return errors.Annotate(err, "writing events to the client")
		}
		if event.ID != "" {
			r.lastEventID = event.ID
		}
	}
}
