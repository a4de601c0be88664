package ordermodel

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	leaseLength        = 700 * time.Millisecond
	leaseMargin        = 30 * time.Millisecond
	leaseCheckInterval = 50 * time.Millisecond
	// stepDownTimeout is how long a leader that reaches no majority keeps its leadership open.
	stepDownTimeout     = 2800 * time.Millisecond
	commitRetryInterval = 20 * time.Millisecond
	// maxAnnouncementDelay is the longest delay until an announcement of a new leader arrives, or is tried again.
	maxAnnouncementDelay = 200 * time.Millisecond
)

var errLeadershipLost = errors.New("this leadership of the key has ended")

// replicatedKey replaces the replication of the scheduler's key. A change is durable once a majority has it, and only one leader
// at a time has the lease. A change that is in flight when its leader is lost may or may not be durable.
type replicatedKey struct {
	cluster *simCluster
	pairs   map[string][]byte
	// pairsBeforeLastCommit are the pairs before the newest commit; they are kept only for the injected fault that loses it.
	pairsBeforeLastCommit map[string][]byte
	epoch                 uint64
	leader                *leadership
	// proposals are the changes that are not durable yet, in their order.
	proposals []*modelProposal
	// isElecting is set from the start of an election until the drawn steward takes over or is found unable to.
	isElecting bool
}

// modelProposal is a change that a leader has proposed and that is not durable yet.
type modelProposal struct {
	leadership *leadership
	ops        []wire.Op
	done       func(error)
}

// leadership is a steward's leadership of the key in one epoch; it implements scheduler.Leadership.
type leadership struct {
	key         *replicatedKey
	steward     *modelSteward
	incarnation int
	epoch       uint64
	isOpen      bool
	// lastContactAt is when the leader last reached a majority; its lease counts from then.
	lastContactAt time.Duration
	// lastAckAt is when the latest acknowledgement of commits arrives; no later one arrives before it.
	lastAckAt time.Duration
	// unresolved are the callbacks of proposals whose outcome this leader can't know; they get an error when the leadership closes.
	unresolved []func(error)
}

// Epoch returns the epoch of this leadership.
func (l *leadership) Epoch() uint64 { return l.epoch }

// CommitIndex returns 0, because the key doesn't number its changes.
func (l *leadership) CommitIndex() uint64 { return 0 }

// HasLease reports whether the leadership is open and reached a majority within leaseLength, less leaseMargin.
func (l *leadership) HasLease() bool {
	return l.isOpen && l.key.cluster.queue.now() < l.lastContactAt+leaseLength-leaseMargin
}

// WallMs returns the median of the stewards' clocks.
func (l *leadership) WallMs() int64 {
	var walls []int64
	for _, steward := range l.key.cluster.stewards {
		walls = append(walls, l.key.cluster.queue.clock.WallMs()+steward.wallJumpMs)
	}
	slices.Sort(walls)
	return walls[len(walls)/2]
}

// Commit proposes a change. It calls done once a majority has synced the change, or with an error once the leadership has ended.
func (l *leadership) Commit(ops []wire.Op, done func(error)) {
	if !l.isOpen {
		done(errLeadershipLost)
		return
	}
	key := l.key
	if key.leader != l {
		l.unresolved = append(l.unresolved, done)
		return
	}
	key.proposals = append(key.proposals, &modelProposal{l, ops, done})
	if len(key.proposals) == 1 {
		key.scheduleReplication()
	}
}

// hasMajority reports whether a steward reaches more than half of the stewards, itself included.
func (k *replicatedKey) hasMajority(steward *modelSteward) bool {
	if !steward.isReachable() {
		return false
	}
	count := 0
	for _, other := range k.cluster.stewards {
		if other.isReachable() && other.group == steward.group && other.coreSide == steward.coreSide {
			count++
		}
	}
	return 2*count > len(k.cluster.stewards)
}

// scheduleReplication replicates the pending proposals after the time of a round trip and a sync.
func (k *replicatedKey) scheduleReplication() {
	k.cluster.queue.after(k.cluster.queue.between(2*time.Millisecond, 6*time.Millisecond)+k.cluster.syncDelay, k.replicate)
}

// replicate makes all pending proposals durable together, as one sync does. If the leader reaches no majority it tries again later.
func (k *replicatedKey) replicate() {
	if len(k.proposals) == 0 {
		return
	}
	leader := k.leader
	if leader == nil || !k.hasMajority(leader.steward) {
		k.cluster.queue.after(commitRetryInterval, k.replicate)
		return
	}
	batch := k.proposals
	k.proposals = nil
	if k.cluster.fault.name == faultCommitOnLostDisks {
		k.pairsBeforeLastCommit = maps.Clone(k.pairs)
	}
	for _, proposal := range batch {
		k.apply(proposal.ops)
	}
	k.cluster.count("commit")
	leader.acknowledge(batch)
}

func (k *replicatedKey) apply(ops []wire.Op) {
	for _, op := range ops {
		if len(op.Value) == 0 {
			delete(k.pairs, op.Name)
			continue
		}
		k.pairs[op.Name] = op.Value
	}
}

// acknowledge reports a batch of durable commits to the leader after a delay, in the order of the batches. If the leadership has
// closed by then, each commit gets an error. It reports nothing if the steward's process has ended.
func (l *leadership) acknowledge(batch []*modelProposal) {
	queue := l.key.cluster.queue
	if l.steward.incarnation != l.incarnation {
		return
	}
	l.lastAckAt = max(l.lastAckAt, queue.now()+queue.between(300*time.Microsecond, 3*time.Millisecond))
	l.steward.later(l.lastAckAt-queue.now(), func() {
		for _, proposal := range batch {
			if !l.isOpen {
				proposal.done(errLeadershipLost)
				continue
			}
			proposal.done(nil)
		}
		l.steward.flushPool()
		l.key.cluster.runCommitHook()
	})
}

// monitorLease checks at intervals whether the leader reaches a majority. If so, it renews the lease. If not for stepDownTimeout,
// it closes the leadership. Once the lease has expired it starts an election.
func (k *replicatedKey) monitorLease() {
	k.cluster.queue.after(leaseCheckInterval, k.monitorLease)
	now := k.cluster.queue.now()
	if leadership := k.leader; leadership != nil {
		isLeading := leadership.isOpen && leadership.steward.isUp && leadership.steward.incarnation == leadership.incarnation
		switch {
		case isLeading && k.hasMajority(leadership.steward):
			leadership.lastContactAt = now
			return
		case isLeading && now-leadership.lastContactAt > stepDownTimeout && !leadership.steward.isFrozen:
			leadership.close()
		}
		if now <= leadership.lastContactAt+leaseLength {
			return
		}
	}
	if !k.isElecting {
		k.elect()
	}
}

// elect draws a new leader from the stewards that reach a majority. The steward takes over after a delay, if it still reaches a
// majority and no leader has a lease then.
func (k *replicatedKey) elect() {
	var candidates []*modelSteward
	for _, steward := range k.cluster.stewards {
		if k.hasMajority(steward) && !steward.isLeaving {
			candidates = append(candidates, steward)
		}
	}
	if len(candidates) == 0 {
		return
	}
	next := candidates[k.cluster.queue.random.IntN(len(candidates))]
	k.isElecting = true
	incarnation := next.incarnation
	k.cluster.queue.after(k.cluster.queue.between(20*time.Millisecond, 250*time.Millisecond), func() {
		k.isElecting = false
		if next.incarnation == incarnation && k.hasMajority(next) && (k.leader == nil || k.cluster.queue.now() > k.leader.lastContactAt+leaseLength) {
			k.installLeader(next)
		}
	})
}

// installLeader makes a steward the leader. Of the pending proposals, a drawn number of the first ones have reached enough disks
// and become durable; their leader isn't informed of their outcome.
func (k *replicatedKey) installLeader(next *modelSteward) {
	former, unfinished := k.leader, k.proposals
	k.proposals = nil
	if len(unfinished) > 0 {
		durableCount := k.cluster.queue.random.IntN(len(unfinished) + 1)
		for _, proposal := range unfinished[:durableCount] {
			k.cluster.count("commit_unknown_to_leader")
			k.apply(proposal.ops)
		}
		for _, proposal := range unfinished {
			proposal.leadership.unresolved = append(proposal.leadership.unresolved, proposal.done)
		}
	}
	if former != nil {
		k.cluster.announceToFormer(former)
	}
	k.epoch++
	k.cluster.count("election")
	k.cluster.oracles.recordElection()
	k.cluster.tracef("%s leads under epoch %d", next.name, k.epoch)
	successor := &leadership{key: k, steward: next, incarnation: next.incarnation, epoch: k.epoch, isOpen: true, lastContactAt: k.cluster.queue.now()}
	k.leader = successor
	next.becomeLeader(successor, k.snapshot())
	k.cluster.announce(successor)
}

// snapshot returns all pairs, sorted by name.
func (k *replicatedKey) snapshot() []wire.Op {
	pairs := make([]wire.Op, 0, len(k.pairs))
	for _, name := range slices.Sorted(maps.Keys(k.pairs)) {
		pairs = append(pairs, wire.Op{Name: name, Value: k.pairs[name]})
	}
	return pairs
}

// announceToFormer informs a deposed leader of its successor once it can be reached, which closes its leadership.
func (c *simCluster) announceToFormer(former *leadership) {
	c.queue.after(c.queue.between(time.Millisecond, maxAnnouncementDelay), func() {
		steward := former.steward
		if !former.isOpen || !steward.isUp || steward.incarnation != former.incarnation {
			return
		}
		if !steward.isReachable() || steward.group != c.key.leader.steward.group || steward.coreSide != c.key.leader.steward.coreSide {
			c.announceToFormer(former)
			return
		}
		former.close()
	})
}

// close ends a leadership at its steward. The unresolved proposals get an error, as their outcome is unknown there.
func (l *leadership) close() {
	if !l.isOpen {
		return
	}
	l.isOpen = false
	unresolved := l.unresolved
	l.unresolved = nil
	for _, done := range unresolved {
		done(errLeadershipLost)
	}
	if l.steward.leading == l {
		l.steward.leading = nil
		l.steward.pool.Close()
	}
}

// transferLeadership has the leader give up its lease, so that an election starts at the next check of the lease.
func (k *replicatedKey) transferLeadership() {
	if leadership := k.leader; leadership != nil && leadership.isOpen && leadership.steward.isReachable() {
		k.cluster.count("hand_over")
		leadership.close()
		leadership.lastContactAt = -leaseLength
	}
}

// runCommitHook calls onCommit, if it is set, and clears it.
func (c *simCluster) runCommitHook() {
	if run := c.onCommit; run != nil {
		c.onCommit = nil
		run()
	}
}
