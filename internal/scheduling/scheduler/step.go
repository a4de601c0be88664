package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/placement"
)

type stepState struct {
	occurrence *occurrence
	number     int
	spec       *jobs.Step
	tasks      []*taskState
	remaining  int
	isOpen     bool
	openedAt   time.Duration
	// lastProgressAt is when a run of the step was last known to work, or when the step opened.
	lastProgressAt  time.Duration
	failedRun       int64
	brokenAt        time.Duration
	durations       []time.Duration
	overdueFactor   float64
	remainingPathMs int64
	notBefore       time.Duration
	idle            []*taskState
	busy            []*taskState
	requests        stepRequests
}

// queue is the queue that the step's job was submitted to.
func (s *stepState) queue() string { return s.occurrence.job.record.Route }

func (s *stepState) priority() int { return s.occurrence.job.record.Terms.Priority }

// tenant is that of the step's job.
func (s *stepState) tenant() *tenantState { return s.occurrence.job.tenant }

func (s *stepState) need() placement.Resources {
	return placement.Resources{CPU: s.spec.CPU, Memory: s.spec.Memory, GPU: s.spec.GPU}
}

func (s *stepState) lastRun() int64 {
	var last int64
	for _, member := range s.tasks {
		last = max(last, member.lastRun)
	}
	return last
}

func (s *stepState) hasRuns() bool { return len(s.busy) > 0 }

// classify keeps a task among those of its step that run, those that could, or neither.
func (s *stepState) classify(task *taskState) {
	s.busy = withMembership(s.busy, task, len(task.runs) > 0)
	s.idle = withMembership(s.idle, task, len(task.runs) == 0 && !task.isDone)
}

// withMembership returns the list, sorted by index, with the task in it or without it.
func withMembership(list []*taskState, task *taskState, belongs bool) []*taskState {
	index, exists := slices.BinarySearchFunc(list, task, func(member, b *taskState) int { return cmp.Compare(member.index, b.index) })
	switch {
	case belongs && !exists:
		return slices.Insert(list, index, task)
	case exists && !belongs && index == 0:
		return list[1:]
	case exists && !belongs:
		return slices.Delete(list, index, index+1)
	}
	return list
}
