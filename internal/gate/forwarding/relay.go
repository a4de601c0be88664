package forwarding

import (
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"gannetline/internal/gate/headerrules"
	"gannetline/internal/platform/eventstream"
)

// ErrNotResumed tells that an executor that was asked to go on with a stream answered something else.
const ErrNotResumed = errors.ConstError("the stream was not resumed")

// relay writes the answer to the client. It outlives executors: a stream that one of them breaks off goes on at another, after the last
// event that was written.
type relay struct {
	to      http.ResponseWriter
	request *Request
	// hasBegun tells that the head of the answer was written; isStream that a series of events follows.
	hasBegun bool
	isStream bool
	// lastEventID is that of the last event that was written, empty before the first.
	lastEventID string
}

// mayRunAgain tells whether another executor may run the request, of which one may have run a part.
func (r *relay) mayRunAgain() bool {
	if r.hasBegun {
		return r.isStream && r.request.IsResumable
	}
	return r.request.IsIdempotent || r.request.IsResumable
}

// pass writes an executor's answer, or what of it the client does not have yet; an error says that it ended early. onEvent is called for
// each event that comes.
func (r *relay) pass(answer *http.Response, onEvent func()) error {
	isStream := strings.HasPrefix(answer.Header.Get("Content-Type"), eventstream.MediaType) && answer.StatusCode == http.StatusOK
	if r.hasBegun && !isStream {
		return ErrNotResumed
	}
	if !r.hasBegun {
		r.begin(answer, isStream)
	}
	if isStream {
		return r.passEvents(answer.Body, onEvent)
	}
	_, err := io.Copy(r.to, answer.Body)
	return errors.Annotate(err, "passing an answer on")
}

// begin writes the head of the answer.
func (r *relay) begin(answer *http.Response, isStream bool) {
	headerrules.CopyToClient(answer.Header, r.to.Header())
	r.to.WriteHeader(answer.StatusCode)
	r.hasBegun, r.isStream = true, isStream
}

// passEvents writes whole events as they come, so that another executor can go on after any of them.
func (r *relay) passEvents(from io.Reader, onEvent func()) error {
	events := eventstream.NewReader(from)
	controller := http.NewResponseController(r.to)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "reading events")
		}
		onEvent()
		if _, err := r.to.Write(event.Raw); err != nil {
			return errors.Annotate(err, "writing events")
		}
		if err := controller.Flush(); err != nil {
			return errors.Annotate(err, "writing events")
		}
		if event.ID != "" {
			r.lastEventID = event.ID
		}
	}
}
