// Package logging gives the JSON-line logger.
package logging

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Logger writes structured lines; a debug level above the configured one writes nothing.
type Logger = logr.Logger

// New makes a logger that writes one JSON object a line, with a time position in milliseconds. Errors are always
// written; information is, up to the given verbosity.
func New(to io.Writer, level int) Logger {
	return funcr.NewJSON(func(line string) { fmt.Fprintln(to, line) },
		funcr.Options{Verbosity: level, LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}

// TraceVerbosity is that of lines that follow single changes and ends of runs from their acknowledgement to the next take-over. They are
// many, and only meant for plays that look for something that was lost.
const TraceVerbosity = 2

// Silent is a logger that writes nothing, for tests and tools.
func Silent() Logger { return logr.Discard() }
