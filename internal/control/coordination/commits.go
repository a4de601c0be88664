package coordination

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
)

// maxPendingCommits is how many changes may wait for the quorum before further ones are refused.
const maxPendingCommits = 1000

// pendingCommit is a change that was proposed, with what follows its end in their order.
type pendingCommit struct {
	callbacks []func(error)
}

// commitQueue knows the changes that wait for the quorum, in the order of their proposals, which is also that of their ends.
type commitQueue struct {
	pending []*pendingCommit
}

// isFull tells whether so much waits that a further change should be refused.
func (q *commitQueue) isFull() bool { return len(q.pending) >= maxPendingCommits }

// remove takes a commit out that has ended.
func (q *commitQueue) remove(commit *pendingCommit) {
	q.pending = slices.DeleteFunc(q.pending, func(other *pendingCommit) bool { return other == commit })
}

// commit proposes a change; the callback runs once it is durable, or with an error if the leadership ends first.
func (p *Part) commit(ops []wire.Op, callback func(error)) {
	commit := &pendingCommit{callbacks: []func(error){callback}}
	p.commits.pending = append(p.commits.pending, commit)
	changes.With(p.key).Inc()
	p.leadership.Commit(ops, func(err error) {
		p.commits.remove(commit)
		for _, callback := range commit.callbacks {
			callback(err)
		}
	})
}

// afterCommits runs the callback once all that was proposed so far is durable, or with an error if the leadership ends first.
func (p *Part) afterCommits(callback func(error)) {
	count := len(p.commits.pending)
	if count == 0 {
		callback(nil)
		return
	}
	last := p.commits.pending[count-1]
	last.callbacks = append(last.callbacks, callback)
}
