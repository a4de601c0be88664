package stage

import (
	"fmt"

	"gannetline/internal/executorapi"
	"gannetline/internal/jobs"
)

type jobFacts struct {
	spec        *jobs.Spec
	maxAttempts int
}

type taskFacts struct {
	running map[*Executor]int64
	isDone  bool
	isNoted bool
	failed  int
	starts  int
}

// Judge sees what executors really do, and says where a rule was broken.
type Judge struct {
	line     *Line
	jobs     map[string]*jobFacts
	tasks    map[string]*taskFacts
	Problems []string
	Doubled  map[string]int
	Starts   int
	// OnNoted is told of each end that last-seen reached.
	OnNoted func(task string)
}

func newJudge(line *Line) *Judge {
	return &Judge{line: line, jobs: map[string]*jobFacts{}, tasks: map[string]*taskFacts{}, Doubled: map[string]int{}}
}

func (j *Judge) problem(format string, values ...any) {
	j.Problems = append(j.Problems, fmt.Sprintf("%v: ", j.line.Now())+fmt.Sprintf(format, values...))
}

func (j *Judge) expect(id string, spec *jobs.Spec, maxAttempts int) {
	if j.jobs[id] == nil {
		j.jobs[id] = &jobFacts{spec: spec, maxAttempts: maxAttempts}
	}
}

func (j *Judge) step(task string) (*jobs.Step, jobs.Place) {
	place, isTask := jobs.ParseTask(task)
	if facts := j.jobs[place.ID]; isTask && facts != nil && place.Step < len(facts.spec.Steps) {
		return &facts.spec.Steps[place.Step], place
	}
	return &jobs.Step{}, place
}

func (j *Judge) need(task string) *jobs.Step {
	step, _ := j.step(task)
	return step
}

func (j *Judge) isGang(task string) bool { return j.need(task).Gang }

func (j *Judge) of(task string) *taskFacts {
	facts := j.tasks[task]
	if facts == nil {
		facts = &taskFacts{running: map[*Executor]int64{}}
		j.tasks[task] = facts
	}
	return facts
}

func (j *Judge) started(executor *Executor, task string, run int64) {
	j.Starts++
	step, place := j.step(task)
	facts, owner := j.of(task), j.jobs[place.ID]
	if owner == nil {
		j.problem("%s was started and never handed in", task)
		return
	}
	if !step.Redundant {
		for other, number := range facts.running {
			if other.isUp && other != executor {
				j.Doubled[place.ID]++
				j.problem("%s runs twice: run %d on %s and run %d on %s", task, number, other.ID, run, executor.ID)
			}
		}
		if facts.isNoted {
			j.Doubled[place.ID]++
			j.problem("%s run %d started on %s after it was done", task, run, executor.ID)
		}
	}
	if !step.Lasting && !step.Gang && facts.failed >= max(1, owner.maxAttempts) {
		j.problem("%s run %d started after %d failures", task, run, facts.failed)
	}
	for _, earlier := range step.DependsOn {
		for index := range owner.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(place.ID, place.Time, earlier, index)
			if !j.of(name).isDone {
				j.problem("%s started before %s was done", task, name)
			}
		}
	}
	facts.starts++
	facts.running[executor] = run
	if here := executor.runsOf(place); step.Apart > 0 && here > step.Apart {
		j.problem("%s run %d is one of %d of its step on %s", task, run, here, executor.ID)
	}
}

func (j *Judge) ended(executor *Executor, task, how string) {
	facts := j.of(task)
	delete(facts.running, executor)
	if how == "done" {
		facts.isDone = true
		if step, place := j.step(task); step.Gang {
			for index := range step.Tasks {
				j.of(jobs.TaskName(place.ID, place.Time, place.Step, index)).isDone = true
			}
		}
	}
}

func (j *Judge) noted(end executorapi.EndRow) {
	facts := j.of(end.Task)
	if j.OnNoted != nil {
		j.OnNoted(end.Task)
	}
	switch end.How {
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

// MostStarts is how often the task that was started most often was started.
func (j *Judge) MostStarts() int {
	most := 0
	for _, facts := range j.tasks {
		most = max(most, facts.starts)
	}
	return most
}
