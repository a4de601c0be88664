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
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	howBroken  = "broken"
	howAlone   = "alone"
)

const (
	earlyMs      = 250
	jumpSlackMs  = 5000
	mostProblems = 8
)

// oracles see what executors and clients truly saw, and say where an invariant does not hold.
type oracles struct {
	world *world
	jobs  map[string]*job
	// order is the jobs in the order in which they were handed in.
	order []*job
	// asked is the place in order of the job that was asked for last.
	asked      int
	tasks      map[string]*task
	begun      map[lifeRun]bool
	stops      map[lifeRun]bool
	violations []modelcheck.Violation
	isTimeOdd  bool
	// Jobs handed in until electedAt are excused until inheritedUntil; see elected.
	electedAt, inheritedUntil time.Duration
}

func newOracles(w *world) *oracles {
	return &oracles{world: w, jobs: map[string]*job{}, tasks: map[string]*task{}, begun: map[lifeRun]bool{}, stops: map[lifeRun]bool{}}
}

func (w *world) violate(oracle, format string, values ...any) {
	if len(w.oracles.violations) < mostProblems {
		w.oracles.violations = append(w.oracles.violations, modelcheck.Violation{Oracle: oracle,
			AtMs: int(w.queue.now() / time.Millisecond), Detail: fmt.Sprintf(format, values...)})
	}
}

func (o *oracles) task(name string) *task {
	one := o.tasks[name]
	if one == nil {
		one = &task{saved: map[string]bool{}}
		o.tasks[name] = one
	}
	return one
}

func (o *oracles) stepOf(place jobs.Place) *jobs.Step {
	if one := o.jobs[place.ID]; one != nil && place.Step < len(one.spec.Steps) {
		return &one.spec.Steps[place.Step]
	}
	return &jobs.Step{}
}

// isCalm tells whether nothing has been wrong anywhere for a time, so that bounds of time hold.
func (o *oracles) isCalm() bool {
	return o.world.queue.now()-o.world.troubledAt > o.world.profile.contactTime
}

func (o *oracles) crashed(executor *executor) {
	for _, one := range executor.active {
		o.jobs[one.place.ID].running--
		facts := o.task(one.task)
		facts.active = slices.DeleteFunc(facts.active, func(other *execution) bool { return other == one })
	}
}

func (o *oracles) stopTaken(executor *executor, task string, run int64) {
	o.stops[lifeRun{executor.id, task, run}] = true
}

// reported checks that what a proxy tells of orders is what the executor did with these, and not with others.
func (o *oracles) reported(proxy *proxy, call *wire.ExchangeCall) {
	for _, one := range call.Answers {
		which := lifeRun{call.Executor, one.Task, one.Run}
		if one.Result != "ok" {
			continue
		}
		if one.Kind == "launch" && !o.begun[which] {
			o.world.violate("ANSWER", "%s reports %s run %d as started on %s, which never began it", proxy.name, one.Task, one.Run, call.Executor)
		}
		if one.Kind == "stop" && !o.stops[which] {
			o.world.violate("ANSWER", "%s reports %s run %d as stopped on %s, which was never told so", proxy.name, one.Task, one.Run, call.Executor)
		}
	}
}

// save makes a checkpoint of a run, of which only this task may be started.
func (o *oracles) save(name string, run int64) string {
	facts := o.task(name)
	saved := fmt.Sprintf("%s/%d/%d", name, run, len(facts.saved))
	facts.saved[saved] = true
	return saved
}
