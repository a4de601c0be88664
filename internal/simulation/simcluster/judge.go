package simcluster

import (
	"fmt"
	"maps"
	"time"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/jobs"
)

// jobFacts is what the checker knows of a submitted job. isAccepted is set once a client got the answer that the job is accepted.
type jobFacts struct {
	spec        *jobs.Spec
	maxAttempts int
	isAccepted  bool
}

// taskFacts is what the checker observed of a task. running holds the number of its current run on each executor. isDone is set once a
// run, or for a gang a run of any of its tasks, ended with success, and isSuccessAcknowledged once the leader acknowledged such an end of
// this task. acknowledgedFailures counts the failed runs whose end the leader acknowledged, and starts counts all starts.
type taskFacts struct {
	running               map[*Executor]int64
	isDone                bool
	isSuccessAcknowledged bool
	acknowledgedFailures  int
	starts                int
	// failedRuns are the runs that failed, whether the leader acknowledged the end or not.
	failedRuns map[int64]bool
}

// Checker observes what the executors actually do, and records violations of the scheduling rules. DuplicateRuns counts, by job, the
// violations by runs that started while the same task ran on another executor, or after its acknowledged success. Starts counts all starts.
type Checker struct {
	events        *EventQueue
	jobs          map[string]*jobFacts
	tasks         map[string]*taskFacts
	Violations    []string
	DuplicateRuns map[string]int
	Starts        int
	// OnEndAcknowledged, if set, is called for each end that the leader acknowledged by last-seen, unless the executor's lease has expired
	// since that end.
	OnEndAcknowledged func(task string)
}

func newChecker(events *EventQueue) *Checker {
	return &Checker{events: events, jobs: map[string]*jobFacts{}, tasks: map[string]*taskFacts{}, DuplicateRuns: map[string]int{}}
}

func (c *Checker) recordViolation(format string, values ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.events.Now())+fmt.Sprintf(format, values...))
}

// expectJob registers a job that is about to be submitted. For a known ID it does nothing.
func (c *Checker) expectJob(id string, spec *jobs.Spec, maxAttempts int) {
	if c.jobs[id] == nil {
		c.jobs[id] = &jobFacts{spec: spec, maxAttempts: maxAttempts}
	}
}

// step returns the step and the position of a task. The step is empty if the task belongs to no registered job.
func (c *Checker) step(task string) (*jobs.Step, jobs.TaskPosition) {
	position, isTask := jobs.ParseTask(task)
	if facts := c.jobs[position.ID]; isTask && facts != nil && position.Step < len(facts.spec.Steps) {
		return &facts.spec.Steps[position.Step], position
	}
	return &jobs.Step{}, position
}

func (c *Checker) stepOf(task string) *jobs.Step {
	step, _ := c.step(task)
	return step
}

// Estimate returns the estimated length of the task's step, and whether the step is long-running.
func (c *Checker) Estimate(task string) (length time.Duration, isLongRunning bool) {
	step := c.stepOf(task)
	return clock.Milliseconds(step.EstimatedMs), step.LongRunning
}

func (c *Checker) isGang(task string) bool { return c.stepOf(task).Gang }

func (c *Checker) factsOf(task string) *taskFacts {
	facts := c.tasks[task]
	if facts == nil {
		facts = &taskFacts{running: map[*Executor]int64{}, failedRuns: map[int64]bool{}}
		c.tasks[task] = facts
	}
	return facts
}

// handleStart records and checks a start. These are violations:
//   - a start of a task whose job was never submitted
//   - outside of redundant steps, a start while the task runs on another executor, or after its success was acknowledged
//   - outside of long-running and gang steps, a start after as many acknowledged failures as the job has attempts
//   - a start before the tasks of the steps that it depends on are done
//   - more runs of a step on an executor than its anti-affinity allows
func (c *Checker) handleStart(executor *Executor, task string, run int64) {
	c.Starts++
	step, position := c.step(task)
	facts, job := c.factsOf(task), c.jobs[position.ID]
	if job == nil {
		c.recordViolation("%s was started and never submitted", task)
		return
	}
	if !step.Redundant {
		for other, number := range facts.running {
			if other.isUp && other != executor {
				c.DuplicateRuns[position.ID]++
				c.recordViolation("%s runs twice: run %d on %s and run %d on %s", task, number, other.ID, run, executor.ID)
			}
		}
		if facts.isSuccessAcknowledged {
			c.DuplicateRuns[position.ID]++
			c.recordViolation("%s run %d started on %s after it was done", task, run, executor.ID)
		}
	}
	if !step.LongRunning && !step.Gang && facts.acknowledgedFailures >= max(1, job.maxAttempts) {
		c.recordViolation("%s run %d started after %d failures", task, run, facts.acknowledgedFailures)
	}
	for _, earlier := range step.DependsOn {
		for index := range job.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(position.ID, position.Occurrence, earlier, index)
			if !c.factsOf(name).isDone {
				c.recordViolation("%s started before %s was done", task, name)
			}
		}
	}
	facts.starts++
	facts.running[executor] = run
	if here := executor.countRunsOf(position); step.AntiAffinity > 0 && here > step.AntiAffinity {
		c.recordViolation("%s run %d is one of %d of its step on %s", task, run, here, executor.ID)
	}
}

// handleEnd records the end of a run. If a task of a gang succeeds, the whole gang is done.
func (c *Checker) handleEnd(executor *Executor, task string, run int64, outcome string) {
	facts := c.factsOf(task)
	delete(facts.running, executor)
	if outcome == "failed" {
		facts.failedRuns[run] = true
	}
	if outcome == "done" {
		facts.isDone = true
		if step, position := c.step(task); step.Gang {
			for index := range step.Tasks {
				c.factsOf(jobs.TaskName(position.ID, position.Occurrence, position.Step, index)).isDone = true
			}
		}
	}
}

// HasFailed reports whether a task or gang of the job has failed as often as the job has attempts, acknowledged or not. Long-running steps
// are left out.
func (c *Checker) HasFailed(id string) bool {
	job := c.jobs[id]
	for name, facts := range c.tasks {
		step, position := c.step(name)
		if position.ID != id || step.LongRunning {
			continue
		}
		failed := len(facts.failedRuns)
		if step.Gang {
			failed = c.countFailedGangRuns(position, step)
		}
		if failed >= max(1, job.maxAttempts) {
			return true
		}
	}
	return false
}

// countFailedGangRuns counts the runs of a gang in which any of its tasks failed.
func (c *Checker) countFailedGangRuns(position jobs.TaskPosition, step *jobs.Step) int {
	runs := map[int64]bool{}
	for index := range step.Tasks {
		if facts := c.tasks[jobs.TaskName(position.ID, position.Occurrence, position.Step, index)]; facts != nil {
			maps.Copy(runs, facts.failedRuns)
		}
	}
	return len(runs)
}

// handleAcknowledgement records that the leader has acknowledged an end of a run.
func (c *Checker) handleAcknowledgement(end executorapi.EndRow) {
	facts := c.factsOf(end.Task)
	if c.OnEndAcknowledged != nil {
		c.OnEndAcknowledged(end.Task)
	}
	switch end.Outcome {
	case "done":
		facts.isSuccessAcknowledged = true
	case "failed":
		facts.acknowledgedFailures++
	}
}

// handleCrash removes all current runs of an executor.
func (c *Checker) handleCrash(executor *Executor) {
	for _, facts := range c.tasks {
		delete(facts.running, executor)
	}
}

// MaxStarts returns the highest number of starts of any one task.
func (c *Checker) MaxStarts() int {
	highest := 0
	for _, facts := range c.tasks {
		highest = max(highest, facts.starts)
	}
	return highest
}
