package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// maxLineBytes limits a log line. A line names all records of a change.
const maxLineBytes = 16 << 20

// stateRecordPrefix is the prefix of the names of the records that hold how jobs ended.
const stateRecordPrefix = "s/"

// The messages of the lines that are read.
const (
	messageCommitted = "changes committed"
	messageAnswered  = "job state answered"
)

// finalStates are the states in which a job has ended.
var finalStates = []string{"completed", "failed", "cancelled"}

// logLine holds the fields of the lines that are read.
type logLine struct {
	Message     string   `json:"msg"`
	Key         string   `json:"key"`
	Epoch       uint64   `json:"epoch"`
	Records     []string `json:"records"`
	Job         string   `json:"job"`
	Body        string   `json:"body"`
	CommitIndex uint64   `json:"commit_index"`
}

// state returns the state of the job in an answer, or an empty string if the answer has none.
func (l *logLine) state() string {
	var shown struct {
		State string `json:"executor-state"`
	}
	if json.Unmarshal([]byte(l.Body), &shown) != nil {
		return ""
	}
	return shown.State
}

// auditReport is the result of an audit: the number of final states that were answered, and the answers that came before the commit.
type auditReport struct {
	answered int
	early    []*logLine
}

// audit reads log lines in the order in which they were written.
func audit(input io.Reader) (*auditReport, error) {
	report, ended := &auditReport{}, map[string]bool{}
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), []byte(messageCommitted)) && !bytes.Contains(lines.Bytes(), []byte(messageAnswered)) {
			continue
		}
		if line := parseLine(lines.Bytes()); line != nil {
			report.add(line, ended)
		}
	}
	return report, errors.Annotate(lines.Err(), "reading the log")
}

// parseLine returns the fields of a line, or nil if it has no JSON or was cut off.
func parseLine(text []byte) *logLine {
	start := bytes.IndexByte(text, '{')
	line := &logLine{}
	if start < 0 || json.Unmarshal(text[start:], line) != nil {
		return nil
	}
	return line
}

// add counts a line. ended holds the jobs whose end is committed, by key and ID.
func (r *auditReport) add(line *logLine, ended map[string]bool) {
	switch line.Message {
	case messageCommitted:
		for _, record := range line.Records {
			if job, isState := strings.CutPrefix(record, stateRecordPrefix); isState {
				ended[line.Key+" "+job] = true
			}
		}
	case messageAnswered:
		if !slices.Contains(finalStates, line.state()) {
			return
		}
		r.answered++
		if !ended[line.Key+" "+line.Job] {
			r.early = append(r.early, line)
		}
	}
}
