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

// TraceVerbosity is the verbosity of lines about single changes: their commit, the acknowledged ends of runs, and what a replica or a new
// leader loads afterwards. Such lines are frequent. Only test runs that search for a lost change enable them.
const TraceVerbosity = 2

// Silent returns a logger that writes nothing, for tests and tools.
func Silent() Logger { return logr.Discard() }
