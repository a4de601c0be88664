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

// prefixLength is that of all prefixes of records' names.
const prefixLength = 2

// errBadName refuses a record whose name is none of its kind.
const errBadName = errors.ConstError("the record's name can't be read")

// load rebuilds the tables from the committed records. No record keeps the key from being taken over, as the next
// leader would find the same one: a job with a record that can't be read is set aside, and all others go on.
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

// loadEach takes the records of one kind, without the prefix of their names.
func (p *Pool) loadEach(pairs []wire.Op, take func(name string, value []byte) error) {
	for _, pair := range pairs {
		if err := take(pair.Name[prefixLength:], pair.Value); err != nil {
			p.noteUnreadable(pair.Name, err)
		}
	}
}

func (p *Pool) noteUnreadable(record string, err error) {
	p.log.Error(err, "unreadable record", "key", p.key, "record", record)
	p.unreadable = append(p.unreadable, record)
}

// Unreadable names the records that could not be read when the key was taken over.
func (p *Pool) Unreadable() []string { return p.unreadable }

// loadJob reads the stored record of a submitted job. A record that can't be read is set aside, not dropped.
func (p *Pool) loadJob(id string, value []byte) error {
	job := newJobState(id)
	p.jobs[id], p.awaitingRelease[id], job.tenant = job, job, p.tenantOf("")
	if err := easyjson.Unmarshal(value, &job.record); err != nil {
		p.setAside(job)
		return err
	}
	p.queued[job.record.Route]++
	job.tenant = p.tenantOf(job.record.Tenant)
	spec, err := jobs.Restore(job.record.Spec)
	if err != nil {
		p.setAside(job)
		return err
	}
	job.spec, job.record.Spec = spec, nil
	return nil
}

// setAside keeps a job known that can't be run here, and its records as they are, for a program that can read them.
func (p *Pool) setAside(job *jobState) {
	job.isUnreadable = true
	job.spec, job.record.Spec = &jobs.Spec{}, nil
	delete(p.awaitingRelease, job.id)
}

// loadState reads the stored state of a job that has ended or was returned to its queue. The state of a job whose own
// record is gone is kept for those who ask for its result.
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
	}
	job.phase, job.endedMs, job.record.Route = jobPhase(record.State), record.EndedMs, record.Route
	job.record.Tenant, job.movedTo = record.Tenant, record.MovedTo
	return nil
}

// loadOccurrence reads a record named ID/K: the occurrence K of the job ID is complete.
func (p *Pool) loadOccurrence(name string, _ []byte) error {
	id, number, isPair := strings.Cut(name, "/")
	count, err := strconv.Atoi(number)
	if !isPair || err != nil {
		return errors.Annotate(errBadName, "not ID/K")
	}
	if job := p.jobs[id]; job != nil {
		job.completedOccurrences[count] = true
	}
	return nil
}

// loadedTask is the record of a task that belongs to a job under way.
type loadedTask struct {
	name   string
	job    *jobState
	place  jobs.TaskPosition
	record taskRecord
}

// readTasks reads the records of tasks before any step of their jobs opens. What a job that is over, or another job
// under the same ID, has left behind is dropped.
func (p *Pool) readTasks(pairs []wire.Op) []loadedTask {
	tasks := make([]loadedTask, 0, len(pairs))
	for _, pair := range pairs {
		loaded := loadedTask{name: pair.Name}
		var isTask bool
		if loaded.place, isTask = jobs.ParseTask(pair.Name[prefixLength:]); !isTask {
			p.noteUnreadable(pair.Name, errors.Annotate(errBadName, "not ID.K.STEP.INDEX"))
			continue
		}
		loaded.job = p.jobs[loaded.place.ID]
		if loaded.job != nil && loaded.job.isUnreadable {
			continue
		}
		if loaded.job == nil || !loaded.job.hasTask(loaded.place) {
			p.dropRecord(pair.Name)
			continue
		}
		if err := easyjson.Unmarshal(pair.Value, &loaded.record); err != nil {
			p.noteUnreadable(pair.Name, err)
			p.setAside(loaded.job)
			continue
		}
		tasks = append(tasks, loaded)
	}
	return slices.DeleteFunc(tasks, func(loaded loadedTask) bool { return loaded.job.isUnreadable })
}

func (j *jobState) hasTask(place jobs.TaskPosition) bool {
	return j.spec != nil && place.Occurrence < j.occurrenceCount() && place.Step < len(j.spec.Steps) && place.Index < j.spec.Steps[place.Step].Tasks
}

// loadTask restores a task from its record and adopts the runs it had; the record of a complete occurrence without runs
// is dropped.
func (p *Pool) loadTask(loaded loadedTask) {
	isOver, record := loaded.job.completedOccurrences[loaded.place.Occurrence], loaded.record
	if isOver && len(record.Runs) == 0 {
		p.dropRecord(loaded.name)
		return
	}
	step := p.occurrenceOf(loaded.job, loaded.place.Occurrence).steps[loaded.place.Step]
	task := step.tasks[loaded.place.Index]
	task.isDone, task.failed, task.lastRun, task.checkpoint = record.Done || isOver, record.Failed, record.LastRun, record.Checkpoint
	step.failedRun = max(step.failedRun, record.FailedRun)
	if task.isDone {
		step.remaining--
		step.classify(task)
	}
	if record.LastRun > 0 {
		loaded.job.hasStarted = true
	}
	for _, former := range record.Runs {
		p.adopt(task, former)
	}
	if log := p.log.V(logging.TraceVerbosity); log.Enabled() {
		log.Info("task loaded", "task", loaded.name, "done", task.isDone, "run", record.LastRun, "runs", record.Runs)
	}
}

func (p *Pool) adopt(task *taskState, former runRecord) {
	executor := p.executorOf(former.Executor)
	run := &runState{task: task, number: former.Number, executor: executor, phase: runPhase(former.State), isCommitted: true, startedAt: p.openedAt, orderedAt: p.openedAt}
	p.addRun(run)
	run.awaitedList = executor.listWanted
}

// reopen works out what was under way when the state was written.
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

// stopOccurrence stops what still runs of a time that is over.
func (p *Pool) stopOccurrence(occurrence *occurrence) {
	for _, step := range occurrence.steps {
		p.stopStep(step)
	}
}

// dropOrphanedOrders drops the orders that no run waits for.
func (p *Pool) dropOrphanedOrders(pairs []wire.Op) {
	if len(pairs) == 0 {
		return
	}
	waiting := map[string]bool{}
	for run := range p.pendingRuns {
		for _, kind := range []wire.OrderKind{wire.OrderLaunch, wire.OrderStop} {
			waiting[orderName(run.task, run.number, kind)] = true
		}
	}
	for _, pair := range pairs {
		if !waiting[pair.Name] {
			p.dropRecord(pair.Name)
		}
	}
}
