package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "orders"
	// After the last fault, a schedule goes on until the longest hold is over, or until late calls can't come any more.
	quietAfterHolds     = 7 * time.Second
	quietAfterLateCalls = 13 * time.Second
	endCheckInterval    = 50 * time.Millisecond
	// answerTime is how long after all faults a client may have to ask for the state of a job until it is answered.
	stateAnswerTimeout = 4 * time.Second
)

// New gives the model of the order path.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: drawSized,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

// drawSized makes the schedule of a seed for a system of a size.
func drawSized(seed uint64, losses int, size modelcheck.Size) modelcheck.Schedule {
	if size == modelcheck.SizeLarge {
		return drawLarge(seed, losses)
	}
	return draw(seed, losses)
}

func (w *simCluster) tracef(format string, values ...any) { w.Note(w.queue.now(), format, values...) }

// Run plays a schedule until all jobs are over and late calls can't come any more, or until the time for that is over.
func (w *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	lastMs, quiet := 0, quietAfterHolds
	for _, step := range schedule.Steps {
		w.queue.after(clock.Milliseconds(int64(step.AtMs)), func() { w.play(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
		if step.Kind == kindLateExecutor {
			quiet = quietAfterLateCalls
		}
	}
	last := clock.Milliseconds(int64(lastMs))
	w.queue.after(clock.Milliseconds(firstStepMs), func() { w.inspectRound(0) })
	w.queue.after(last+quiet, w.pollForEnd)
	w.queue.runUntil(last+w.profile.settleTime, func() bool { return len(w.oracles.violations) > 0 || w.isDone })
	if len(w.oracles.violations) == 0 {
		w.checkProgress()
	}
	if len(w.oracles.violations) == 0 {
		w.checkFinalStates()
	}
	return modelcheck.Outcome{Violations: w.oracles.violations, Coverage: w.coverage}
}

// watchEnd looks again and again whether all jobs are over.
func (w *simCluster) pollForEnd() {
	if w.areAllJobsOver() {
		w.isDone = true
		return
	}
	w.queue.after(endCheckInterval, w.pollForEnd)
}

// inspectRound asks for the states of all jobs again and again, one job at a time.
func (w *simCluster) inspectRound(number int) {
	next := func() { w.queue.after(w.profile.inspectInterval, func() { w.inspectRound(number + 1) }) }
	if len(w.oracles.order) == 0 {
		next()
		return
	}
	w.inspect(w.oracles.nextToInspect(number), number, next)
}

// nextToAsk is a job that is not over, mostly, and at times any one.
func (o *oracles) nextToInspect(number int) *modelJob {
	index := number % len(o.order)
	if number%anyJobEvery == 0 {
		return o.order[index]
	}
	for range o.order {
		o.lastInspected = (o.lastInspected + 1) % len(o.order)
		if !o.order[o.lastInspected].isOver() {
			return o.order[o.lastInspected]
		}
	}
	return o.order[index]
}

// oneInAny questions of clients is for any job, also one that is over.
const anyJobEvery = 3

// askForAll asks for each accepted job once all faults are over, again and again until it is answered in time.
func (w *simCluster) checkFinalStates() {
	for index, job := range w.oracles.order {
		job.isAnswered = false
		if job.isAccepted {
			w.inspectUntilAnswered(job, index)
		}
	}
	w.queue.runUntil(w.queue.now()+stateAnswerTimeout, func() bool { return len(w.oracles.violations) > 0 })
	for _, job := range w.oracles.order {
		if job.isAccepted && !job.isAnswered {
			w.violate("UNANSWERED", "%s was accepted, and nobody tells its state in time after all faults", job.id)
		}
	}
}

func (w *simCluster) inspectUntilAnswered(job *modelJob, through int) {
	w.inspect(job, through, func() {
		if !job.isAnswered {
			w.queue.after(clientPause, func() { w.inspectUntilAnswered(job, through+1) })
		}
	})
}

func (w *simCluster) areAllJobsOver() bool {
	for _, job := range w.oracles.jobs {
		if job.isAccepted && !job.isOver() && !w.oracles.isAtWork(job) {
			return false
		}
		if job.isCancelled && !job.isOver() {
			return false
		}
	}
	return true
}

// isUnderWay tells whether a job may still have work left: only in the large profile, whose waves may leave too few machines
// for all of it, and only if it goes forward.
func (w *simCluster) hasRecentProgress(job *modelJob) bool {
	return w.profile.progressTimeout > 0 && job.lastProgressAt > w.queue.now()-w.profile.progressTimeout
}

// checkProgress looks for accepted jobs that came to nothing though all faults are long over.
func (w *simCluster) checkProgress() {
	for _, job := range w.oracles.order {
		if job.isAccepted && !job.isOver() && !w.oracles.isAtWork(job) && !w.hasRecentProgress(job) {
			w.violate("LOST", "%s was accepted and is %q long after the last fault", job.id, job.state)
		}
	}
}
