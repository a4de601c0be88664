package rolloutmodel

import (
	"slices"
	"strings"
	"time"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

const (
	// cancelTime is how long after the acknowledgement of a cancel a task of the job may still be started.
	cancelTime = 3 * time.Second
	// rollbackTime is how long after a version was rolled back its pool may still start runs: the configuration has to spread, and
	// orders that were committed before may be in flight, also across a change of the leader. If the pool's executors were silent,
	// the time counts from the end of their silence.
	rollbackTime = (maxSpreadTimeMs + 1500) * time.Millisecond
)

// taskFacts is what executors have actually done with a task, in all pools.
type taskFacts struct {
	// running is the number of active runs of the task.
	running     int
	isDone      bool
	failedCount int
	// lostFailures counts the failed runs whose end was lost with the executor. A pool may have committed it or not.
	lostFailures int
	// lastStartedIn is the name of the pool that started the task last.
	lastStartedIn string
}

// taskFactsOf returns the facts of a task; it creates them on first use.
func (c *simCluster) taskFactsOf(task string) *taskFacts {
	facts := c.tasks[task]
	if facts == nil {
		facts = &taskFacts{}
		c.tasks[task] = facts
	}
	return facts
}

// jobByID returns a job, or nil if no client has submitted it.
func (c *simCluster) jobByID(id string) *modelJob {
	index := slices.IndexFunc(c.jobsInOrder, func(job *modelJob) bool { return job.id == id })
	if index < 0 {
		return nil
	}
	return c.jobsInOrder[index]
}

// checkStart is the oracle of starts, and records a start. A task has one run at a time in all pools, and starts neither after it is
// done nor after it has used its attempts. No task starts of a job that was not submitted, was refused by all submissions, or was
// cancelled longer than cancelTime ago. No run starts in a version that was rolled back; see checkRolledBack.
func (c *simCluster) checkStart(executor *modelExecutor, order wire.Order) {
	c.coverage["start"]++
	facts, job := c.taskFactsOf(order.Task), c.jobByID(jobs.JobOf(order.Task))
	c.tracef("%s run %d starts on %s", order.Task, order.Run, executor.Executor)
	switch {
	case job == nil:
		c.violate("UNASKED", "%s is started, and no client has submitted it", order.Task)
	case facts.running > 0:
		c.violate("TWICE", "%s is started on %s while it runs in %s", order.Task, executor.Executor, facts.lastStartedIn)
	case facts.isDone:
		c.violate("TWICE", "%s is started on %s after it was done in %s", order.Task, executor.Executor, facts.lastStartedIn)
	case facts.failedCount >= maxAttempts:
		c.violate("BUDGET", "%s is started after it failed %d times", order.Task, facts.failedCount)
	case !job.isAccepted && !job.mayHaveRun && job.openAttempts == 0:
		c.violate("REFUSED", "%s is started, although all submissions were refused", order.Task)
	case job.isCancelled && c.queue.Now()-job.cancelledAt > cancelTime:
		c.violate("CANCELLED", "%s is started %v after its job was cancelled", order.Task, c.queue.Now()-job.cancelledAt)
	}
	facts.running++
	facts.lastStartedIn = executor.pool.name()
	c.checkRolledBack(executor.pool, order)
}

// checkRolledBack is an oracle: a version that was rolled back starts no more runs of the rollout's queue after rollbackTime, unless it may
// receive new jobs again. Under another name, a queue that leads to the version is no part of that rollout.
func (c *simCluster) checkRolledBack(pool *modelPool, order wire.Order) {
	decoded, _ := c.control.current()
	if decoded == nil || mayReceiveJobs(decoded, serviceOf(pool.number)) {
		return
	}
	since := c.queue.Now() - max(pool.silentUntil, c.control.closedAt[serviceOf(pool.number)])
	for _, rollout := range decoded.Rollouts {
		if rollout.State == configuration.RolloutRolledBack && rollout.To == serviceOf(pool.number) && since > rollbackTime &&
			pool.queueOf(jobs.JobOf(order.Task)) == rollout.Route {
			c.violate("TURNED BACK", "%s is started in %s, %v after that version was rolled back", order.Task, pool.name(), since)
		}
	}
}

// mayReceiveJobs reports whether new jobs of the queue may go to a service: the queue is routed to the service, or a rollout in
// progress is from or to it.
func mayReceiveJobs(decoded *configuration.Configuration, service string) bool {
	rollout := rolloutOf(decoded)
	return len(decoded.Routes) > 0 && decoded.Routes[0].Service == service || rollout != nil && (rollout.To == service || rollout.From == service)
}

// recordEnd records the end of a run.
func (c *simCluster) recordEnd(task string, outcome wire.RunOutcome) {
	facts := c.taskFactsOf(task)
	facts.running--
	switch outcome {
	case wire.OutcomeDone:
		facts.isDone = true
	case wire.OutcomeFailed:
		facts.failedCount++
	}
}

// forgetEnd reverts recordEnd for a run whose end is lost with its executor.
func (c *simCluster) forgetEnd(task string, outcome wire.RunOutcome) {
	facts := c.taskFactsOf(task)
	switch outcome {
	case wire.OutcomeDone:
		facts.isDone = false
	case wire.OutcomeFailed:
		facts.failedCount--
		facts.lostFailures++
	}
}

// checkAccepted is the oracle of shares: the new version of the rollout in progress accepts only jobs that the rollout's largest
// share so far assigns to it. Versions that may receive other jobs too are not checked.
func (c *simCluster) checkAccepted(pool *modelPool, call *wire.ClientCall, response wire.ClientAnswer) {
	decoded, _ := c.control.current()
	if response.Status != statusOK || decoded == nil {
		return
	}
	rollout := rolloutOf(decoded)
	if rollout == nil || rollout.To != serviceOf(pool.number) || c.mayReceiveOtherJobs(decoded, rollout) {
		return
	}
	widest := *rollout
	widest.State, widest.Step = configuration.RolloutWidening, 0
	for step, candidate := range rollout.Steps {
		if candidate.Share <= c.control.largestShares[rollout.Name] {
			widest.Step = step
		}
	}
	if c.control.largestShares[rollout.Name] == 0 || widest.ServiceFor(call.ID) != rollout.To {
		c.violate("SHARE", "%s accepts job %s, which a share of %g doesn't assign to it", pool.name(), call.ID, c.control.largestShares[rollout.Name])
	}
}

// mayReceiveOtherJobs reports whether the new version of a rollout may receive jobs beyond its share: through another rollout, or
// because an operator has moved the queue, put it back or removed all rollouts in this run.
func (c *simCluster) mayReceiveOtherJobs(decoded *configuration.Configuration, rollout *configuration.Rollout) bool {
	if c.coverage[kindMove] > 0 || c.coverage[kindReturnQueue] > 0 || c.coverage[kindRemoveRollouts] > 0 {
		return true
	}
	return slices.ContainsFunc(decoded.Rollouts, func(other configuration.Rollout) bool {
		return other.Name != rollout.Name && (other.To == rollout.To || other.From == rollout.To)
	})
}

// hasEnded reports whether a pool has a record that the job is over.
func (c *simCluster) hasEnded(job *modelJob) bool {
	return slices.ContainsFunc(c.pools, func(pool *modelPool) bool {
		text := string(pool.key.Records["s/"+job.id])
		return strings.Contains(text, `"state":"completed"`) || strings.Contains(text, `"state":"failed"`) || strings.Contains(text, `"state":"cancelled"`)
	})
}

// areAllOver reports whether no submission waits for an answer and all jobs that pools may have accepted are over.
func (c *simCluster) areAllOver() bool {
	return !slices.ContainsFunc(c.jobsInOrder, func(job *modelJob) bool {
		return job.openAttempts > 0 || (job.isAccepted || job.mayHaveRun) && !c.hasEnded(job) && !job.isOver
	})
}

// checkEnd is the oracle of the final states: all accepted jobs are over, and no job has ended in more than one pool. Jobs have
// failed only after all attempts, and were cancelled only on request.
func (c *simCluster) checkEnd() {
	for _, job := range c.jobsInOrder {
		var states []string
		for _, pool := range c.pools {
			for _, state := range []string{"completed", "failed", "cancelled"} {
				if strings.Contains(string(pool.key.Records["s/"+job.id]), `"state":"`+state+`"`) {
					states = append(states, state)
				}
			}
		}
		switch {
		case len(states) > 1:
			c.violate("DOUBLED", "job %s has ended in %d pools: %v", job.id, len(states), states)
		case len(states) == 0 && job.isAccepted:
			c.violate("LOST", "job %s was accepted and is not over", job.id)
		case len(states) == 1 && states[0] == "cancelled" && !job.isCancelSent:
			c.violate("LOST", "job %s is cancelled, and no client has cancelled it", job.id)
		case len(states) == 1 && states[0] == "failed" && !c.hasUsedAttempts(job):
			c.violate("LOST", "job %s has failed with attempts left", job.id)
		}
	}
}

// hasUsedAttempts reports whether a task of a job has failed as often as it may. For a job with a gang, one failure of any task is
// enough.
func (c *simCluster) hasUsedAttempts(job *modelJob) bool {
	for name, facts := range c.tasks {
		if jobs.JobOf(name) == job.id && facts.failedCount+facts.lostFailures >= 1 && (facts.failedCount+facts.lostFailures >= maxAttempts || strings.Contains(job.body, "gang")) {
			return true
		}
	}
	return false
}
