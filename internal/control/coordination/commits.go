package coordination

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// maxPendingCommits is how many changes may wait for the quorum before further ones are refused.
const maxPendingCommits = 1000

// isFull tells whether so much waits for the quorum that a further change should be refused.
func (p *Part) isFull() bool { return p.commits.Len() >= maxPendingCommits }

// commit proposes a change; the callback runs once it is durable, or with an error if the leadership ends first.
func (p *Part) commit(ops []wire.Op, callback func(error)) {
	commit := p.commits.Add(callback)
	changes.With(p.key).Inc()
	p.leadership.Commit(ops, func(err error) { p.commits.End(commit, err) })
}
