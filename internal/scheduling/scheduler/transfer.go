package scheduler

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
)

// jobMoved is the final phase of a job whose transfer to the pool of another service is complete.
const jobMoved jobPhase = "moved"

const (
	// returnInterval is the time between two checks for jobs that can be returned to the old version.
	returnInterval = 200 * time.Millisecond
	// transferResend is the time after which an unanswered transfer is sent again.
	transferResend = 500 * time.Millisecond
)

// TransferSender sends jobs to the pools of other services. The answer callback runs on the pool's goroutine. Its argument is nil if no
// leader of the other pool has answered.
type TransferSender interface {
	Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer))
}

// WithTransfers sets the sender for returning jobs to the pool of the old version after a rollback. Without it no job is returned.
func WithTransfers(sender TransferSender) Option { return func(p *Pool) { p.transfers = sender } }

// transfer is a pending transfer of a job to the pool of another service. It is committed before it is sent for the first time. After the
// commit no run of the job starts here, also under a later leader, so that the other pool may start it.
type transfer struct {
	// to is the service that the job goes to.
	to          string
	isCommitted bool
	isSent      bool
	sentAt      time.Duration
}

// tickReturns returns jobs to the old version of a rollout that was rolled back. It begins transfers where possible, and sends unanswered
// ones again.
func (p *Pool) tickReturns(now time.Duration) {
	p.updateRollouts()
	if p.transfers == nil || now < p.rollouts.nextReturnAt {
		return
	}
	p.rollouts.nextReturnAt = now + returnInterval
	for _, id := range slices.Sorted(maps.Keys(p.rollouts.inTransfer)) {
		p.sendTransfer(p.rollouts.inTransfer[id], now)
	}
	for _, terms := range p.rollouts.returning {
		for _, job := range p.returnableJobs(terms.Route) {
			p.returnJob(job, terms)
		}
	}
}

// returnableJobs returns the open jobs of a queue that can be read, are not in transfer, and were not rejected by the other pool, sorted by
// ID.
func (p *Pool) returnableJobs(route string) []*jobState {
	var returnable []*jobState
	for _, job := range p.jobs {
		if job.record.Route == route && job.isOpen() && job.spec != nil && !job.isUnreadable && job.transfer == nil && !job.isKept {
			returnable = append(returnable, job)
		}
	}
	slices.SortFunc(returnable, func(a, b *jobState) int { return cmp.Compare(a.id, b.id) })
	return returnable
}

// returnJob keeps all further runs of a job from starting, and begins the job's transfer once it has no runs. Started runs end by
// themselves, unless the rollout allows stopping them and their tasks may run again. Runs of long-running jobs, which never end, and runs
// whose launch has no answer yet are stopped in any case. Completed tasks stay complete.
func (p *Pool) returnJob(job *jobState, terms RolloutTerms) {
	job.holdsReleases = true
	p.withhold(job)
	if job.runCount > 0 {
		p.stopRunsOf(job, terms.StopsRuns && terms.IsRepeatable || job.isLongRunning())
	}
	if job.runCount == 0 {
		p.beginTransfer(job, terms.ReturnTo)
	}
}

// stopRunsOf stops all runs of a job, or only those whose launch has no answer yet.
func (p *Pool) stopRunsOf(job *jobState, all bool) {
	for _, occurrence := range job.sortedOccurrences() {
		for _, step := range occurrence.steps {
			for _, task := range slices.Clone(step.busy) {
				for _, run := range slices.Clone(task.runs) {
					if all || run.phase == runLaunching {
						p.stopRun(run)
					}
				}
			}
		}
	}
}

// isLongRunning reports whether all steps of the job are long-running, so that they end only with the job.
func (j *jobState) isLongRunning() bool {
	return !slices.ContainsFunc(j.spec.Steps, func(step jobs.Step) bool { return !step.LongRunning })
}

// withhold removes all steps of a job from the queue, so that no run of it starts.
func (p *Pool) withhold(job *jobState) {
	job.isWithheld = true
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			p.open.remove(step)
		}
	}
}

// releaseWithheld reverts withhold: it puts the open steps of a job back into the queue.
func (p *Pool) releaseWithheld(job *jobState) {
	if !job.isWithheld {
		return
	}
	job.isWithheld = false
	for _, occurrence := range job.sortedOccurrences() {
		for _, step := range occurrence.steps {
			if step.isOpen && step.remaining > 0 {
				p.open.add(step)
			}
		}
	}
	p.needsPlacing = true
}

// beginTransfer withholds a job, commits the transfer, and then sends the job.
func (p *Pool) beginTransfer(job *jobState, to string) {
	p.withhold(job)
	pending := &transfer{to: to}
	job.transfer, p.rollouts.inTransfer[job.id] = pending, job
	p.putRecord(prefixTransfer+job.id, transferRecord{To: to})
	p.afterCommit(func(err error) {
		if err == nil && job.transfer == pending {
			pending.isCommitted = true
			p.sendTransfer(job, p.clock.Monotonic())
		}
	})
}

// loadTransfer reads the record of a job in transfer, and drops it if the job has ended. It must run before any step of the job opens.
func (p *Pool) loadTransfer(id string, value []byte) error {
	var record transferRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	if job := p.jobs[id]; job != nil && job.isOpen() {
		job.transfer, job.isWithheld = &transfer{to: record.To, isCommitted: true}, true
		p.rollouts.inTransfer[id] = job
		return nil
	}
	p.dropRecord(prefixTransfer + id)
	return nil
}

// sendTransfer sends a job to the other pool if its transfer is committed and was not sent within transferResend.
func (p *Pool) sendTransfer(job *jobState, now time.Duration) {
	pending := job.transfer
	if p.transfers == nil || !pending.isCommitted || pending.isSent && now < pending.sentAt+transferResend {
		return
	}
	call, err := transferCall(job, p.key)
	if err != nil {
		p.log.Error(err, "transfer not encoded", "job", job.id)
		return
	}
	pending.isSent, pending.sentAt = true, now
	leadership := p.leadership
	p.transfers.Send(pending.to, call, func(answer *wire.ClientAnswer) {
		if p.leadership == leadership && job.transfer == pending {
			p.handleTransferAnswer(job, answer)
		}
	})
}

// transferCall encodes a job for the pool that takes it over: the job's spec, its completed occurrences, and its tasks that are done or have
// failed attempts.
func transferCall(job *jobState, key string) (*wire.ClientCall, error) {
	spec, err := easyjson.Marshal(job.spec)
	if err != nil {
		return nil, err
	}
	moved := &wire.TransferCall{From: key, AcceptedMs: job.record.AcceptedMs, IsSurplus: job.record.IsSurplus, Body: spec}
	for number := range job.completedOccurrences {
		moved.CompletedOccurrences = append(moved.CompletedOccurrences, number)
	}
	slices.Sort(moved.CompletedOccurrences)
	for _, occurrence := range job.sortedOccurrences() {
		if job.completedOccurrences[occurrence.number] {
			continue
		}
		for _, step := range occurrence.steps {
			for _, task := range step.tasks {
				if task.failed > 0 || task.isDone {
					moved.Tasks = append(moved.Tasks, wire.TransferredTask{Occurrence: occurrence.number, Step: step.number, Index: task.index,
						Failed: task.failed, IsDone: task.isDone})
				}
			}
		}
	}
	body, err := easyjson.Marshal(moved)
	if err != nil {
		return nil, err
	}
	terms := job.record.Terms
	return &wire.ClientCall{Verb: wire.VerbTransfer, Route: job.record.Route, ID: job.id, Tenant: job.record.Tenant, Terms: &terms, Body: body}, nil
}

// handleTransferAnswer ends the job here once the other pool has accepted it. If that pool rejects it for good, the job stays and runs here.
func (p *Pool) handleTransferAnswer(job *jobState, answer *wire.ClientAnswer) {
	switch {
	case answer == nil || answer.NotLeader || answer.Status >= http.StatusInternalServerError:
	case answer.Status == http.StatusOK:
		p.endJob(job, jobMoved, "the new version was turned back")
	default:
		p.log.Info("job stays with the new version", "job", job.id, "status", answer.Status, "reason", answer.Reason)
		p.endTransfer(job)
		job.isKept, job.holdsReleases, p.nextReleaseMs = true, false, 0
		p.releaseWithheld(job)
	}
}

// endTransfer deletes a job's transfer and the transfer's record.
func (p *Pool) endTransfer(job *jobState) {
	job.transfer = nil
	delete(p.rollouts.inTransfer, job.id)
	p.dropRecord(prefixTransfer + job.id)
}

// Transfer takes over a job from another pool, and answers once that is committed. It never refuses a job because of load, since the other
// pool has already acknowledged the job to its client. A promise to refuse the job is void, since the other pool doesn't run it any more.
func (p *Pool) Transfer(call *wire.ClientCall, answer answerClient) {
	accepted := answerOnCommit(answer)
	if known := p.jobs[call.ID]; known != nil {
		if known.record.Route != call.Route {
			answer(wire.ClientAnswer{Status: http.StatusConflict, Reason: "the ID belongs to a job of another queue"})
			return
		}
		p.afterCommit(accepted)
		return
	}
	var moved wire.TransferCall
	if err := easyjson.Unmarshal(call.Body, &moved); err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	spec, err := jobs.Restore(moved.Body)
	if err != nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Reason: err.Error()})
		return
	}
	p.releaseRenounced(call.ID)
	record := jobRecord{Route: call.Route, AcceptedMs: moved.AcceptedMs, Spec: moved.Body, Tenant: call.Tenant, IsSurplus: moved.IsSurplus}
	if call.Terms != nil {
		record.Terms = *call.Terms
	}
	job := p.addJob(call.ID, record, spec)
	for _, number := range moved.CompletedOccurrences {
		job.completedOccurrences[number] = true
		p.putRecord(prefixOccurrence+job.id+"/"+strconv.Itoa(number), timeRecord{Done: true})
	}
	p.restoreTasks(job, moved.Tasks)
	p.releaseDueOf(job, p.leadership.WallMs())
	p.afterCommit(accepted)
}

// restoreTasks restores the tasks of a transferred job: those that are done, and the failed attempts of the others. It must run before any
// step of the job opens.
func (p *Pool) restoreTasks(job *jobState, tasks []wire.TransferredTask) {
	for _, moved := range tasks {
		if !job.hasTask(jobs.TaskPosition{ID: job.id, Occurrence: moved.Occurrence, Step: moved.Step, Index: moved.Index}) {
			continue
		}
		occurrence := p.occurrenceOf(job, moved.Occurrence)
		step := occurrence.steps[moved.Step]
		task := step.tasks[moved.Index]
		task.failed = moved.Failed
		if moved.IsDone && !task.isDone {
			task.isDone = true
			step.remaining--
			step.classify(task)
			if step.remaining == 0 {
				occurrence.remaining--
			}
		}
		p.putTask(task)
	}
}
