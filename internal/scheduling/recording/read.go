package recording

import (
	"bufio"
	"cmp"
	"io"
	"os"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/scheduling/jobs"
)

// maxLineBytes is the longest line that is read. A longer one fails the whole file.
const maxLineBytes = 8 << 20

// Day is the content of one or several recordings. Events are in order of time, without headers and duplicates. Lines counts the lines
// that were read, Lost those that the writers dropped, and Skipped those that could not be read.
type Day struct {
	Events  []Event
	Lines   int
	Lost    int64
	Skipped int
}

// ReadFiles merges the recordings of several nodes into one day, without duplicates of events that several nodes recorded. A lenient
// reader skips lines that can't be read; otherwise the error names the file and the line.
func ReadFiles(paths []string, isLenient bool) (*Day, error) {
	day := &Day{}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Annotate(err, "opening a recording")
		}
		err = day.read(file, path, isLenient)
		file.Close()
		if err != nil {
			return nil, err
		}
	}
	day.merge()
	return day, nil
}

// read appends the events of one file. A lenient reader skips and counts lines that can't be read after the header; otherwise the error
// names the line.
func (d *Day) read(from io.Reader, path string, isLenient bool) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	var lastMs int64
	hasHeader := false
	for number := 1; lines.Scan(); number++ {
		event, err := decode(lines.Bytes())
		if err == nil {
			err = check(event, lastMs, hasHeader)
		}
		if err != nil {
			if isLenient && hasHeader {
				d.Skipped++
				continue
			}
			return errors.Annotatef(err, "%s:%d", path, number)
		}
		d.Lines++
		lastMs = event.AtMs
		switch event.Kind {
		case KindHeader:
			hasHeader = true
		case KindLost:
			d.Lost += event.Count
		default:
			d.Events = append(d.Events, event)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Annotatef(err, "%s", path)
	}
	if !hasHeader {
		return errors.Errorf("%s:1: field kind: a recording begins with a header", path)
	}
	return nil
}

// decode decodes one line. It copies the line, because the event keeps a reference to its body.
func decode(text []byte) (Event, error) {
	var event Event
	err := easyjson.Unmarshal(slices.Clone(text), &event)
	return event, errors.Annotate(err, "decoding an event")
}

// check validates an event. lastMs is the time of the event before it in the file, and hasHeader is false for the first one.
func check(event Event, lastMs int64, hasHeader bool) error {
	switch {
	case event.Kind == KindHeader && event.Version != Version:
		return errors.Errorf("field version: %d is unknown, this program reads %d", event.Version, Version)
	case !hasHeader && event.Kind != KindHeader:
		return errors.New("field kind: a recording begins with a header")
	case event.AtMs < lastMs:
		return errors.Errorf("field at-ms: the time goes backwards, from %d to %d", lastMs, event.AtMs)
	}
	switch event.Kind {
	case KindSubmit:
		if !jobs.IsID(event.ID) {
			return errors.Errorf("field id: %q is not 16 hex digits", event.ID)
		}
		_, err := jobs.Read(event.Body)
		return errors.Annotate(err, "field body")
	case KindCancel:
		if !jobs.IsID(event.ID) {
			return errors.Errorf("field id: %q is not 16 hex digits", event.ID)
		}
	case KindEnd:
		if _, isTask := jobs.ParseTask(event.Task); !isTask || event.LengthMs < 0 {
			return errors.New("field task or length-ms is wrong")
		}
	case KindExecutor:
		if event.Machine == "" || event.Capacity.CPU < 0 {
			return errors.New("field machine or room is wrong")
		}
	case KindHeader, KindPlan, KindLost:
	default:
		return errors.Errorf("field kind: %q is unknown", event.Kind)
	}
	return nil
}

// merge sorts the events by time, and drops duplicates that another node recorded or that a retry caused.
func (d *Day) merge() {
	slices.SortStableFunc(d.Events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	seen := map[string]bool{}
	d.Events = slices.DeleteFunc(d.Events, func(event Event) bool {
		var name string
		switch event.Kind {
		case KindSubmit, KindCancel:
			name = event.Kind + event.ID
		case KindEnd:
			name = event.Task + "/" + strconv.FormatInt(event.Run, 10)
		default:
			return false
		}
		isDuplicate := seen[name]
		seen[name] = true
		return isDuplicate
	})
}
