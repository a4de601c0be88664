package forwarding

import (
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/eventstream"
)

// ErrNotResumed is returned if an executor that should resume a stream does not answer with a stream.
const ErrNotResumed = errors.ConstError("the stream was not resumed")

// relay writes the answer to a request to the client. One relay is used for all attempts of the request: if one executor breaks off a stream,
// another one continues it after the last event that was written.
type relay struct {
	to      http.ResponseWriter
	request *Request
	// hasStarted is set once the head of the answer was written. isStream is set if the answer is a stream of events.
	hasStarted bool
	isStream   bool
	// lastEventID is the ID of the last event that was written, empty before the first.
	lastEventID string
}

// mayRunAgain reports whether the request may be sent to another executor after one executor may have run all or part of it.
func (r *relay) mayRunAgain() bool {
	if r.hasStarted {
		return r.isStream && r.request.IsResumable
	}
	return r.request.IsIdempotent || r.request.IsResumable
}

// pass writes an executor's answer, or the rest of a resumed stream, to the client. It calls onEvent for each event that arrives. An error
// means that the client's answer is incomplete.
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

// writeHead writes the status and the headers of the answer.
func (r *relay) writeHead(answer *http.Response, isStream bool) {
	headerrules.CopyToClient(answer.Header, r.to.Header())
	r.to.WriteHeader(answer.StatusCode)
	r.hasStarted, r.isStream = true, isStream
}

// passEvents writes each event once it is complete, so that another executor can resume the stream after any event.
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
