package scheduler

import (
	"maps"
	"net/http"
	"slices"
	"strconv"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

type answerClient = func(wire.ClientAnswer)

func lost() wire.ClientAnswer { return wire.ClientAnswer{NotLeader: true} }

// unclear is the answer once a change was proposed and the leadership ended before its commit.
func unclear() wire.ClientAnswer { return wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true} }

// HandIn accepts a job once it is committed; the same ID again is the same job.
func (p *Pool) HandIn(call *wire.ClientCall, answer answerClient) {
	accepted := func(err error) {
		if err != nil {
			answer(unclear())
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusOK})
	}
	if known := p.jobs[call.ID]; known != nil {
		if known.record.Entry != call.Route {
			answer(wire.ClientAnswer{Status: http.StatusConflict, Reason: "the ID belongs to a job of another queue"})
			return
		}
		p.after(accepted)
		return
	}
	if p.renounced.ids[call.ID] {
		answer(wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's queue has moved to another service"})
		return
	}
	spec, err := jobs.Read(call.Body)
	if err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	p.meters.handIns.Inc()
	one := &job{id: call.ID, spec: spec, state: stateQueued, times: map[int]*jobTime{}, doneTimes: map[int]bool{}}
	one.record = jobRecord{Entry: call.Route, AcceptedMs: p.leadership.WallMs(), Spec: call.Body}
	if call.Terms != nil {
		one.record.Terms = *call.Terms
	}
	p.jobs[call.ID], p.untimed[call.ID] = one, one
	p.queued[call.Route]++
	p.put("j/"+call.ID, one.record)
	one.record.Spec = nil
	p.makeTimesOf(one, p.leadership.WallMs())
	p.record.Record(recording.Event{Kind: recording.KindHandIn, AtMs: one.record.AcceptedMs, Queue: call.Route, ID: call.ID,
		Terms: one.record.Terms, Body: call.Body})
	p.after(accepted)
}

// State answers with the state of a job. Like Count and Cancel it answers only under a lease, which is checked again at
// the moment of the answer.
func (p *Pool) State(call *wire.ClientCall, answer answerClient) {
	one := p.jobs[call.ID]
	p.after(func(err error) {
		switch {
		case err != nil || p.leadership == nil || !p.leadership.HasLease():
			answer(lost())
		case one == nil:
			answer(wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job"})
		case one.isUnreadable && one.isOpen():
			answer(wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "the job's record can't be read by this version"})
		default:
			answer(wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"executor-state":"` + one.shown() + `"}`)})
		}
	})
}

func (j *job) shown() string {
	if j.state == stateQueued && j.hasStarted {
		return stateActive
	}
	return j.state
}

// Count answers with the number of jobs that wait in a queue.
func (p *Pool) Count(call *wire.ClientCall, answer answerClient) {
	p.after(func(err error) {
		if err != nil || p.leadership == nil || !p.leadership.HasLease() {
			answer(lost())
			return
		}
		count := strconv.Itoa(max(0, p.queued[call.Route]))
		answer(wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{"waiting-count":` + count + `}`)})
	})
}

// Cancel ends a job and answers once that is committed; a job that has ended stays as it is.
func (p *Pool) Cancel(call *wire.ClientCall, answer answerClient) {
	one := p.jobs[call.ID]
	if one != nil && one.isOpen() {
		p.record.Record(recording.Event{Kind: recording.KindCancel, AtMs: p.leadership.WallMs(), ID: call.ID})
		p.end(one, stateCancelled, "cancelled by its client")
	}
	p.after(func(err error) {
		switch {
		case err != nil || p.leadership == nil || !p.leadership.HasLease():
			answer(lost())
		case one == nil:
			answer(wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job"})
		default:
			answer(wire.ClientAnswer{Status: http.StatusOK, Body: []byte(`{}`)})
		}
	})
}

// end closes a job for good and stops whatever of it still runs.
func (p *Pool) end(one *job, state, why string) {
	if one.state == stateQueued {
		p.queued[one.record.Entry]--
	}
	one.state, one.endedMs = state, p.leadership.WallMs()
	p.put("s/"+one.id, stateRecord{Entry: one.record.Entry, State: state, Why: why, EndedMs: one.endedMs})
	if state != stateCompleted {
		p.log.V(1).Info("job ended", "job", one.id, "state", state, "reason", why)
	}
	for _, spell := range one.timesInOrder() {
		for _, step := range spell.steps {
			p.open.remove(step)
			p.stopStep(step)
			for _, which := range step.tasks {
				if which.lastRun > 0 {
					p.putTask(which)
				}
			}
		}
	}
	for _, number := range slices.Sorted(maps.Keys(one.doneTimes)) {
		p.drop("k/" + one.id + "/" + strconv.Itoa(number))
	}
	p.forgetIfOver(one)
}

// forgetIfOver keeps only the end of a job once none of its runs is left.
func (p *Pool) forgetIfOver(one *job) {
	if one.isOpen() || one.runs > 0 || one.spec == nil {
		return
	}
	p.drop("j/" + one.id)
	one.spec, one.times = nil, nil
	delete(p.untimed, one.id)
	p.noteEnded(one)
}
