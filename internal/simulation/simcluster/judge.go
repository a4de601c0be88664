package simcluster

import (
	"fmt"
	"maps"
	"time"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

type jobFacts struct {
	spec        *jobs.Spec
	maxAttempts int
	isAccepted  bool
}

type taskFacts struct {
	running map[*Executor]int64
	isDone  bool
	isNoted bool
	failed  int
	starts  int
	// failedRuns are the runs that ended failed, whether that was told or not.
	failedRuns map[int64]bool
}

// Judge sees what executors really do, and says where a rule was broken.
type Judge struct {
	events   *EventQueue
	jobs     map[string]*jobFacts
	tasks    map[string]*taskFacts
	Problems []string
	Doubled  map[string]int
	Starts   int
	// OnNoted is told of each end that last-seen reached.
	OnNoted func(task string)
}

func newJudge(events *EventQueue) *Judge {
	return &Judge{events: events, jobs: map[string]*jobFacts{}, tasks: map[string]*taskFacts{}, Doubled: map[string]int{}}
}

func (j *Judge) problem(format string, values ...any) {
	j.Problems = append(j.Problems, fmt.Sprintf("%v: ", j.events.Now())+fmt.Sprintf(format, values...))
}

func (j *Judge) expect(id string, spec *jobs.Spec, maxAttempts int) {
	if j.jobs[id] == nil {
		j.jobs[id] = &jobFacts{spec: spec, maxAttempts: maxAttempts}
	}
}

func (j *Judge) step(task string) (*jobs.Step, jobs.TaskPosition) {
	position, isTask := jobs.ParseTask(task)
	if facts := j.jobs[position.ID]; isTask && facts != nil && position.Step < len(facts.spec.Steps) {
		return &facts.spec.Steps[position.Step], position
	}
	return &jobs.Step{}, position
}

func (j *Judge) need(task string) *jobs.Step {
	step, _ := j.step(task)
	return step
}

// Estimate is how long the task's step is said to take, and whether it lasts.
func (j *Judge) Estimate(task string) (length time.Duration, isLongRunning bool) {
	step := j.need(task)
	return clock.Milliseconds(step.EstimatedMs), step.LongRunning
}

func (j *Judge) isGang(task string) bool { return j.need(task).Gang }

func (j *Judge) of(task string) *taskFacts {
	facts := j.tasks[task]
	if facts == nil {
		facts = &taskFacts{running: map[*Executor]int64{}, failedRuns: map[int64]bool{}}
		j.tasks[task] = facts
	}
	return facts
}

// started checks a start: no task runs twice or after its end was noted, none beyond its attempts or before what it
// depends on, and no more of a step on one executor than it allows.
func (j *Judge) started(executor *Executor, task string, run int64) {
	j.Starts++
	step, position := j.step(task)
	facts, job := j.of(task), j.jobs[position.ID]
	if job == nil {
		j.problem("%s was started and never handed in", task)
		return
	}
	if !step.Redundant {
		for other, number := range facts.running {
			if other.isUp && other != executor {
				j.Doubled[position.ID]++
				j.problem("%s runs twice: run %d on %s and run %d on %s", task, number, other.ID, run, executor.ID)
			}
		}
		if facts.isNoted {
			j.Doubled[position.ID]++
			j.problem("%s run %d started on %s after it was done", task, run, executor.ID)
		}
	}
	if !step.LongRunning && !step.Gang && facts.failed >= max(1, job.maxAttempts) {
		j.problem("%s run %d started after %d failures", task, run, facts.failed)
	}
	for _, earlier := range step.DependsOn {
		for index := range job.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(position.ID, position.Occurrence, earlier, index)
			if !j.of(name).isDone {
				j.problem("%s started before %s was done", task, name)
			}
		}
	}
	facts.starts++
	facts.running[executor] = run
	if here := executor.runsOf(position); step.AntiAffinity > 0 && here > step.AntiAffinity {
		j.problem("%s run %d is one of %d of its step on %s", task, run, here, executor.ID)
	}
}

// ended records the end of a run; one member's end completes a gang.
func (j *Judge) ended(executor *Executor, task string, run int64, how string) {
	facts := j.of(task)
	delete(facts.running, executor)
	if how == "failed" {
		facts.failedRuns[run] = true
	}
	if how == "done" {
		facts.isDone = true
		if step, position := j.step(task); step.Gang {
			for index := range step.Tasks {
				j.of(jobs.TaskName(position.ID, position.Occurrence, position.Step, index)).isDone = true
			}
		}
	}
}

// HasFailed tells whether a task of the job, or a gang, failed as often as it may.
func (j *Judge) HasFailed(id string) bool {
	job := j.jobs[id]
	for name, facts := range j.tasks {
		step, position := j.step(name)
		if position.ID != id || step.LongRunning {
			continue
		}
		failed := len(facts.failedRuns)
		if step.Gang {
			failed = j.failedGangs(position, step)
		}
		if failed >= max(1, job.maxAttempts) {
			return true
		}
	}
	return false
}

// failedGangs counts the runs of a gang in which any member failed.
func (j *Judge) failedGangs(position jobs.TaskPosition, step *jobs.Step) int {
	runs := map[int64]bool{}
	for index := range step.Tasks {
		if facts := j.tasks[jobs.TaskName(position.ID, position.Occurrence, position.Step, index)]; facts != nil {
			maps.Copy(runs, facts.failedRuns)
		}
	}
	return len(runs)
}

// noted records that the leader has acknowledged an end.
func (j *Judge) noted(end executorapi.EndRow) {
	facts := j.of(end.Task)
	if j.OnNoted != nil {
		j.OnNoted(end.Task)
	}
	switch end.Outcome {
	case "done":
		facts.isNoted = true
	case "failed":
		facts.failed++
	}
}

func (j *Judge) crashed(executor *Executor) {
	for _, facts := range j.tasks {
		delete(facts.running, executor)
	}
}

// MaxStarts is how often the task that was started most often was started.
func (j *Judge) MaxStarts() int {
	limit := 0
	for _, facts := range j.tasks {
		limit = max(limit, facts.starts)
	}
	return limit
}
