package modelcheck

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"
)

// Save writes a schedule to a file as JSON, so that it can be replayed.
func Save(path string, schedule Schedule) error {
	text, err := json.MarshalIndent(schedule, "", " ")
	if err != nil {
		return errors.Annotate(err, "writing the schedule")
	}
	return errors.Annotatef(os.WriteFile(path, append(text, '\n'), 0o644), "writing %s", path)
}

// Load reads a schedule from a file that Save wrote.
func Load(path string) (Schedule, error) {
	var schedule Schedule
	text, err := os.ReadFile(path)
	if err != nil {
		return schedule, errors.Annotate(err, "reading the schedule")
	}
	if err := json.Unmarshal(text, &schedule); err != nil {
		return schedule, errors.Annotatef(err, "%s is no schedule", path)
	}
	return schedule, nil
}
