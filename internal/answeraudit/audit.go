package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"

	"github.com/juju/errors"
)

// maxLineBytes limits a log line. A line names all records of a change.
const maxLineBytes = 16 << 20

// The messages of the lines that are read.
const (
	messageCommitted = "changes committed"
	messageAnswered  = "job state answered"
)

// finalStates are the states in which a job has ended.
var finalStates = []string{"completed", "failed", "cancelled"}

// logLine holds the fields of a line with an answer.
type logLine struct {
	Epoch       uint64 `json:"epoch"`
	Job         string `json:"job"`
	Body        string `json:"body"`
	CommitIndex uint64 `json:"commit_index"`
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

// auditReport is the result of an audit.
type auditReport struct {
	// answered is the number of final states that were answered.
	answered int
	// early holds the answers that came before the commit of the end.
	early []*logLine
	// unnamed is the number of answers about jobs whose end no line names. A new leader may have found the end among the records.
	unnamed int
}

// auditor reads log lines in the order in which they were written.
type auditor struct {
	answered int
	early    []*logLine
	// ended holds the jobs whose end is committed.
	ended map[string]bool
	// unproven holds, by job, the answers about an end for which no commit has come yet.
	unproven map[string][]*logLine
}

// stateRecordPattern matches the name of a record that holds how a job ended.
var stateRecordPattern = regexp.MustCompile(`"s/([0-9a-f]{16})"`)

// audit reads the log of all processes.
func audit(input io.Reader) (*auditReport, error) {
	a := &auditor{ended: map[string]bool{}, unproven: map[string][]*logLine{}}
	lines := bufio.NewScanner(input)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		switch text := lines.Bytes(); {
		case bytes.Contains(text, []byte(messageCommitted)):
			a.addCommit(text)
		case bytes.Contains(text, []byte(messageAnswered)):
			a.addAnswer(text)
		}
	}
	unnamed := 0
	for _, answers := range a.unproven {
		unnamed += len(answers)
	}
	return &auditReport{a.answered, a.early, unnamed}, errors.Annotate(lines.Err(), "reading the log")
}

// addCommit records the ends that a commit contains. It doesn't parse the line, since two long lines of a process may run together.
func (a *auditor) addCommit(text []byte) {
	for _, match := range stateRecordPattern.FindAllSubmatch(text, -1) {
		job := string(match[1])
		a.ended[job] = true
		a.early = append(a.early, a.unproven[job]...)
		delete(a.unproven, job)
	}
}

// addAnswer counts an answer with a final state. It passes over a line that was cut off.
func (a *auditor) addAnswer(text []byte) {
	start, line := bytes.IndexByte(text, '{'), &logLine{}
	if start < 0 || json.Unmarshal(text[start:], line) != nil || !slices.Contains(finalStates, line.state()) {
		return
	}
	a.answered++
	if !a.ended[line.Job] {
		a.unproven[line.Job] = append(a.unproven[line.Job], line)
	}
}
