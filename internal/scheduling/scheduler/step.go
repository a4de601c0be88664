package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/placement"
)

// stepState is a step of one occurrence of a job.
type stepState struct {
	occurrence *occurrence
	number     int
	spec       *jobs.Step
	tasks      []*taskState
	// remaining is the number of tasks that are not done.
	remaining int
	// isOpen is set once all dependencies of the step are complete.
	isOpen   bool
	openedAt time.Duration
	// lastProgressAt is when a started run of the step was last closed, or when the step opened if there was none.
	lastProgressAt time.Duration
	// failedRun is the last run of a gang that counted as a failure.
	failedRun int64
	// brokenAt is when a gang lost a member while others still ran; 0 if it has not.
	brokenAt time.Duration
	// durations holds the sorted durations of the first maxDurations completed runs.
	durations []time.Duration
	// overdueFactor is the multiple of the median duration after which a run is overdue.
	overdueFactor float64
	// remainingPathMs is the estimated length of the longest chain of steps from this one to the end of the job.
	remainingPathMs int64
	// lastLaunchAt is when a run of the step was last launched. turnEndedAt is when the last turn of the tenant ended in which the step's work
	// was the next to start (see nextWork).
	lastLaunchAt, turnEndedAt time.Duration
	// noRoomUntil is the time before which the step counts as work without room, since there was none at the last check.
	noRoomUntil time.Duration
	// notBefore is the latest notBefore of the tasks.
	notBefore time.Duration
	// idle holds the tasks without runs that are not done, busy those with runs; both are sorted by index.
	idle     []*taskState
	busy     []*taskState
	requests stepRequests
}

// queue returns the name of the step's queue, which is the route by which its job was submitted.
func (s *stepState) queue() string { return s.occurrence.job.record.Route }

func (s *stepState) priority() int { return s.occurrence.job.record.Terms.Priority }

// tenant returns the tenant of the step's job.
func (s *stepState) tenant() *tenantState { return s.occurrence.job.tenant }

// need returns the resources of one task.
func (s *stepState) need() placement.Resources {
	return placement.Resources{CPU: s.spec.CPU, Memory: s.spec.Memory, GPU: s.spec.GPU}
}

// lastRun returns the highest run number of all tasks of the step.
func (s *stepState) lastRun() int64 {
	var last int64
	for _, member := range s.tasks {
		last = max(last, member.lastRun)
	}
	return last
}

// needAtOnce returns what must be free for the step to start something: what a task needs, or all members of a gang.
func (s *stepState) needAtOnce() placement.Resources {
	if s.spec.Gang {
		return s.need().Times(float64(len(s.tasks)))
	}
	return s.need()
}

func (s *stepState) hasRuns() bool { return len(s.busy) > 0 }

// classify puts a task into the step's busy or idle list, or into neither, after its runs or isDone have changed.
func (s *stepState) classify(task *taskState) {
	s.busy = withMembership(s.busy, task, len(task.runs) > 0)
	s.idle = withMembership(s.idle, task, len(task.runs) == 0 && !task.isDone)
}

// withMembership returns the list, sorted by index, with the task in it or without it.
func withMembership(list []*taskState, task *taskState, belongs bool) []*taskState {
	index, exists := slices.BinarySearchFunc(list, task, func(a, b *taskState) int { return cmp.Compare(a.index, b.index) })
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
