package recording

import (
	"bufio"
	"os"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/jobs"
	"gannetline/internal/span"
)

const (
	room     = 65536
	mostSize = 24 << 20
)

// Writer appends to a file from a goroutine of its own; what it can't keep up with is counted as lost.
type Writer struct {
	lines     chan Event
	lost      chan int64
	path      string
	node      string
	withWords bool
	size      int64
	last      int64
	isBegun   bool
}

// NewWriter makes a writer; without words, task descriptors are left out.
func NewWriter(path, node string, withWords bool) *Writer {
	lost := make(chan int64, 1)
	lost <- 0
	return &Writer{lines: make(chan Event, room), lost: lost, path: path, node: node, withWords: withWords}
}

// Record never blocks.
func (w *Writer) Record(event Event) {
	select {
	case w.lines <- event:
	default:
		w.lost <- <-w.lost + 1
	}
}

// Run writes until the span ends.
func (w *Writer) Run(life span.Span) error {
	for {
		select {
		case <-life.Done():
			return w.Flush()
		case event := <-w.lines:
			if err := w.write(event); err != nil {
				return err
			}
		}
	}
}

// Flush writes all that waits.
func (w *Writer) Flush() error {
	select {
	case event := <-w.lines:
		return w.write(event)
	default:
		return nil
	}
}

// write appends one event, and whatever waits behind it.
func (w *Writer) write(event Event) error {
	file, err := os.OpenFile(w.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Annotate(err, "opening the recording")
	}
	defer file.Close()
	out := bufio.NewWriter(file)
	if !w.isBegun {
		w.isBegun = true
		w.put(out, Event{Kind: KindHeader, AtMs: event.AtMs, Version: Version, Node: w.node})
	}
	w.put(out, event)
	for {
		select {
		case event := <-w.lines:
			w.put(out, event)
		default:
			return errors.Annotate(out.Flush(), "writing the recording")
		}
	}
}

func (w *Writer) put(out *bufio.Writer, event Event) {
	if lost := <-w.lost; lost > 0 && w.size < mostSize {
		w.lost <- 0
		w.line(out, Event{Kind: KindLost, AtMs: event.AtMs, Count: lost})
	} else {
		w.lost <- lost
	}
	if w.size >= mostSize {
		w.lost <- <-w.lost + 1
		return
	}
	if event.Kind == KindHandIn && !w.withWords {
		event.Body = withoutWords(event.Body)
	}
	w.line(out, event)
}

func (w *Writer) line(out *bufio.Writer, event Event) {
	w.last = max(w.last, event.AtMs)
	event.AtMs = w.last
	text, err := easyjson.Marshal(event)
	if err != nil {
		return
	}
	count, _ := out.Write(append(text, '\n'))
	w.size += int64(count)
}

func withoutWords(body []byte) []byte {
	spec, err := jobs.Read(body)
	if err != nil {
		return body
	}
	spec.Descriptor = ""
	text, err := easyjson.Marshal(spec)
	if err != nil {
		return body
	}
	return text
}
