package controlmodel

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr/funcr"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlkeys"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

const (
	tickInterval = 50 * time.Millisecond
	// gossipDelay is the time until other machines know of a started machine, and until a machine passes on a leader that it has learned of.
	gossipDelay = 300 * time.Millisecond
	// goneTimeout is the time without an update after which a machine counts another one as gone.
	goneTimeout = 2 * time.Second
	// leaveDelay is how long a machine that shuts down waits at least. leaveTimeout is how long it waits for another disk to replace its
	// voter.
	leaveDelay   = 400 * time.Millisecond
	leaveTimeout = 3 * time.Second
	// maxFormerDisks is the maximum number of lost disks that a machine announces.
	maxFormerDisks = 4
)

// simNode is one control machine. Its disk outlives its process.
type simNode struct {
	cluster     *simCluster
	index       int
	name        string
	disk        *disk
	formerDisks []string
	clock       nodeClock

	// incarnation changes at each start and end of the process.
	incarnation int
	isUp        bool
	isRemoved   bool
	isFrozen    bool
	// callDelay is how long each call takes in a slow process. busyUntil is when the process has finished the calls it has received.
	callDelay time.Duration
	busyUntil time.Duration
	startedAt time.Duration
	// postponed are the calls that arrived while the process was frozen.
	postponed []func()

	replicas *replication.Replicas
	engine   *replication.Engine
	machine  serviceMachine
	// leadership is the machine's current leadership of the key, or nil.
	leadership *replication.Leadership
	// knownMembers has the membership entries of all machines, by node index.
	knownMembers []knownMember
	// hint is the leader of the highest epoch that this machine knows.
	hint leaderHint
}

// nodeClock is the clock of a machine. Its wall clock may jump, its monotonic clock never does.
type nodeClock struct {
	cluster *simCluster
	offset  time.Duration
	jump    int64
}

// Monotonic returns the time of the monotonic clock, which differs between machines by an offset.
func (c *nodeClock) Monotonic() time.Duration { return c.cluster.now + c.offset }

// WallMs returns the wall clock in milliseconds. A fault may make it jump.
func (c *nodeClock) WallMs() int64 {
	return wallAtStartMs + int64(c.cluster.now/time.Millisecond) + c.jump
}

// After never fires. The code that the model runs does not use it.
func (c *nodeClock) After(time.Duration) <-chan time.Time { return nil }

// knownMember is the last membership entry that a machine has of another machine or of itself.
type knownMember struct {
	member    wire.Member
	updatedAt time.Duration
	isKnown   bool
}

// leaderHint is the leader of the key as a machine knows it, and the time at which the machine learned of that leader.
type leaderHint struct {
	epoch uint64
	node  *simNode
	at    time.Duration
}

// addNode adds a machine with a new disk. Its process is not started yet.
func (sim *simCluster) addNode() *simNode {
	node := &simNode{cluster: sim, index: len(sim.nodes), name: fmt.Sprintf("machine-%02d", len(sim.nodes)), disk: sim.newDisk()}
	node.clock = nodeClock{cluster: sim, offset: time.Duration(sim.random.IntN(1000)) * time.Millisecond}
	sim.nodes = append(sim.nodes, node)
	return node
}

// start starts a new process on the machine's disk, unless one runs or the machine was removed.
func (n *simNode) start() {
	if n.isUp || n.isRemoved {
		return
	}
	n.incarnation++
	n.isUp, n.isFrozen, n.postponed, n.busyUntil = true, false, nil, 0
	n.startedAt = n.cluster.now
	disk := n.cluster.fault.wrapDisk(n)
	replicas, err := replication.NewReplicas(mailbox.New(1024), disk, &n.clock, n.cluster.fault.replicaLease())
	if err != nil {
		panic(err)
	}
	n.disk.isNew = false
	n.replicas = replicas
	n.knownMembers, n.hint = nil, leaderHint{}
	n.cluster.tracef("%s starts, disk %s", n.name, n.disk.name)
	n.machine = n.cluster.service.newMachine(n)
	options := append(n.cluster.service.engineOptions(), replication.WithInitialVoters(n.cluster.initialVoterDisks),
		replication.WithMachineLosses(n.cluster.schedule.Losses), replication.WithLog(n.cluster.newLog(n)))
	n.engine = replication.NewEngine(n.cluster.service.key(), n.disk.name, n.name, &n.clock, n.cluster.fault.wrapLinks(n, &links{n}),
		n.cluster.fault.wrapMachine(n, &stateMachine{n}), n.members, options...)
	if n.disk.isRetiring {
		n.retire()
	}
	incarnation := n.incarnation
	n.disk.afterTransaction = func() { n.enter(incarnation, n.drain) }
	n.cluster.after(time.Duration(n.cluster.random.Int64N(int64(tickInterval))), func() { n.tick(incarnation) })
}

// tick calls the engine and the state machine every tickInterval until the process ends. A restarted process has its own ticks.
func (n *simNode) tick(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	n.enter(incarnation, func() {
		n.engine.Tick()
		n.machine.Tick()
		n.cluster.after(tickInterval, func() { n.tick(incarnation) })
	})
}

// enter runs a call inside a process. A frozen process runs it once it is unfrozen, a slow one after a delay. The call is dropped if the
// process has ended.
func (n *simNode) enter(incarnation int, run func()) {
	switch {
	case n.incarnation != incarnation || !n.isUp:
	case n.isFrozen:
		n.postponed = append(n.postponed, func() { n.enter(incarnation, run) })
	case n.callDelay > 0 || n.busyUntil > n.cluster.now:
		n.busyUntil = max(n.busyUntil, n.cluster.now) + n.callDelay
		n.cluster.after(n.busyUntil-n.cluster.now, func() { n.enterNow(incarnation, run) })
	default:
		run()
	}
}

// enterNow runs a call inside a process like enter, but without the delay of a slow process.
func (n *simNode) enterNow(incarnation int, run func()) {
	switch {
	case n.incarnation != incarnation || !n.isUp:
	case n.isFrozen:
		n.postponed = append(n.postponed, func() { n.enterNow(incarnation, run) })
	default:
		run()
	}
}

// newLog returns a logger that writes the log of a machine to the trace, if there is one.
func (sim *simCluster) newLog(n *simNode) logging.Logger {
	if sim.trace == nil {
		return logging.Silent()
	}
	return funcr.New(func(_, text string) { sim.tracef("%s: %s", n.name, text) }, funcr.Options{})
}

// post runs a call inside the process as a new event of the same time.
func (n *simNode) post(run func()) {
	incarnation := n.incarnation
	n.cluster.after(0, func() { n.enter(incarnation, run) })
}

// drain runs the replicas' callbacks for completed disk writes.
func (n *simNode) drain() { n.replicas.Mailbox().Drain() }

// kill ends the process at once, without a shutdown.
func (n *simNode) kill() {
	if !n.isUp {
		return
	}
	n.cluster.tracef("%s ends", n.name)
	n.isUp = false
	n.incarnation++
	n.endLeadership()
	n.disk.stop(n.cluster.random)
}

// losePower ends the process. If the replica file or one of its folders was not synced, the content of the disk may be lost.
func (n *simNode) losePower() {
	n.kill()
	if !n.disk.isFileSafe && n.cluster.random.IntN(2) == 0 {
		n.cluster.countCoverage("unsynced file lost")
		n.wipe()
	}
}

// wipe gives the machine an empty disk. The machine must be down.
func (n *simNode) wipe() {
	if !n.cluster.fault.keepsDiskName {
		n.formerDisks = append(n.formerDisks, n.disk.name)
		n.formerDisks = n.formerDisks[max(0, len(n.formerDisks)-maxFormerDisks):]
	}
	old := n.disk.name
	n.disk = n.cluster.newDisk()
	if n.cluster.fault.keepsDiskName {
		n.disk.name = old
	}
}

// freeze stops a running process until unfreeze is called.
func (n *simNode) freeze() {
	if n.isUp {
		n.isFrozen = true
	}
}

// unfreeze resumes a frozen process. The postponed calls run within the next 2 ms.
func (n *simNode) unfreeze() {
	if !n.isFrozen {
		return
	}
	n.isFrozen = false
	waiting := n.postponed
	n.postponed = nil
	for _, action := range waiting {
		n.cluster.after(time.Duration(n.cluster.random.IntN(2000))*time.Microsecond, action)
	}
}

// shutDown is a planned shutdown, as after SIGTERM. The machine's disk is replaced as a voter first, if another disk can take its place.
// done is called once the process has ended.
func (n *simNode) shutDown(done func()) {
	if !n.isUp {
		done()
		return
	}
	incarnation, end := n.incarnation, n.cluster.now+leaveTimeout
	if n.cluster.fault.leavesAtOnce {
		end = n.cluster.now
	} else {
		n.enter(incarnation, func() {
			n.replicas.Leave()
			n.engine.Leave()
		})
	}
	n.cluster.after(leaveDelay, func() { n.awaitShutdown(incarnation, end, done) })
}

// awaitShutdown ends the process once its disk is no longer a replaceable voter, at the latest at end.
func (n *simNode) awaitShutdown(incarnation int, end time.Duration, done func()) {
	isOver := n.cluster.now >= end || !n.isReplaceable()
	if n.incarnation == incarnation && !isOver {
		n.cluster.after(tickInterval, func() { n.awaitShutdown(incarnation, end, done) })
		return
	}
	if n.incarnation == incarnation {
		n.kill()
	}
	done()
}

// isReplaceable reports whether this machine's disk is still a voter that should wait for its replacement: either another live disk could
// take its place, or a change of voters that removes it is in progress.
func (n *simNode) isReplaceable() bool {
	set, isVoter := n.replicas.VotingKeys()[n.cluster.service.key()]
	return isVoter && controlkeys.IsReplaceable(n.members(), n.disk.name, set)
}

// members returns the membership as this machine knows it. Other machines are known gossipDelay after their start. No update passes a cut
// of either direction, and none comes from a machine that is down or frozen.
func (n *simNode) members() []wire.Member {
	for len(n.knownMembers) < len(n.cluster.nodes) {
		n.knownMembers = append(n.knownMembers, knownMember{})
	}
	now := n.cluster.now
	all := make([]wire.Member, 0, len(n.knownMembers))
	for index, other := range n.cluster.nodes {
		known := &n.knownMembers[index]
		isKnown := other == n || other.isUp && !other.isFrozen && n.cluster.isOpen(n, other) && n.cluster.isOpen(other, n)
		if isKnown && (other == n || now-other.startedAt >= gossipDelay) {
			*known = knownMember{other.member(), now, true}
		}
		if !known.isKnown {
			continue
		}
		if now-known.updatedAt > goneTimeout {
			known.member.State = wire.StateGone
		}
		all = append(all, known.member)
	}
	return all
}

func (n *simNode) member() wire.Member {
	return wire.Member{Name: n.name, Role: "steward", Address: n.name, Disk: n.disk.name, State: wire.StateAlive, FormerDisks: slices.Clone(n.formerDisks)}
}

// nodeByDisk returns the machine that has a disk, as far as this machine knows, or nil.
func (n *simNode) nodeByDisk(disk string) *simNode {
	for index := range n.knownMembers {
		if n.knownMembers[index].isKnown && n.knownMembers[index].member.Disk == disk {
			return n.cluster.nodes[index]
		}
	}
	for _, member := range n.members() {
		if member.Disk == disk {
			return n.nodeByDisk(disk)
		}
	}
	return nil
}
