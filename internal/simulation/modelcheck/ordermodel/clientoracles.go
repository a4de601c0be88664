package ordermodel

import (
	"net/http"
	"strings"

	"gannetline/internal/scheduling/jobs"
)

func (o *oracles) handedIn(one *job, reply clientReply) {
	one.openTries--
	switch reply.status {
	case http.StatusOK:
		if !one.isAccepted {
			o.world.count("accepted")
		}
		one.isAccepted = true
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		one.isUnclear = true
		o.world.count("hand_in_unclear")
	default:
		one.isRefused = true
		o.world.count("hand_in_refused")
		if one.isRefusedForGood() && one.startedRuns > 0 {
			o.world.violate("REFUSED", "%s was started and its hand-in is refused now with %d", one.id, reply.status)
		}
	}
}

func (o *oracles) cancelled(one *job) {
	if !one.isCancelled {
		o.world.count("cancelled")
		one.isCancelled, one.cancelledAt = true, o.world.queue.now()
	}
}

// shown checks the state that a client is told.
func (o *oracles) shown(one *job, reply clientReply, wasAccepted, wasCancelled bool) {
	switch reply.status {
	case http.StatusGone:
		if wasAccepted {
			o.world.violate("LOST", "%s was accepted and is not known", one.id)
		}
		return
	case http.StatusOK:
	default:
		return
	}
	one.isAnswered = true
	was := one.state
	one.state = stateIn(reply.body)
	switch {
	case was != "" && one.isOverAs(was) && one.state != was:
		o.world.violate("LOST", "%s was shown as %s and is shown as %s now", one.id, was, one.state)
	case one.state == "completed":
		o.checkCompleted(one)
	case one.state == "failed" && !o.mayHaveFailed(one):
		o.world.violate("LOST", "%s is shown as failed without cause", one.id)
	case one.state == "cancelled" && !one.isCancelSent:
		o.world.violate("LOST", "%s is shown as cancelled and nobody has cancelled it", one.id)
	case wasCancelled && !one.isOver():
		o.world.violate("UNASKED", "%s was cancelled and is shown as %s", one.id, one.state)
	}
}

func stateIn(body string) string {
	_, rest, _ := strings.Cut(body, `:"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

func (o *oracles) checkCompleted(one *job) {
	one.eachTask(func(name string, _ *jobs.Step) {
		if !o.task(name).isDone {
			o.world.violate("MIXED", "%s is shown as completed and %s is not done", one.id, name)
		}
	})
}

// mayHaveFailed tells whether a task or a gang of the job has failed as often as it may.
func (o *oracles) mayHaveFailed(one *job) (mayHave bool) {
	gangs := map[string]map[int64]bool{}
	one.eachTask(func(name string, step *jobs.Step) {
		mayHave = mayHave || len(o.task(name).failures) >= one.terms.MaxAttempts
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
		mayHave = mayHave || len(gangs[gang]) >= one.terms.MaxAttempts
	})
	return mayHave
}

// isAtWork tells whether all tasks of a lasting job run.
func (o *oracles) isAtWork(one *job) bool {
	isAtWork := one.spec.Steps[0].LongRunning
	one.eachTask(func(name string, _ *jobs.Step) { isAtWork = isAtWork && len(o.task(name).active) > 0 })
	return isAtWork
}
