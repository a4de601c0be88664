package ordermodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/simulation/modelcheck"
)

// How runs end.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeStopped = "stopped"
	outcomeLapsed  = "lapsed"
	outcomeBroken  = "broken"
	outcomeAlone   = "alone"
)

const (
	earlySlackMs  = 250
	jumpSlackMs   = 5000
	maxViolations = 8
)

// oracles see what executors and clients truly saw, and say where an invariant does not hold.
type oracles struct {
	cluster *simCluster
	jobs    map[string]*modelJob
	// order is the jobs in the order in which they were submitted.
	order []*modelJob
	// asked is the place in order of the job that was asked for last.
	lastInspected  int
	tasks          map[string]*modelTask
	launched       map[incarnationRun]bool
	stopped        map[incarnationRun]bool
	violations     []modelcheck.Violation
	hasClockJumped bool
	// Jobs submitted until electedAt are excused until inheritedUntil; see elected.
	electedAt, electionExcuseUntil time.Duration
}

func newOracles(w *simCluster) *oracles {
	return &oracles{cluster: w, jobs: map[string]*modelJob{}, tasks: map[string]*modelTask{}, launched: map[incarnationRun]bool{}, stopped: map[incarnationRun]bool{}}
}

func (w *simCluster) violate(oracle, format string, values ...any) {
	if len(w.oracles.violations) < maxViolations {
		w.oracles.violations = append(w.oracles.violations, modelcheck.Violation{Oracle: oracle,
			AtMs: int(w.queue.now() / time.Millisecond), Detail: fmt.Sprintf(format, values...)})
	}
}

func (o *oracles) task(name string) *modelTask {
	task := o.tasks[name]
	if task == nil {
		task = &modelTask{checkpoints: map[string]bool{}}
		o.tasks[name] = task
	}
	return task
}

func (o *oracles) stepOf(position jobs.TaskPosition) *jobs.Step {
	if job := o.jobs[position.ID]; job != nil && position.Step < len(job.spec.Steps) {
		return &job.spec.Steps[position.Step]
	}
	return &jobs.Step{}
}

// isCalm tells whether nothing has been wrong anywhere for a time, so that bounds of time hold.
func (o *oracles) isCalm() bool {
	return o.cluster.queue.now()-o.cluster.faultsUntil > o.cluster.profile.contactTime
}

func (o *oracles) recordCrash(executor *modelExecutor) {
	for _, execution := range executor.active {
		o.jobs[execution.position.ID].running--
		facts := o.task(execution.task)
		facts.active = slices.DeleteFunc(facts.active, func(other *modelExecution) bool { return other == execution })
	}
}

func (o *oracles) recordStop(executor *modelExecutor, task string, run int64) {
	o.stopped[incarnationRun{executor.id, task, run}] = true
}

// reported checks that what a proxy tells of orders is what the executor did with these, and not with others.
func (o *oracles) checkReportedAnswers(proxy *modelProxy, call *wire.ExchangeCall) {
	for _, answer := range call.Answers {
		run := incarnationRun{call.Executor, answer.Task, answer.Run}
		if answer.Result != "ok" {
			continue
		}
		if answer.Kind == "launch" && !o.launched[run] {
			o.cluster.violate("ANSWER", "%s reports %s run %d as started on %s, which never began it", proxy.name, answer.Task, answer.Run, call.Executor)
		}
		if answer.Kind == "stop" && !o.stopped[run] {
			o.cluster.violate("ANSWER", "%s reports %s run %d as stopped on %s, which was never told so", proxy.name, answer.Task, answer.Run, call.Executor)
		}
	}
}

// save makes a checkpoint of a run, of which only this task may be started.
func (o *oracles) saveCheckpoint(name string, run int64) string {
	facts := o.task(name)
	checkpoint := fmt.Sprintf("%s/%d/%d", name, run, len(facts.checkpoints))
	facts.checkpoints[checkpoint] = true
	return checkpoint
}
