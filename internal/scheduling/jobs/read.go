package jobs

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// The size limits of a job that a client submits. Restore still reads jobs that were accepted under other limits.
const (
	maxDescriptorBytes = 4000
	maxSteps           = 256
	maxTasks           = 20000
	maxRepeats         = 100000
)

// Labels is a list of labels. In JSON it may also be a single string.
type Labels []string

// UnmarshalEasyJSON reads a string or a list of strings. Null and empty strings yield no labels.
func (l *Labels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*l = nil
	if in.IsNull() {
		in.Skip()
		return
	}
	if !in.IsDelim('[') {
		if label := in.String(); label != "" {
			*l = Labels{label}
		}
		return
	}
	in.Delim('[')
	for !in.IsDelim(']') {
		if label := in.String(); label != "" {
			*l = append(*l, label)
		}
		in.WantComma()
	}
	in.Delim(']')
}

// MarshalEasyJSON writes a single label as a string, and any other number of labels as a list.
func (l Labels) MarshalEasyJSON(out *jwriter.Writer) {
	if len(l) == 1 {
		out.String(l[0])
		return
	}
	out.RawByte('[')
	for index, label := range l {
		if index > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}

// IsID reports whether a string has the form of a job ID: 16 hexadecimal digits.
func IsID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, digit := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", digit) {
			return false
		}
	}
	return true
}

// Read decodes and validates a job that a client submits, including the limits on its size.
func Read(body []byte) (*Spec, error) {
	spec, err := Restore(body)
	if err != nil {
		return nil, err
	}
	return spec, spec.checkSize()
}

// Restore decodes and validates a job that was accepted before, possibly under other size limits than those of Read. It reduces amounts above
// the largest ones, see MaxCPU.
func Restore(body []byte) (*Spec, error) {
	spec := &Spec{}
	if err := easyjson.Unmarshal(body, spec); err != nil {
		return nil, errors.Annotate(err, "the job can't be read")
	}
	spec.limitAmounts()
	return spec, spec.check()
}

// checkSize rejects a job above the size limits for clients.
func (s *Spec) checkSize() error {
	if len(s.Descriptor) > maxDescriptorBytes {
		return errors.Errorf("field task-descriptor is longer than %d bytes", maxDescriptorBytes)
	}
	if len(s.Steps) > maxSteps {
		return errors.Errorf("field step-list must hold 1 to %d steps", maxSteps)
	}
	if s.RepeatCount > maxRepeats {
		return errors.Errorf("field repeat-count is over %d", maxRepeats)
	}
	total := 0
	for _, step := range s.Steps {
		total += min(step.Tasks, maxTasks+1)
	}
	if total > maxTasks {
		return errors.Errorf("field task-count: more than %d tasks in all", maxTasks)
	}
	return nil
}

// check rejects a job that could not run at all, whatever the size limits are.
func (s *Spec) check() error {
	if len(s.Steps) == 0 {
		return errors.Errorf("field step-list must hold 1 to %d steps", maxSteps)
	}
	if s.RepeatCount < 0 || s.PeriodMs < 0 || s.FirstRunMs < 0 {
		return errors.New("fields repeat-count, period-ms and first-run-ms must not be negative")
	}
	for number, step := range s.Steps {
		if err := step.check(number); err != nil {
			return errors.Annotatef(err, "step %d", number)
		}
	}
	return nil
}

// check validates the fields of the step with this number. A step may depend on earlier steps only.
func (s *Step) check(number int) error {
	if s.Tasks < 1 {
		return errors.New("field task-count must be at least 1")
	}
	for field, value := range map[string]int64{"cpu-units": s.CPU, "memory-req-mb": s.Memory, "gpu-count": s.GPU,
		"estimated-ms": s.EstimatedMs, "anti-affinity": int64(s.AntiAffinity)} {
		if value < 0 {
			return errors.Errorf("field %s is negative", field)
		}
	}
	for _, earlier := range s.DependsOn {
		if earlier < 0 || earlier >= number {
			return errors.Errorf("field depends-on names %d, which is no earlier step", earlier)
		}
	}
	return nil
}

// TaskName returns the name of a task, ID.K.STEP.INDEX: the job's ID, the numbers of the occurrence (K) and of the step, and the index of the
// task in the step.
func TaskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// TaskPosition identifies one task: the job's ID, the number of the job's occurrence (0 unless it repeats), the number of the step, and
// the index of the task in the step.
type TaskPosition struct {
	ID                      string
	Occurrence, Step, Index int
}

// JobOf returns the ID of the job that a task belongs to, or an empty string if the name is not a task name.
func JobOf(task string) string {
	position, _ := ParseTask(task)
	return position.ID
}

// ParseTask parses a name that TaskName returned. It returns false for a string without this form, but doesn't check that ID is a job ID.
func ParseTask(name string) (TaskPosition, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskPosition{}, false
	}
	var numbers [3]int
	for index, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskPosition{}, false
		}
		numbers[index] = number
	}
	return TaskPosition{parts[0], numbers[0], numbers[1], numbers[2]}, true
}
