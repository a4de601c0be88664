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

// Day is the content of one or several recordings. Events are in order of time, without headers, reports of lost events and duplicates.
// Lines counts the lines that were read, Lost the events that the writers dropped, and Skipped the lines that could not be read.
type Day struct {
	Events  []Event
	Lines   int
	Lost    int64
	Skipped int
}

// ReadFiles merges the recordings of several nodes into one day, without duplicates of events that several nodes recorded. With isLenient,
// lines that can't be read after the header are skipped. Otherwise they cause an error that names the file and the line.
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

// read appends the events of one file. With isLenient, lines that can't be read after the header are skipped and counted. Otherwise they
// cause an error that names the line.
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

// decode decodes one line. It copies the line, because the body of the event refers to the text, and the scanner reuses its buffer.
func decode(text []byte) (Event, error) {
	var event Event
	err := easyjson.Unmarshal(slices.Clone(text), &event)
	return event, errors.Annotate(err, "decoding an event")
}

// check validates an event. lastMs is the time of the previous event in the file, and hasHeader means that the file's header was read before.
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

// merge sorts the events by time. Of submitted jobs, cancelled jobs and ends of runs it drops duplicates, which another node recorded or a
// retry caused.
func (d *Day) merge() {
	slices.SortStableFunc(d.Events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	seen := map[string]bool{}
	d.Events = slices.DeleteFunc(d.Events, func(event Event) bool {
		var key string
		switch event.Kind {
		case KindSubmit, KindCancel:
			key = event.Kind + event.ID
		case KindEnd:
			key = event.Task + "/" + strconv.FormatInt(event.Run, 10)
		default:
			return false
		}
		isDuplicate := seen[key]
		seen[key] = true
		return isDuplicate
	})
}
