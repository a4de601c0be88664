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
	// cancelBound is how long after the acknowledgement of a cancel a task may still be started.
	cancelBound = 3 * time.Second
	// returnBound is how long after a version was turned back its pool may start runs: the configuration spreads, and orders that were committed
	// before are under way, also over a change of the leader. Executors that say nothing learn of it later.
	returnBound = (spreadTimeMs + 1500) * time.Millisecond
)

// taskFacts is what has truly become of a task.
type taskFacts struct {
	running      int
	isDone       bool
	failedCount  int
	lastStartsIn string
}

func (c *simCluster) factsOf(task string) *taskFacts {
	facts := c.tasks[task]
	if facts == nil {
		facts = &taskFacts{}
		c.tasks[task] = facts
	}
	return facts
}

// jobByID finds a job; nil if no client has it.
func (c *simCluster) jobByID(id string) *modelJob {
	index := slices.IndexFunc(c.order, func(job *modelJob) bool { return job.id == id })
	if index < 0 {
		return nil
	}
	return c.order[index]
}

// noteStart is the oracle of starts: a task runs once at a time, in whichever pool, not after it is done nor beyond its attempts; nothing that was
// refused or cancelled starts, and nothing starts in a version that was turned back.
func (c *simCluster) noteStart(executor *modelExecutor, order wire.Order) {
	c.coverage["start"]++
	facts, job := c.factsOf(order.Task), c.jobByID(jobs.JobOf(order.Task))
	c.note("%s run %d starts on %s", order.Task, order.Run, executor.Executor)
	switch {
	case job == nil:
		c.violate("UNASKED", "%s is started and no client asked for it", order.Task)
	case facts.running > 0:
		c.violate("TWICE", "%s is started on %s while it runs in %s", order.Task, executor.Executor, facts.lastStartsIn)
	case facts.isDone:
		c.violate("TWICE", "%s is started on %s after it was done in %s", order.Task, executor.Executor, facts.lastStartsIn)
	case facts.failedCount >= maxAttempts:
		c.violate("BUDGET", "%s is started after it failed %d times", order.Task, facts.failedCount)
	case !job.isAccepted && !job.mayHaveRun && job.openAttempts == 0:
		c.violate("REFUSED", "%s is started and all submissions were refused", order.Task)
	case job.isCancelled && c.queue.Now()-job.cancelledAt > cancelBound:
		c.violate("CANCELLED", "%s is started %v after its cancel", order.Task, c.queue.Now()-job.cancelledAt)
	}
	facts.running++
	facts.lastStartsIn = executor.pool.name()
	c.checkTurnedBack(executor.pool, order)
}

// checkTurnedBack is an oracle: a version that was turned back starts nothing any more, unless the queue was led to it again.
func (c *simCluster) checkTurnedBack(pool *modelPool, order wire.Order) {
	decoded, _ := c.control.current()
	if decoded == nil || leadsTo(decoded, serviceOf(pool.number)) {
		return
	}
	since := c.queue.Now() - max(pool.silentUntil, c.control.closedAt[serviceOf(pool.number)])
	for _, rollout := range decoded.Rollouts {
		if rollout.State == configuration.RolloutRolledBack && rollout.To == serviceOf(pool.number) && since > returnBound {
			c.violate("TURNED BACK", "%s is started in %s, %v after that was turned back", order.Task, pool.name(), since)
		}
	}
}

// leadsTo tells whether new jobs may go to a service.
func leadsTo(decoded *configuration.Configuration, service string) bool {
	underWay := configuration.NewMatcher(decoded).Rollout(queueName)
	return decoded.Routes[0].Service == service || underWay != nil && (underWay.To == service || underWay.From == service)
}

// noteEnd takes down how a run ended.
func (c *simCluster) noteEnd(task string, outcome wire.RunOutcome) {
	facts := c.factsOf(task)
	facts.running--
	switch outcome {
	case wire.OutcomeDone:
		facts.isDone = true
	case wire.OutcomeFailed:
		facts.failedCount++
	}
}

// noteAccepted is the oracle of shares: a job that the new version takes is one that the largest share there ever was gives it.
func (c *simCluster) noteAccepted(pool *modelPool, call *wire.ClientCall, given wire.ClientAnswer) {
	decoded, _ := c.control.current()
	if given.Status != statusOK || decoded == nil {
		return
	}
	rollout := configuration.NewMatcher(decoded).Rollout(queueName)
	if rollout == nil || rollout.To != serviceOf(pool.number) || c.hadOtherWay(decoded, rollout) {
		return
	}
	widest := *rollout
	widest.State, widest.Step = configuration.RolloutWidening, 0
	for step, candidate := range rollout.Steps {
		if candidate.Share <= c.control.shares[rollout.Name] {
			widest.Step = step
		}
	}
	if c.control.shares[rollout.Name] == 0 || widest.ServiceFor(call.ID) != rollout.To {
		c.violate("SHARE", "%s takes job %s, whose share is above %g", pool.name(), call.ID, c.control.shares[rollout.Name])
	}
}

// hadOtherWay tells whether jobs may come to the new version of a rollout by another way than its share: an earlier rollout, or a move.
func (c *simCluster) hadOtherWay(decoded *configuration.Configuration, rollout *configuration.Rollout) bool {
	if c.coverage[kindMove] > 0 || c.coverage[kindPostOver] > 0 {
		return true
	}
	return slices.ContainsFunc(decoded.Rollouts, func(other configuration.Rollout) bool {
		return other.Name != rollout.Name && (other.To == rollout.To || other.From == rollout.To)
	})
}

// hasEnded tells whether a job is over in a pool.
func (c *simCluster) hasEnded(job *modelJob) bool {
	return slices.ContainsFunc(c.pools, func(pool *modelPool) bool {
		text := string(pool.key.Records["s/"+job.id])
		return strings.Contains(text, `"state":"completed"`) || strings.Contains(text, `"state":"failed"`) || strings.Contains(text, `"state":"cancelled"`)
	})
}

// areAllOver tells whether nothing is left to be done.
func (c *simCluster) areAllOver() bool {
	return !slices.ContainsFunc(c.order, func(job *modelJob) bool {
		return job.openAttempts > 0 || (job.isAccepted || job.mayHaveRun) && !c.hasEnded(job) && !job.isOver
	})
}

// checkEnd is the oracle of the end: all accepted jobs are over, each in one pool, failed only after its attempts, cancelled only on request.
func (c *simCluster) checkEnd() {
	for _, job := range c.order {
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
			c.violate("LOST", "job %s is cancelled by nobody", job.id)
		case len(states) == 1 && states[0] == "failed" && !c.hasUsedAttempts(job):
			c.violate("LOST", "job %s has failed with attempts left", job.id)
		}
	}
}

// hasUsedAttempts tells whether a task of a job, or its gang, has failed as often as it may.
func (c *simCluster) hasUsedAttempts(job *modelJob) bool {
	for name, facts := range c.tasks {
		if jobs.JobOf(name) == job.id && facts.failedCount >= 1 && (facts.failedCount >= maxAttempts || strings.Contains(job.body, "gang")) {
			return true
		}
	}
	return false
}
