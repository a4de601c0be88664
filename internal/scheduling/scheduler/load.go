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
	"gannetline/internal/scheduling/jobs"
)

// load rebuilds the tables from the committed records. No record keeps the key from being taken over, as the next
// leader would find the same one: a job with a record that can't be read is set aside, and all others go on.
func (p *Pool) load(pairs []wire.Op) {
	kept := map[byte][]wire.Op{}
	for _, pair := range pairs {
		if len(pair.Name) > 2 {
			kept[pair.Name[0]] = append(kept[pair.Name[0]], pair)
		}
	}
	p.loadEach(kept['j'], p.loadJob)
	p.loadEach(kept['s'], p.loadState)
	p.loadEach(kept['k'], p.loadTime)
	tasks := p.readTasks(kept['t'])
	p.makeTimes()
	for _, one := range tasks {
		p.loadTask(one)
	}
	p.loadEach(kept['e'], p.loadExecutor)
	p.loadEach(kept['m'], p.loadRenounced)
	slices.SortStableFunc(p.renounced.order, func(one, two renouncedID) int { return cmp.Compare(one.atMs, two.atMs) })
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		if one := p.jobs[id]; one.spec != nil {
			p.reopen(one)
		} else {
			p.noteEnded(one)
		}
	}
	p.dropLeftOrders(kept['o'])
}

// loadEach takes the records of one kind, whose names begin with two bytes that tell the kind.
func (p *Pool) loadEach(pairs []wire.Op, take func(name string, value []byte) error) {
	for _, pair := range pairs {
		if err := take(pair.Name[2:], pair.Value); err != nil {
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

func (p *Pool) loadJob(id string, value []byte) error {
	one := &job{id: id, state: stateQueued, times: map[int]*jobTime{}, doneTimes: map[int]bool{}}
	p.jobs[id], p.untimed[id] = one, one
	if err := easyjson.Unmarshal(value, &one.record); err != nil {
		p.setAside(one)
		return err
	}
	p.queued[one.record.Entry]++
	spec, err := jobs.Restore(one.record.Spec)
	if err != nil {
		p.setAside(one)
		return err
	}
	one.spec, one.record.Spec = spec, nil
	return nil
}

// setAside keeps a job known that can't be run here, and its records as they are, for a program that can read them.
func (p *Pool) setAside(one *job) {
	one.isUnreadable = true
	one.spec, one.record.Spec = &jobs.Spec{}, nil
	delete(p.untimed, one.id)
}

func (p *Pool) loadState(id string, value []byte) error {
	one, isKnown := p.jobs[id]
	if !isKnown {
		one = &job{id: id, state: stateQueued, times: map[int]*jobTime{}, doneTimes: map[int]bool{}}
		p.jobs[id] = one
	}
	var record stateRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		p.setAside(one)
		return err
	}
	if isKnown {
		p.queued[one.record.Entry]--
	}
	one.state, one.endedMs, one.record.Entry = record.State, record.EndedMs, record.Entry
	return nil
}

func (p *Pool) loadTime(name string, _ []byte) error {
	id, number, isWhole := strings.Cut(name, "/")
	count, err := strconv.Atoi(number)
	if !isWhole || err != nil {
		return errors.New("not ID/K")
	}
	if one := p.jobs[id]; one != nil {
		one.doneTimes[count] = true
	}
	return nil
}

// loadedTask is the record of a task that belongs to a job under way.
type loadedTask struct {
	name   string
	job    *job
	place  jobs.Place
	record taskRecord
}

// readTasks reads the records of tasks before any step of their jobs opens. What a job that is over, or another job
// under the same ID, has left behind is dropped.
func (p *Pool) readTasks(pairs []wire.Op) []loadedTask {
	tasks := make([]loadedTask, 0, len(pairs))
	for _, pair := range pairs {
		one := loadedTask{name: pair.Name}
		var isTask bool
		if one.place, isTask = jobs.ParseTask(pair.Name[2:]); !isTask {
			p.noteUnreadable(pair.Name, errors.New("not ID.K.STEP.INDEX"))
			continue
		}
		one.job = p.jobs[one.place.ID]
		if one.job != nil && one.job.isUnreadable {
			continue
		}
		if one.job == nil || !one.job.hasTask(one.place) {
			p.drop(pair.Name)
			continue
		}
		if err := easyjson.Unmarshal(pair.Value, &one.record); err != nil {
			p.noteUnreadable(pair.Name, err)
			p.setAside(one.job)
			continue
		}
		tasks = append(tasks, one)
	}
	return slices.DeleteFunc(tasks, func(one loadedTask) bool { return one.job.isUnreadable })
}

func (j *job) hasTask(place jobs.Place) bool {
	return j.spec != nil && place.Time < j.timeCount() && place.Step < len(j.spec.Steps) && place.Index < j.spec.Steps[place.Step].Tasks
}

func (p *Pool) loadTask(one loadedTask) {
	isOver, record := one.job.doneTimes[one.place.Time], one.record
	if isOver && len(record.Runs) == 0 {
		p.drop(one.name)
		return
	}
	step := p.timeOf(one.job, one.place.Time).steps[one.place.Step]
	which := step.tasks[one.place.Index]
	which.isDone, which.failed, which.lastRun, which.saved = record.Done || isOver, record.Failed, record.LastRun, record.Saved
	step.failedRun = max(step.failedRun, record.FailedRun)
	if which.isDone {
		step.left--
		step.file(which)
	}
	if record.LastRun > 0 {
		one.job.hasStarted = true
	}
	for _, was := range record.Runs {
		p.adopt(which, was)
	}
}

func (p *Pool) adopt(which *task, was runRecord) {
	home := p.lifeOf(was.Life)
	one := &run{task: which, number: was.Number, life: home, state: was.State, isCommitted: true, startedAt: p.began, orderedAt: p.began}
	p.hold(one)
	one.needsLook = home.lookWanted
}

// reopen works out what was under way when the state was written.
func (p *Pool) reopen(one *job) {
	if !one.isOpen() {
		for _, spell := range one.timesInOrder() {
			p.stopTime(spell)
		}
		p.forgetIfOver(one)
		return
	}
	if one.hasStarted {
		p.noteStart(one)
	}
	for _, spell := range one.timesInOrder() {
		if one.doneTimes[spell.number] {
			p.stopTime(spell)
			continue
		}
		spell.left = 0
		for _, step := range spell.steps {
			if step.left > 0 {
				spell.left++
				continue
			}
			p.open.remove(step)
		}
		p.openSteps(spell)
	}
}

// stopTime stops what still runs of a time that is over.
func (p *Pool) stopTime(spell *jobTime) {
	for _, step := range spell.steps {
		p.stopStep(step)
	}
}

// dropLeftOrders drops the orders that no run waits for.
func (p *Pool) dropLeftOrders(pairs []wire.Op) {
	if len(pairs) == 0 {
		return
	}
	waiting := map[string]bool{}
	for one := range p.pending {
		for _, kind := range []string{kindLaunch, kindStop} {
			waiting[orderName(one.task, one.number, kind)] = true
		}
	}
	for _, pair := range pairs {
		if !waiting[pair.Name] {
			p.drop(pair.Name)
		}
	}
}
