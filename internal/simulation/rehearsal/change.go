// Package rehearsal replays a recorded day of jobs on a simulated cluster that runs the production code: once with the current
// settings, and once under a proposed change. Its report counts the late, missing and repeated jobs of each queue in both replays, and lists
// the jobs that differ.
package rehearsal

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/scheduler"
)

// Queue holds the proposed settings of one queue. A nil field keeps the value that was recorded with each job.
type Queue struct {
	Priority    *int     `yaml:"priority"`
	MaxAttempts *int     `yaml:"max-attempts"`
	Stretch     *float64 `yaml:"stretch-factor"`
	TargetMs    *int64   `yaml:"target-latency-ms"`

	queuerules.Text `yaml:",inline"`
}

// Change is a proposed scheduling change. A nil field keeps the value of simcluster.DefaultTiming. MostReserved and AlwaysAllowed are the
// fractions MaxReserved and AlwaysAllowed of scheduler.ReservedCapacity, from 0 to 1.
type Change struct {
	GrantMs       *int64           `yaml:"grant-ms"`
	ResendMs      *int64           `yaml:"resend-ms"`
	MostReserved  *float64         `yaml:"most-reserved"`
	AlwaysAllowed *float64         `yaml:"always-allowed"`
	LongWorkMs    *int64           `yaml:"long-work-ms"`
	Queues        map[string]Queue `yaml:"queues"`
}

// LoadChange reads a change from a YAML file. The error for an unknown field, a value out of range or an invalid rule names the field.
func LoadChange(path string) (*Change, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the change")
	}
	change := &Change{}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(change); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Annotate(err, path)
	}
	return change, errors.Annotate(change.check(), path)
}

func (c *Change) check() error {
	for _, err := range []error{
		checkRange("grant-ms", toFloat(c.GrantMs), 500, 60000), checkRange("resend-ms", toFloat(c.ResendMs), 20, 10000),
		checkRange("most-reserved", c.MostReserved, 0, 1), checkRange("always-allowed", c.AlwaysAllowed, 0, 1),
		checkRange("long-work-ms", toFloat(c.LongWorkMs), 0, 3600000)} {
		if err != nil {
			return err
		}
	}
	for name, queue := range c.Queues {
		if err := queue.check(); err != nil {
			return errors.Annotatef(err, "queue %s", name)
		}
	}
	_, err := c.rules()
	return err
}

func (q Queue) check() error {
	for _, err := range []error{
		checkRange("priority", toFloat(q.Priority), 0, 1000), checkRange("max-attempts", toFloat(q.MaxAttempts), 1, 1000),
		checkRange("stretch-factor", q.Stretch, 0, 1000), checkRange("target-latency-ms", toFloat(q.TargetMs), 0, 86400000)} {
		if err != nil {
			return err
		}
	}
	return nil
}

// rules compiles the rules of all queues of the change.
func (c *Change) rules() (*queuerules.Rules, error) {
	texts := map[string]queuerules.Text{}
	for name, queue := range c.Queues {
		texts[name] = queue.Text
	}
	return queuerules.Compile(texts)
}

// checkRange returns an error if a value is set and out of its range.
func checkRange(field string, value *float64, minimum, maximum float64) error {
	if value != nil && (*value < minimum || *value > maximum) {
		return errors.Errorf("field %s: %g is not from %g to %g", field, *value, minimum, maximum)
	}
	return nil
}

// toFloat converts an integer for checkRange. nil stays nil.
func toFloat[T int | int64](value *T) *float64 {
	if value == nil {
		return nil
	}
	converted := float64(*value)
	return &converted
}

// override sets a field to a value, unless the value is nil.
func override[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// timing returns the timing of a pool under the change. The grant is limited to the longest hold.
func (c *Change) timing(timing scheduler.Timing) scheduler.Timing {
	overrideMs := func(field *time.Duration, value *int64) {
		if value != nil {
			*field = time.Duration(*value) * time.Millisecond
		}
	}
	overrideMs(&timing.Grant, c.GrantMs)
	overrideMs(&timing.Resend, c.ResendMs)
	overrideMs(&timing.ReservedCapacity.LongWork, c.LongWorkMs)
	override(&timing.ReservedCapacity.MaxReserved, c.MostReserved)
	override(&timing.ReservedCapacity.AlwaysAllowed, c.AlwaysAllowed)
	timing.Grant = min(timing.Grant, timing.MaxHold)
	return timing
}

// terms returns the terms that a job of a queue is submitted with under the change. Outcome.TargetMs depends on the recorded terms only.
func (c *Change) terms(queue string, terms wire.RouteTerms) wire.RouteTerms {
	change := c.Queues[queue]
	override(&terms.Priority, change.Priority)
	override(&terms.MaxAttempts, change.MaxAttempts)
	override(&terms.Stretch, change.Stretch)
	override(&terms.TargetMs, change.TargetMs)
	return terms
}
