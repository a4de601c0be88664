package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/tenantcount"
)

// prefixLength is the length in bytes of each record name prefix.
const prefixLength = 2

// errBadName is the error for a record whose name doesn't have the form of its kind.
const errBadName = errors.ConstError("malformed record name")

// load rebuilds the tables from the committed records. An unreadable record doesn't stop the takeover, since the next leader would read the
// same record. If it is the record of a job, its state or one of its tasks, that job is set aside, and all other jobs go on.
func (p *Pool) load(leadership Leadership, pairs []wire.Op) {
	records := map[string][]wire.Op{}
	for _, pair := range pairs {
		if len(pair.Name) > prefixLength {
			prefix := pair.Name[:prefixLength]
			records[prefix] = append(records[prefix], pair)
		}
	}
	p.openAccounts(leadership, records[tenantcount.AccountPrefix])
	p.updateTerms()
	p.loadEach(records[prefixJob], p.loadJob)
	p.loadEach(records[prefixState], p.loadState)
	p.loadEach(records[prefixOccurrence], p.loadOccurrence)
	p.loadEach(records[prefixTransfer], p.loadTransfer)
	p.loadEach(records[prefixRollout], p.loadRollout)
	p.updateRollouts()
	tasks := p.readTasks(records[prefixTask])
	p.releaseDue()
	for _, loaded := range tasks {
		p.loadTask(loaded)
	}
	p.loadEach(records[prefixExecutor], p.loadExecutor)
	p.loadEach(records[prefixRenounced], p.loadRenounced)
	slices.SortStableFunc(p.renounced.order, func(a, b renouncedID) int { return cmp.Compare(a.atMs, b.atMs) })
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if job := p.jobs[id]; job.spec != nil {
			if job.isOpen() && job.record.IsSurplus {
				job.tenant.surplusJobs++
			}
			p.reopen(job)
		} else {
			p.insertEnded(job)
		}
	}
	p.dropOrphanedOrders(records[prefixOrder])
}

// loadEach calls loadRecord for each record of one kind, with the name without its prefix, and adds the records that can't be read to
// unreadable.
func (p *Pool) loadEach(pairs []wire.Op, loadRecord func(name string, value []byte) error) {
	for _, pair := range pairs {
		if err := loadRecord(pair.Name[prefixLength:], pair.Value); err != nil {
			p.recordUnreadable(pair.Name, err)
		}
	}
}

func (p *Pool) recordUnreadable(record string, err error) {
	p.log.Error(err, "unreadable record", "key", p.key, "record", record)
	p.unreadable = append(p.unreadable, record)
}

// Unreadable returns the names of the records that could not be read when this leader took over.
func (p *Pool) Unreadable() []string { return p.unreadable }

// loadJob reads the record of a submitted job. A job whose record can't be read is set aside, and its record is kept.
func (p *Pool) loadJob(id string, value []byte) error {
	job := newJobState(id)
	p.jobs[id], p.awaitingRelease[id], job.tenant = job, job, p.tenantOf("")
	if err := easyjson.Unmarshal(value, &job.record); err != nil {
		p.setAside(job)
		return err
	}
	p.queued[job.record.Route]++
	p.openJobs[job.record.Route]++
	job.tenant = p.tenantOf(job.record.Tenant)
	spec, err := jobs.Restore(job.record.Spec)
	if err != nil {
		p.setAside(job)
		return err
	}
	job.spec, job.record.Spec = spec, nil
	return nil
}

// setAside marks a job as unreadable: it is known but not run. While the job is open, its records are kept unchanged for a program version
// that can read them, unless a client cancels the job.
func (p *Pool) setAside(job *jobState) {
	job.isUnreadable = true
	job.spec, job.record.Spec = &jobs.Spec{}, nil
	delete(p.awaitingRelease, job.id)
}

// loadState reads the stored state of a job that has ended. If the record of the job itself is already deleted, the job has only its state,
// so that clients can still ask for the result.
func (p *Pool) loadState(id string, value []byte) error {
	job, isKnown := p.jobs[id]
	if !isKnown {
		job = newJobState(id)
		p.jobs[id] = job
	}
	var record stateRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		p.setAside(job)
		return err
	}
	if isKnown {
		p.queued[job.record.Route]--
		p.openJobs[job.record.Route]--
	}
	job.phase, job.endedMs, job.record.Route = jobPhase(record.State), record.EndedMs, record.Route
	job.record.Tenant, job.movedTo, job.record.Transfers = record.Tenant, record.MovedTo, record.Transfers
	return nil
}

// loadOccurrence reads a record named ID/K, which says that occurrence K of job ID is complete.
func (p *Pool) loadOccurrence(name string, _ []byte) error {
	id, text, isPair := strings.Cut(name, "/")
	number, err := strconv.Atoi(text)
	if !isPair || err != nil {
		return errors.Annotate(errBadName, "expected ID/K")
	}
	if job := p.jobs[id]; job != nil {
		job.completedOccurrences[number] = true
	}
	return nil
}

// loadedTask is a task's record together with the job and the position that its name refers to.
type loadedTask struct {
	name     string
	job      *jobState
	position jobs.TaskPosition
	record   taskRecord
}

// readTasks reads the task records. It must run before any step opens. It deletes leftover records: those of jobs that
// have ended, and those of an earlier job under the same ID, if the present job has no such task.
func (p *Pool) readTasks(pairs []wire.Op) []loadedTask {
	tasks := make([]loadedTask, 0, len(pairs))
	for _, pair := range pairs {
		loaded := loadedTask{name: pair.Name}
		var isTask bool
		if loaded.position, isTask = jobs.ParseTask(pair.Name[prefixLength:]); !isTask {
			p.recordUnreadable(pair.Name, errors.Annotate(errBadName, "expected ID.K.STEP.INDEX"))
			continue
		}
		loaded.job = p.jobs[loaded.position.ID]
		if loaded.job != nil && loaded.job.isUnreadable {
			continue
		}
		if loaded.job == nil || !loaded.job.hasTask(loaded.position) {
			p.dropRecord(pair.Name)
			continue
		}
		if err := easyjson.Unmarshal(pair.Value, &loaded.record); err != nil {
			p.recordUnreadable(pair.Name, err)
			p.setAside(loaded.job)
			continue
		}
		tasks = append(tasks, loaded)
	}
	return slices.DeleteFunc(tasks, func(loaded loadedTask) bool { return loaded.job.isUnreadable })
}

func (j *jobState) hasTask(position jobs.TaskPosition) bool {
	return j.spec != nil && position.Occurrence < j.occurrenceCount() && position.Step < len(j.spec.Steps) && position.Index < j.spec.Steps[position.Step].Tasks
}

// loadTask restores a task and its runs from its record. The record is deleted if the occurrence is complete and the task has no runs.
func (p *Pool) loadTask(loaded loadedTask) {
	isOver, record := loaded.job.completedOccurrences[loaded.position.Occurrence], loaded.record
	if isOver && len(record.Runs) == 0 {
		p.dropRecord(loaded.name)
		return
	}
	step := p.occurrenceOf(loaded.job, loaded.position.Occurrence).steps[loaded.position.Step]
	task := step.tasks[loaded.position.Index]
	task.isDone, task.failed, task.lastRun, task.checkpoint = record.Done || isOver, record.Failed, record.LastRun, record.Checkpoint
	step.failedRun = max(step.failedRun, record.FailedRun)
	if task.isDone {
		step.remaining--
		step.classify(task)
	}
	if record.LastRun > 0 {
		loaded.job.hasStarted = true
	}
	for _, stored := range record.Runs {
		p.restoreRun(task, stored)
	}
	if log := p.log.V(logging.TraceVerbosity); log.Enabled() {
		log.Info("task loaded", "task", loaded.name, "done", task.isDone, "run", record.LastRun, "runs", record.Runs)
	}
}

// restoreRun adds a recorded run to its task and executor. The run stays uncertain until the executor reports a list of its runs.
func (p *Pool) restoreRun(task *taskState, stored runRecord) {
	executor := p.executorOf(stored.Executor)
	run := &runState{task: task, number: stored.Number, executor: executor, phase: runPhase(stored.State), isCommitted: true, startedAt: p.openedAt, orderedAt: p.openedAt}
	p.addRun(run)
	run.awaitedList = executor.listWanted
}

// reopen opens the steps of a loaded job that are ready, and stops the runs of its complete occurrences. If the job has ended, it stops all
// runs.
func (p *Pool) reopen(job *jobState) {
	if !job.isOpen() {
		for _, occurrence := range job.sortedOccurrences() {
			p.stopOccurrence(occurrence)
		}
		p.forgetIfOver(job)
		return
	}
	if job.hasStarted {
		p.recordStart(job)
	}
	for _, occurrence := range job.sortedOccurrences() {
		if job.completedOccurrences[occurrence.number] {
			p.stopOccurrence(occurrence)
			continue
		}
		occurrence.remaining = 0
		for _, step := range occurrence.steps {
			if step.remaining > 0 {
				occurrence.remaining++
				continue
			}
			p.open.remove(step)
		}
		p.openReadySteps(occurrence)
	}
}

// stopOccurrence stops all runs of an occurrence that is complete or whose job has ended.
func (p *Pool) stopOccurrence(occurrence *occurrence) {
	for _, step := range occurrence.steps {
		p.stopStep(step)
	}
}

// dropOrphanedOrders deletes the order records that belong to no pending run.
func (p *Pool) dropOrphanedOrders(pairs []wire.Op) {
	if len(pairs) == 0 {
		return
	}
	pendingOrders := map[string]bool{}
	for run := range p.pendingRuns {
		for _, kind := range []wire.OrderKind{wire.OrderLaunch, wire.OrderStop} {
			pendingOrders[orderName(run.task, run.number, kind)] = true
		}
	}
	for _, pair := range pairs {
		if !pendingOrders[pair.Name] {
			p.dropRecord(pair.Name)
		}
	}
}
