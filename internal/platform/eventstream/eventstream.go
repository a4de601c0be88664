// Package eventstream reads series of events (text/event-stream), event by event, with the bytes as they came.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// MediaType is the content type of a series of events.
	MediaType = "text/event-stream"
	// bufferBytes holds a line; maxEventBytes bounds an event.
	bufferBytes   = 4096
	maxEventBytes = 1 << 20
)

const (
	// ErrTooLarge ends a series with an event beyond the limit.
	ErrTooLarge = errors.ConstError("an event is too large")
	// ErrCutEvent ends a series whose end came within an event.
	ErrCutEvent = errors.ConstError("the series ended within an event")
)

// Event is one event. Its bytes are valid until the next one is read.
type Event struct {
	// Raw are the bytes as they came, with the empty line that ends the event.
	Raw []byte
	// ID is that of the event, empty if it has none.
	ID string
	// Data are the lines of data, separated by line feeds; HasData tells whether there is any.
	Data    []byte
	HasData bool
}

// Reader reads events one by one.
type Reader struct {
	from  *bufio.Reader
	event Event
}

// NewReader makes a reader of a series.
func NewReader(from io.Reader) *Reader { return &Reader{from: bufio.NewReaderSize(from, bufferBytes)} }

// Next gives the next event. It ends with io.EOF after the last one, with ErrCutEvent if the series ends within an event, and else
// with the error of the source.
func (r *Reader) Next() (*Event, error) {
	r.event = Event{Raw: r.event.Raw[:0], Data: r.event.Data[:0]}
	for {
		line, err := r.readLine()
		switch {
		case errors.Is(err, io.EOF) && len(r.event.Raw) > 0:
			return nil, ErrCutEvent
		case err != nil:
			return nil, err
		case len(line) == 0:
			return &r.event, nil
		}
		r.event.takeLine(line)
	}
}

// readLine reads a line into Raw, and gives it without its end.
func (r *Reader) readLine() ([]byte, error) {
	start := len(r.event.Raw)
	for {
		part, err := r.from.ReadSlice('\n')
		r.event.Raw = append(r.event.Raw, part...)
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

// takeLine takes a field of the event; fields other than id and data are only passed on.
func (e *Event) takeLine(line []byte) {
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
