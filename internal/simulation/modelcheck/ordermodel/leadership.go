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
	watchEvery          = 50 * time.Millisecond
	stepsDownIn         = 2800 * time.Millisecond
	retryCommit         = 20 * time.Millisecond
	maxAnnouncementTime = 200 * time.Millisecond
)

var errLost = errors.New("the key has another leader now")

// replicatedKey stands for the replication of the scheduler's key: what a majority has is durable, one leader at a time
// has the lease, and a change that was under way when its leader went may or may not last.
type replicatedKey struct {
	cluster *simCluster
	pairs   map[string][]byte
	// beforeLast are the pairs before the newest commit; they are kept only for the fault that needs them.
	beforeLast map[string][]byte
	epoch      uint64
	leader     *leadership
	proposals  []*modelProposal
	isOpening  bool
}

type modelProposal struct {
	leadership *leadership
	ops        []wire.Op
	done       func(error)
}

// leadership is a steward's right to change the key under one epoch; it is a scheduler.Leadership.
type leadership struct {
	key         *replicatedKey
	steward     *modelSteward
	incarnation int
	epoch       uint64
	isOpen      bool
	contactAt   time.Duration
	acksAt      time.Duration
	dropped     []func(error)
}

// Epoch is that of this leadership.
func (l *leadership) Epoch() uint64 { return l.epoch }

// HasLease is true for a while after a majority was last reached.
func (l *leadership) HasLease() bool {
	return l.isOpen && l.key.cluster.queue.now() < l.contactAt+leaseLength-leaseMargin
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
		done(errLost)
		return
	}
	key := l.key
	if key.leader != l {
		l.dropped = append(l.dropped, done)
		return
	}
	key.proposals = append(key.proposals, &modelProposal{l, ops, done})
	if len(key.proposals) == 1 {
		key.replicateLater()
	}
}

// hasMajority tells whether a steward reaches more than half of them, itself included.
func (k *replicatedKey) hasMajority(steward *modelSteward) bool {
	if !steward.isReachable() {
		return false
	}
	count := 0
	for _, other := range k.cluster.stewards {
		if other.isReachable() && other.group == steward.group && other.half == steward.half {
			count++
		}
	}
	return 2*count > len(k.cluster.stewards)
}

func (k *replicatedKey) replicateLater() {
	k.cluster.queue.after(k.cluster.queue.between(2*time.Millisecond, 6*time.Millisecond)+k.cluster.slowSync, k.replicate)
}

// replicate makes all that was proposed durable together, as one sync does.
func (k *replicatedKey) replicate() {
	if len(k.proposals) == 0 {
		return
	}
	leader := k.leader
	if leader == nil || !k.hasMajority(leader.steward) {
		k.cluster.queue.after(retryCommit, k.replicate)
		return
	}
	batch := k.proposals
	k.proposals = nil
	if k.cluster.fault.name == faultCommitOnLostDisks {
		k.beforeLast = maps.Clone(k.pairs)
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
	l.acksAt = max(l.acksAt, queue.now()+queue.between(300*time.Microsecond, 3*time.Millisecond))
	l.steward.later(l.acksAt-queue.now(), func() {
		for _, proposal := range batch {
			if !l.isOpen {
				proposal.done(errLost)
				continue
			}
			proposal.done(nil)
		}
		l.steward.settle()
		l.key.cluster.committed()
	})
}

// watch looks after the lease and finds a new leader where there is none.
func (k *replicatedKey) watch() {
	k.cluster.queue.after(watchEvery, k.watch)
	now := k.cluster.queue.now()
	if leadership := k.leader; leadership != nil {
		isThere := leadership.isOpen && leadership.steward.isUp && leadership.steward.incarnation == leadership.incarnation
		switch {
		case isThere && k.hasMajority(leadership.steward):
			leadership.contactAt = now
			return
		case isThere && now-leadership.contactAt > stepsDownIn && !leadership.steward.isFrozen:
			leadership.close()
		}
		if now <= leadership.contactAt+leaseLength {
			return
		}
	}
	if !k.isOpening {
		k.elect()
	}
}

// elect lets one of the stewards that reach a majority take the key over.
func (k *replicatedKey) elect() {
	var able []*modelSteward
	for _, steward := range k.cluster.stewards {
		if k.hasMajority(steward) && !steward.isLeaving {
			able = append(able, steward)
		}
	}
	if len(able) == 0 {
		return
	}
	next := able[k.cluster.queue.random.IntN(len(able))]
	k.isOpening = true
	incarnation := next.incarnation
	k.cluster.queue.after(k.cluster.queue.between(20*time.Millisecond, 250*time.Millisecond), func() {
		k.isOpening = false
		if next.incarnation == incarnation && k.hasMajority(next) && (k.leader == nil || k.cluster.queue.now() > k.leader.contactAt+leaseLength) {
			k.open(next)
		}
	})
}

// open gives the key to a steward. A part of what the former leader had proposed may have reached enough disks.
func (k *replicatedKey) open(next *modelSteward) {
	former, left := k.leader, k.proposals
	k.proposals = nil
	if len(left) > 0 {
		lasting := k.cluster.queue.random.IntN(len(left) + 1)
		for _, proposal := range left[:lasting] {
			k.cluster.count("commit_unknown_to_leader")
			k.apply(proposal.ops)
		}
		for _, proposal := range left {
			proposal.leadership.dropped = append(proposal.leadership.dropped, proposal.done)
		}
	}
	if former != nil {
		k.cluster.tell(former)
	}
	k.epoch++
	k.cluster.count("election")
	k.cluster.oracles.elected()
	k.cluster.note("%s leads under epoch %d", next.name, k.epoch)
	fresh := &leadership{key: k, steward: next, incarnation: next.incarnation, epoch: k.epoch, isOpen: true, contactAt: k.cluster.queue.now()}
	k.leader = fresh
	next.lead(fresh, k.snapshot())
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
func (w *simCluster) tell(former *leadership) {
	w.queue.after(w.queue.between(time.Millisecond, maxAnnouncementTime), func() {
		steward := former.steward
		if !former.isOpen || !steward.isUp || steward.incarnation != former.incarnation {
			return
		}
		if !steward.isReachable() || steward.group != w.key.leader.steward.group || steward.half != w.key.leader.steward.half {
			w.tell(former)
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
	dropped := l.dropped
	l.dropped = nil
	for _, done := range dropped {
		done(errLost)
	}
	if l.steward.leads == l {
		l.steward.leads = nil
		l.steward.pool.Close()
	}
}

// handOver gives the lease back at once.
func (k *replicatedKey) handOver() {
	if leadership := k.leader; leadership != nil && leadership.isOpen && leadership.steward.isReachable() {
		k.cluster.count("hand_over")
		leadership.close()
		leadership.contactAt = -leaseLength
	}
}

// committed tells who waits for it that a leader has heard of a commit.
func (w *simCluster) committed() {
	if run := w.onCommit; run != nil {
		w.onCommit = nil
		run()
	}
}
