package rolloutmodel

import (
	"fmt"
	"net/http"
	"time"

	"gannetline/internal/simulation/modelcheck"
)

const (
	clientPause    = 150 * time.Millisecond
	clientAttempts = 12
	inspectEvery   = 400 * time.Millisecond
)

// shapes are the bodies of jobs.
var shapes = []string{
	`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":500}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":500,"estimated-ms":500}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":500,"estimated-ms":300},{"task-count":2,"cpu-units":500,"estimated-ms":300,"depends-on":[0]}]}`,
	`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":500,"estimated-ms":300,"gang-scheduled":true}]}`,
}

// modelJob is a job, as its client knows it.
type modelJob struct {
	id, body string
	// openAttempts are submissions without an answer; mayHaveRun tells that one had no clear answer.
	openAttempts int
	mayHaveRun   bool
	isAccepted   bool
	isCancelSent bool
	isCancelled  bool
	cancelledAt  time.Duration
	// acceptedBy is the version of the configuration by which it was accepted.
	acceptedBy int64
	// isOver tells that it was seen as completed, failed or cancelled.
	isOver bool
}

// playJob has the client of a job do something.
func (c *simCluster) playJob(step modelcheck.Step) {
	job := c.jobs[step.Node]
	switch {
	case step.Kind == kindSubmit:
		job = &modelJob{id: fmt.Sprintf("%08x%08x", uint32(step.Node+1)*2654435761, step.Node), body: shapes[step.Value%len(shapes)]}
		c.jobs[step.Node], c.order = job, append(c.order, job)
		c.submit(job, step.Peer, clientAttempts)
		c.inspectForEver(job, step.Peer)
	case job == nil:
	case step.Kind == kindAgain:
		c.submit(job, step.Peer, clientAttempts)
	default:
		c.cancel(job, step.Peer, clientAttempts)
	}
}

func (c *simCluster) gate(number int) *modelGate { return c.gates[number%len(c.gates)] }

// submit submits a job at one gate after the other until it is accepted.
func (c *simCluster) submit(job *modelJob, through, attempts int) {
	if attempts == 0 || job.isCancelSent {
		return
	}
	job.openAttempts++
	c.gate(through).serve(request{http.MethodPost, job}, func(status int, version int64) {
		job.openAttempts--
		c.note("job %s at gate %d: %d by version %d", job.id, through%len(c.gates), status, version)
		switch status {
		case http.StatusOK:
			job.isAccepted = true
			job.acceptedBy = max(job.acceptedBy, version)
			return
		case http.StatusGatewayTimeout:
			job.mayHaveRun = true
		}
		c.queue.After(clientPause, func() { c.submit(job, through+1, attempts-1) })
	})
}

// cancel cancels a job until there is a clear answer.
func (c *simCluster) cancel(job *modelJob, through, attempts int) {
	job.isCancelSent = true
	if attempts == 0 {
		return
	}
	c.gate(through).serve(request{http.MethodDelete, job}, func(status int, _ int64) {
		if status == http.StatusOK {
			job.isCancelled, job.cancelledAt = true, c.queue.Now()
			return
		}
		if status != http.StatusGone {
			c.queue.After(clientPause, func() { c.cancel(job, through+1, attempts-1) })
		}
	})
}

// inspectForEver asks for the state of a job again and again until it is over.
func (c *simCluster) inspectForEver(job *modelJob, through int) {
	c.queue.After(inspectEvery, func() {
		wasAccepted, acceptedBy := job.isAccepted, job.acceptedBy
		c.gate(through).serve(request{http.MethodGet, job}, func(status int, version int64) {
			if status == http.StatusGone && wasAccepted && version >= acceptedBy {
				c.violate("LOST", "job %s was accepted by version %d and is not known by version %d", job.id, acceptedBy, version)
			}
			job.isOver = job.isOver || status == http.StatusOK && c.hasEnded(job)
			if !job.isOver {
				c.inspectForEver(job, through+1)
			}
		})
	})
}
