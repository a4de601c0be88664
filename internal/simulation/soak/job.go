package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"gannetline/internal/simulation/hollow"
)

// shape is the size of a job: the tasks of its two steps, the length of each task, and what each task needs, in multiples of
// taskCPU and taskMemoryMB. It is encoded in the job's ID, so any observer of the job can decode it.
type shape struct {
	first, second int
	length        time.Duration
	taskSize      int
}

// The last three hexadecimal digits of an ID are the number of tasks of the first step, that of the second step, and the length
// of each task in multiples of shapeUnit. maxTasks is the maximum number of tasks of the first step. The digit before them is
// largeDigit in jobs with large tasks, which need more than half of a tenant's limit.
const (
	idDigits     = 16
	maxTasks     = 6
	maxUnits     = 8
	shapeUnit    = 50 * time.Millisecond
	taskCPU      = 400
	taskMemoryMB = 100
	largeDigit   = 15
	largeSize    = tenantLimitTasks/2 + 1
)

// newJob draws the ID of a job with a random shape.
func newJob(random *rand.Rand) string {
	return fmt.Sprintf("%013x%x%x%x", random.Uint64()>>12, 1+random.IntN(maxTasks), random.IntN(maxTasks), 1+random.IntN(maxUnits))
}

// shapeOf returns the shape that an ID encodes, or no tasks if the ID has another length.
func shapeOf(id string) shape {
	if len(id) != idDigits {
		return shape{}
	}
	digit := func(place int) int {
		value, _ := strconv.ParseInt(id[place:place+1], 16, 8)
		return int(value)
	}
	taskSize := 1
	if digit(idDigits-4) == largeDigit {
		taskSize = largeSize
	}
	return shape{digit(idDigits - 3), digit(idDigits - 2), time.Duration(digit(idDigits-1)) * shapeUnit, taskSize}
}

func (s shape) tasks() int { return s.first + s.second }

// body returns the JSON body of the job's submission.
func (s shape) body() string {
	cpu, memoryMB := int64(s.taskSize*taskCPU), int64(s.taskSize*taskMemoryMB)
	load := hollow.Load{Length: s.length, CPU: cpu, MemoryMB: memoryMB}
	step := func(tasks int, after string) string {
		return fmt.Sprintf(`{"task-count":%d,"cpu-units":%d,"memory-req-mb":%d,"estimated-ms":%d%s}`, tasks, cpu, memoryMB, s.length.Milliseconds(), after)
	}
	steps := []string{step(s.first, "")}
	if s.second > 0 {
		steps = append(steps, step(s.second, `,"depends-on":[0]`))
	}
	return fmt.Sprintf(`{"task-descriptor":%q,"step-list":[%s]}`, load.Descriptor(), strings.Join(steps, ","))
}
