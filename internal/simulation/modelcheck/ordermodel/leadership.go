package ordermodel

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	leaseLength         = 700 * time.Millisecond
	leaseMargin         = 30 * time.Millisecond
	leaseCheckInterval  = 50 * time.Millisecond
	stepDownTimeout     = 2800 * time.Millisecond
	commitRetryInterval = 20 * time.Millisecond
	maxAnnouncementTime = 200 * time.Millisecond
)

var errLeadershipLost = errors.New("the key has another leader now")

// replicatedKey stands for the replication of the scheduler's key: what a majority has is durable, one leader at a time
// has the lease, and a change that was under way when its leader went may or may not last.
type replicatedKey struct {
	cluster *simCluster
	pairs   map[string][]byte
	// beforeLast are the pairs before the newest commit; they are kept only for the fault that needs them.
	pairsBeforeLastCommit map[string][]byte
	epoch                 uint64
	leader                *leadership
	proposals             []*modelProposal
	isElecting            bool
}

type modelProposal struct {
	leadership *leadership
	ops        []wire.Op
	done       func(error)
}

// leadership is a steward's right to change the key under one epoch; it is a scheduler.Leadership.
type leadership struct {
	key           *replicatedKey
	steward       *modelSteward
	incarnation   int
	epoch         uint64
	isOpen        bool
	lastContactAt time.Duration
	lastAckAt     time.Duration
	unresolved    []func(error)
}

// Epoch is that of this leadership.
func (l *leadership) Epoch() uint64 { return l.epoch }

// HasLease is true for a while after a majority was last reached.
func (l *leadership) HasLease() bool {
	return l.isOpen && l.key.cluster.queue.now() < l.lastContactAt+leaseLength-leaseMargin
}

// WallMs is the median of the stewards' clocks.
func (l *leadership) WallMs() int64 {
	var walls []int64
	for _, steward := range l.key.cluster.stewards {
		walls = append(walls, l.key.cluster.queue.clock.WallMs()+steward.wallJumpMs)
	}
	slices.Sort(walls)
	return walls[len(walls)/2]
}

// Commit is done once a majority has synced the change.
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

// hasMajority tells whether a steward reaches more than half of them, itself included.
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

func (k *replicatedKey) scheduleReplication() {
	k.cluster.queue.after(k.cluster.queue.between(2*time.Millisecond, 6*time.Millisecond)+k.cluster.syncDelay, k.replicate)
}

// replicate makes all that was proposed durable together, as one sync does.
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

// acknowledge tells the leader of its commits, in their order.
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

// watch looks after the lease and finds a new leader where there is none.
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

// elect lets one of the stewards that reach a majority take the key over.
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

// open gives the key to a steward. A part of what the former leader had proposed may have reached enough disks.
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
	fresh := &leadership{key: k, steward: next, incarnation: next.incarnation, epoch: k.epoch, isOpen: true, lastContactAt: k.cluster.queue.now()}
	k.leader = fresh
	next.becomeLeader(fresh, k.snapshot())
	k.cluster.announce(fresh)
}

func (k *replicatedKey) snapshot() []wire.Op {
	pairs := make([]wire.Op, 0, len(k.pairs))
	for _, name := range slices.Sorted(maps.Keys(k.pairs)) {
		pairs = append(pairs, wire.Op{Name: name, Value: k.pairs[name]})
	}
	return pairs
}

// tell lets a deposed leader hear of its successor, as soon as it can.
func (w *simCluster) announceToFormer(former *leadership) {
	w.queue.after(w.queue.between(time.Millisecond, maxAnnouncementTime), func() {
		steward := former.steward
		if !former.isOpen || !steward.isUp || steward.incarnation != former.incarnation {
			return
		}
		if !steward.isReachable() || steward.group != w.key.leader.steward.group || steward.coreSide != w.key.leader.steward.coreSide {
			w.announceToFormer(former)
			return
		}
		former.close()
	})
}

// close ends a leadership at its steward; what was under way there has no known end.
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

// handOver gives the lease back at once.
func (k *replicatedKey) transferLeadership() {
	if leadership := k.leader; leadership != nil && leadership.isOpen && leadership.steward.isReachable() {
		k.cluster.count("hand_over")
		leadership.close()
		leadership.lastContactAt = -leaseLength
	}
}

// committed tells who waits for it that a leader has heard of a commit.
func (w *simCluster) runCommitHook() {
	if run := w.onCommit; run != nil {
		w.onCommit = nil
		run()
	}
}
