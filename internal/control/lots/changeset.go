package lots

import "gannetline/internal/cluster/peerapi/wire"

// changeSet gathers the records that a burst of calls writes, until they are committed as one change.
type changeSet struct {
	ops       []wire.Op
	callbacks []func(error)
	// pending are the commits under way, in their order.
	pending []*pendingCommit
}

// pendingCommit is a change that was proposed, with what follows its commit.
type pendingCommit struct {
	ops       []wire.Op
	callbacks []func(error)
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
func (c *changeSet) begin() *pendingCommit {
	if len(c.ops) == 0 {
		c.flushCallbacks()
		return nil
	}
	commit := &pendingCommit{ops: c.ops, callbacks: c.callbacks}
	c.ops, c.callbacks = nil, nil
	c.pending = append(c.pending, commit)
	return commit
}

func (c *changeSet) flushCallbacks() {
	callbacks := c.callbacks
	c.callbacks = nil
	if count := len(c.pending); count > 0 {
		c.pending[count-1].callbacks = append(c.pending[count-1].callbacks, callbacks...)
		return
	}
	for _, callback := range callbacks {
		callback(nil)
	}
}

// isFirst tells whether a commit is the oldest under way; those of an earlier leadership are none.
func (c *changeSet) isFirst(commit *pendingCommit) bool {
	return len(c.pending) > 0 && c.pending[0] == commit
}

// finish takes the oldest commit away.
func (c *changeSet) finish() { c.pending = c.pending[1:] }

// takeCallbacks gives all callbacks that have not run.
func (c *changeSet) takeCallbacks() []func(error) {
	var all []func(error)
	for _, commit := range c.pending {
		all = append(all, commit.callbacks...)
	}
	return append(all, c.callbacks...)
}
