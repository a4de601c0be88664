// Package rehearsal plays a recorded day again through the project's own code, as things are and under a
// proposed change, and says what came late, went missing or landed twice.
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

// Queue is what a change may say of one queue; what it leaves out stays.
type Queue struct {
	Priority    *int     `yaml:"priority"`
	MaxAttempts *int     `yaml:"max-attempts"`
	Stretch     *float64 `yaml:"stretch-factor"`
	TargetMs    *int64   `yaml:"target-latency-ms"`

	queuerules.Text `yaml:",inline"`
}

// Change is a proposed scheduling change; what it leaves out stays. Times are in milliseconds, the rest are shares from 0
// to 1.
type Change struct {
	GrantMs       *int64           `yaml:"grant-ms"`
	ResendMs      *int64           `yaml:"resend-ms"`
	MostReserved  *float64         `yaml:"most-reserved"`
	AlwaysAllowed *float64         `yaml:"always-allowed"`
	LongWorkMs    *int64           `yaml:"long-work-ms"`
	Queues        map[string]Queue `yaml:"queues"`
}

// LoadChange reads a proposal; an unknown field or a value out of range is an error that names it.
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
		inRange("grant-ms", number(c.GrantMs), 500, 60000), inRange("resend-ms", number(c.ResendMs), 20, 10000),
		inRange("most-reserved", c.MostReserved, 0, 1), inRange("always-allowed", c.AlwaysAllowed, 0, 1),
		inRange("long-work-ms", number(c.LongWorkMs), 0, 3600000)} {
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
		inRange("priority", number(q.Priority), 0, 1000), inRange("max-attempts", number(q.MaxAttempts), 1, 1000),
		inRange("stretch-factor", q.Stretch, 0, 1000), inRange("target-latency-ms", number(q.TargetMs), 0, 86400000)} {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Change) rules() (*queuerules.Rules, error) {
	texts := map[string]queuerules.Text{}
	for name, queue := range c.Queues {
		texts[name] = queue.Text
	}
	return queuerules.Compile(texts)
}

// inRange fails if a value that the change names is out of its range.
func inRange(field string, value *float64, minimum, maximum float64) error {
	if value != nil && (*value < minimum || *value > maximum) {
		return errors.Errorf("field %s: %g is not from %g to %g", field, *value, minimum, maximum)
	}
	return nil
}

// number makes a whole number one that inRange takes; nil stays nil.
func number[T int | int64](value *T) *float64 {
	if value == nil {
		return nil
	}
	converted := float64(*value)
	return &converted
}

// set takes a value that the change names.
func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// timing is that of a pool under the change.
func (c *Change) timing(timing scheduler.Timing) scheduler.Timing {
	setMs := func(field *time.Duration, value *int64) {
		if value != nil {
			*field = time.Duration(*value) * time.Millisecond
		}
	}
	setMs(&timing.Grant, c.GrantMs)
	setMs(&timing.Resend, c.ResendMs)
	setMs(&timing.ReservedCapacity.LongWork, c.LongWorkMs)
	set(&timing.ReservedCapacity.MaxReserved, c.MostReserved)
	set(&timing.ReservedCapacity.AlwaysAllowed, c.AlwaysAllowed)
	timing.Grant = min(timing.Grant, timing.MaxHold)
	return timing
}

// terms gives what a job is submitted with; its aim is judged by what was recorded.
func (c *Change) terms(queue string, terms wire.RouteTerms) wire.RouteTerms {
	change := c.Queues[queue]
	set(&terms.Priority, change.Priority)
	set(&terms.MaxAttempts, change.MaxAttempts)
	set(&terms.Stretch, change.Stretch)
	set(&terms.TargetMs, change.TargetMs)
	return terms
}
