package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The percentages of a stream's jobs that their clients submit again or cancel, and the longest delays until then.
const (
	percentSubmittedAgain = 5
	percentCancelled      = 3
	maxResendTime         = 1500 * time.Millisecond
	maxCancelTime         = 6 * time.Second
)

// submitNew creates a job and submits it through a gate.
func (c *simCluster) submitNew(number, shape, gateNumber int) *modelJob {
	job := c.profile.makeJob(number, shape, c.queue.now().Milliseconds())
	job.isSubmitted, job.submittedAt = true, c.queue.now()
	c.oracles.jobs[job.id] = job
	c.oracles.order = append(c.oracles.order, job)
	c.submit(job, gateNumber, 0)
	return job
}

// stream submits Peer jobs of the shape Value, evenly spread over the step's time; their numbers begin with Node.
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
		c.queue.after(c.queue.between(time.Millisecond, maxResendTime), func() { c.submit(job, random.IntN(len(c.gates)), clientAttempts) })
	}
	if c.queue.chance(percentCancelled) {
		c.queue.after(c.queue.between(time.Millisecond, maxCancelTime), func() { c.cancel(job, random.IntN(len(c.gates)), 0) })
	}
}

// cancelSome cancels Value percent of the jobs that are not over, within the step's time.
func (c *simCluster) cancelSome(step modelcheck.Step) {
	for _, job := range c.oracles.order {
		if !job.isOver() && !job.isCancelSent && c.queue.chance(step.Value) {
			wait := c.queue.between(0, clock.Milliseconds(int64(step.ForMs)))
			c.queue.after(wait, func() { c.cancel(job, c.queue.random.IntN(len(c.gates)), 0) })
		}
	}
}
