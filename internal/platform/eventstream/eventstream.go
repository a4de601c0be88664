// Package eventstream reads event streams (text/event-stream) event by event and keeps the original bytes of each event.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// MediaType is the content type of an event stream.
	MediaType = "text/event-stream"
	// bufferBytes is the size of the read buffer. Longer lines are read in several chunks.
	bufferBytes = 4096
	// maxEventBytes is the largest size of an event.
	maxEventBytes = 1 << 20
)

const (
	// ErrTooLarge is the error of Next for an event above the size limit.
	ErrTooLarge = errors.ConstError("an event of the stream is too large")
	// ErrTruncatedEvent is the error of Next if the stream ends within an event.
	ErrTruncatedEvent = errors.ConstError("the event stream ended within an event")
)

// Event is one event. It is valid until the next call of Reader.Next.
type Event struct {
	// Raw holds the original bytes, with the empty line that ends the event.
	Raw []byte
	// ID is the id of the event, or empty if it has none.
	ID string
	// Data holds the values of the data fields, separated by line feeds. HasData is true if there is a data field.
	Data    []byte
	HasData bool
}

// Reader reads the events of one stream.
type Reader struct {
	source *bufio.Reader
	event  Event
}

// NewReader creates a reader of an event stream.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferBytes)}
}

// Next returns the next event. The error is io.EOF after the last event, ErrTruncatedEvent if the stream ends within an event, ErrTooLarge
// for an event above the size limit, and otherwise the error of the source.
func (r *Reader) Next() (*Event, error) {
	r.event = Event{Raw: r.event.Raw[:0], Data: r.event.Data[:0]}
	for {
		line, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF) && len(r.event.Raw) > 0:
			return nil, ErrTruncatedEvent
		case err != nil:
			return nil, err
		case len(line) == 0:
			return &r.event, nil
		}
		r.event.parseLine(line)
	}
}

// readLine appends a line to Raw, and returns it without its line break.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.event.Raw)
	for {
		chunk, err := r.source.ReadSlice('\n')
		r.event.Raw = append(r.event.Raw, chunk...)
		switch {
		case len(r.event.Raw) > maxEventBytes:
			return nil, ErrTooLarge
		case err == nil:
			return bytes.TrimRight(r.event.Raw[start:], "\r\n"), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// parseLine parses a field of the event. Fields other than id and data are kept only in Raw.
func (e *Event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if e.HasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data, e.HasData = append(e.Data, value...), true
	}
}
