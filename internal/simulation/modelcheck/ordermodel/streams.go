package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The percentages of a stream's jobs that clients submit again or cancel, and the longest delays until then.
const (
	percentSubmittedAgain = 5
	percentCancelled      = 3
	maxSubmitAgainDelay   = 1500 * time.Millisecond
	maxCancelDelay        = 6 * time.Second
)

// submitNew creates a job, records it in the oracles, and submits it through a gate.
func (c *simCluster) submitNew(number, shape, gateNumber int) *modelJob {
	job := c.profile.makeJob(number, shape, c.queue.now().Milliseconds())
	job.isSubmitted, job.submittedAt = true, c.queue.now()
	c.oracles.jobs[job.id] = job
	c.oracles.jobsInOrder = append(c.oracles.jobsInOrder, job)
	c.submit(job, gateNumber, 0)
	return job
}

// stream submits Peer jobs of the shape Value, evenly spread over ForMs; their numbers begin with Node.
func (c *simCluster) stream(step modelcheck.Step) {
	for count := range step.Peer {
		at := clock.Milliseconds(int64(step.ForMs)) * time.Duration(count) / time.Duration(step.Peer)
		c.queue.after(at, func() { c.submitFromStream(step.Node+count, step.Value) })
	}
}

// submitFromStream submits a job of a stream, and sometimes submits it again or cancels it.
func (c *simCluster) submitFromStream(number, shape int) {
	random := c.queue.random
	job := c.submitNew(number, shape, random.IntN(len(c.gates)))
	if c.queue.chance(percentSubmittedAgain) {
		c.queue.after(c.queue.between(time.Millisecond, maxSubmitAgainDelay), func() { c.submit(job, random.IntN(len(c.gates)), maxClientRetries) })
	}
	if c.queue.chance(percentCancelled) {
		c.queue.after(c.queue.between(time.Millisecond, maxCancelDelay), func() { c.cancel(job, random.IntN(len(c.gates)), 0) })
	}
}

// cancelSome cancels each job that is not over with a probability of Value percent, at a time within ForMs.
func (c *simCluster) cancelSome(step modelcheck.Step) {
	for _, job := range c.oracles.jobsInOrder {
		if !job.isOver() && !job.isCancelSent && c.queue.chance(step.Value) {
			wait := c.queue.between(0, clock.Milliseconds(int64(step.ForMs)))
			c.queue.after(wait, func() { c.cancel(job, c.queue.random.IntN(len(c.gates)), 0) })
		}
	}
}
