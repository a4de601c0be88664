package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	modelName = "orders"
	// A run continues for at least this long after the last step has ended: for quietAfterLateCalls if the schedule delays calls
	// to executors, so that the last of them arrives, else for quietAfterHolds, so that the longest hold expires.
	quietAfterHolds     = 7 * time.Second
	quietAfterLateCalls = 13 * time.Second
	endCheckInterval    = 50 * time.Millisecond
	// stateAnswerTimeout is how long clients retry at the end of a run until the state of each accepted job is answered.
	stateAnswerTimeout = 4 * time.Second
)

// New returns the model of the order path.
func New() modelcheck.Model {
	return modelcheck.SimulatedModel{ModelName: modelName, Faults: injectedFaults, DrawSchedule: drawSized,
		NewSimulation: func(schedule modelcheck.Schedule) modelcheck.Simulation { return newSimCluster(schedule) }}
}

// drawSized draws the schedule of a seed for a system of the given size.
func drawSized(seed uint64, losses int, size modelcheck.Size) modelcheck.Schedule {
	if size == modelcheck.SizeLarge {
		return drawLarge(seed, losses)
	}
	return draw(seed, losses)
}

// tracef writes a line about an event at the current simulated time.
func (c *simCluster) tracef(format string, values ...any) { c.Note(c.queue.now(), format, values...) }

// Run plays a schedule until an invariant is violated, until all jobs are over and no late call can arrive any more, or until the
// profile's settle time has passed after the last step. If nothing is violated, it checks that no accepted job was lost and that
// the state of each is answered.
func (c *simCluster) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	lastMs, quiet := 0, quietAfterHolds
	for _, step := range schedule.Steps {
		c.queue.after(clock.Milliseconds(int64(step.AtMs)), func() { c.play(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
		if step.Kind == kindLateExecutor {
			quiet = quietAfterLateCalls
		}
	}
	last := clock.Milliseconds(int64(lastMs))
	c.queue.after(clock.Milliseconds(firstStepMs), func() { c.inspectRound(0) })
	c.queue.after(last+quiet, c.pollForEnd)
	c.queue.runUntil(last+c.profile.settleTime, func() bool { return len(c.oracles.violations) > 0 || c.isDone })
	if len(c.oracles.violations) == 0 {
		c.checkProgress()
	}
	if len(c.oracles.violations) == 0 {
		c.checkFinalStates()
	}
	return modelcheck.Outcome{Violations: c.oracles.violations, Coverage: c.coverage}
}

// pollForEnd checks at intervals whether all jobs are over and ends the run when they are.
func (c *simCluster) pollForEnd() {
	if c.areAllJobsOver() {
		c.isDone = true
		return
	}
	c.queue.after(endCheckInterval, c.pollForEnd)
}

// inspectRound has a client ask for the state of a job, and schedules the next round; rounds count from 0.
func (c *simCluster) inspectRound(round int) {
	next := func() { c.queue.after(c.profile.inspectInterval, func() { c.inspectRound(round + 1) }) }
	if len(c.oracles.jobsInOrder) == 0 {
		next()
		return
	}
	c.inspect(c.oracles.nextToInspect(round), round, next)
}

// nextToInspect returns the job whose state is requested in a round: usually the next job that is not over. In every
// anyJobEvery-th round, and if all jobs are over, it may be any job.
func (o *oracles) nextToInspect(round int) *modelJob {
	index := round % len(o.jobsInOrder)
	if round%anyJobEvery == 0 {
		return o.jobsInOrder[index]
	}
	for range o.jobsInOrder {
		o.lastInspected = (o.lastInspected + 1) % len(o.jobsInOrder)
		if !o.jobsInOrder[o.lastInspected].isOver() {
			return o.jobsInOrder[o.lastInspected]
		}
	}
	return o.jobsInOrder[index]
}

// anyJobEvery is the number of rounds between requests that may be for any job, also for one that is over.
const anyJobEvery = 3

// checkFinalStates checks at the end of a run that clients get the state of each accepted job within stateAnswerTimeout.
func (c *simCluster) checkFinalStates() {
	for index, job := range c.oracles.jobsInOrder {
		job.isAnswered = false
		if job.isAccepted {
			c.inspectUntilAnswered(job, index)
		}
	}
	c.queue.runUntil(c.queue.now()+stateAnswerTimeout, func() bool { return len(c.oracles.violations) > 0 })
	for _, job := range c.oracles.jobsInOrder {
		if job.isAccepted && !job.isAnswered {
			c.violate("UNANSWERED", "%s was accepted, but its state is not answered in time after the last fault", job.id)
		}
	}
}

// inspectUntilAnswered asks for the state of a job at one gate after another until it is answered.
func (c *simCluster) inspectUntilAnswered(job *modelJob, gateNumber int) {
	c.inspect(job, gateNumber, func() {
		if !job.isAnswered {
			c.queue.after(clientRetryDelay, func() { c.inspectUntilAnswered(job, gateNumber+1) })
		}
	})
}

// areAllJobsOver reports whether each accepted job is over, or at work if it is long-running, and each cancelled job is over.
func (c *simCluster) areAllJobsOver() bool {
	for _, job := range c.oracles.jobs {
		if job.isAccepted && !job.isOver() && !c.oracles.isAtWork(job) {
			return false
		}
		if job.isCancelled && !job.isOver() {
			return false
		}
	}
	return true
}

// hasRecentProgress reports whether a run of the job was done within the profile's progressTimeout. Such a job may still have work
// left at the end of the run. Only the large profile allows that, as its waves of faults may leave too few machines for all work.
func (c *simCluster) hasRecentProgress(job *modelJob) bool {
	return c.profile.progressTimeout > 0 && job.lastProgressAt > c.queue.now()-c.profile.progressTimeout
}

// checkProgress checks that, long after the last fault, each accepted job is over, at work or has recent progress.
func (c *simCluster) checkProgress() {
	for _, job := range c.oracles.jobsInOrder {
		if job.isAccepted && !job.isOver() && !c.oracles.isAtWork(job) && !c.hasRecentProgress(job) {
			c.violate("LOST", "%s was accepted and is %q long after the last fault", job.id, job.state)
		}
	}
}
