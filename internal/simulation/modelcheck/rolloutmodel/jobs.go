package rolloutmodel

import (
	"fmt"
	"net/http"
	"time"

	"gannetline/internal/simulation/modelcheck"
)

const (
	clientRetryPause = 150 * time.Millisecond
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

// modelJob is a job, as its client knows it.
type modelJob struct {
	id, body string
	// openAttempts counts the submissions without an answer so far; mayHaveRun is set once one had no clear answer.
	openAttempts int
	mayHaveRun   bool
	isAccepted   bool
	isCancelSent bool
	isCancelled  bool
	cancelledAt  time.Duration
	// acceptedBy is the latest version of the configuration under which a gate's submission of it was accepted.
	acceptedBy int64
	// isOver is set once it was seen as completed, failed or cancelled.
	isOver bool
}

// playJob applies a step of the client of a job.
func (c *simCluster) playJob(step modelcheck.Step) {
	job := c.jobs[step.Node]
	switch {
	case step.Kind == kindSubmit:
		job = &modelJob{id: fmt.Sprintf("%08x%08x", uint32(step.Node+1)*2654435761, step.Node), body: shapes[step.Value%len(shapes)]}
		c.jobs[step.Node], c.order = job, append(c.order, job)
		c.submit(job, step.Peer, clientAttempts)
		c.inspectRepeatedly(job, step.Peer)
	case job == nil:
	case step.Kind == kindAgain:
		c.submit(job, step.Peer, clientAttempts)
	default:
		c.cancel(job, step.Peer, clientAttempts)
	}
}

func (c *simCluster) gate(number int) *modelGate { return c.gates[number%len(c.gates)] }

// submit submits a job at one gate after another until it is accepted, cancelled, or no attempts are left.
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
			job.acceptedBy = max(job.acceptedBy, version)
			return
		case http.StatusGatewayTimeout:
			job.mayHaveRun = true
		}
		c.queue.After(clientRetryPause, func() { c.submit(job, gateNumber+1, attempts-1) })
	})
}

// cancel cancels a job at one gate after another until there is a clear answer or no attempts are left.
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
			c.queue.After(clientRetryPause, func() { c.cancel(job, gateNumber+1, attempts-1) })
		}
	})
}

// inspectRepeatedly requests the state of a job at intervals until it is over. An accepted job must not be unknown under the
// configuration by which it was accepted, or a newer one.
func (c *simCluster) inspectRepeatedly(job *modelJob, gateNumber int) {
	c.queue.After(inspectInterval, func() {
		wasAccepted, acceptedBy := job.isAccepted, job.acceptedBy
		c.gate(gateNumber).serve(request{http.MethodGet, job}, func(status int, version int64) {
			if status == http.StatusGone && wasAccepted && version >= acceptedBy {
				c.violate("LOST", "job %s was accepted under configuration %d and is unknown under configuration %d", job.id, acceptedBy, version)
			}
			job.isOver = job.isOver || status == http.StatusOK && c.hasEnded(job)
			if !job.isOver {
				c.inspectRepeatedly(job, gateNumber+1)
			}
		})
	})
}
