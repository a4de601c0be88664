package recording

import (
	"bufio"
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/scheduling/jobs"
)

const (
	// maxQueuedEvents is how many events wait for the writer at most.
	maxQueuedEvents = 65536
	// longestFile is in bytes; what comes after that is counted as lost.
	longestFile = 24 << 20
)

// Writer appends to a file from a goroutine of its own; what it can't keep up with is counted as lost.
type Writer struct {
	lines           chan Event
	lost            chan int64
	path            string
	node            string
	withDescriptors bool
	size            int64
	last            int64
	hasHeader       bool
}

// NewWriter makes a writer; without descriptors, those of tasks are left out.
func NewWriter(path, node string, withDescriptors bool) *Writer {
	lost := make(chan int64, 1)
	lost <- 0
	return &Writer{lines: make(chan Event, maxQueuedEvents), lost: lost, path: path, node: node, withDescriptors: withDescriptors}
}

// Record hands an event to the writer. It never blocks: what doesn't fit is counted as lost.
func (w *Writer) Record(event Event) {
	select {
	case w.lines <- event:
	default:
		w.lost <- <-w.lost + 1
	}
}

// Run writes until ctx is done.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
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
	if !w.hasHeader {
		w.hasHeader = true
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

// put writes an event, and before it how many were lost, unless the file is full.
func (w *Writer) put(out *bufio.Writer, event Event) {
	if lost := <-w.lost; lost > 0 && w.size < longestFile {
		w.lost <- 0
		w.writeLine(out, Event{Kind: KindLost, AtMs: event.AtMs, Count: lost})
	} else {
		w.lost <- lost
	}
	if w.size >= longestFile {
		w.lost <- <-w.lost + 1
		return
	}
	if event.Kind == KindSubmit && !w.withDescriptors {
		event.Body = withoutDescriptor(event.Body)
	}
	w.writeLine(out, event)
}

// writeLine writes one line, whose time is never before that of the line above.
func (w *Writer) writeLine(out *bufio.Writer, event Event) {
	w.last = max(w.last, event.AtMs)
	event.AtMs = w.last
	text, err := easyjson.Marshal(event)
	if err != nil {
		return
	}
	count, _ := out.Write(append(text, '\n'))
	w.size += int64(count)
}

// withoutDescriptor removes the descriptor from a job's body; a body that can't be read is recorded as it is.
func withoutDescriptor(body []byte) []byte {
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
