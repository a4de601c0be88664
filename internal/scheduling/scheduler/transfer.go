package scheduler

import (
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
	// transferInterval is the time between two checks for jobs that can be transferred.
	transferInterval = 200 * time.Millisecond
	// transferResend is the time after which an unanswered transfer is sent again.
	transferResend = 500 * time.Millisecond
)

// TransferSender sends jobs to the pools of other services. The answer callback runs on the pool's goroutine. Its argument is nil if no
// leader of the other pool has answered.
type TransferSender interface {
	Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer))
}

// WithTransfers sets the sender for transferring jobs to the pools of other services. Without it no job is transferred.
func WithTransfers(sender TransferSender) Option { return func(p *Pool) { p.transfers = sender } }

// transfer is a pending transfer of a job to the pool of another service. It is committed before it is sent for the first time. After the
// commit no run of the job starts here, also under a later leader, so that the other pool may start it.
type transfer struct {
	// to is the service that the job goes to.
	to string
	// version is the configuration version that moves the job. It is 0 for the return of a job after a rollback.
	version     int64
	isCommitted bool
	isSent      bool
	sentAt      time.Duration
}

// reason returns why the job is transferred, for metrics.
func (t *transfer) reason() string {
	if t.version == 0 {
		return reasonRolledBack
	}
	return reasonQueueMoved
}

// tickTransfers returns jobs to the old version of a rollout that was rolled back, and transfers jobs of queues that lead to another service
// now. It begins transfers where possible, and sends unanswered ones again.
func (p *Pool) tickTransfers(now time.Duration) {
	p.updateRollouts()
	if p.transfers == nil || now < p.rollouts.nextTransferAt {
		return
	}
	p.rollouts.nextTransferAt = now + transferInterval
	for _, id := range slices.Sorted(maps.Keys(p.rollouts.inTransfer)) {
		p.sendTransfer(p.rollouts.inTransfer[id], now)
	}
	for _, terms := range p.rollouts.returning {
		for _, job := range p.transferableJobs(func(job *jobState) bool { return job.record.Route == terms.Route }) {
			p.returnJob(job, terms)
		}
	}
	p.transferMovedJobs(now)
}

// returnJob keeps all further runs of a job from starting, and begins the job's transfer once it has no runs. Started runs end by
// themselves, unless the rollout allows stopping them and their tasks may run again. Runs of long-running jobs, which never end, and runs
// whose launch has no answer yet are stopped in any case. Completed tasks stay complete.
func (p *Pool) returnJob(job *jobState, terms RolloutTerms) {
	job.holdsReleases = true
	p.withhold(job)
	if job.runCount > 0 {
		stopsAll := terms.StopsRuns && terms.IsRepeatable || job.isLongRunning()
		p.stopRunsOf(job, func(run *runState) bool { return stopsAll || run.phase == runLaunching })
	}
	if job.runCount == 0 {
		p.beginTransfer(job, transfer{to: terms.ReturnTo})
	}
}

// stopRunsOf stops the runs of a job that satisfy a condition.
func (p *Pool) stopRunsOf(job *jobState, condition func(*runState) bool) {
	for _, occurrence := range job.sortedOccurrences() {
		for _, step := range occurrence.steps {
			for _, task := range slices.Clone(step.busy) {
				for _, run := range slices.Clone(task.runs) {
					if condition(run) {
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
func (p *Pool) beginTransfer(job *jobState, begun transfer) {
	p.withhold(job)
	transfers.With(p.key, begun.reason()).Inc()
	pending := &begun
	job.transfer, p.rollouts.inTransfer[job.id] = pending, job
	p.putRecord(prefixTransfer+job.id, transferRecord{To: pending.to, Version: pending.version})
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
		job.transfer, job.isWithheld = &transfer{to: record.To, version: record.Version, isCommitted: true}, true
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

// transferCall encodes a job for the pool that takes it over: the job's spec, its completed occurrences, and its tasks that have had runs.
func transferCall(job *jobState, key string) (*wire.ClientCall, error) {
	spec, err := easyjson.Marshal(job.spec)
	if err != nil {
		return nil, err
	}
	moved := &wire.TransferCall{From: key, Number: job.record.Transfers + 1, AcceptedMs: job.record.AcceptedMs, IsSurplus: job.record.IsSurplus, Body: spec}
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
				if task.failed > 0 || task.isDone || task.lastRun > 0 {
					moved.Tasks = append(moved.Tasks, wire.TransferredTask{Occurrence: occurrence.number, Step: step.number, Index: task.index,
						Failed: task.failed, IsDone: task.isDone, LastRun: task.lastRun})
				}
			}
		}
	}
	body, err := easyjson.Marshal(moved)
	if err != nil {
		return nil, err
	}
	terms, verb := job.record.Terms, wire.VerbTransfer
	if moved.Number > 1 {
		verb = wire.VerbTransferAgain
	}
	return &wire.ClientCall{Verb: verb, Route: job.record.Route, ID: job.id, Tenant: job.record.Tenant, Version: job.transfer.version,
		Terms: &terms, Body: body}, nil
}

// handleTransferAnswer ends the job here once the other pool has accepted it. If that pool rejects it for good, the job stays and runs here.
func (p *Pool) handleTransferAnswer(job *jobState, answer *wire.ClientAnswer) {
	switch {
	case answer == nil || answer.NotLeader || answer.Status >= http.StatusInternalServerError:
	case answer.Status == http.StatusOK:
		p.endTransferred(job)
	default:
		p.log.Info("job stays in this pool, the other one rejects it", "job", job.id, "status", answer.Status, "reason", answer.Reason)
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

// endTransferred ends a job that the other pool has accepted.
func (p *Pool) endTransferred(job *jobState) {
	p.endJob(job, jobMoved, "transferred to the pool of "+job.transfer.to)
}

// Transfer takes over a job from another pool, and answers once that is committed. It never refuses a job because of load, since the other
// pool has already acknowledged the job to its client. A promise to refuse the job is void, since the other pool doesn't run it any more.
func (p *Pool) Transfer(call *wire.ClientCall, answer answerClient) {
	accepted := answerOnCommit(answer)
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
	if known := p.jobs[call.ID]; known != nil {
		switch {
		case known.record.Route != call.Route:
			p.answerUnderLease(answer, takenIDAnswer())
			return
		case !known.comesBackWith(&moved):
			p.afterCommit(accepted)
			return
		}
		p.forgetTransferred(known)
	}
	p.releaseRenounced(call.ID)
	record := jobRecord{Route: call.Route, AcceptedMs: moved.AcceptedMs, Spec: moved.Body, Tenant: call.Tenant, IsSurplus: moved.IsSurplus,
		Version: call.Version, Transfers: moved.Number}
	if call.Terms != nil {
		record.Terms = *call.Terms
	}
	job := p.addJob(call.ID, record, spec)
	for _, number := range moved.CompletedOccurrences {
		job.completedOccurrences[number] = true
		p.putRecord(prefixOccurrence+job.id+"/"+strconv.Itoa(number), timeRecord{Done: true})
	}
	job.holdsReleases = p.isReturning(call.Route)
	job.isWithheld = job.holdsReleases
	p.restoreTasks(job, moved.Tasks)
	p.releaseDueOf(job, p.leadership.WallMs())
	p.afterCommit(accepted)
}

// comesBackWith reports whether a transfer brings back a job that this pool has transferred to another one. A late copy of an earlier
// transfer doesn't: the numbers of a job's transfers rise from pool to pool.
func (j *jobState) comesBackWith(moved *wire.TransferCall) bool {
	return moved.Number > j.record.Transfers && (j.phase == jobMoved || j.transfer != nil)
}

// forgetTransferred deletes a job that comes back. If the transfer from here has no answer yet, it has succeeded, as the other pool has had
// the job since.
func (p *Pool) forgetTransferred(job *jobState) {
	if job.transfer != nil {
		p.endTransferred(job)
	}
	p.endedJobs = slices.DeleteFunc(p.endedJobs, func(ended *jobState) bool { return ended == job })
	delete(p.jobs, job.id)
	p.dropRecord(prefixState + job.id)
}

// restoreTasks restores the tasks of a transferred job: those that are done, and the runs and failed attempts of the others. Further runs of a
// task continue its run numbers, as executors reject a number that they know. It must run before any step of the job opens.
func (p *Pool) restoreTasks(job *jobState, tasks []wire.TransferredTask) {
	for _, moved := range tasks {
		if !job.hasTask(jobs.TaskPosition{ID: job.id, Occurrence: moved.Occurrence, Step: moved.Step, Index: moved.Index}) {
			continue
		}
		occurrence := p.occurrenceOf(job, moved.Occurrence)
		step := occurrence.steps[moved.Step]
		task := step.tasks[moved.Index]
		task.failed, task.lastRun = moved.Failed, moved.LastRun
		if task.lastRun > 0 {
			p.recordStart(job)
		}
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
