package lots

import (
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/commitqueue"
)

// changeSet gathers the records that a burst of calls writes, until they are committed as one change.
type changeSet struct {
	ops       []wire.Op
	callbacks []func(error)
	// pending are the commits under way.
	pending commitqueue.Queue
}

// put writes a record.
func (c *changeSet) put(name string, value []byte) {
	c.ops = append(c.ops, wire.Op{Name: name, Value: value})
}

// drop removes a record.
func (c *changeSet) drop(name string) { c.ops = append(c.ops, wire.Op{Name: name}) }

// afterCommit runs a function once all that was recorded so far is committed; it gets an error if the leadership is lost first.
func (c *changeSet) afterCommit(callback func(error)) { c.callbacks = append(c.callbacks, callback) }

// begin makes a commit of the change set and leaves the set empty; it is nil if there is nothing to commit. Callbacks without records
// follow the commits under way.
func (c *changeSet) begin() (*commitqueue.Commit, []wire.Op) {
	ops, callbacks := c.ops, c.callbacks
	c.ops, c.callbacks = nil, nil
	if len(ops) == 0 {
		c.pending.AfterAll(callbacks...)
		return nil, nil
	}
	return c.pending.Add(callbacks...), ops
}

// takeCallbacks gives all callbacks that have not run.
func (c *changeSet) takeCallbacks() []func(error) {
	return append(c.pending.TakeCallbacks(), c.callbacks...)
}
