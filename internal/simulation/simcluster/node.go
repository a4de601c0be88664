package simcluster

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	syncTime     = 5 * time.Millisecond
	tickEvery    = 50 * time.Millisecond
	promiseLimit = 500 * time.Millisecond
	appendLimit  = 1500 * time.Millisecond
)

var errNoAnswer = errors.New("no answer in time")

// Node is one steward: the disk lasts while the rest may die.
type Node struct {
	cluster     *Cluster
	Name        string
	disk        *Disk
	past        []string
	isUp        bool
	isFrozen    bool
	incarnation int
	replicas    *replication.Replicas
	engines     map[string]*replication.Engine
	boxes       map[string]*mailbox.Mailbox
	hosts       map[string]*poolhost.Host
	pools       map[string]*scheduler.Pool
}

// start starts the node's process on its disk, with an engine and a pool for each key.
func (n *Node) start() {
	n.isUp, n.isFrozen = true, false
	n.incarnation++
	n.disk.settled = n.settle
	replicas, err := replication.NewReplicas(mailbox.New(4096), n.disk, n.cluster.Events.Clock, replication.DefaultTiming.Lease)
	if err != nil {
		panic(err)
	}
	n.replicas = replicas
	n.engines, n.pools = map[string]*replication.Engine{}, map[string]*scheduler.Pool{}
	n.boxes, n.hosts = map[string]*mailbox.Mailbox{}, map[string]*poolhost.Host{}
	for _, key := range n.cluster.keys {
		pool := scheduler.New(key, n.cluster.Events.Clock, n.cluster.timing, n.cluster.log, n.cluster.pool...)
		n.pools[key] = pool
		n.boxes[key] = mailbox.New(4096)
		n.hosts[key] = poolhost.New(pool, n.boxes[key])
		n.engines[key] = replication.NewEngine(key, n.disk.name, n.Name, n.cluster.Events.Clock, &transport{n, n.incarnation}, n.hosts[key],
			n.cluster.members, replication.WithInitialVoters(n.cluster.initialVoters()), replication.WithLog(n.cluster.log))
	}
	n.tick(n.incarnation)
}

// tick drives engines and pools until the process ends.
func (n *Node) tick(incarnation int) {
	if !n.isUp || n.incarnation != incarnation {
		return
	}
	n.enter(incarnation, func() {
		for _, key := range n.cluster.keys {
			n.engines[key].Tick()
			n.pools[key].Tick()
		}
	})
	n.cluster.Events.After(tickEvery, func() { n.tick(incarnation) })
}

// enter runs something inside the process, if it still lives; a frozen one does it once it wakes.
func (n *Node) enter(incarnation int, run func()) {
	switch {
	case !n.isUp || n.incarnation != incarnation:
	case n.isFrozen:
		n.cluster.Events.After(20*time.Millisecond, func() { n.enter(incarnation, run) })
	default:
		run()
		n.settle()
	}
}

// settle runs what waits in the mailboxes until nothing is left.
func (n *Node) settle() {
	if !n.isUp || n.isFrozen {
		return
	}
	n.replicas.Mailbox().Drain()
	for _, key := range n.cluster.keys {
		for n.settleKey(key) {
		}
	}
}

// settleKey lets the goroutines of a key's pool and of its engine run what waits, and says whether there was anything.
func (n *Node) settleKey(key string) (wasBusy bool) {
	n.pools[key].Flush()
	for _, inbox := range []*mailbox.Mailbox{n.boxes[key], n.hosts[key].Mailbox()} {
		for inbox.Step() {
			wasBusy = true
		}
		n.hosts[key].Flush()
	}
	return wasBusy
}

func (n *Node) kill() {
	n.isUp = false
	n.incarnation++
	n.disk.losePower()
}

// call goes to a place and back; faults may eat, double or delay it.
func call[T any](s *Cluster, from, to *addressOnLine, limit time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver := false
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			from.enter(func() { done(value, err) })
		}
	}
	var none T
	s.Events.After(limit, func() { finish(none, errNoAnswer) })
	if to == nil {
		return
	}
	for range s.copies() {
		s.Events.After(s.transit(), func() {
			if s.isCut(from.name, to.name) {
				return
			}
			to.enter(func() {
				serve(func(value T) {
					s.Events.After(s.transit(), func() {
						if !s.isCut(from.name, to.name) {
							finish(value, nil)
						}
					})
				})
			})
		})
	}
}

// addressOnLine is where a call comes from or goes to.
type addressOnLine struct {
	name  string
	enter func(run func())
}

func (n *Node) address() *addressOnLine {
	incarnation := n.incarnation
	return &addressOnLine{n.Name, func(run func()) { n.enter(incarnation, run) }}
}

func (s *Cluster) addressOf(disk string) (*Node, *addressOnLine) {
	for _, node := range s.Nodes {
		if node.disk.name == disk && node.isUp {
			return node, node.address()
		}
	}
	return nil, nil
}

// transport carries the calls of a key's leader or candidate to the disks, over the simulated network.
type transport struct {
	node        *Node
	incarnation int
}

// Promise asks the steward of a disk for a promise; done gets an error if nothing came within promiseLimit.
func (r *transport) Promise(disk string, ask wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	to, where := r.node.cluster.addressOf(disk)
	call(r.node.cluster, r.node.address(), where, promiseLimit, func(answer func(wire.PromiseAnswer)) { to.replicas.Promise(ask, answer) }, done)
}

// Append sends changes to the steward of a disk; done gets an error if nothing came within appendLimit.
func (r *transport) Append(disk string, ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == r.node.disk.name {
		r.InstallLocal(ask, done)
		return
	}
	to, where := r.node.cluster.addressOf(disk)
	call(r.node.cluster, r.node.address(), where, appendLimit, func(answer func(wire.AppendAnswer)) { to.replicas.Append(ask, answer) }, done)
}

// InstallLocal answers later, never within the call, as the links of a steward do.
func (r *transport) InstallLocal(ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	r.node.replicas.Append(ask, func(answer wire.AppendAnswer) {
		r.node.cluster.Events.After(0, func() { r.node.enter(r.incarnation, func() { done(answer, nil) }) })
	})
}

// Fetch asks the steward of a disk for a part of a key's state; done gets an error if nothing came within appendLimit.
func (r *transport) Fetch(disk string, ask wire.FetchCall, done func(wire.FetchAnswer, error)) {
	to, where := r.node.cluster.addressOf(disk)
	call(r.node.cluster, r.node.address(), where, appendLimit, func(answer func(wire.FetchAnswer)) {
		if snapshot, err := to.replicas.Fetch(to.replicas.History(ask.Key), ask); err == nil {
			answer(snapshot)
		}
	}, done)
}

// Status gives what this node's own replica of a key holds.
func (r *transport) Status(key string, done func(replication.ReplicaStatus)) {
	done(r.node.replicas.Status(key))
}

// History gives the changes that this node's own replica still has one by one.
func (r *transport) History(key string, done func(replication.History)) {
	done(r.node.replicas.History(key))
}

// ReadLocal reads the snapshot of this node's own replica from its disk; done runs later, never within the call, and not
// once the process that asked has ended.
func (r *transport) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := r.node.disk.Read(key)
	r.node.cluster.Events.After(0, func() { r.node.enter(r.incarnation, func() { done(snapshot, err) }) })
}
