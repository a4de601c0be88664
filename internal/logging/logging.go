// Package logging gives the JSON-line logger.
package logging

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

type Logger = logr.Logger

func New(to io.Writer, level int) Logger {
	return funcr.NewJSON(func(line string) { fmt.Fprintln(to, line) },
		funcr.Options{Verbosity: level, LogTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
}

func Silent() Logger { return logr.Discard() }
