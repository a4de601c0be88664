package lots

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/commitqueue"
)

// changeSet collects the record changes of a burst of calls, to commit them as one change.
type changeSet struct {
	ops       []wire.Op
	callbacks []func(error)
	// pending holds the commits that were proposed and are not durable yet.
	pending commitqueue.Queue
}

// put adds the write of a record to the set.
func (c *changeSet) put(name string, value []byte) {
	c.ops = append(c.ops, wire.Op{Name: name, Value: value})
}

// drop adds the deletion of a record to the set.
func (c *changeSet) drop(name string) { c.ops = append(c.ops, wire.Op{Name: name}) }

// afterCommit calls a function once everything in the set and in pending commits is committed, or with an error if the leadership is
// lost first.
func (c *changeSet) afterCommit(callback func(error)) { c.callbacks = append(c.callbacks, callback) }

// startCommit empties the set and returns its operations and a new pending commit. The caller ends the commit once the operations are
// durable. If there are no operations, the commit is nil, and the callbacks of the set run after the last pending commit, or at once if
// none is pending.
func (c *changeSet) startCommit() (*commitqueue.Commit, []wire.Op) {
	ops, callbacks := c.ops, c.callbacks
	c.ops, c.callbacks = nil, nil
	if len(ops) == 0 {
		c.pending.AfterAll(callbacks...)
		return nil, nil
	}
	return c.pending.Add(callbacks...), ops
}

// takeCallbacks removes the callbacks of pending commits and returns all callbacks that have not run.
func (c *changeSet) takeCallbacks() []func(error) {
	return append(c.pending.TakeCallbacks(), c.callbacks...)
}
