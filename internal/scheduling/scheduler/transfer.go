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

// jobMoved is the final phase of a job that the pool of another service has taken over.
const jobMoved jobPhase = "moved"

const (
	// returnInterval is how often jobs that may go back to the old version are looked for.
	returnInterval = 200 * time.Millisecond
	// transferResend is after how long a transfer without an answer is sent again.
	transferResend = 500 * time.Millisecond
)

// TransferSender carries jobs to the pools of other services. The answer runs on the pool's goroutine, with nil if nobody decided.
type TransferSender interface {
	Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer))
}

// WithTransfers lets jobs of a version that was turned back go to the pool of the old one.
func WithTransfers(sender TransferSender) Option { return func(p *Pool) { p.transfers = sender } }

// transfer is a job's way to the pool of another service. It is committed before it is sent for the first time: from then on nothing of the
// job starts here, also under a later leader, so that the other pool may start it.
type transfer struct {
	to          string
	isCommitted bool
	isSent      bool
	sentAt      time.Duration
}

// tickReturns moves the jobs that go back to the old version of a rollout that was turned back, as far as they can now.
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
		for _, job := range p.openJobsOf(terms.Route) {
			p.returnJob(job, terms)
		}
	}
}

// openJobsOf gives the jobs of a queue that are under way and not on their way to another pool, by their IDs.
func (p *Pool) openJobsOf(route string) []*jobState {
	var open []*jobState
	for _, job := range p.jobs {
		if job.record.Route == route && job.isOpen() && job.spec != nil && !job.isUnreadable && job.transfer == nil && !job.isKept {
			open = append(open, job)
		}
	}
	slices.SortFunc(open, func(a, b *jobState) int { return cmp.Compare(a.id, b.id) })
	return open
}

// returnJob lets nothing of a job start here any more, and begins its transfer once nothing of it runs. Runs that have begun are let end, or
// stopped where that was agreed and their tasks may run again; lasting ones, which never end, and those whose start was not answered yet are
// stopped in any case. What is done stays done.
func (p *Pool) returnJob(job *jobState, terms RolloutTerms) {
	job.holdsReleases = true
	p.withhold(job)
	if job.runCount > 0 {
		p.stopRunsOf(job, terms.StopsRuns && terms.IsRepeatable || job.isLasting())
	}
	if job.runCount == 0 {
		p.beginTransfer(job, terms.ReturnTo)
	}
}

// stopRunsOf stops the runs of a job: all of them, or only those that have not begun as far as is known here.
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

// isLasting tells whether all steps of the job end only with it.
func (j *jobState) isLasting() bool {
	return !slices.ContainsFunc(j.spec.Steps, func(step jobs.Step) bool { return !step.LongRunning })
}

// withhold keeps everything of a job from starting.
func (p *Pool) withhold(job *jobState) {
	job.isWithheld = true
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			p.open.remove(step)
		}
	}
}

// releaseWithheld lets a job start again.
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

// beginTransfer commits that nothing of a job starts here any more, and sends it once that is done.
func (p *Pool) beginTransfer(job *jobState, to string) {
	p.withhold(job)
	begun := &transfer{to: to}
	job.transfer, p.rollouts.inTransfer[job.id] = begun, job
	p.putRecord(prefixTransfer+job.id, transferRecord{To: to})
	p.afterCommit(func(err error) {
		if err == nil && job.transfer == begun {
			begun.isCommitted = true
			p.sendTransfer(job, p.clock.Monotonic())
		}
	})
}

// loadTransfer reads that a job is on its way. It must be loaded before its steps are opened.
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

// sendTransfer sends a job to the other pool, again until there is an answer.
func (p *Pool) sendTransfer(job *jobState, now time.Duration) {
	way := job.transfer
	if p.transfers == nil || !way.isCommitted || way.isSent && now < way.sentAt+transferResend {
		return
	}
	call, err := transferCall(job, p.key)
	if err != nil {
		p.log.Error(err, "transfer not written", "job", job.id)
		return
	}
	way.isSent, way.sentAt = true, now
	leadership := p.leadership
	p.transfers.Send(way.to, call, func(answer *wire.ClientAnswer) {
		if p.leadership == leadership && job.transfer == way {
			p.handleTransferAnswer(job, answer)
		}
	})
}

// transferCall says a job for the pool that takes it over.
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

// handleTransferAnswer ends the job here once the other pool has it. A pool that can never take it leaves it here.
func (p *Pool) handleTransferAnswer(job *jobState, answer *wire.ClientAnswer) {
	switch {
	case answer == nil || answer.NotLeader || answer.Status >= http.StatusInternalServerError:
	case answer.Status == http.StatusOK:
		p.end(job, jobMoved, "the new version was turned back")
	default:
		p.log.Info("job stays with the new version", "job", job.id, "status", answer.Status, "reason", answer.Reason)
		p.endTransfer(job)
		job.isKept, job.holdsReleases, p.nextReleaseMs = true, false, 0
		p.releaseWithheld(job)
	}
}

// endTransfer takes a job off its way to another pool.
func (p *Pool) endTransfer(job *jobState) {
	job.transfer = nil
	delete(p.rollouts.inTransfer, job.id)
	p.dropRecord(prefixTransfer + job.id)
}

// Transfer takes over a job that another pool had accepted, and answers once that is committed. It is never refused for load, as its client
// was told that it is accepted; a promise not to take it is void, since the other pool has it no more.
func (p *Pool) Transfer(call *wire.ClientCall, answer answerClient) {
	accepted := acceptance(answer)
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
	p.takeTasks(job, moved.Tasks)
	p.releaseDueOf(job, p.leadership.WallMs())
	p.afterCommit(accepted)
}

// takeTasks takes over what has become of a job's tasks elsewhere: which are done, and the attempts that others have used up. It comes
// before any step of the job opens.
func (p *Pool) takeTasks(job *jobState, tasks []wire.TransferredTask) {
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
