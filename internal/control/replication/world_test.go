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
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/simulation/simcluster"
)

// fakeDisk keeps what was synced; a write waits in the line until the world syncs it.
type fakeDisk struct {
	*simcluster.Shelf
	name   string
	isBare bool
	line   []func()
	stalls bool
	// refuses makes each write fail; unclear lets it reach the disk all the same.
	refuses bool
	unclear bool
	// syncTime is how long a sync takes; without one it takes a few milliseconds.
	syncTime time.Duration
	begunAt  time.Duration
	// names are those of all pairs on the disk.
	names map[string]bool
}

var errDisk = errors.New("the disk refuses")

func newDisk(name string) *fakeDisk {
	return &fakeDisk{Shelf: simcluster.NewShelf(), name: name, isBare: true, names: map[string]bool{}}
}

func (d *fakeDisk) Disk() string { return d.name }
func (d *fakeDisk) Bare() bool   { return d.isBare }

func (d *fakeDisk) Heads() (map[string]storage.ReplicaState, error) {
	return maps.Clone(d.Shelf.Heads), nil
}

func (d *fakeDisk) Submit(write storage.Write, done func(storage.Outcome)) {
	d.line = append(d.line, func() {
		if d.refuses && !d.unclear {
			done(storage.Outcome{Err: errDisk})
			return
		}
		outcome := d.Apply(write)
		d.noteNames(write, outcome)
		if d.unclear {
			outcome = storage.Outcome{Err: errDisk}
		}
		done(outcome)
	})
}

func (d *fakeDisk) noteNames(write storage.Write, outcome storage.Outcome) {
	if !outcome.Taken {
		return
	}
	if write.Snapshot != nil {
		clear(d.names)
		for _, pair := range write.Snapshot.Pairs {
			d.names[pair.Name] = true
		}
	}
	for _, change := range write.Changes {
		for _, op := range change.Ops {
			d.names[op.Name] = true
		}
	}
}

// mayEnd tells whether the sync of what waits may end now.
func (d *fakeDisk) mayEnd(now time.Duration, draw *rand.Rand) bool {
	if d.stalls || len(d.line) == 0 {
		d.begunAt = now
		return false
	}
	if d.syncTime > 0 {
		return now-d.begunAt >= d.syncTime
	}
	return draw.IntN(4) == 0
}

type machine struct {
	world  *world
	node   *node
	tenure *replication.Leadership
	held   map[string]string
}

func (m *machine) Open(tenure *replication.Leadership, pairs []wire.Op) error {
	m.tenure, m.held = tenure, map[string]string{}
	for _, pair := range pairs {
		m.held[pair.Name] = string(pair.Value)
	}
	m.world.opened(m)
	return nil
}

func (m *machine) Close() { m.tenure = nil }

// nodeClock is the world's clock with a time of day that may jump, and a steady clock that may run fast or slow.
type nodeClock struct {
	*clock.Fake
	jump int64
	// perMille is how many milliseconds it gains in a second.
	perMille int64
}

func (c *nodeClock) Monotonic() time.Duration {
	return c.Fake.Monotonic() * time.Duration(1000+c.perMille) / 1000
}

func (c *nodeClock) WallMs() int64 { return c.Fake.WallMs() + c.jump }

// node is one steward: its disk stays while the rest of it may die.
type node struct {
	world    *world
	name     string
	domain   string
	disk     *fakeDisk
	past     []string
	isUp     bool
	isFrozen bool
	isOld    bool
	late     time.Duration
	life     int
	// readTime is how long its processor needs to read the whole state; busyUntil is when its engine's goroutine is free.
	readTime  time.Duration
	busyUntil time.Duration
	clock     *nodeClock
	replicas  *replication.Replicas
	engine    *replication.Engine
	machine   *machine
}

type letter struct {
	due time.Duration
	run func()
}

// world is a network and a clock of which the test is master.
type world struct {
	clock   *clock.Fake
	draw    *rand.Rand
	nodes   []*node
	letters []letter
	cut     map[string]bool
	// oneWay holds the links that carry nothing, as "from>to".
	oneWay map[string]bool
	// late holds the nodes whose calls, there and from there, may come seconds late.
	late map[string]bool
	// bytesPerMs limits what a node sends; 0 is no limit. sentUntil is when a node's link is free again.
	bytesPerMs int
	sentUntil  map[string]time.Duration
	// slowness is how long each message takes at most beyond the usual, and half of it at least, as on machines short of
	// processors.
	slowness time.Duration
	// silentFetches lets no call for a state arrive.
	silentFetches bool
	appends       int
	wipedAt       time.Duration
	loss          float64
	acked         map[string]string
	owners        map[uint64]string
	problems      []string
	written       int
	losses        int
	trials        int
	wholes        int
	fetched       int
	pieces        []int
	chunks        []int
	bulk          int
	eats          func(to *node, call wire.AppendCall) bool
	diskless      []wire.Member
}

const key = "pool/wards"

func newWorld(seed uint64, names ...string) *world { return newWorldBearing(1, seed, names...) }

// newWorldBearing has keys that must survive the loss of so many disks at once.
func newWorldBearing(losses int, seed uint64, names ...string) *world {
	w := &world{losses: losses, clock: clock.NewFake(1_000_000), draw: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{},
		oneWay: map[string]bool{}, late: map[string]bool{}, sentUntil: map[string]time.Duration{}, wipedAt: -time.Hour, acked: map[string]string{}, owners: map[uint64]string{}}
	for _, name := range names {
		w.add(name)
	}
	for _, one := range w.nodes {
		one.start()
	}
	return w
}

func (w *world) add(name string) *node {
	one := &node{world: w, name: name, disk: newDisk("disk-" + name), clock: &nodeClock{Fake: w.clock}}
	w.nodes = append(w.nodes, one)
	return one
}

func (w *world) birth() []string { return []string{"disk-a", "disk-b", "disk-c"} }

func (n *node) start() {
	n.isUp, n.isFrozen = true, false
	n.life++
	n.disk.line = nil
	replicas, err := replication.NewReplicas(mailbox.New(64), n.disk, n.clock, replication.DefaultTiming.Lease)
	if err != nil {
		panic(err)
	}
	n.disk.isBare = false
	n.replicas = replicas
	n.machine = &machine{world: n.world, node: n}
	n.engine = replication.NewEngine(key, n.disk.name, n.name, n.clock, &road{n, n.life}, n.machine, n.world.members,
		replication.WithInitialVoters(n.world.birth()), replication.WithMachineLosses(n.world.losses))
}

func (n *node) kill() { n.isUp = false; n.life++; n.disk.line = nil }

func (n *node) wipe(name string) {
	n.kill()
	n.world.wipedAt = n.world.clock.Monotonic()
	n.past = append(n.past, n.disk.name)
	n.disk = newDisk(name)
	n.start()
}

func (w *world) members() []wire.Member {
	all := slices.Clone(w.diskless)
	for _, one := range w.nodes {
		state := wire.StateAlive
		if !one.isUp {
			state = wire.StateGone
		}
		all = append(all, wire.Member{Name: one.name, Role: "steward", Domain: one.domain, Disk: one.disk.name, State: state, Past: one.past})
	}
	return all
}

func (w *world) byDisk(disk string) *node {
	for _, one := range w.nodes {
		if one.disk.name == disk {
			return one
		}
	}
	return nil
}

// route is where a call to a disk goes: to its node, also when that came back with another disk at the same address.
func (w *world) route(disk string) *node {
	if one := w.byDisk(disk); one != nil {
		return one
	}
	for _, one := range w.nodes {
		if slices.Contains(one.past, disk) {
			return one
		}
	}
	return nil
}

func (w *world) post(wait time.Duration, run func()) {
	w.letters = append(w.letters, letter{w.clock.Monotonic() + wait, run})
}

func (w *world) transit() time.Duration {
	return time.Duration(1+w.draw.IntN(9))*time.Millisecond + w.slowness/2 + time.Duration(w.draw.Int64N(int64(w.slowness)/2+1))
}

func (w *world) isCut(one, two *node) bool {
	return one != two && (w.cut[one.name] || w.cut[two.name] || w.oneWay[one.name+">"+two.name])
}

// smallMessage is one that passes by the large ones on a link, as windows are small there.
const smallMessage = 4 << 10

// sending is how long a message of some bytes takes to leave a node, a large one behind those before it.
func (w *world) sending(from, to *node, bytes int) time.Duration {
	if w.bytesPerMs == 0 || from == to {
		return 0
	}
	if bytes < smallMessage {
		return time.Duration(bytes/w.bytesPerMs) * time.Millisecond
	}
	now := w.clock.Monotonic()
	free := max(now, w.sentUntil[from.name]) + time.Duration(bytes/w.bytesPerMs)*time.Millisecond
	w.sentUntil[from.name] = free
	return free - now
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

// carry brings a call to another node and its answer back, unless a fault eats one of them.
func carry[T any](w *world, from, to *node, limit time.Duration, serve func(answer func(T)), done func(T, error)) {
	carrySized(w, from, to, 0, func(T) int { return 0 }, limit, serve, done)
}

// carrySized is carry for a call and an answer that take the link some time.
func carrySized[T any](w *world, from, to *node, bytes int, bytesBack func(T) int, limit time.Duration, serve func(answer func(T)), done func(T, error)) {
	fromLife, isOver := from.life, false
	finish := func(value T, err error) {
		from.onEngine(func() {
			if !isOver && from.isUp && from.life == fromLife {
				isOver = true
				done(value, err)
			}
		})
	}
	var none T
	w.post(limit, func() { finish(none, errors.New("no answer in time")) })
	if to == nil {
		return
	}
	times := 1
	if w.draw.Float64() < w.loss {
		times = w.draw.IntN(3)
	}
	for range times {
		late := time.Duration(w.draw.IntN(times)) * 20 * time.Millisecond
		if (w.late[from.name] || w.late[to.name]) && w.draw.IntN(2) == 0 {
			late = time.Duration(w.draw.IntN(2500)) * time.Millisecond
		}
		w.post(w.transit()+w.sending(from, to, bytes)+late, func() {
			w.arrive(from, to, func() {
				serve(func(value T) {
					w.post(w.transit()+w.sending(to, from, bytesBack(value)), func() { w.arrive(to, from, func() { finish(value, nil) }) })
				})
			})
		})
	}
}

// onEngine runs something on the goroutine of the node's engine, once that is free.
func (n *node) onEngine(run func()) {
	if wait := n.busyUntil - n.world.clock.Monotonic(); wait > 0 {
		n.world.post(wait, func() { n.onEngine(run) })
		return
	}
	run()
}

func (w *world) arrive(from, to *node, run func()) {
	switch {
	case w.isCut(from, to) || !to.isUp:
	case to.isFrozen:
		w.post(20*time.Millisecond, func() { w.arrive(from, to, run) })
	default:
		run()
	}
}

type road struct {
	node *node
	life int
}

func (r *road) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if call.PreVote {
		r.node.world.trials++
	}
	to := r.node.world.route(disk)
	carry(r.node.world, r.node, to, 500*time.Millisecond, func(answer func(wire.PromiseAnswer)) { to.replicas.Promise(call, answer) }, done)
}

func (r *road) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Snapshot != nil && disk != r.node.disk.name {
		r.node.world.wholes++
	}
	to := r.node.world.route(disk)
	if call.Chunk != nil {
		r.node.world.pieces = append(r.node.world.pieces, call.Chunk.Number)
	}
	if to != nil && r.node.world.eats != nil && r.node.world.eats(to, call) {
		to = nil
	}
	if to != nil && to.isOld {
		call.Chunk = nil
	}
	r.node.world.appends++
	sizeBack := func(wire.AppendAnswer) int { return 128 }
	carrySized(r.node.world, r.node, to, sizeOfAppend(call), sizeBack, time.Second, func(answer func(wire.AppendAnswer)) {
		to.replicas.Append(call, func(told wire.AppendAnswer) {
			if !to.isOld && to != r.node {
				told.DelayUs = max(1, to.late.Microseconds())
			}
			r.node.world.post(to.late, func() { answer(told) })
		})
	}, done)
}

func (r *road) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Snapshot != nil {
		r.node.world.fetched++
	}
	r.Append(r.node.disk.name, call, done)
}

func (r *road) Fetch(disk string, ask wire.FetchCall, done func(wire.FetchAnswer, error)) {
	to := r.node.world.route(disk)
	if r.node.world.silentFetches {
		to = nil
	}
	carrySized(r.node.world, r.node, to, 128, sizeOfFetched, time.Second, func(answer func(wire.FetchAnswer)) {
		if whole, err := to.replicas.Fetch(to.replicas.History(ask.Key), ask); err == nil {
			if to.isOld {
				whole, _ = to.replicas.Fetch(replication.History{}, wire.FetchCall{Key: ask.Key})
			}
			if whole.Chunk != nil {
				r.node.world.chunks = append(r.node.world.chunks, whole.Chunk.Number)
			}
			answer(whole)
		}
	}, done)
}

func (r *road) Status(key string, done func(replication.ReplicaStatus)) {
	done(r.node.replicas.Status(key))
}

func (r *road) History(key string, done func(replication.History)) {
	done(r.node.replicas.History(key))
}

func (r *road) ReadLocal(key string, done func(wire.Snapshot, error)) {
	life := r.node.life
	snapshot, err := r.node.disk.Read(key)
	r.node.world.post(r.node.readTime, func() {
		r.node.onEngine(func() {
			if r.node.isUp && r.node.life == life {
				done(snapshot, err)
			}
		})
	})
}

func (w *world) opened(m *machine) {
	epoch := m.tenure.Epoch()
	if other, isTaken := w.owners[epoch]; isTaken {
		w.problem("epoch %d is owned by %s and %s", epoch, other, m.node.name)
	}
	w.owners[epoch] = m.node.name
	for name, value := range w.acked {
		if m.held[name] != value {
			w.problem("%s owns epoch %d without %s, which was acknowledged", m.node.name, epoch, name)
		}
	}
}

func (w *world) problem(format string, values ...any) {
	w.problems = append(w.problems, fmt.Sprintf("%v: ", w.clock.Monotonic())+fmt.Sprintf(format, values...))
}

// step lets one millisecond pass.
func (w *world) step() {
	w.clock.Advance(time.Millisecond)
	now := w.clock.Monotonic()
	due := w.letters
	w.letters = nil
	for _, one := range due {
		if one.due > now {
			w.letters = append(w.letters, one)
			continue
		}
		one.run()
	}
	for _, one := range w.nodes {
		if one.isUp && !one.isFrozen {
			one.turn(now)
		}
	}
	w.checkLeases()
}

func (n *node) turn(now time.Duration) {
	if n.disk.mayEnd(now, n.world.draw) {
		line := n.disk.line
		n.disk.line, n.disk.begunAt = nil, now
		for _, sync := range line {
			sync()
		}
	}
	n.replicas.Box().Drain()
	if now%(25*time.Millisecond) == 0 && now >= n.busyUntil {
		n.engine.Tick()
	}
}

func (w *world) checkLeases() {
	var holders []string
	for _, one := range w.nodes {
		if one.isUp && one.machine.tenure != nil && one.machine.tenure.HasLease() {
			holders = append(holders, one.name)
			w.checkVouched(one)
		}
	}
	if len(holders) > 1 {
		w.problem("two leases at once: %v", holders)
	}
}

// checkVouched looks whether a majority of a leader's voters would refuse any other now; those that are down or gone do.
func (w *world) checkVouched(leader *node) {
	refuses := func(disk string) bool {
		voter := w.byDisk(disk)
		return voter == nil || !voter.isUp || voter.clock.Monotonic() < voter.replicas.Status(key).LeaseEnd
	}
	if set := leader.engine.Belief().Set; !replication.Agreed(set, refuses) {
		w.problem("%s counts on a lease that no majority of %v has granted", leader.name, set)
	}
}

func (w *world) run(length time.Duration) {
	for range length / time.Millisecond {
		w.step()
	}
}

func (w *world) owner() *node {
	place := slices.IndexFunc(w.nodes, func(one *node) bool {
		return one.isUp && !one.isFrozen && one.machine.tenure != nil && one.machine.tenure.HasLease()
	})
	if place < 0 {
		return nil
	}
	return w.nodes[place]
}

// write hands a change to whoever holds the key, and notes it once it is acknowledged.
func (w *world) write() {
	for _, one := range w.nodes {
		if !one.isUp || one.isFrozen || one.machine.tenure == nil {
			continue
		}
		w.written++
		name := fmt.Sprintf("n%d", w.written)
		value := `"` + name + strings.Repeat("x", w.bulk) + `"`
		one.machine.tenure.Commit([]wire.Op{{Name: name, Value: []byte(value)}}, func(err error) {
			if err == nil {
				w.acked[name] = value
				w.checkAcknowledged(one, name)
			}
		})
	}
}

// checkAcknowledged looks at a change in the moment of its acknowledgement: a majority of its leader's voters must hold
// it, and each leader of a later epoch.
func (w *world) checkAcknowledged(leader *node, name string) {
	set := leader.engine.Belief().Set
	holds := func(disk string) bool { one := w.byDisk(disk); return one != nil && one.holds(name) }
	if w.clock.Monotonic()-w.wipedAt > 2*time.Second && !replication.Agreed(set, holds) {
		w.problem("%s was acknowledged by %s while no majority of %v holds it", name, leader.name, set)
	}
	for _, one := range w.nodes {
		isLater := one.isUp && one.machine.tenure != nil && one.engine.Epoch() > leader.engine.Epoch()
		if _, holds := one.machine.held[name]; isLater && !holds {
			w.problem("%s was acknowledged by %s while %s leads a later epoch without it", name, leader.name, one.name)
		}
	}
}

func (n *node) holds(name string) bool { return n.disk.names[name] }
