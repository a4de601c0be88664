package rolloutmodel

import (
	"fmt"
	"net/http"
	"time"

	"gannetline/internal/simulation/modelcheck"
)

const (
	clientRetryDelay = 150 * time.Millisecond
	clientAttempts   = 12
	inspectInterval  = 400 * time.Millisecond
)

// shapes are the request bodies of jobs.
var shapes = []string{
	`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":500}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":500,"estimated-ms":500}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":500,"estimated-ms":300},{"task-count":2,"cpu-units":500,"estimated-ms":300,"depends-on":[0]}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":500,"estimated-ms":300,"gang-scheduled":true}]}`,
}

// modelJob is a job as its client knows it.
type modelJob struct {
	id, body string
	// openAttempts counts the submissions that are not answered yet. mayHaveRun is set once a submission had an answer that leaves
	// open whether the job was accepted.
	openAttempts int
	mayHaveRun   bool
	isAccepted   bool
	isCancelSent bool
	// isCancelled is set, and cancelledAt the time, once a cancel was acknowledged.
	isCancelled bool
	cancelledAt time.Duration
	// acceptedUnder is the latest version of the configuration under which a gate reported the job as accepted.
	acceptedUnder int64
	// isOver is set once a request for the job's state succeeds while a pool has a record that the job is over.
	isOver bool
}

// playJob applies a step of the client of a job.
func (c *simCluster) playJob(step modelcheck.Step) {
	job := c.jobs[step.Node]
	switch {
	case step.Kind == kindSubmit:
		job = &modelJob{id: fmt.Sprintf("%08x%08x", uint32(step.Node+1)*2654435761, step.Node), body: shapes[step.Value%len(shapes)]}
		c.jobs[step.Node], c.jobsInOrder = job, append(c.jobsInOrder, job)
		c.submit(job, step.Peer, clientAttempts)
		c.inspectRepeatedly(job, step.Peer)
	case job == nil:
	case step.Kind == kindSubmitAgain:
		c.submit(job, step.Peer, clientAttempts)
	default:
		c.cancel(job, step.Peer, clientAttempts)
	}
}

func (c *simCluster) gate(number int) *modelGate { return c.gates[number%len(c.gates)] }

// submit submits a job at one gate after another until the job is accepted, its client has cancelled it, or no attempts are left.
func (c *simCluster) submit(job *modelJob, gateNumber, attempts int) {
	if attempts == 0 || job.isCancelSent {
		return
	}
	job.openAttempts++
	c.gate(gateNumber).serve(request{http.MethodPost, job}, func(status int, version int64) {
		job.openAttempts--
		c.tracef("job %s at gate %d: %d by version %d", job.id, gateNumber%len(c.gates), status, version)
		switch status {
		case http.StatusOK:
			job.isAccepted = true
			job.acceptedUnder = max(job.acceptedUnder, version)
			return
		case http.StatusGatewayTimeout:
			job.mayHaveRun = true
		}
		c.queue.After(clientRetryDelay, func() { c.submit(job, gateNumber+1, attempts-1) })
	})
}

// cancel cancels a job at one gate after another until the cancel is acknowledged, the job is unknown, or no attempts are left.
func (c *simCluster) cancel(job *modelJob, gateNumber, attempts int) {
	job.isCancelSent = true
	if attempts == 0 {
		return
	}
	c.gate(gateNumber).serve(request{http.MethodDelete, job}, func(status int, _ int64) {
		if status == http.StatusOK {
			job.isCancelled, job.cancelledAt = true, c.queue.Now()
			return
		}
		if status != http.StatusGone {
			c.queue.After(clientRetryDelay, func() { c.cancel(job, gateNumber+1, attempts-1) })
		}
	})
}

// inspectRepeatedly requests the state of a job at intervals until the job is over. It checks that an accepted job is not unknown
// to a gate with the configuration under which it was accepted, or with a newer one.
func (c *simCluster) inspectRepeatedly(job *modelJob, gateNumber int) {
	c.queue.After(inspectInterval, func() {
		wasAccepted, acceptedUnder := job.isAccepted, job.acceptedUnder
		c.gate(gateNumber).serve(request{http.MethodGet, job}, func(status int, version int64) {
			if status == http.StatusGone && wasAccepted && version >= acceptedUnder {
				c.violate("LOST", "job %s was accepted under configuration %d and is unknown under configuration %d", job.id, acceptedUnder, version)
			}
			job.isOver = job.isOver || status == http.StatusOK && c.hasEnded(job)
			if !job.isOver {
				c.inspectRepeatedly(job, gateNumber+1)
			}
		})
	})
}
