package controlmodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr/funcr"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/controlkeys"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

const (
	tickEvery   = 50 * time.Millisecond
	gossipDelay = 300 * time.Millisecond
	goneAfter   = 2 * time.Second
	leaveTime   = 400 * time.Millisecond
	// leaveLimit is how long a machine that leaves waits until another disk has taken its place.
	leaveLimit = 3 * time.Second
	mostPast   = 4
)

// node is one control machine: its disk outlives its process.
type node struct {
	world *world
	index int
	name  string
	disk  *disk
	past  []string
	clock nodeClock

	life      int
	isUp      bool
	isRemoved bool
	isFrozen  bool
	slowed    time.Duration
	busyUntil time.Duration
	startedAt time.Duration
	postponed []func()

	replicas *replication.Replicas
	engine   *replication.Engine
	config   *configleader.Leader
	tenure   *replication.Leadership
	known    []knownMember
	heard    leaderHint
}

// nodeClock is the clock of a machine; its time of day may jump, its steady time never does.
type nodeClock struct {
	world  *world
	offset time.Duration
	jump   int64
}

// Monotonic is the steady time of the machine; it never jumps.
func (c *nodeClock) Monotonic() time.Duration { return c.world.now + c.offset }

// WallMs is the machine's time of day in milliseconds, which a fault may set.
func (c *nodeClock) WallMs() int64 {
	return wallAtStart + int64(c.world.now/time.Millisecond) + c.jump
}

// After is not used by what the model runs, and never fires.
func (c *nodeClock) After(time.Duration) <-chan time.Time { return nil }

// knownMember is what a machine last heard of another.
type knownMember struct {
	member  wire.Member
	heardAt time.Duration
	isKnown bool
}

// leaderHint is who led the key, as far as a machine has heard.
type leaderHint struct {
	epoch uint64
	node  *node
	at    time.Duration
}

func (w *world) addNode() *node {
	one := &node{world: w, index: len(w.nodes), name: fmt.Sprintf("machine-%02d", len(w.nodes)), disk: w.newDisk()}
	one.clock = nodeClock{world: w, offset: time.Duration(w.draw.IntN(1000)) * time.Millisecond}
	w.nodes = append(w.nodes, one)
	return one
}

// start begins a new process on the machine's disk.
func (n *node) start() {
	if n.isUp || n.isRemoved {
		return
	}
	n.life++
	n.isUp, n.isFrozen, n.postponed, n.busyUntil = true, false, nil, 0
	n.startedAt = n.world.now
	disk := n.world.plant.wrapDisk(n)
	replicas, err := replication.NewReplicas(mailbox.New(1024), disk, &n.clock, n.world.plant.leaseOfReplicas())
	if err != nil {
		panic(err)
	}
	n.disk.isBare = false
	n.replicas = replicas
	n.known, n.heard = nil, leaderHint{}
	n.world.tell("%s starts, disk %s", n.name, n.disk.name)
	n.config = configleader.New(logging.Silent(), func(fact *wire.Configuration) { n.world.noteInForce(digestOf(fact.Body)) })
	n.engine = replication.NewEngine(configleader.Key, n.disk.name, n.name, &n.clock, n.world.plant.wrapLinks(n, &links{n}),
		n.world.plant.wrapMachine(n, &stateMachine{n}), n.members,
		replication.WithInitialVoters(n.world.voters), replication.WithMachineLosses(n.world.schedule.Losses),
		replication.WithLog(n.world.logOf(n)))
	life := n.life
	n.disk.told = func() { n.enter(life, n.drain) }
	n.world.after(time.Duration(n.world.draw.Int64N(int64(tickEvery))), func() { n.tick(life) })
}

func (n *node) tick(life int) {
	if n.life != life {
		return
	}
	n.enter(life, func() {
		n.engine.Tick()
		n.world.after(tickEvery, func() { n.tick(life) })
	})
}

// enter runs something inside a process if that still lives: after its wake if it is frozen, later if it is slow.
func (n *node) enter(life int, run func()) {
	switch {
	case n.life != life || !n.isUp:
	case n.isFrozen:
		n.postponed = append(n.postponed, func() { n.enter(life, run) })
	case n.slowed > 0 || n.busyUntil > n.world.now:
		n.busyUntil = max(n.busyUntil, n.world.now) + n.slowed
		n.world.after(n.busyUntil-n.world.now, func() { n.enterNow(life, run) })
	default:
		run()
	}
}

func (n *node) enterNow(life int, run func()) {
	switch {
	case n.life != life || !n.isUp:
	case n.isFrozen:
		n.postponed = append(n.postponed, func() { n.enterNow(life, run) })
	default:
		run()
	}
}

// logOf is the log of a machine, part of the trace.
func (w *world) logOf(n *node) logging.Logger {
	if w.trace == nil {
		return logging.Silent()
	}
	return funcr.New(func(_, line string) { w.tell("%s: %s", n.name, line) }, funcr.Options{})
}

// post runs something inside the process a moment later.
func (n *node) post(run func()) {
	life := n.life
	n.world.after(0, func() { n.enter(life, run) })
}

// drain runs what the disk has told the replicas.
func (n *node) drain() { n.replicas.Mailbox().Drain() }

// kill ends the process at once.
func (n *node) kill() {
	if !n.isUp {
		return
	}
	n.world.tell("%s ends", n.name)
	n.isUp = false
	n.life++
	n.closed()
	n.disk.stop(n.world.draw)
}

// losePower ends the process; a file or folder that was not synced may go with it.
func (n *node) losePower() {
	n.kill()
	if !n.disk.isFileSafe && n.world.draw.IntN(2) == 0 {
		n.world.cover("unsynced file lost")
		n.wipe()
	}
}

// wipe gives the machine an empty disk; it must be down.
func (n *node) wipe() {
	if !n.world.plant.keepsDiskName {
		n.past = append(n.past, n.disk.name)
		n.past = n.past[max(0, len(n.past)-mostPast):]
	}
	old := n.disk.name
	n.disk = n.world.newDisk()
	if n.world.plant.keepsDiskName {
		n.disk.name = old
	}
}

func (n *node) freeze() {
	if n.isUp {
		n.isFrozen = true
	}
}

func (n *node) wake() {
	if !n.isFrozen {
		return
	}
	n.isFrozen = false
	waiting := n.postponed
	n.postponed = nil
	for _, one := range waiting {
		n.world.after(time.Duration(n.world.draw.IntN(2000))*time.Microsecond, one)
	}
}

// leave is a planned end, as after SIGTERM: the disk's voters are replaced first if another disk can take their place.
func (n *node) leave(gone func()) {
	if !n.isUp {
		gone()
		return
	}
	life, end := n.life, n.world.now+leaveLimit
	if n.world.plant.leavesAtOnce {
		end = n.world.now
	} else {
		n.enter(life, func() {
			n.replicas.Leave()
			n.engine.Leave()
		})
	}
	n.world.after(leaveTime, func() { n.awaitLeave(life, end, gone) })
}

func (n *node) awaitLeave(life int, end time.Duration, gone func()) {
	isOver := n.world.now >= end || !n.isReplaceable()
	if n.life == life && !isOver {
		n.world.after(tickEvery, func() { n.awaitLeave(life, end, gone) })
		return
	}
	if n.life == life {
		n.kill()
	}
	gone()
}

// isReplaceable tells whether this disk is still a voter and another live one could take its place.
func (n *node) isReplaceable() bool {
	set, isVoter := n.replicas.VotingKeys()[configleader.Key]
	return isVoter && controlkeys.IsReplaceable(n.members(), n.disk.name, set)
}

// members is what this machine knows of the others: news takes a while, and none comes through a cut.
func (n *node) members() []wire.Member {
	for len(n.known) < len(n.world.nodes) {
		n.known = append(n.known, knownMember{})
	}
	now := n.world.now
	all := make([]wire.Member, 0, len(n.known))
	for place, other := range n.world.nodes {
		known := &n.known[place]
		isHeard := other == n || other.isUp && !other.isFrozen && n.world.isOpen(n, other) && n.world.isOpen(other, n)
		if isHeard && (other == n || now-other.startedAt >= gossipDelay) {
			*known = knownMember{other.member(), now, true}
		}
		if !known.isKnown {
			continue
		}
		if now-known.heardAt > goneAfter {
			known.member.State = wire.StateGone
		}
		all = append(all, known.member)
	}
	return all
}

func (n *node) member() wire.Member {
	return wire.Member{Name: n.name, Role: "steward", Address: n.name, Disk: n.disk.name, State: wire.StateAlive, FormerDisks: slices.Clone(n.past)}
}

// byDisk is the machine that holds a disk, as far as this one knows.
func (n *node) byDisk(disk string) *node {
	for place := range n.known {
		if n.known[place].isKnown && n.known[place].member.Disk == disk {
			return n.world.nodes[place]
		}
	}
	for _, member := range n.members() {
		if member.Disk == disk {
			return n.byDisk(disk)
		}
	}
	return nil
}
