package ordermodel

import (
	"net/http"
	"strings"

	"gannetline/internal/scheduling/jobs"
)

func (o *oracles) recordSubmitAnswer(job *modelJob, reply clientReply) {
	job.openAttempts--
	switch reply.status {
	case http.StatusOK:
		if !job.isAccepted {
			o.cluster.count("accepted")
		}
		job.isAccepted = true
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		job.hasUnclearAnswer = true
		o.cluster.count("hand_in_unclear")
	default:
		job.isRefused = true
		o.cluster.count("hand_in_refused")
		if job.isFinallyRefused() && job.startedRuns > 0 {
			o.cluster.violate("REFUSED", "%s was started and its hand-in is refused now with %d", job.id, reply.status)
		}
	}
}

func (o *oracles) recordCancel(job *modelJob) {
	if !job.isCancelled {
		o.cluster.count("cancelled")
		job.isCancelled, job.cancelledAt = true, o.cluster.queue.now()
	}
}

// shown checks the state that a client is told.
func (o *oracles) checkShownState(job *modelJob, reply clientReply, wasAccepted, wasCancelled bool) {
	switch reply.status {
	case http.StatusGone:
		if wasAccepted {
			o.cluster.violate("LOST", "%s was accepted and is not known", job.id)
		}
		return
	case http.StatusOK:
	default:
		return
	}
	job.isAnswered = true
	was := job.state
	job.state = stateIn(reply.body)
	switch {
	case was != "" && job.isOverAs(was) && job.state != was:
		o.cluster.violate("LOST", "%s was shown as %s and is shown as %s now", job.id, was, job.state)
	case job.state == "completed":
		o.checkCompleted(job)
	case job.state == "failed" && !o.mayHaveFailed(job):
		o.cluster.violate("LOST", "%s is shown as failed without cause", job.id)
	case job.state == "cancelled" && !job.isCancelSent:
		o.cluster.violate("LOST", "%s is shown as cancelled and nobody has cancelled it", job.id)
	case wasCancelled && !job.isOver():
		o.cluster.violate("UNASKED", "%s was cancelled and is shown as %s", job.id, job.state)
	}
}

func stateIn(body string) string {
	_, rest, _ := strings.Cut(body, `:"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

func (o *oracles) checkCompleted(job *modelJob) {
	job.eachTask(func(name string, _ *jobs.Step) {
		if !o.task(name).isDone {
			o.cluster.violate("MIXED", "%s is shown as completed and %s is not done", job.id, name)
		}
	})
}

// mayHaveFailed tells whether a task or a gang of the job has failed as often as it may.
func (o *oracles) mayHaveFailed(job *modelJob) (mayHave bool) {
	gangs := map[string]map[int64]bool{}
	job.eachTask(func(name string, step *jobs.Step) {
		mayHave = mayHave || len(o.task(name).failures) >= job.terms.MaxAttempts
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
		mayHave = mayHave || len(gangs[gang]) >= job.terms.MaxAttempts
	})
	return mayHave
}

// isAtWork tells whether all tasks of a lasting job run.
func (o *oracles) isAtWork(job *modelJob) bool {
	isAtWork := job.spec.Steps[0].LongRunning
	job.eachTask(func(name string, _ *jobs.Step) { isAtWork = isAtWork && len(o.task(name).active) > 0 })
	return isAtWork
}
