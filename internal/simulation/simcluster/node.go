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

var errSilence = errors.New("no answer in time")

// Node is one steward: the disk lasts while the rest may die.
type Node struct {
	stage    *Stage
	Name     string
	disk     *Disk
	past     []string
	isUp     bool
	isFrozen bool
	life     int
	replicas *replication.Replicas
	engines  map[string]*replication.Engine
	boxes    map[string]*mailbox.Mailbox
	hosts    map[string]*poolhost.Host
	pools    map[string]*scheduler.Pool
}

func (n *Node) start() {
	n.isUp, n.isFrozen = true, false
	n.life++
	n.disk.settled = n.settle
	replicas, err := replication.NewReplicas(mailbox.New(4096), n.disk, n.stage.Line.Clock, replication.DefaultTiming.Lease)
	if err != nil {
		panic(err)
	}
	n.replicas = replicas
	n.engines, n.pools = map[string]*replication.Engine{}, map[string]*scheduler.Pool{}
	n.boxes, n.hosts = map[string]*mailbox.Mailbox{}, map[string]*poolhost.Host{}
	for _, key := range n.stage.keys {
		pool := scheduler.New(key, n.stage.Line.Clock, n.stage.timing, n.stage.log, n.stage.pool...)
		n.pools[key] = pool
		n.boxes[key] = mailbox.New(4096)
		n.hosts[key] = poolhost.New(pool, n.boxes[key])
		n.engines[key] = replication.NewEngine(key, n.disk.name, n.Name, n.stage.Line.Clock, &road{n, n.life}, n.hosts[key],
			n.stage.members, replication.WithInitialVoters(n.stage.birth()), replication.WithLog(n.stage.log))
	}
	n.tick(n.life)
}

func (n *Node) tick(life int) {
	if !n.isUp || n.life != life {
		return
	}
	n.enter(life, func() {
		for _, key := range n.stage.keys {
			n.engines[key].Tick()
			n.pools[key].Tick()
		}
	})
	n.stage.Line.After(tickEvery, func() { n.tick(life) })
}

// enter runs something inside the process, if it still lives; a frozen one does it once it wakes.
func (n *Node) enter(life int, run func()) {
	switch {
	case !n.isUp || n.life != life:
	case n.isFrozen:
		n.stage.Line.After(20*time.Millisecond, func() { n.enter(life, run) })
	default:
		run()
		n.settle()
	}
}

func (n *Node) settle() {
	if !n.isUp || n.isFrozen {
		return
	}
	n.replicas.Mailbox().Drain()
	for _, key := range n.stage.keys {
		for n.settleKey(key) {
		}
	}
}

// settleKey lets the goroutines of a key's pool and of its engine run what waits, and says whether there was anything.
func (n *Node) settleKey(key string) (wasBusy bool) {
	n.pools[key].Flush()
	for _, box := range []*mailbox.Mailbox{n.boxes[key], n.hosts[key].Mailbox()} {
		for box.Step() {
			wasBusy = true
		}
		n.hosts[key].Flush()
	}
	return wasBusy
}

func (n *Node) kill() {
	n.isUp = false
	n.life++
	n.disk.losePower()
}

// call goes to a place and back; faults may eat, double or delay it.
func call[T any](s *Stage, from, to *place, limit time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver := false
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			from.enter(func() { done(value, err) })
		}
	}
	var none T
	s.Line.After(limit, func() { finish(none, errSilence) })
	if to == nil {
		return
	}
	for range s.copies() {
		s.Line.After(s.transit(), func() {
			if s.isCut(from.name, to.name) {
				return
			}
			to.enter(func() {
				serve(func(value T) {
					s.Line.After(s.transit(), func() {
						if !s.isCut(from.name, to.name) {
							finish(value, nil)
						}
					})
				})
			})
		})
	}
}

// place is where a call comes from or goes to.
type place struct {
	name  string
	enter func(run func())
}

func (n *Node) place() *place {
	life := n.life
	return &place{n.Name, func(run func()) { n.enter(life, run) }}
}

func (s *Stage) placeOf(disk string) (*Node, *place) {
	for _, one := range s.Nodes {
		if one.disk.name == disk && one.isUp {
			return one, one.place()
		}
	}
	return nil, nil
}

// road carries the calls of a key's leader or candidate to the disks, over the simulated network.
type road struct {
	node *Node
	life int
}

// Promise asks the steward of a disk for a promise; done gets an error if nothing came within promiseLimit.
func (r *road) Promise(disk string, ask wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	to, where := r.node.stage.placeOf(disk)
	call(r.node.stage, r.node.place(), where, promiseLimit, func(answer func(wire.PromiseAnswer)) { to.replicas.Promise(ask, answer) }, done)
}

// Append sends changes to the steward of a disk; done gets an error if nothing came within appendLimit.
func (r *road) Append(disk string, ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == r.node.disk.name {
		r.InstallLocal(ask, done)
		return
	}
	to, where := r.node.stage.placeOf(disk)
	call(r.node.stage, r.node.place(), where, appendLimit, func(answer func(wire.AppendAnswer)) { to.replicas.Append(ask, answer) }, done)
}

// InstallLocal answers later, never within the call, as the links of a steward do.
func (r *road) InstallLocal(ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	r.node.replicas.Append(ask, func(answer wire.AppendAnswer) {
		r.node.stage.Line.After(0, func() { r.node.enter(r.life, func() { done(answer, nil) }) })
	})
}

// Fetch asks the steward of a disk for a part of a key's state; done gets an error if nothing came within appendLimit.
func (r *road) Fetch(disk string, ask wire.FetchCall, done func(wire.FetchAnswer, error)) {
	to, where := r.node.stage.placeOf(disk)
	call(r.node.stage, r.node.place(), where, appendLimit, func(answer func(wire.FetchAnswer)) {
		if whole, err := to.replicas.Fetch(to.replicas.History(ask.Key), ask); err == nil {
			answer(whole)
		}
	}, done)
}

// Status gives what this node's own replica of a key holds.
func (r *road) Status(key string, done func(replication.ReplicaStatus)) {
	done(r.node.replicas.Status(key))
}

// History gives the changes that this node's own replica still has one by one.
func (r *road) History(key string, done func(replication.History)) {
	done(r.node.replicas.History(key))
}

// ReadLocal reads the whole state of this node's own replica from its disk; done runs later, never within the call, and not
// once the process that asked has ended.
func (r *road) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := r.node.disk.Read(key)
	r.node.stage.Line.After(0, func() { r.node.enter(r.life, func() { done(snapshot, err) }) })
}
