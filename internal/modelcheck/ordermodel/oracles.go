package ordermodel

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gannetline/internal/executorapi"
	"gannetline/internal/jobs"
	"gannetline/internal/modelcheck"
	"gannetline/internal/peerapi"
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
	cancelTime   = 3 * time.Second
	contactTime  = 3 * time.Second
	mostProblems = 8
)

// job is what a client handed in, and what it was told of it.
type job struct {
	id           string
	spec         *jobs.Spec
	maxAttempts  int
	priority     int
	isHandedIn   bool
	isRefused    bool
	isUnclear    bool
	isAccepted   bool
	isCancelSent bool
	isCancelled  bool
	cancelledAt  time.Duration
	state        string
	startedRuns  int
	openTries    int
}

// isRefusedForGood tells whether every try to hand the job in was turned away.
func (j *job) isRefusedForGood() bool {
	return j.isRefused && !j.isUnclear && !j.isAccepted && j.openTries == 0
}

func (j *job) isOver() bool {
	return j.state == "completed" || j.state == "failed" || j.state == "cancelled"
}

// task is what executors truly did with one.
type task struct {
	active     []*execution
	isDone     bool
	doneAt     time.Duration
	notedDone  bool
	starts     []start
	failures   []failure
	saved      map[string]bool
	highestRun int64
	highestAt  string
	fence      uint64
}

type start struct {
	at  time.Duration
	run int64
}

type failure struct {
	run     int64
	at      time.Duration
	isNoted bool
}

type lifeRun struct {
	life string
	task string
	run  int64
}

// oracles see what executors and clients truly saw, and say where an invariant does not hold.
type oracles struct {
	world      *world
	jobs       map[string]*job
	tasks      map[string]*task
	begun      map[lifeRun]bool
	stops      map[lifeRun]bool
	violations []modelcheck.Violation
	isTimeOdd  bool
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
func (o *oracles) isCalm() bool { return o.world.queue.now()-o.world.troubledAt > contactTime }

// started is told of each run that an executor begins.
func (o *oracles) started(executor *executor, one *execution, order executorapi.RunStart, isLate bool) {
	o.world.count("start")
	o.world.note("%s: %s run %d begins under fence %d, late %t", executor.id, one.task, one.run, order.Fence, isLate)
	owner, facts := o.jobs[one.place.ID], o.task(one.task)
	if owner == nil || !owner.isHandedIn {
		o.world.violate("UNASKED", "%s was started and never handed in", one.task)
		return
	}
	if isLate {
		o.world.count("start_late")
	}
	owner.startedRuns++
	if owner.isRefusedForGood() {
		o.world.violate("REFUSED", "%s started, though every try to hand its job in was turned away", one.task)
	}
	o.checkOrder(executor, one, order, owner, facts)
	o.checkTwice(executor, one, facts, isLate)
	o.checkBudget(one, owner, facts)
	o.checkDepends(one, owner)
	o.checkRoute(executor, one)
	if used := executor.used(); used.CPU > executorRoom.CPU || used.Memory > executorRoom.Memory {
		o.world.violate("LIMIT", "%s run %d takes %s to %d cpu-units", one.task, one.run, executor.id, used.CPU)
	}
	if owner.isCancelled && o.world.queue.now()-owner.cancelledAt > cancelTime && o.isCalm() && !isLate {
		o.world.violate("UNASKED", "%s run %d started long after its job was cancelled", one.task, one.run)
	}
	facts.active = append(facts.active, one)
	facts.starts = append(facts.starts, start{o.world.queue.now(), one.run})
	o.begun[lifeRun{executor.id, one.task, one.run}] = true
}

func (o *oracles) checkOrder(executor *executor, one *execution, order executorapi.RunStart, owner *job, facts *task) {
	if order.Spec != owner.spec.Descriptor {
		o.world.violate("UNASKED", "%s started with another descriptor", one.task)
	}
	if order.Saved != "" && !o.isSavedBy(one, order.Saved) {
		o.world.violate("UNASKED", "%s started from %s, which is no checkpoint of it", one.task, order.Saved)
	}
	if one.step.Redundant {
		return
	}
	if one.run < facts.highestRun && executor.id != facts.highestAt {
		o.world.violate("STALE", "%s run %d started on %s under fence %d after run %d was given to %s under fence %d", one.task, one.run,
			executor.id, order.Fence, facts.highestRun, facts.highestAt, facts.fence)
	}
	if one.run >= facts.highestRun {
		facts.highestRun, facts.highestAt, facts.fence = one.run, executor.id, order.Fence
	}
}

func (o *oracles) isSavedBy(one *execution, saved string) bool {
	if !one.step.Gang {
		return o.task(one.task).saved[saved]
	}
	for index := range one.step.Tasks {
		if o.task(jobs.TaskName(one.place.ID, one.place.Time, one.place.Step, index)).saved[saved] {
			return true
		}
	}
	return false
}

func (o *oracles) checkTwice(executor *executor, one *execution, facts *task, isLate bool) {
	if !one.step.Redundant {
		for _, other := range facts.active {
			o.world.violate("TWICE", "%s: run %d began on %s while run %d runs on %s", one.task, one.run, executor.id, other.run, other.executor.id)
		}
		if facts.notedDone {
			o.world.violate("TWICE", "%s: run %d began on %s after a run had done it and its end was noted", one.task, one.run, executor.id)
		}
	}
	if one.step.Redundant && facts.notedDone && o.world.queue.now()-facts.doneAt > time.Second+contactTime && o.isCalm() && !isLate {
		o.world.violate("TWICE", "%s: run %d of a redundant task began long after its end was noted", one.task, one.run)
	}
	if owner := o.jobs[one.place.ID]; owner.state == "completed" && !one.step.Redundant {
		o.world.violate("TWICE", "%s: run %d began after its job was shown as completed", one.task, one.run)
	}
}

func (o *oracles) checkBudget(one *execution, owner *job, facts *task) {
	if one.step.Lasting || one.step.Redundant {
		return
	}
	noted := 0
	for _, failed := range facts.failures {
		if failed.isNoted {
			noted++
		}
	}
	if noted >= owner.maxAttempts {
		o.world.violate("BUDGET", "%s run %d began after %d failures were noted", one.task, one.run, noted)
	}
}

func (o *oracles) checkDepends(one *execution, owner *job) {
	for _, earlier := range one.step.DependsOn {
		for index := range owner.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(one.place.ID, one.place.Time, earlier, index)
			if !o.task(name).isDone {
				o.world.violate("ORDER", "%s started before %s was done", one.task, name)
			}
		}
	}
	if owner.spec.RepeatCount == 0 {
		return
	}
	slack := int64(earlyMs)
	if o.isTimeOdd {
		slack += jumpSlackMs
	}
	due := owner.spec.FirstRunMs + int64(one.place.Time)*owner.spec.PeriodMs
	if o.world.queue.clock.WallMs() < due-slack {
		o.world.violate("ORDER", "%s started %d ms ahead of its time", one.task, due-o.world.queue.clock.WallMs())
	}
}

// checkRoute looks for starts where a label is missing, or beyond anti-affinity.
func (o *oracles) checkRoute(executor *executor, one *execution) {
	for _, label := range one.step.Labels {
		if !slices.Contains(executor.labels, label) {
			o.world.violate("ROUTE", "%s run %d began on %s, which lacks %s", one.task, one.run, executor.id, label)
		}
	}
	together := 0
	for _, other := range executor.active {
		if other.place.ID == one.place.ID && other.place.Time == one.place.Time && other.place.Step == one.place.Step {
			together++
		}
	}
	if one.step.Apart > 0 && together > one.step.Apart {
		o.world.violate("ROUTE", "%s run %d is one of %d tasks of its step on %s", one.task, one.run, together, executor.id)
	}
}

func (o *oracles) ended(executor *executor, one *execution, how string) {
	o.world.count("end_" + how)
	o.world.note("%s: %s run %d ends %s", executor.id, one.task, one.run, how)
	facts := o.task(one.task)
	facts.active = slices.DeleteFunc(facts.active, func(other *execution) bool { return other == one })
	switch how {
	case howDone:
		facts.isDone = true
		if one.step.Gang {
			for index := range one.step.Tasks {
				o.task(jobs.TaskName(one.place.ID, one.place.Time, one.place.Step, index)).isDone = true
			}
		}
	case howFailed:
		facts.failures = append(facts.failures, failure{run: one.run, at: o.world.queue.now()})
	case howAlone:
		owner := o.jobs[one.place.ID]
		wasCalm := one.begunAt-o.world.troubledAt > contactTime
		if wasCalm && !owner.isCancelSent && !executor.isDraining {
			o.world.violate("GANG", "%s run %d ended alone", one.task, one.run)
		}
	}
}

// noted is told once last-seen reaches an end, unless the hold lapsed in between; starts made since then count against it.
func (o *oracles) noted(executor *executor, end executorapi.EndRow) {
	facts := o.task(end.Task)
	place, _ := jobs.ParseTask(end.Task)
	step := o.stepOf(place)
	switch end.How {
	case howDone:
		if !facts.notedDone {
			facts.notedDone, facts.doneAt = true, o.world.queue.now()
		}
		if !step.Redundant {
			for _, begun := range facts.starts {
				if begun.run > end.Run {
					o.world.violate("TWICE", "%s: run %d had begun after run %d did it on %s, whose end is noted now", end.Task, begun.run, end.Run, executor.id)
				}
			}
		}
	case howFailed:
		o.notedFailure(facts, end, step, o.jobs[place.ID])
	}
}

func (o *oracles) notedFailure(facts *task, end executorapi.EndRow, step *jobs.Step, owner *job) {
	noted, lastAt := 0, time.Duration(0)
	for place := range facts.failures {
		if facts.failures[place].run == end.Run {
			facts.failures[place].isNoted = true
		}
		if facts.failures[place].isNoted {
			noted++
			lastAt = max(lastAt, facts.failures[place].at)
		}
	}
	if step.Lasting || step.Redundant || owner == nil || noted < owner.maxAttempts {
		return
	}
	for _, begun := range facts.starts {
		if begun.at > lastAt {
			o.world.violate("BUDGET", "%s run %d had begun after %d failures, which are noted now", end.Task, begun.run, noted)
		}
	}
}

func (o *oracles) crashed(executor *executor) {
	for _, one := range executor.active {
		facts := o.task(one.task)
		facts.active = slices.DeleteFunc(facts.active, func(other *execution) bool { return other == one })
	}
}

func (o *oracles) stopTaken(executor *executor, task string, run int64) {
	o.stops[lifeRun{executor.id, task, run}] = true
}

// reported checks that what a proxy tells of orders is what the executor did with these, and not with others.
func (o *oracles) reported(proxy *proxy, call *peerapi.ExchangeCall) {
	for _, one := range call.Answers {
		which := lifeRun{call.Life, one.Task, one.Run}
		if one.Result != "ok" {
			continue
		}
		if one.Kind == "launch" && !o.begun[which] {
			o.world.violate("ANSWER", "%s reports %s run %d as started on %s, which never began it", proxy.name, one.Task, one.Run, call.Life)
		}
		if one.Kind == "stop" && !o.stops[which] {
			o.world.violate("ANSWER", "%s reports %s run %d as stopped on %s, which was never told so", proxy.name, one.Task, one.Run, call.Life)
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

func (o *oracles) handedIn(one *job, reply clientReply) {
	one.openTries--
	switch reply.status {
	case http.StatusOK:
		if !one.isAccepted {
			o.world.count("accepted")
		}
		one.isAccepted = true
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		one.isUnclear = true
		o.world.count("hand_in_unclear")
	default:
		one.isRefused = true
		o.world.count("hand_in_refused")
		if one.isRefusedForGood() && one.startedRuns > 0 {
			o.world.violate("REFUSED", "%s was started and its hand-in is refused now with %d", one.id, reply.status)
		}
	}
}

func (o *oracles) cancelled(one *job) {
	if !one.isCancelled {
		o.world.count("cancelled")
		one.isCancelled, one.cancelledAt = true, o.world.queue.now()
	}
}

// shown checks the state that a client is told.
func (o *oracles) shown(one *job, reply clientReply, wasAccepted, wasCancelled bool) {
	switch reply.status {
	case http.StatusGone:
		if wasAccepted {
			o.world.violate("LOST", "%s was accepted and is not known", one.id)
		}
		return
	case http.StatusOK:
	default:
		return
	}
	was := one.state
	one.state = stateIn(reply.body)
	switch {
	case was != "" && one.isOverAs(was) && one.state != was:
		o.world.violate("LOST", "%s was shown as %s and is shown as %s now", one.id, was, one.state)
	case one.state == "completed":
		o.checkCompleted(one)
	case one.state == "failed" && !o.mayHaveFailed(one):
		o.world.violate("LOST", "%s is shown as failed without cause", one.id)
	case one.state == "cancelled" && !one.isCancelSent:
		o.world.violate("LOST", "%s is shown as cancelled and nobody has cancelled it", one.id)
	case wasCancelled && !one.isOver():
		o.world.violate("UNASKED", "%s was cancelled and is shown as %s", one.id, one.state)
	}
}

func (j *job) isOverAs(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

func stateIn(body string) string {
	_, rest, _ := strings.Cut(body, `:"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

// eachTask visits the tasks of all the times of a job.
func (j *job) eachTask(visit func(name string, step *jobs.Step)) {
	for time := range max(1, j.spec.RepeatCount) {
		for number := range j.spec.Steps {
			for index := range j.spec.Steps[number].Tasks {
				visit(jobs.TaskName(j.id, time, number, index), &j.spec.Steps[number])
			}
		}
	}
}

func (o *oracles) checkCompleted(one *job) {
	one.eachTask(func(name string, _ *jobs.Step) {
		if !o.task(name).isDone {
			o.world.violate("MIXED", "%s is shown as completed and %s is not done", one.id, name)
		}
	})
}

// mayHaveFailed tells whether a task or a gang of the job has failed as often as it may.
func (o *oracles) mayHaveFailed(one *job) (mayHave bool) {
	gangs := map[string]map[int64]bool{}
	one.eachTask(func(name string, step *jobs.Step) {
		mayHave = mayHave || len(o.task(name).failures) >= one.maxAttempts
		if !step.Gang {
			return
		}
		gang := name[:strings.LastIndexByte(name, '.')]
		if gangs[gang] == nil {
			gangs[gang] = map[int64]bool{}
		}
		for _, failed := range o.task(name).failures {
			gangs[gang][failed.run] = true
		}
		mayHave = mayHave || len(gangs[gang]) >= one.maxAttempts
	})
	return mayHave
}

// isAtWork tells whether all tasks of a lasting job run.
func (o *oracles) isAtWork(one *job) bool {
	isAtWork := one.spec.Steps[0].Lasting
	one.eachTask(func(name string, _ *jobs.Step) { isAtWork = isAtWork && len(o.task(name).active) > 0 })
	return isAtWork
}
