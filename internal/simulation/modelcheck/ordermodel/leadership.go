package ordermodel

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	leaseLength  = 700 * time.Millisecond
	leaseMargin  = 30 * time.Millisecond
	watchEvery   = 50 * time.Millisecond
	stepsDownIn  = 2800 * time.Millisecond
	retryCommit  = 20 * time.Millisecond
	mostNewsTime = 200 * time.Millisecond
)

var errLost = errors.New("the key has another leader now")

// replicatedKey stands for the replication of the scheduler's key: what a majority has is durable, one leader at a time
// has the lease, and a change that was under way when its leader went may or may not last.
type replicatedKey struct {
	world     *world
	pairs     map[string][]byte
	epoch     uint64
	leader    *leadership
	proposals []*proposal
	isOpening bool
}

type proposal struct {
	leadership *leadership
	ops        []wire.Op
	done       func(error)
}

// leadership is a steward's right to change the key under one epoch; it is a scheduler.Leadership.
type leadership struct {
	key         *replicatedKey
	steward     *steward
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
	return l.isOpen && l.key.world.queue.now() < l.contactAt+leaseLength-leaseMargin
}

// WallMs is the median of the stewards' clocks.
func (l *leadership) WallMs() int64 {
	var walls []int64
	for _, one := range l.key.world.stewards {
		walls = append(walls, l.key.world.queue.clock.WallMs()+one.wallJumpMs)
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
	key.proposals = append(key.proposals, &proposal{l, ops, done})
	if len(key.proposals) == 1 {
		key.replicateLater()
	}
}

// hasMajority tells whether a steward reaches more than half of them, itself included.
func (k *replicatedKey) hasMajority(one *steward) bool {
	if !one.isReachable() {
		return false
	}
	count := 0
	for _, other := range k.world.stewards {
		if other.isReachable() && other.group == one.group {
			count++
		}
	}
	return 2*count > len(k.world.stewards)
}

func (k *replicatedKey) replicateLater() {
	k.world.queue.after(k.world.queue.between(2*time.Millisecond, 6*time.Millisecond)+k.world.slowSync, k.replicate)
}

// replicate makes all that was proposed durable together, as one sync does.
func (k *replicatedKey) replicate() {
	if len(k.proposals) == 0 {
		return
	}
	leader := k.leader
	if leader == nil || !k.hasMajority(leader.steward) {
		k.world.queue.after(retryCommit, k.replicate)
		return
	}
	batch := k.proposals
	k.proposals = nil
	for _, one := range batch {
		k.apply(one.ops)
	}
	k.world.count("commit")
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
func (l *leadership) acknowledge(batch []*proposal) {
	queue := l.key.world.queue
	if l.steward.incarnation != l.incarnation {
		return
	}
	l.acksAt = max(l.acksAt, queue.now()+queue.between(300*time.Microsecond, 3*time.Millisecond))
	l.steward.later(l.acksAt-queue.now(), func() {
		for _, one := range batch {
			if !l.isOpen {
				one.done(errLost)
				continue
			}
			one.done(nil)
		}
		l.steward.settle()
		l.key.world.committed()
	})
}

// watch looks after the lease and finds a new leader where there is none.
func (k *replicatedKey) watch() {
	k.world.queue.after(watchEvery, k.watch)
	now := k.world.queue.now()
	if one := k.leader; one != nil {
		isThere := one.isOpen && one.steward.isUp && one.steward.incarnation == one.incarnation
		switch {
		case isThere && k.hasMajority(one.steward):
			one.contactAt = now
			return
		case isThere && now-one.contactAt > stepsDownIn && !one.steward.isFrozen:
			one.close()
		}
		if now <= one.contactAt+leaseLength {
			return
		}
	}
	if !k.isOpening {
		k.elect()
	}
}

// elect lets one of the stewards that reach a majority take the key over.
func (k *replicatedKey) elect() {
	var able []*steward
	for _, one := range k.world.stewards {
		if k.hasMajority(one) && !one.isLeaving {
			able = append(able, one)
		}
	}
	if len(able) == 0 {
		return
	}
	next := able[k.world.queue.random.IntN(len(able))]
	k.isOpening = true
	incarnation := next.incarnation
	k.world.queue.after(k.world.queue.between(20*time.Millisecond, 250*time.Millisecond), func() {
		k.isOpening = false
		if next.incarnation == incarnation && k.hasMajority(next) && (k.leader == nil || k.world.queue.now() > k.leader.contactAt+leaseLength) {
			k.open(next)
		}
	})
}

// open gives the key to a steward. A part of what the former leader had proposed may have reached enough disks.
func (k *replicatedKey) open(next *steward) {
	former, left := k.leader, k.proposals
	k.proposals = nil
	if len(left) > 0 {
		lasting := k.world.queue.random.IntN(len(left) + 1)
		for _, one := range left[:lasting] {
			k.world.count("commit_unknown_to_leader")
			k.apply(one.ops)
		}
		for _, one := range left {
			one.leadership.dropped = append(one.leadership.dropped, one.done)
		}
	}
	if former != nil {
		k.world.tell(former)
	}
	k.epoch++
	k.world.count("election")
	k.world.oracles.elected()
	k.world.note("%s leads under epoch %d", next.name, k.epoch)
	fresh := &leadership{key: k, steward: next, incarnation: next.incarnation, epoch: k.epoch, isOpen: true, contactAt: k.world.queue.now()}
	k.leader = fresh
	next.lead(fresh, k.snapshot())
	k.world.announce(fresh)
}

func (k *replicatedKey) snapshot() []wire.Op {
	pairs := make([]wire.Op, 0, len(k.pairs))
	for _, name := range slices.Sorted(maps.Keys(k.pairs)) {
		pairs = append(pairs, wire.Op{Name: name, Value: k.pairs[name]})
	}
	return pairs
}

// tell lets a deposed leader hear of its successor, as soon as it can.
func (w *world) tell(former *leadership) {
	w.queue.after(w.queue.between(time.Millisecond, mostNewsTime), func() {
		one := former.steward
		if !former.isOpen || !one.isUp || one.incarnation != former.incarnation {
			return
		}
		if !one.isReachable() || one.group != w.key.leader.steward.group {
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
	if one := k.leader; one != nil && one.isOpen && one.steward.isReachable() {
		k.world.count("hand_over")
		one.close()
		one.contactAt = -leaseLength
	}
}

// committed tells who waits for it that a leader has heard of a commit.
func (w *world) committed() {
	if run := w.onCommit; run != nil {
		w.onCommit = nil
		run()
	}
}
