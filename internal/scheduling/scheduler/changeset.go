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

// changeSet gathers the records that a burst of calls writes, until Flush commits them as one change.
type changeSet struct {
	// ops are the records to write, at most one for each name; opIndex has their indices by name. opTasks is as long as ops: where
	// it has a task, the record is worked out from that task when the change set is committed.
	ops     []wire.Op
	opIndex map[string]int
	opTasks []*taskState
	// callbacks run once all that was recorded so far is committed.
	callbacks []func(error)
	// pendingCommits are the commits under way.
	pendingCommits commitqueue.Queue
}

func newChangeSet() changeSet { return changeSet{opIndex: map[string]int{}} }

// record writes a record, in place of one of the same name; an empty value drops the record.
func (c *changeSet) record(op wire.Op, task *taskState) {
	if index, exists := c.opIndex[op.Name]; exists {
		c.ops[index], c.opTasks[index] = op, task
		return
	}
	c.opIndex[op.Name] = len(c.ops)
	c.ops, c.opTasks = append(c.ops, op), append(c.opTasks, task)
}

// dropRecord removes a record.
func (c *changeSet) dropRecord(name string) { c.record(wire.Op{Name: name}, nil) }

// putTask writes the record of a task as it will be when the change set is committed.
func (c *changeSet) putTask(task *taskState) { c.record(wire.Op{Name: prefixTask + task.name}, task) }

// afterCommit runs a function once all that was decided so far is committed; it gets an error if the leadership is lost first.
func (c *changeSet) afterCommit(callback func(error)) { c.callbacks = append(c.callbacks, callback) }

// takeCallbacks gives all callbacks, those of commits under way first.
func (c *changeSet) takeCallbacks() []func(error) {
	return append(c.pendingCommits.TakeCallbacks(), c.callbacks...)
}

// begin makes a commit of the change set, and leaves the set empty.
func (c *changeSet) begin() (*commitqueue.Commit, []wire.Op) {
	commit, ops := c.pendingCommits.Add(c.callbacks...), c.ops
	c.ops, c.opTasks, c.callbacks = nil, c.opTasks[:0], nil
	clear(c.opIndex)
	return commit, ops
}

// flushReads lets callbacks follow the last commit under way, or run at once if there is none: they wait for nothing but what
// was recorded before them.
func (c *changeSet) flushReads() {
	callbacks := c.callbacks
	c.callbacks = nil
	c.pendingCommits.AfterAll(callbacks...)
}

// putRecord writes a record.
func (p *Pool) putRecord(name string, value easyjson.Marshaler) {
	text, err := easyjson.Marshal(value)
	if err != nil {
		p.log.Error(err, "record not written", "name", name)
		return
	}
	p.record(wire.Op{Name: name, Value: text}, nil)
}

// Flush places what can be placed and commits the change set; the callbacks follow the commit.
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
	commit, ops := p.begin()
	p.metrics.commits.Inc()
	p.metrics.changes.Add(len(ops))
	p.leadership.Commit(ops, func(err error) {
		if p.pendingCommits.End(commit, err) {
			p.sendAllOrders()
		}
	})
}

// sendAllOrders lets orders leave together, once all callbacks of a commit are done.
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

// writeTasks gives each task that changed its record as it is at the end of the burst.
func (p *Pool) writeTasks() {
	for index, task := range p.opTasks {
		if task == nil {
			continue
		}
		record := task.toRecord()
		isOver := !task.owner().isOpen() || task.owner().completedOccurrences[task.step.occurrence.number]
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

// toRecord is the record of a task; that of a gang's first task also has the last run that counted as a failure.
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

// orderName is the name of the record of an order.
func orderName(task *taskState, number int64, kind wire.OrderKind) string {
	return prefixOrder + task.name + "/" + strconv.FormatInt(number, 10) + "/" + string(kind)
}
