package scalerun

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"go.uber.org/multierr"
)

const logTailBytes = 2000

// keepLogs puts the logs of a size that failed beside the report.
func (r *run) keepLogs() error {
	kept := filepath.Join(r.setup.Folder, fmt.Sprintf("logs-%d", r.workers))
	if err := os.MkdirAll(kept, 0o755); err != nil {
		return errors.Annotate(err, "keeping the logs")
	}
	var failed error
	for _, process := range r.all() {
		text, err := os.ReadFile(r.logOf(process.name))
		failed = multierr.Combine(failed, err, os.WriteFile(filepath.Join(kept, process.name+".log"), text, 0o644))
	}
	return failed
}

func (r *run) logOf(name string) string { return filepath.Join(r.layout.folder, name+".log") }

// logTail is the end of a process's log, or why it can't be read.
func (r *run) logTail(name string) string {
	text, err := os.ReadFile(r.logOf(name))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}
