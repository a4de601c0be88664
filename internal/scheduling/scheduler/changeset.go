package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/commitqueue"
)

// changeSet collects the records that a burst of calls writes, until Flush commits them as one change.
type changeSet struct {
	// ops holds the records to write, at most one for each name; opIndex maps a name to its index. opTasks is parallel to ops: where it
	// has a task, the record is encoded from that task when the change set is committed.
	ops     []wire.Op
	opIndex map[string]int
	opTasks []*taskState
	// callbacks run once all records of the change set are committed.
	callbacks []func(error)
	// pendingCommits holds the commits in flight.
	pendingCommits commitqueue.Queue
}

func newChangeSet() changeSet { return changeSet{opIndex: map[string]int{}} }

// record adds a record to the change set, in place of an earlier one of the same name. An empty value deletes the record.
func (c *changeSet) record(op wire.Op, task *taskState) {
	if index, exists := c.opIndex[op.Name]; exists {
		c.ops[index], c.opTasks[index] = op, task
		return
	}
	c.opIndex[op.Name] = len(c.ops)
	c.ops, c.opTasks = append(c.ops, op), append(c.opTasks, task)
}

// dropRecord adds the deletion of a record to the change set.
func (c *changeSet) dropRecord(name string) { c.record(wire.Op{Name: name}, nil) }

// putTask adds the record of a task, which is encoded only when the change set is committed.
func (c *changeSet) putTask(task *taskState) { c.record(wire.Op{Name: prefixTask + task.name}, task) }

// afterCommit adds a callback that runs once all records added so far are committed. It gets an error if the leadership is lost first.
func (c *changeSet) afterCommit(callback func(error)) { c.callbacks = append(c.callbacks, callback) }

// takeCallbacks returns all callbacks, those of commits in flight first. The change set can't be used after it.
func (c *changeSet) takeCallbacks() []func(error) {
	return append(c.pendingCommits.TakeCallbacks(), c.callbacks...)
}

// takeCommit adds a commit with the callbacks of the change set to the pending commits. It returns the commit and its records, and empties
// the change set.
func (c *changeSet) takeCommit() (*commitqueue.Commit, []wire.Op) {
	commit, ops := c.pendingCommits.Add(c.callbacks...), c.ops
	c.ops, c.opTasks, c.callbacks = nil, c.opTasks[:0], nil
	clear(c.opIndex)
	return commit, ops
}

// flushReads handles the callbacks of a change set without records. They run after the last commit in flight, or at once if there is
// none, as they depend only on earlier records.
func (c *changeSet) flushReads() {
	callbacks := c.callbacks
	c.callbacks = nil
	c.pendingCommits.AfterAll(callbacks...)
}

// putRecord encodes a record and adds it to the change set. An encoding error is logged, and nothing is added then.
func (p *Pool) putRecord(name string, value easyjson.Marshaler) {
	text, err := easyjson.Marshal(value)
	if err != nil {
		p.log.Error(err, "record not written", "name", name)
		return
	}
	p.record(wire.Op{Name: name, Value: text}, nil)
}

// Flush places the requests that can be placed and commits the change set. The callbacks run after the commit.
func (p *Pool) Flush() {
	if p.leadership == nil {
		return
	}
	p.place()
	p.sendAllOrders()
	p.writeRollouts()
	if len(p.ops) == 0 {
		p.flushReads()
		return
	}
	p.writeTasks()
	commit, ops := p.takeCommit()
	p.metrics.commits.Inc()
	p.metrics.changes.Add(len(ops))
	p.leadership.Commit(ops, func(err error) {
		if p.pendingCommits.End(commit, err) {
			p.sendAllOrders()
		}
	})
}

// sendAllOrders sends the queued orders of all executors, in the order of their IDs. It is called in Flush and after all callbacks of a
// commit, so that an executor gets its orders together.
func (p *Pool) sendAllOrders() {
	if len(p.ordersToSend) == 0 {
		return
	}
	executors := slices.SortedFunc(maps.Keys(p.ordersToSend), func(a, b *executorState) int { return cmp.Compare(a.id, b.id) })
	clear(p.ordersToSend)
	for _, executor := range executors {
		if p.executors[executor.id] == executor {
			p.sendOrders(executor)
		}
	}
}

// writeTasks encodes the records of the changed tasks at the end of the burst. A task without runs whose job or occurrence is over keeps
// its empty value, which deletes its record.
func (p *Pool) writeTasks() {
	for index, task := range p.opTasks {
		if task == nil {
			continue
		}
		record := task.toRecord()
		isOver := !task.job().isOpen() || task.job().completedOccurrences[task.step.occurrence.number]
		if isOver && len(record.Runs) == 0 {
			continue
		}
		text, err := easyjson.Marshal(record)
		if err != nil {
			p.log.Error(err, "record not written", "name", task.name)
			continue
		}
		p.ops[index].Value = text
	}
}

// toRecord returns the record of a task. The record of a gang's first task also has the last run that counted as a failure.
func (t *taskState) toRecord() taskRecord {
	record := taskRecord{Done: t.isDone, Failed: t.failed, LastRun: t.lastRun, Checkpoint: t.checkpoint}
	if t.index == 0 {
		record.FailedRun = t.step.failedRun
	}
	for _, run := range t.runs {
		record.Runs = append(record.Runs, runRecord{run.number, run.executor.id, string(run.phase)})
	}
	return record
}

// orderName returns the name of the record of an order.
func orderName(task *taskState, number int64, kind wire.OrderKind) string {
	return prefixOrder + task.name + "/" + strconv.FormatInt(number, 10) + "/" + string(kind)
}
