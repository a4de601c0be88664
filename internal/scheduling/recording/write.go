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
	// maxQueuedEvents is the capacity of the writer's queue.
	maxQueuedEvents = 65536
	// maxFileBytes is the number of bytes after which a writer writes no more events, but counts them as lost. What an earlier process wrote
	// to the same file is not included.
	maxFileBytes = 24 << 20
)

// Writer appends events to a file. Record may be called from any goroutine; Run and Flush must not run at the same time. Events that find
// the queue full, or the file at its limit, are counted as lost.
type Writer struct {
	queue chan Event
	// lost is a channel of capacity 1 that holds the number of lost events that are not in the file yet.
	lost             chan int64
	path             string
	node             string
	keepsDescriptors bool
	// size is the number of bytes written, lastMs the time of the last line. hasHeader means that the header was written.
	size      int64
	lastMs    int64
	hasHeader bool
}

// NewWriter creates a writer for a node. Unless keepsDescriptors is set, the task descriptors of submitted jobs are left out.
func NewWriter(path, node string, keepsDescriptors bool) *Writer {
	lost := make(chan int64, 1)
	lost <- 0
	return &Writer{queue: make(chan Event, maxQueuedEvents), lost: lost, path: path, node: node, keepsDescriptors: keepsDescriptors}
}

// Record queues an event. If the queue is full, Record doesn't wait, but counts the event as lost.
func (w *Writer) Record(event Event) {
	select {
	case w.queue <- event:
	default:
		w.lost <- <-w.lost + 1
	}
}

// Run writes events until ctx is done, and then flushes the queue.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return w.Flush()
		case event := <-w.queue:
			if err := w.write(event); err != nil {
				return err
			}
		}
	}
}

// Flush writes all events that are queued.
func (w *Writer) Flush() error {
	select {
	case event := <-w.queue:
		return w.write(event)
	default:
		return nil
	}
}

// write appends one event and all queued ones to the file.
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
		case event := <-w.queue:
			w.put(out, event)
		default:
			return errors.Annotate(out.Flush(), "writing the recording")
		}
	}
}

// put writes an event, preceded by the number of lost events if there are any. Beyond maxFileBytes the event is counted as lost.
func (w *Writer) put(out *bufio.Writer, event Event) {
	if lost := <-w.lost; lost > 0 && w.size < maxFileBytes {
		w.lost <- 0
		w.writeLine(out, Event{Kind: KindLost, AtMs: event.AtMs, Count: lost})
	} else {
		w.lost <- lost
	}
	if w.size >= maxFileBytes {
		w.lost <- <-w.lost + 1
		return
	}
	if event.Kind == KindSubmit && !w.keepsDescriptors {
		event.Body = withoutDescriptor(event.Body)
	}
	w.writeLine(out, event)
}

// writeLine writes one line. An event that is older than the previous line gets the time of that line, because readers reject times that go
// backwards.
func (w *Writer) writeLine(out *bufio.Writer, event Event) {
	w.lastMs = max(w.lastMs, event.AtMs)
	event.AtMs = w.lastMs
	text, err := easyjson.Marshal(event)
	if err != nil {
		return
	}
	count, _ := out.Write(append(text, '\n'))
	w.size += int64(count)
}

// withoutDescriptor removes the task descriptor from a job's body. A body that can't be decoded is recorded unchanged.
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
