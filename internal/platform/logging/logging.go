// Package logging creates the loggers of the processes, which write JSON lines.
package logging

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// Logger writes structured log lines. Lines with a verbosity above the configured one are dropped.
type Logger = logr.Logger

// New creates a logger that writes one JSON object per line, with a timestamp in milliseconds. It writes all errors, and other lines up to
// the given verbosity.
func New(output io.Writer, verbosity int) Logger {
	return funcr.NewJSON(func(line string) { fmt.Fprintln(output, line) },
		funcr.Options{Verbosity: verbosity, LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}

// TraceVerbosity is the verbosity of lines that trace single changes and ends of runs from their acknowledgement to the next takeover of the
// leadership. Such lines are frequent. They are meant only for test runs that search for a lost change.
const TraceVerbosity = 2

// Silent returns a logger that writes nothing, for tests and tools.
func Silent() Logger { return logr.Discard() }
