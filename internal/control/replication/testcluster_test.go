package replication_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/replication/quorum"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/simulation/simcluster"
)

// fakeDisk is a disk in memory. A write is pending until the simulated cluster syncs it.
type fakeDisk struct {
	*simcluster.DiskModel
	name          string
	isNew         bool
	pendingWrites []func()
	isStalled     bool
	// failsWrites makes each write fail without effect. isOutcomeUnclear makes each write report a failure though it was applied.
	failsWrites      bool
	isOutcomeUnclear bool
	// syncTime is how long a sync takes; 0 is a few random milliseconds. syncBegunAt is when the current sync began.
	syncTime    time.Duration
	syncBegunAt time.Duration
	// pairNames holds the names of all pairs on the disk.
	pairNames map[string]bool
}

var errDiskFull = errors.New("write failed: the disk is full")

func newDisk(name string) *fakeDisk {
	return &fakeDisk{DiskModel: simcluster.NewDiskModel(), name: name, isNew: true, pairNames: map[string]bool{}}
}

func (d *fakeDisk) Disk() string { return d.name }
func (d *fakeDisk) IsNew() bool  { return d.isNew }

func (d *fakeDisk) ReplicaStates() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.DiskModel.Heads), nil
}

func (d *fakeDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.pendingWrites = append(d.pendingWrites, func() {
		if d.failsWrites && !d.isOutcomeUnclear {
			done(storage.Outcome{Err: errDiskFull})
			return
		}
		outcome := d.Apply(write)
		d.recordNames(write, outcome)
		if d.isOutcomeUnclear {
			outcome = storage.Outcome{Err: errDiskFull}
		}
		done(outcome)
	})
}

func (d *fakeDisk) recordNames(write storage.Write, outcome storage.Outcome) {
	if !outcome.Taken {
		return
	}
	if write.Snapshot != nil {
		clear(d.pairNames)
		for _, pair := range write.Snapshot.Pairs {
			d.pairNames[pair.Name] = true
		}
	}
	for _, change := range write.Changes {
		for _, op := range change.Ops {
			d.pairNames[op.Name] = true
		}
	}
}

// isSyncDone reports whether the sync of the pending writes ends now. While the disk is stalled or has nothing to sync, no sync begins.
func (d *fakeDisk) isSyncDone(now time.Duration, random *rand.Rand) bool {
	if d.isStalled || len(d.pendingWrites) == 0 {
		d.syncBegunAt = now
		return false
	}
	if d.syncTime > 0 {
		return now-d.syncBegunAt >= d.syncTime
	}
	return random.IntN(4) == 0
}

// recordingMachine is a state machine that checks the invariants of the cluster when it is opened.
type recordingMachine struct {
	cluster    *testCluster
	node       *testNode
	leadership *replication.Leadership
	values     map[string]string
}

func (m *recordingMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	m.leadership, m.values = leadership, map[string]string{}
	for _, pair := range pairs {
		m.values[pair.Name] = string(pair.Value)
	}
	m.cluster.onOpen(m)
	return nil
}

func (m *recordingMachine) Close() { m.leadership = nil }

// nodeClock is the clock of one node. Its time of day can jump, and its monotonic clock can run fast or slow.
type nodeClock struct {
	*clock.Fake
	// wallJumpMs is the offset of the time of day in milliseconds.
	wallJumpMs int64
	// driftPerMille is how many milliseconds the monotonic clock gains in a second.
	driftPerMille int64
}

func (c *nodeClock) Monotonic() time.Duration {
	return c.Fake.Monotonic() * time.Duration(1000+c.driftPerMille) / 1000
}

func (c *nodeClock) WallMs() int64 { return c.Fake.WallMs() + c.wallJumpMs }

// testNode is one steward. Its disk survives a crash of its process.
type testNode struct {
	cluster     *testCluster
	name        string
	domain      string
	disk        *fakeDisk
	formerDisks []string
	isUp        bool
	isFrozen    bool
	// isEarlierVersion makes the node ignore chunks, answer each fetch with a whole snapshot, and report no processing time.
	isEarlierVersion bool
	// delay is how long the node waits before it sends the answer to an append call.
	delay       time.Duration
	incarnation int
	// snapshotReadTime is how long reading the snapshot takes. Until busyUntil the goroutine of the engine is busy.
	snapshotReadTime time.Duration
	busyUntil        time.Duration
	clock            *nodeClock
	replicas         *replication.Replicas
	engine           *replication.Engine
	machine          *recordingMachine
}

type message struct {
	due time.Duration
	run func()
}

// networkFaults are the faults that the simulated network injects. Links are named "from>to".
type networkFaults struct {
	// isolated holds the nodes that are cut off from all others. blockedLinks holds the links that drop all messages.
	isolated     map[string]bool
	blockedLinks map[string]bool
	// delayedNodes holds the nodes whose incoming and outgoing calls may arrive seconds late.
	delayedNodes map[string]bool
	// lossRate is the share of messages that are lost or duplicated.
	lossRate float64
	// dropsCall reports whether a call is lost; nil drops none.
	dropsCall func(to *testNode, call wire.AppendCall) bool
	// dropsFetches drops all fetch calls.
	dropsFetches bool
	// bytesPerMs limits the bandwidth of each node; 0 is no limit. linkBusyUntil is when a node's link is free again.
	bytesPerMs    int
	linkBusyUntil map[string]time.Duration
	// extraDelay is the maximum additional delay of each message; the minimum is half of it. It simulates machines with too few
	// processors.
	extraDelay time.Duration
}

func noNetworkFaults() networkFaults {
	return networkFaults{isolated: map[string]bool{}, blockedLinks: map[string]bool{}, delayedNodes: map[string]bool{},
		linkBusyUntil: map[string]time.Duration{}}
}

// callCounts counts the calls made so far.
type callCounts struct {
	appendCount int
	preVotes    int
	// snapshotsSent counts the snapshots that were sent to another node in a single call. snapshotsInstalled counts those that a
	// candidate has fetched and written to its own disk.
	snapshotsSent      int
	snapshotsInstalled int
	// chunksSent and chunksFetched hold the numbers of the chunks that were sent and fetched, in order.
	chunksSent    []int
	chunksFetched []int
}

// testCluster is a simulated cluster whose network and clock the test controls.
type testCluster struct {
	networkFaults
	callCounts
	clock    *clock.Fake
	random   *rand.Rand
	nodes    []*testNode
	messages []message
	// diskless holds members without a disk, in addition to the nodes.
	diskless []wire.Member
	// machineLosses is the number of disks that the cluster must tolerate losing at once.
	machineLosses int
	// lastWipeAt is when a disk was last wiped or removed.
	lastWipeAt time.Duration
	// options holds additional options for all engines.
	options []replication.Option
	// valueBytes is the number of bytes that are added to each value. writeCount numbers the writes.
	valueBytes int
	writeCount int
	// acknowledged holds the acknowledged values by name, leaders the name of the leader by epoch, and violations the broken
	// invariants.
	acknowledged map[string]string
	leaders      map[uint64]string
	violations   []string
}

const key = "pool/wards"

func newTestCluster(seed uint64, names ...string) *testCluster {
	return newTestClusterTolerating(1, seed, names...)
}

// newTestClusterTolerating returns a cluster whose keys must survive the loss of that many disks at once.
func newTestClusterTolerating(losses int, seed uint64, names ...string) *testCluster {
	c := &testCluster{networkFaults: noNetworkFaults(), machineLosses: losses, clock: clock.NewFake(1_000_000),
		random: rand.New(rand.NewPCG(seed, 1)), lastWipeAt: -time.Hour, acknowledged: map[string]string{}, leaders: map[uint64]string{}}
	for _, name := range names {
		c.add(name)
	}
	for _, node := range c.nodes {
		node.start()
	}
	return c
}

func (c *testCluster) add(name string) *testNode {
	node := &testNode{cluster: c, name: name, disk: newDisk("disk-" + name), clock: &nodeClock{Fake: c.clock}}
	c.nodes = append(c.nodes, node)
	return node
}

func (c *testCluster) initialVoters() []string { return []string{"disk-a", "disk-b", "disk-c"} }

func (n *testNode) start() {
	n.isUp, n.isFrozen = true, false
	n.incarnation++
	n.disk.pendingWrites = nil
	replicas, err := replication.NewReplicas(mailbox.New(64), n.disk, n.clock, replication.DefaultTiming.Lease)
	if err != nil {
		panic(err)
	}
	n.disk.isNew = false
	n.replicas = replicas
	n.machine = &recordingMachine{cluster: n.cluster, node: n}
	options := append(slices.Clone(n.cluster.options), replication.WithInitialVoters(n.cluster.initialVoters()),
		replication.WithMachineLosses(n.cluster.machineLosses))
	n.engine = replication.NewEngine(key, n.disk.name, n.name, n.clock, &testTransport{n, n.incarnation}, n.machine, n.cluster.members, options...)
}

func (n *testNode) kill() { n.isUp = false; n.incarnation++; n.disk.pendingWrites = nil }

func (n *testNode) wipe(name string) {
	n.kill()
	n.cluster.lastWipeAt = n.cluster.clock.Monotonic()
	n.formerDisks = append(n.formerDisks, n.disk.name)
	n.disk = newDisk(name)
	n.start()
}

func (c *testCluster) members() []wire.Member {
	all := slices.Clone(c.diskless)
	for _, node := range c.nodes {
		state := wire.StateAlive
		if !node.isUp {
			state = wire.StateGone
		}
		all = append(all, wire.Member{Name: node.name, Role: "steward", Domain: node.domain, Disk: node.disk.name, State: state, FormerDisks: node.formerDisks})
	}
	return all
}

func (c *testCluster) byDisk(disk string) *testNode {
	for _, node := range c.nodes {
		if node.disk.name == disk {
			return node
		}
	}
	return nil
}

// nodeFor returns the node that receives the calls to a disk: the node that has the disk or, at the same address, had it before.
func (c *testCluster) nodeFor(disk string) *testNode {
	if node := c.byDisk(disk); node != nil {
		return node
	}
	for _, node := range c.nodes {
		if slices.Contains(node.formerDisks, disk) {
			return node
		}
	}
	return nil
}

func (c *testCluster) schedule(wait time.Duration, run func()) {
	c.messages = append(c.messages, message{c.clock.Monotonic() + wait, run})
}

func (c *testCluster) transitTime() time.Duration {
	return time.Duration(1+c.random.IntN(9))*time.Millisecond + c.extraDelay/2 + time.Duration(c.random.Int64N(int64(c.extraDelay)/2+1))
}

func (c *testCluster) isCut(a, b *testNode) bool {
	return a != b && (c.isolated[a.name] || c.isolated[b.name] || c.blockedLinks[a.name+">"+b.name])
}

// smallMessage is the size in bytes below which a message does not wait for large ones on a link, since small flow control windows keep
// the queue of large ones short.
const smallMessage = 4 << 10

// sendTime returns how long a node takes to send a message. A large message waits for earlier large ones.
func (c *testCluster) sendTime(from, to *testNode, bytes int) time.Duration {
	if c.bytesPerMs == 0 || from == to {
		return 0
	}
	if bytes < smallMessage {
		return time.Duration(bytes/c.bytesPerMs) * time.Millisecond
	}
	now := c.clock.Monotonic()
	freeAt := max(now, c.linkBusyUntil[from.name]) + time.Duration(bytes/c.bytesPerMs)*time.Millisecond
	c.linkBusyUntil[from.name] = freeAt
	return freeAt - now
}

func sizeOfChanges(changes []wire.Change) (size int) {
	for _, change := range changes {
		size += 64 + sizeOfOps(change.Ops)
	}
	return size
}

func sizeOfOps(ops []wire.Op) (size int) {
	for _, op := range ops {
		size += len(op.Name) + len(op.Value) + 16
	}
	return size
}

func sizeOfAppend(call wire.AppendCall) int {
	size := 128 + sizeOfChanges(call.Changes)
	if call.Snapshot != nil {
		size += sizeOfOps(call.Snapshot.Pairs)
	}
	if call.Chunk != nil {
		size += sizeOfOps(call.Chunk.Pairs)
	}
	return size
}

func sizeOfFetched(answer wire.FetchAnswer) int {
	size := 128 + sizeOfChanges(answer.Changes) + sizeOfOps(answer.Snapshot.Pairs)
	if answer.Chunk != nil {
		size += sizeOfOps(answer.Chunk.Pairs)
	}
	return size
}

// roundTrip delivers a call to another node and its answer back, unless a fault drops one of them. Without an answer the call fails after
// the timeout.
func roundTrip[T any](c *testCluster, from, to *testNode, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	roundTripSized(c, from, to, 0, func(T) int { return 0 }, timeout, serve, done)
}

// roundTripSized is roundTrip for a call and an answer whose sizes delay them on a link of limited bandwidth.
func roundTripSized[T any](c *testCluster, from, to *testNode, bytes int, bytesBack func(T) int, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	incarnation, isDone := from.incarnation, false
	finish := func(value T, err error) {
		from.runOnEngine(func() {
			if !isDone && from.isUp && from.incarnation == incarnation {
				isDone = true
				done(value, err)
			}
		})
	}
	var zero T
	c.schedule(timeout, func() { finish(zero, errors.New("the call timed out")) })
	if to == nil {
		return
	}
	copies := 1
	if c.random.Float64() < c.lossRate {
		copies = c.random.IntN(3)
	}
	for range copies {
		lateness := time.Duration(c.random.IntN(copies)) * 20 * time.Millisecond
		if (c.delayedNodes[from.name] || c.delayedNodes[to.name]) && c.random.IntN(2) == 0 {
			lateness = time.Duration(c.random.IntN(2500)) * time.Millisecond
		}
		c.schedule(c.transitTime()+c.sendTime(from, to, bytes)+lateness, func() {
			c.arrive(from, to, func() {
				serve(func(value T) {
					c.schedule(c.transitTime()+c.sendTime(to, from, bytesBack(value)), func() { c.arrive(to, from, func() { finish(value, nil) }) })
				})
			})
		})
	}
}

// runOnEngine runs a function on the goroutine of the node's engine once that is free.
func (n *testNode) runOnEngine(run func()) {
	if wait := n.busyUntil - n.cluster.clock.Monotonic(); wait > 0 {
		n.cluster.schedule(wait, func() { n.runOnEngine(run) })
		return
	}
	run()
}

func (c *testCluster) arrive(from, to *testNode, run func()) {
	switch {
	case c.isCut(from, to) || !to.isUp:
	case to.isFrozen:
		c.schedule(20*time.Millisecond, func() { c.arrive(from, to, run) })
	default:
		run()
	}
}

// testTransport makes the calls of a node's engine over the simulated network.
type testTransport struct {
	node        *testNode
	incarnation int
}

func (r *testTransport) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if call.PreVote {
		r.node.cluster.preVotes++
	}
	to := r.node.cluster.nodeFor(disk)
	roundTrip(r.node.cluster, r.node, to, 500*time.Millisecond, func(answer func(wire.PromiseAnswer)) { to.replicas.Promise(call, answer) }, done)
}

func (r *testTransport) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Snapshot != nil && disk != r.node.disk.name {
		r.node.cluster.snapshotsSent++
	}
	to := r.node.cluster.nodeFor(disk)
	if call.Chunk != nil {
		r.node.cluster.chunksSent = append(r.node.cluster.chunksSent, call.Chunk.Number)
	}
	if to != nil && r.node.cluster.dropsCall != nil && r.node.cluster.dropsCall(to, call) {
		to = nil
	}
	if to != nil && to.isEarlierVersion {
		call.Chunk = nil
	}
	r.node.cluster.appendCount++
	sizeBack := func(wire.AppendAnswer) int { return 128 }
	roundTripSized(r.node.cluster, r.node, to, sizeOfAppend(call), sizeBack, time.Second, func(answer func(wire.AppendAnswer)) {
		to.replicas.Append(call, func(response wire.AppendAnswer) {
			if !to.isEarlierVersion && to != r.node {
				response.DelayUs = max(1, to.delay.Microseconds())
			}
			r.node.cluster.schedule(to.delay, func() { answer(response) })
		})
	}, done)
}

func (r *testTransport) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Snapshot != nil {
		r.node.cluster.snapshotsInstalled++
	}
	r.Append(r.node.disk.name, call, done)
}

func (r *testTransport) Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error)) {
	to := r.node.cluster.nodeFor(disk)
	if r.node.cluster.dropsFetches {
		to = nil
	}
	roundTripSized(r.node.cluster, r.node, to, 128, sizeOfFetched, time.Second, func(answer func(wire.FetchAnswer)) {
		if response, err := to.replicas.Fetch(to.replicas.History(call.Key), call); err == nil {
			if to.isEarlierVersion {
				response, _ = to.replicas.Fetch(replication.History{}, wire.FetchCall{Key: call.Key})
			}
			if response.Chunk != nil {
				r.node.cluster.chunksFetched = append(r.node.cluster.chunksFetched, response.Chunk.Number)
			}
			answer(response)
		}
	}, done)
}

func (r *testTransport) Status(key string, done func(replication.ReplicaStatus)) {
	done(r.node.replicas.Status(key))
}

func (r *testTransport) History(key string, done func(replication.History)) {
	done(r.node.replicas.History(key))
}

func (r *testTransport) ReadLocal(key string, done func(wire.Snapshot, error)) {
	incarnation := r.node.incarnation
	snapshot, err := r.node.disk.Read(key)
	r.node.cluster.schedule(r.node.snapshotReadTime, func() {
		r.node.runOnEngine(func() {
			if r.node.isUp && r.node.incarnation == incarnation {
				done(snapshot, err)
			}
		})
	})
}

func (c *testCluster) onOpen(m *recordingMachine) {
	epoch := m.leadership.Epoch()
	if other, isTaken := c.leaders[epoch]; isTaken {
		c.recordViolation("epoch %d has two leaders, %s and %s", epoch, other, m.node.name)
	}
	c.leaders[epoch] = m.node.name
	for name, value := range c.acknowledged {
		if m.values[name] != value {
			c.recordViolation("%s leads epoch %d but lacks the acknowledged change %s", m.node.name, epoch, name)
		}
	}
}

func (c *testCluster) recordViolation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.clock.Monotonic())+fmt.Sprintf(format, values...))
}

// step advances the simulation by one millisecond.
func (c *testCluster) step() {
	c.clock.Advance(time.Millisecond)
	now := c.clock.Monotonic()
	due := c.messages
	c.messages = nil
	for _, message := range due {
		if message.due > now {
			c.messages = append(c.messages, message)
			continue
		}
		message.run()
	}
	for _, node := range c.nodes {
		if node.isUp && !node.isFrozen {
			node.runOnce(now)
		}
	}
	c.checkLeases()
}

func (n *testNode) runOnce(now time.Duration) {
	if n.disk.isSyncDone(now, n.cluster.random) {
		writes := n.disk.pendingWrites
		n.disk.pendingWrites, n.disk.syncBegunAt = nil, now
		for _, sync := range writes {
			sync()
		}
	}
	n.replicas.Mailbox().Drain()
	if now%(25*time.Millisecond) == 0 && now >= n.busyUntil {
		n.engine.Tick()
	}
}

func (c *testCluster) checkLeases() {
	var holders []string
	for _, node := range c.nodes {
		if node.isUp && node.machine.leadership != nil && node.machine.leadership.HasLease() {
			holders = append(holders, node.name)
			c.checkLeaseGranted(node)
		}
	}
	if len(holders) > 1 {
		c.recordViolation("several nodes hold a lease at the same time: %v", holders)
	}
}

// checkLeaseGranted checks that a quorum of a leader's voters would now refuse any other candidate. Voters that are down or gone
// count as refusing.
func (c *testCluster) checkLeaseGranted(leader *testNode) {
	refuses := func(disk string) bool {
		voter := c.byDisk(disk)
		return voter == nil || !voter.isUp || voter.clock.Monotonic() < voter.replicas.Status(key).LeaseUntil
	}
	if set := leader.engine.Belief().Voters; !quorum.Reached(set, refuses) {
		c.recordViolation("%s holds a lease that no quorum of %v has granted", leader.name, set)
	}
}

func (c *testCluster) run(length time.Duration) {
	for range length / time.Millisecond {
		c.step()
	}
}

func (c *testCluster) leader() *testNode {
	index := slices.IndexFunc(c.nodes, func(node *testNode) bool {
		return node.isUp && !node.isFrozen && node.machine.leadership != nil && node.machine.leadership.HasLease()
	})
	if index < 0 {
		return nil
	}
	return c.nodes[index]
}

// write commits a change through each node that considers itself leader, and records it once it is acknowledged.
func (c *testCluster) write() {
	for _, node := range c.nodes {
		if !node.isUp || node.isFrozen || node.machine.leadership == nil {
			continue
		}
		c.writeCount++
		name := fmt.Sprintf("n%d", c.writeCount)
		value := `"` + name + strings.Repeat("x", c.valueBytes) + `"`
		node.machine.leadership.Commit([]wire.Op{{Name: name, Value: []byte(value)}}, func(err error) {
			if err == nil {
				c.acknowledged[name] = value
				c.checkAcknowledged(node, name)
			}
		})
	}
}

// checkAcknowledged checks a change at the moment of its acknowledgement: a quorum of its leader's voters must hold it, and so must
// each leader of a later epoch. The quorum is not checked within two seconds after a disk was wiped or removed.
func (c *testCluster) checkAcknowledged(leader *testNode, name string) {
	set := leader.engine.Belief().Voters
	holds := func(disk string) bool { node := c.byDisk(disk); return node != nil && node.holds(name) }
	if c.clock.Monotonic()-c.lastWipeAt > 2*time.Second && !quorum.Reached(set, holds) {
		c.recordViolation("%s was acknowledged by %s but no quorum of %v holds it", name, leader.name, set)
	}
	for _, node := range c.nodes {
		isLater := node.isUp && node.machine.leadership != nil && node.engine.Epoch() > leader.engine.Epoch()
		if _, holds := node.machine.values[name]; isLater && !holds {
			c.recordViolation("%s was acknowledged by %s but %s leads a later epoch and lacks it", name, leader.name, node.name)
		}
	}
}

func (n *testNode) holds(name string) bool { return n.disk.pairNames[name] }
