package simcluster

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
)

const (
	// syncTime is how long a sync of a simulated disk takes.
	syncTime       = 5 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	promiseTimeout = 500 * time.Millisecond
	// appendTimeout is the timeout of appends and of fetches.
	appendTimeout = 1500 * time.Millisecond
)

// errNoAnswer is the result of a simulated call whose answer did not arrive within its timeout.
var errNoAnswer = errors.New("simulated call: no answer before the timeout")

// Node is one simulated steward. Its disk survives a crash of the process; Wipe replaces the disk, and formerDisks names the earlier ones.
type Node struct {
	cluster     *Cluster
	Name        string
	disk        *Disk
	formerDisks []string
	isUp        bool
	isFrozen    bool
	incarnation int
	replicas    *replication.Replicas
	// runners holds the engine and the state machine of each key.
	runners map[string]*keyRunner
}

// start starts the process on its disk, with a replication engine and a state machine for each key.
func (n *Node) start() {
	n.isUp, n.isFrozen = true, false
	n.incarnation++
	n.disk.afterSync = n.drainMailboxes
	replicas, err := replication.NewReplicas(mailbox.New(4096), n.disk, n.cluster.Events.Clock, replication.DefaultTiming.Lease)
	if err != nil {
		panic(err)
	}
	n.replicas = replicas
	n.runners = map[string]*keyRunner{}
	for _, key := range n.cluster.keys {
		n.runners[key] = n.newKeyRunner(key)
	}
	n.tick(n.incarnation)
}

// tick ticks the engines and state machines at each tickInterval until the process ends.
func (n *Node) tick(incarnation int) {
	if !n.isUp || n.incarnation != incarnation {
		return
	}
	n.runIfAlive(incarnation, func() {
		for _, key := range n.cluster.keys {
			n.runners[key].tick()
		}
	})
	n.cluster.Events.After(tickInterval, func() { n.tick(incarnation) })
}

// runIfAlive runs a function inside the process, and drops it if this incarnation has ended. While the process is frozen, the
// function waits.
func (n *Node) runIfAlive(incarnation int, run func()) {
	switch {
	case !n.isUp || n.incarnation != incarnation:
	case n.isFrozen:
		n.cluster.Events.After(20*time.Millisecond, func() { n.runIfAlive(incarnation, run) })
	default:
		run()
		n.drainMailboxes()
	}
}

// drainMailboxes runs the waiting messages of the replicas, and then those of each key until none is left.
func (n *Node) drainMailboxes() {
	if !n.isUp || n.isFrozen {
		return
	}
	n.replicas.Mailbox().Drain()
	for _, key := range n.cluster.keys {
		for n.runners[key].drain() {
		}
	}
}

func (n *Node) kill() {
	n.isUp = false
	n.incarnation++
	n.disk.losePower()
}

// call sends a call over the simulated network and passes its answer to done, or errNoAnswer after the timeout. done runs once, and not
// at all if the caller's process has ended by then. Faults may lose or duplicate the call, or lose its answer. A nil destination never
// answers.
func call[T any](s *Cluster, from, to *simEndpoint, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver := false
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			from.runIfAlive(func() { done(value, err) })
		}
	}
	var none T
	s.Events.After(timeout, func() { finish(none, errNoAnswer) })
	if to == nil {
		return
	}
	for range s.drawCopies() {
		s.Events.After(s.drawTransitTime(), func() {
			if s.isCut(from.name, to.name) {
				return
			}
			to.runIfAlive(func() {
				serve(func(value T) {
					s.Events.After(s.drawTransitTime(), func() {
						if !s.isCut(from.name, to.name) {
							finish(value, nil)
						}
					})
				})
			})
		})
	}
}

// simEndpoint is the sender or receiver of a simulated call. runIfAlive runs a function inside its process, unless that has ended.
type simEndpoint struct {
	name       string
	runIfAlive func(run func())
}

// endpoint returns the endpoint of the current process of the node.
func (n *Node) endpoint() *simEndpoint {
	incarnation := n.incarnation
	return &simEndpoint{n.Name, func(run func()) { n.runIfAlive(incarnation, run) }}
}

// endpointOf returns the running node that has the named disk, and its endpoint, or nil and nil.
func (s *Cluster) endpointOf(disk string) (*Node, *simEndpoint) {
	for _, node := range s.Nodes {
		if node.disk.name == disk && node.isUp {
			return node, node.endpoint()
		}
	}
	return nil, nil
}

// transport sends the calls of a replication engine to the stewards of the disks, over the simulated network. It belongs to one incarnation
// of the node.
type transport struct {
	node        *Node
	incarnation int
}

// Promise asks the steward of a disk for a promise. done gets an error if no answer came within promiseTimeout.
func (t *transport) Promise(disk string, request wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	receiver, endpoint := t.node.cluster.endpointOf(disk)
	call(t.node.cluster, t.node.endpoint(), endpoint, promiseTimeout, func(answer func(wire.PromiseAnswer)) { receiver.replicas.Promise(request, answer) }, done)
}

// Append sends changes to the steward of a disk, or appends them directly if it is the disk of this node. done gets an error if no answer
// came within appendTimeout.
func (t *transport) Append(disk string, request wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == t.node.disk.name {
		t.InstallLocal(request, done)
		return
	}
	receiver, endpoint := t.node.cluster.endpointOf(disk)
	call(t.node.cluster, t.node.endpoint(), endpoint, appendTimeout, func(answer func(wire.AppendAnswer)) { receiver.replicas.Append(request, answer) }, done)
}

// InstallLocal appends to the replica of this node. It calls done later, never within the call, as the real transport does.
func (t *transport) InstallLocal(request wire.AppendCall, done func(wire.AppendAnswer, error)) {
	t.node.replicas.Append(request, func(answer wire.AppendAnswer) {
		t.node.cluster.Events.After(0, func() { t.node.runIfAlive(t.incarnation, func() { done(answer, nil) }) })
	})
}

// Fetch asks the steward of a disk for a part of a key's state. done gets an error if no answer came within appendTimeout, also if the
// steward's own Fetch fails.
func (t *transport) Fetch(disk string, request wire.FetchCall, done func(wire.FetchAnswer, error)) {
	receiver, endpoint := t.node.cluster.endpointOf(disk)
	call(t.node.cluster, t.node.endpoint(), endpoint, appendTimeout, func(answer func(wire.FetchAnswer)) {
		if snapshot, err := receiver.replicas.Fetch(receiver.replicas.History(request.Key), request); err == nil {
			answer(snapshot)
		}
	}, done)
}

// Status passes the status of this node's own replica of a key to done.
func (t *transport) Status(key string, done func(replication.ReplicaStatus)) {
	done(t.node.replicas.Status(key))
}

// History passes the changes that this node's own replica of a key still keeps individually to done.
func (t *transport) History(key string, done func(replication.History)) {
	done(t.node.replicas.History(key))
}

// ReadLocal reads the snapshot of this node's own replica from its disk. done runs later, never within the call, and not at all if the
// process has ended by then.
func (t *transport) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := t.node.disk.Read(key)
	t.node.cluster.Events.After(0, func() { t.node.runIfAlive(t.incarnation, func() { done(snapshot, err) }) })
}
