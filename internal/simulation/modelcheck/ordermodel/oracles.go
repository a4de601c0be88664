package ordermodel

import (
	"fmt"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/simulation/modelcheck"
)

// The outcomes of runs. A run lapses when its executor's lease expires. A member of a gang is broken if another member did not end
// as done, and it ends alone if it has waited too long for the other members.
const (
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	outcomeStopped = "stopped"
	outcomeLapsed  = "lapsed"
	outcomeBroken  = "broken"
	outcomeAlone   = "alone"
)

const (
	// An occurrence may start earlySlackMs before it is due, and jumpSlackMs earlier than that once a clock has jumped. The oracle of
	// stalled jobs expects it to start only when it has been due for as long.
	earlySlackMs  = 250
	jumpSlackMs   = 5000
	maxViolations = 8
)

// oracles record what executors did and what clients were answered, and report where an invariant does not hold.
type oracles struct {
	cluster *simCluster
	jobs    map[string]*modelJob
	// jobsInOrder are the jobs in the order in which they were first submitted.
	jobsInOrder []*modelJob
	// lastInspected is the index in jobsInOrder of the job that nextToInspect last chose because it was not over.
	lastInspected int
	tasks         map[string]*modelTask
	// launched are the runs that executors have begun, and stopped the runs that executors were ordered to stop.
	launched   map[incarnationRun]bool
	stopped    map[incarnationRun]bool
	violations []modelcheck.Violation
	// hasClockJumped is set once the time of day of a steward has jumped.
	hasClockJumped bool
	// Jobs that were submitted until electedAt are excused until electionExcuseUntil; see recordElection.
	electedAt, electionExcuseUntil time.Duration
}

func newOracles(c *simCluster) *oracles {
	return &oracles{cluster: c, jobs: map[string]*modelJob{}, tasks: map[string]*modelTask{}, launched: map[incarnationRun]bool{}, stopped: map[incarnationRun]bool{}}
}

// violate records a violation of an oracle's invariant, unless there are maxViolations already.
func (c *simCluster) violate(oracle, format string, values ...any) {
	if len(c.oracles.violations) < maxViolations {
		c.oracles.violations = append(c.oracles.violations, modelcheck.Violation{Oracle: oracle,
			AtMs: int(c.queue.now() / time.Millisecond), Detail: fmt.Sprintf(format, values...)})
	}
}

// task returns the facts of a task; it creates them on first use.
func (o *oracles) task(name string) *modelTask {
	task := o.tasks[name]
	if task == nil {
		task = &modelTask{checkpoints: map[string]bool{}}
		o.tasks[name] = task
	}
	return task
}

// stepOf returns the step of a task, or an empty step if no client has submitted the job.
func (o *oracles) stepOf(position jobs.TaskPosition) *jobs.Step {
	if job := o.jobs[position.ID]; job != nil && position.Step < len(job.spec.Steps) {
		return &job.spec.Steps[position.Step]
	}
	return &jobs.Step{}
}

// isCalm reports whether there has been no fault for contactTime, so that limits of time apply.
func (o *oracles) isCalm() bool {
	return o.cluster.queue.now()-o.cluster.faultsUntil > o.cluster.profile.contactTime
}

// recordCrash records that all runs of an executor are gone.
func (o *oracles) recordCrash(executor *modelExecutor) {
	for _, execution := range executor.active {
		o.jobs[execution.position.ID].running--
		facts := o.task(execution.task)
		facts.active = slices.DeleteFunc(facts.active, func(other *modelExecution) bool { return other == execution })
	}
}

// recordStop records that an executor was ordered to stop a run.
func (o *oracles) recordStop(executor *modelExecutor, task string, run int64) {
	o.stopped[incarnationRun{executor.id, task, run}] = true
}

// checkReportedAnswers checks that the executor has carried out each order that its proxy reports as carried out.
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

// saveCheckpoint records a new checkpoint of a run and returns it. Only runs of this task, or of a member of its gang, may start
// from it.
func (o *oracles) saveCheckpoint(name string, run int64) string {
	facts := o.task(name)
	checkpoint := fmt.Sprintf("%s/%d/%d", name, run, len(facts.checkpoints))
	facts.checkpoints[checkpoint] = true
	return checkpoint
}
