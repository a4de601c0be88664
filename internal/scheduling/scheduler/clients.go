package scheduler

import (
	"net/http"
	"strconv"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

type answerClient = func(wire.ClientAnswer)

func notLeaderAnswer() wire.ClientAnswer { return wire.ClientAnswer{NotLeader: true} }

// outcomeUnknownAnswer is the answer once a change was proposed and the leadership ended before its commit.
func outcomeUnknownAnswer() wire.ClientAnswer {
	return wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}
}

func unknownJobAnswer() wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job"}
}

// movedJobAnswer says that another pool has the job.
func movedJobAnswer(job *jobState) wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusGone, Reason: "the job was moved to another pool", MovedTo: job.movedTo}
}

// acceptance gives what answers for a job once it is committed, or can't be known to be.
func acceptance(answer answerClient) func(error) {
	return func(err error) {
		if err != nil {
			answer(outcomeUnknownAnswer())
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusOK})
	}
}

// Submit accepts a job once it is committed; the same ID again is the same job.
func (p *Pool) Submit(call *wire.ClientCall, answer answerClient) {
	accepted := acceptance(answer)
	if known := p.jobs[call.ID]; known != nil {
		if known.record.Route != call.Route || !known.isVisibleTo(call.Tenant) {
			answer(wire.ClientAnswer{Status: http.StatusConflict, Reason: "the ID belongs to a job of another queue"})
			return
		}
		p.afterCommit(accepted)
		return
	}
	if p.renounced.binds(call.ID, call.Version) {
		answer(wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's queue has moved to another service"})
		return
	}
	spec, err := jobs.Read(call.Body)
	if err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	tenant := p.tenantOf(call.Tenant)
	isSurplus := !p.isWithinRate(tenant)
	if isSurplus && tenant.isFlooding() {
		p.metrics.refusals.Inc()
		answer(wire.ClientAnswer{Status: http.StatusTooManyRequests, RetryAfterS: 1, Reason: "the tenant has too many jobs under way beyond its rate"})
		return
	}
	p.metrics.submissions.Inc()
	p.releaseRenounced(call.ID)
	record := jobRecord{Route: call.Route, AcceptedMs: p.leadership.WallMs(), Spec: call.Body, Tenant: call.Tenant, IsSurplus: isSurplus}
	if call.Terms != nil {
		record.Terms = *call.Terms
	}
	job := p.addJob(call.ID, record, spec)
	// A gate that doesn't know yet that this version was turned back may still send jobs here.
	job.holdsReleases = p.isReturning(call.Route)
	job.isWithheld = job.holdsReleases
	p.releaseDueOf(job, p.leadership.WallMs())
	p.recorder.Record(recording.Event{Kind: recording.KindSubmit, AtMs: job.record.AcceptedMs, Queue: call.Route, ID: call.ID,
		Terms: job.record.Terms, Body: call.Body})
	p.afterCommit(accepted)
}

// addJob takes a job into the tables, and records it.
func (p *Pool) addJob(id string, record jobRecord, spec *jobs.Spec) *jobState {
	job := newJobState(id)
	job.spec, job.tenant, job.record = spec, p.tenantOf(record.Tenant), record
	if record.IsSurplus {
		job.tenant.surplusJobs++
	}
	p.jobs[id], p.awaitingRelease[id] = job, job
	p.queued[record.Route]++
	p.putRecord(prefixJob+id, record)
	job.record.Spec = nil
	return job
}

// answerWith is answerUnderLease with a report as the body.
func (p *Pool) answerWith(answer answerClient, report func() easyjson.Marshaler) {
	p.answerUnderLease(answer, func() wire.ClientAnswer {
		body, err := easyjson.Marshal(report())
		if err != nil {
			p.log.Error(err, "answer not written", "key", p.key)
			return wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"}
		}
		return wire.ClientAnswer{Status: http.StatusOK, Body: body}
	})
}

// answerUnderLease answers once all that was decided so far is committed, with what is true at that moment, and only under a
// lease, which is checked then.
func (p *Pool) answerUnderLease(answer answerClient, response func() wire.ClientAnswer) {
	p.afterCommit(func(err error) {
		if err != nil || p.leadership == nil || !p.leadership.HasLease() {
			answer(notLeaderAnswer())
			return
		}
		answer(response())
	})
}

// jobFor gives the job that a call asks about, nil if there is none that its tenant may know of.
func (p *Pool) jobFor(call *wire.ClientCall) *jobState {
	if job := p.jobs[call.ID]; job != nil && job.isVisibleTo(call.Tenant) {
		return job
	}
	return nil
}

// isVisibleTo tells whether a tenant may know of the job: its own one, and everybody if the job belongs to none or the call needs no key.
func (j *jobState) isVisibleTo(tenant string) bool {
	return j.record.Tenant == "" || tenant == "" || j.record.Tenant == tenant
}

// State answers with the state of a job.
func (p *Pool) State(call *wire.ClientCall, answer answerClient) {
	job := p.jobFor(call)
	p.answerUnderLease(answer, func() wire.ClientAnswer {
		switch {
		case job == nil:
			return unknownJobAnswer()
		case job.phase == jobMoved:
			return movedJobAnswer(job)
		case job.isUnreadable && job.isOpen():
			return wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's record can't be read by this version"}
		}
		return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"executor-state":"` + string(job.shownState()) + `"}`)}
	})
}

func (j *jobState) shownState() jobPhase {
	if j.phase == jobQueued && j.hasStarted {
		return jobActive
	}
	return j.phase
}

// Count answers with the number of jobs that wait in a queue.
func (p *Pool) Count(call *wire.ClientCall, answer answerClient) {
	p.answerUnderLease(answer, func() wire.ClientAnswer {
		count := strconv.Itoa(max(0, p.queued[call.Route]))
		return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"waiting-count":` + count + `}`)}
	})
}

// Cancel ends a job and answers once that is committed; a job that has ended stays as it is.
func (p *Pool) Cancel(call *wire.ClientCall, answer answerClient) {
	job := p.jobFor(call)
	if job != nil && job.transfer != nil {
		answer(wire.ClientAnswer{Status: http.StatusServiceUnavailable, RetryAfterS: 1, Reason: "the job is on its way to another pool"})
		return
	}
	if job != nil && job.isOpen() {
		p.recorder.Record(recording.Event{Kind: recording.KindCancel, AtMs: p.leadership.WallMs(), ID: call.ID})
		p.endJob(job, jobCancelled, "cancelled by its client")
	}
	p.answerUnderLease(answer, func() wire.ClientAnswer {
		switch {
		case job == nil:
			return unknownJobAnswer()
		case job.phase == jobMoved:
			return movedJobAnswer(job)
		}
		return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{}`)}
	})
}
