package scheduler

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

type answerClient = func(wire.ClientAnswer)

func notLeaderAnswer() wire.ClientAnswer { return wire.ClientAnswer{NotLeader: true} }

// outcomeUnknownAnswer is the answer if the leadership ended after a change was proposed and before it was committed.
func outcomeUnknownAnswer() wire.ClientAnswer {
	return wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true}
}

func unknownJobAnswer() wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job"}
}

// takenIDAnswer refuses a job for good, because its ID belongs to another job.
func takenIDAnswer() wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusConflict, Reason: "the ID belongs to a job of another queue"}
}

// movedJobAnswer tells the client which service's pool has the job now.
func movedJobAnswer(job *jobState) wire.ClientAnswer {
	return wire.ClientAnswer{Status: http.StatusGone, Reason: "the job was moved to another pool", MovedTo: job.movedTo}
}

// answerOnCommit returns a commit callback that acknowledges a job, or answers that the outcome is unknown.
func answerOnCommit(answer answerClient) func(error) {
	return func(err error) {
		if err != nil {
			answer(outcomeUnknownAnswer())
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusOK})
	}
}

// Submit stores a job and acknowledges it once it is committed. A repeated submission under the same ID is acknowledged and adds no second
// job.
func (p *Pool) Submit(call *wire.ClientCall, answer answerClient) {
	accepted := answerOnCommit(answer)
	if known := p.jobs[call.ID]; known != nil {
		if !isOfQueue(known, call) || !known.isVisibleTo(call) {
			p.answerUnderLease(answer, takenIDAnswer())
			return
		}
		p.afterCommit(accepted)
		return
	}
	if p.renounced.forbids(call.ID, call.Version) {
		answer(wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's queue has moved to another service"})
		return
	}
	spec, err := jobs.Read(call.Body)
	if err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	tenant := p.tenantOf(call.Tenant)
	isSurplus := !p.takeRateToken(tenant)
	if isSurplus && tenant.exceedsSurplusLimit() {
		p.metrics.refusals.Inc()
		answer(wire.ClientAnswer{Status: http.StatusTooManyRequests, RetryAfterS: 1, Reason: "the tenant has too many jobs under way beyond its rate"})
		return
	}
	p.metrics.submissions.Inc()
	p.releaseRenounced(call.ID)
	record := jobRecord{Route: call.Route, AcceptedMs: p.leadership.WallMs(), Spec: call.Body, Tenant: call.Tenant, IsSurplus: isSurplus,
		Version: call.Version}
	if call.Terms != nil {
		record.Terms = *call.Terms
	}
	job := p.addJob(call.ID, record, spec)
	// The rollout of this version may have been rolled back. A gate with an older configuration still submits jobs here.
	job.holdsReleases = p.isReturning(call.Route)
	job.isWithheld = job.holdsReleases
	p.releaseDueOf(job, p.leadership.WallMs())
	p.recorder.Record(recording.Event{Kind: recording.KindSubmit, AtMs: job.record.AcceptedMs, Queue: call.Route, ID: call.ID,
		Terms: job.record.Terms, Body: call.Body})
	p.afterCommit(accepted)
}

// isOfQueue reports whether a job belongs to the queue of a call. The queue may have had another name when the job was submitted.
func isOfQueue(job *jobState, call *wire.ClientCall) bool {
	return job.record.Route == call.Route || slices.Contains(call.FormerRoutes, job.record.Route)
}

// addJob adds a job to the tables and writes its record. The spec's text is stored only in the record, not kept in memory.
func (p *Pool) addJob(id string, record jobRecord, spec *jobs.Spec) *jobState {
	job := newJobState(id)
	job.spec, job.tenant, job.record = spec, p.tenantOf(record.Tenant), record
	if record.IsSurplus {
		job.tenant.surplusJobs++
	}
	p.jobs[id], p.awaitingRelease[id] = job, job
	p.queued[record.Route]++
	p.openJobs[record.Route]++
	p.putRecord(prefixJob+id, record)
	job.record.Spec = nil
	return job
}

// answerWithReport answers with an encoded report, under the conditions of answerUnderLease.
func (p *Pool) answerWithReport(answer answerClient, report easyjson.Marshaler) {
	body, err := easyjson.Marshal(report)
	if err != nil {
		p.log.Error(err, "answer not written", "key", p.key)
		answer(wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: "the answer could not be written"})
		return
	}
	p.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: body})
}

// answerUnderLease sends a response that follows from the tables as they are now. It sends the response once all changes up to now are
// committed, so that the next leader has them too. It then checks the lease on the key, and without a valid lease it answers that this process
// isn't the leader. The response must not be computed later: changes that come meanwhile are in the tables before they are committed.
func (p *Pool) answerUnderLease(answer answerClient, response wire.ClientAnswer) {
	p.afterCommit(func(err error) {
		if !p.mayAnswer(err) {
			answer(notLeaderAnswer())
			return
		}
		answer(response)
	})
}

// mayAnswer reports whether an answer may be sent after a commit: it has succeeded, and no other process can lead the key.
func (p *Pool) mayAnswer(err error) bool {
	return err == nil && p.leadership != nil && p.leadership.HasLease()
}

// answerLatest sends a response that follows from the tables. If the response has changed by the time at which all changes up to now are
// committed, it sends the new one instead, once the changes up to then are committed, too. So a client that asks shortly before a job ends
// learns of the end.
func (p *Pool) answerLatest(answer answerClient, response func() wire.ClientAnswer) {
	atCall := response()
	p.afterCommit(func(err error) {
		if !p.mayAnswer(err) {
			answer(notLeaderAnswer())
			return
		}
		if latest := response(); !isSameAnswer(latest, atCall) {
			p.answerUnderLease(answer, latest)
			return
		}
		answer(atCall)
	})
}

// isSameAnswer reports whether a client learns the same from two answers about a job.
func isSameAnswer(a, b wire.ClientAnswer) bool {
	return a.Status == b.Status && a.MovedTo == b.MovedTo && bytes.Equal(a.Body, b.Body)
}

// jobFor returns the job named by a call, or nil if there is no such job or the call's tenant may not see it.
func (p *Pool) jobFor(call *wire.ClientCall) *jobState {
	if job := p.jobs[call.ID]; job != nil && job.isVisibleTo(call) {
		return job
	}
	return nil
}

// isVisibleTo reports whether a call may access the job. A tenant may access its own jobs, and any call a job without a tenant. A call to a
// queue that needs no API key has no tenant, and may access all jobs of that queue.
func (j *jobState) isVisibleTo(call *wire.ClientCall) bool {
	return j.record.Tenant == "" || j.record.Tenant == call.Tenant || call.Tenant == "" && isOfQueue(j, call)
}

// State answers a client with the state of a job.
func (p *Pool) State(call *wire.ClientCall, answer answerClient) {
	p.answerLatest(p.logShownState(call.ID, answer), func() wire.ClientAnswer { return p.stateAnswer(call) })
}

// stateAnswer returns the answer about the state of a job that follows from the tables, which may be ahead of the commits.
func (p *Pool) stateAnswer(call *wire.ClientCall) wire.ClientAnswer {
	job := p.jobFor(call)
	switch {
	case job == nil:
		return unknownJobAnswer()
	case job.phase == jobMoved:
		return movedJobAnswer(job)
	case job.isUnreadable && job.isOpen():
		return wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's record can't be read by this version"}
	}
	return wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"executor-state":"` + string(job.shownState()) + `"}`)}
}

// logShownState returns an answer function that logs what a client is shown of a job, with the index up to which changes are committed and
// the number of commits in flight at the time of the answer.
func (p *Pool) logShownState(id string, answer answerClient) answerClient {
	log := p.log.V(logging.TraceVerbosity)
	if !log.Enabled() {
		return answer
	}
	return func(response wire.ClientAnswer) {
		if p.leadership != nil {
			log.Info("job state answered", "key", p.key, "epoch", p.leadership.Epoch(), "job", id, "status", response.Status, "body", string(response.Body),
				"commit_index", p.leadership.CommitIndex(), "pending_commits", p.pendingCommits.Len())
		}
		answer(response)
	}
}

// shownState is the phase reported to clients and operators. A queued job of which a run has started is reported as active.
func (j *jobState) shownState() jobPhase {
	if j.phase == jobQueued && j.hasStarted {
		return jobActive
	}
	return j.phase
}

// Count answers a client with the number of jobs of a queue that have not started.
func (p *Pool) Count(call *wire.ClientCall, answer answerClient) {
	count := p.queued[call.Route]
	for _, former := range call.FormerRoutes {
		count += p.queued[former]
	}
	p.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"waiting-count":` + strconv.Itoa(max(0, count)) + `}`)})
}

// Cancel ends a job as cancelled and answers once that is committed. The state of a job that has ended doesn't change, and a job in
// transfer to another pool can't be cancelled: the client has to retry.
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
	switch {
	case job == nil:
		p.answerUnderLease(answer, unknownJobAnswer())
	case job.phase == jobMoved:
		p.answerUnderLease(answer, movedJobAnswer(job))
	default:
		p.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{}`)})
	}
}
