package coordination

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// maxPendingCommits limits the changes that wait for the quorum. Further changes are refused.
const maxPendingCommits = 1000

// isCommitQueueFull reports whether at least maxPendingCommits changes are waiting for the quorum.
func (p *Part) isCommitQueueFull() bool { return p.commits.Len() >= maxPendingCommits }

// commit proposes a change. The callback runs once the change is durable, or with an error if the leadership ends first.
func (p *Part) commit(ops []wire.Op, callback func(error)) {
	commit := p.commits.Add(callback)
	proposedChanges.With(p.key).Inc()
	p.leadership.Commit(ops, func(err error) { p.commits.End(commit, err) })
}
