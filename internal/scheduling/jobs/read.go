package jobs

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

const (
	maxDescriptorBytes = 4000
	maxSteps           = 256
	maxTasks           = 20000
	maxRepeats         = 100000
)

// Labels is one label or a list of them.
type Labels []string

// UnmarshalEasyJSON reads one string or a list of strings; null and the empty string are no labels.
func (w *Labels) UnmarshalEasyJSON(in *jlexer.Lexer) {
	*w = nil
	if in.IsNull() {
		in.Skip()
		return
	}
	if !in.IsDelim('[') {
		if label := in.String(); label != "" {
			*w = Labels{label}
		}
		return
	}
	in.Delim('[')
	for !in.IsDelim(']') {
		if label := in.String(); label != "" {
			*w = append(*w, label)
		}
		in.WantComma()
	}
	in.Delim(']')
}

// MarshalEasyJSON writes a single label as a string and any other number as a list.
func (w Labels) MarshalEasyJSON(out *jwriter.Writer) {
	if len(w) == 1 {
		out.String(w[0])
		return
	}
	out.RawByte('[')
	for place, label := range w {
		if place > 0 {
			out.RawByte(',')
		}
		out.String(label)
	}
	out.RawByte(']')
}

// IsID says whether the text is a job id: 16 hexadecimal digits.
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

// Read decodes and checks a job as a client hands it in.
func Read(body []byte) (*Spec, error) {
	spec, err := Restore(body)
	if err != nil {
		return nil, err
	}
	return spec, spec.checkSize()
}

// Restore decodes a job that was accepted before, maybe under other limits of size than those of Read.
func Restore(body []byte) (*Spec, error) {
	spec := &Spec{}
	if err := easyjson.Unmarshal(body, spec); err != nil {
		return nil, errors.Annotate(err, "the job can't be read")
	}
	return spec, spec.check()
}

// checkSize refuses what is larger than a client may hand in.
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

// check refuses what could not be run at all.
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

// check checks the fields of the step with this number; steps may depend on earlier ones only.
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

// TaskName is ID.K.STEP.INDEX.
func TaskName(id string, time, step, index int) string {
	return id + "." + strconv.Itoa(time) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// TaskPosition names one task of a job: the job's id, the number of its time (0 unless it repeats), of its step, and the
// task's index in the step.
type TaskPosition struct {
	ID                      string
	Occurrence, Step, Index int
}

// JobOf gives the ID of the job that a task belongs to, empty for what is no name of a task.
func JobOf(task string) string {
	place, _ := ParseTask(task)
	return place.ID
}

// ParseTask takes a name apart that TaskName made; false means that it is not one.
func ParseTask(name string) (TaskPosition, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskPosition{}, false
	}
	var numbers [3]int
	for place, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskPosition{}, false
		}
		numbers[place] = number
	}
	return TaskPosition{parts[0], numbers[0], numbers[1], numbers[2]}, true
}
