package rolloutmodel

import (
	"fmt"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/simcluster"
)

const (
	wallAtStartMs = 1_800_000_000_000
	gateCount     = 4
	versionCount  = 3
	tickInterval  = 50 * time.Millisecond
	// spreadTime is how long a configuration takes to reach a process that is in touch.
	spreadTimeMs = 1500
	// The transit of a message in milliseconds, and that of a copy that comes late.
	minTransitMs, maxTransitMs = 1, 8
	minLateMs, maxLateMs       = 100, 4000
	// lateAtPromise is how many of a hundred messages come a second time, late, while pools lose their leaders at promises.
	lateAtPromise = 60
)

// serviceOf is the name of a version.
func serviceOf(number int) string { return fmt.Sprintf("v%d", number) }

// simCluster is all pools, gates and the leader of the configuration, and what connects them.
type simCluster struct {
	queue   *simcluster.EventQueue
	pools   []*modelPool
	gates   []*modelGate
	control *modelControl
	jobs    map[int]*modelJob
	order   []*modelJob
	tasks   map[string]*taskFacts
	fault   string
	network
	coverage   modelcheck.Coverage
	violations []modelcheck.Violation
	modelcheck.Trace
}

// network is how messages fare, and what happens with them; cutUntil is until when half of the gates learn of no configuration.
type network struct {
	lostPercent, latePercent int
	cutUntil                 time.Duration
	// killAtTransfer says which pools lose their leaders at the next transfers.
	killAtTransfer []int
	// killAtPromise is how many of the next pools that promise not to take a job lose their leaders.
	killAtPromise int
}

func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	c := &simCluster{queue: simcluster.NewEventQueue(wallAtStartMs, schedule.Seed), coverage: modelcheck.Coverage{}, fault: schedule.InjectedFault,
		jobs: map[int]*modelJob{}, tasks: map[string]*taskFacts{}}
	for number := range versionCount {
		c.pools = append(c.pools, newModelPool(c, number))
	}
	for range gateCount {
		c.gates = append(c.gates, &modelGate{cluster: c, number: len(c.gates)})
	}
	c.control = newModelControl(c)
	return c
}

// start opens all keys, and lets time pass for all processes.
func (c *simCluster) start() {
	for _, pool := range c.pools {
		pool.open()
		pool.tickForEver()
	}
	c.control.open()
	c.control.bootstrap()
	c.control.reconcileForEver()
}

// after runs something after a count of milliseconds drawn between two.
func (c *simCluster) after(fromMs, toMs int, run func()) { c.queue.After(c.between(fromMs, toMs), run) }

func (c *simCluster) between(fromMs, toMs int) time.Duration {
	return clock.Milliseconds(int64(fromMs + c.queue.Draw.IntN(toMs-fromMs+1)))
}

// play has a step happen.
func (c *simCluster) play(step modelcheck.Step) {
	c.coverage[step.Kind]++
	c.note("%s node %d peer %d value %d for %d ms", step.Kind, step.Node, step.Peer, step.Value, step.ForMs)
	during := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindSubmit, kindAgain, kindCancel:
		c.playJob(step)
	case kindKillPool:
		c.pools[step.Node].kill()
	case kindKillAtTransfer:
		c.killAtTransfer = append(c.killAtTransfer, step.Node)
	case kindKillAtPromise:
		c.killAtPromise++
		c.latePercent = lateAtPromise
		c.queue.After(during, func() { c.latePercent = 0 })
	case kindKillControl:
		c.control.losesNext = true
		c.queue.After(during, c.control.kill)
	case kindCutGates:
		c.cutUntil = c.queue.Now() + during
	case kindLoseMessages:
		c.lostPercent = step.Value
		c.queue.After(during, func() { c.lostPercent = 0 })
	case kindLateMessages:
		c.latePercent = step.Value
		c.queue.After(during, func() { c.latePercent = 0 })
	case kindSilentExecutors:
		pool := c.pools[step.Node]
		pool.isSilent = true
		pool.silentUntil = max(pool.silentUntil, c.queue.Now()+during)
		c.queue.After(during, func() { pool.isSilent = false })
	default:
		c.control.order(step)
	}
}

// endFaults ends all faults.
func (c *simCluster) endFaults() {
	c.network = network{}
	c.control.losesNext = false
	for _, pool := range c.pools {
		pool.isSilent = false
	}
}

// send carries a message, or loses, delays or doubles it.
func (c *simCluster) send(arrive func()) {
	if c.queue.Draw.IntN(100) < c.lostPercent {
		c.coverage["message_lost"]++
		return
	}
	c.after(minTransitMs, maxTransitMs, arrive)
	if c.queue.Draw.IntN(100) < c.latePercent {
		c.coverage["message_late"]++
		c.after(minLateMs, maxLateMs, arrive)
	}
}

// spread brings a committed configuration to all processes, each at a moment of its own. Gates that are cut off learn of it afterwards.
func (c *simCluster) spread(committed *wire.Configuration) {
	decoded, err := configuration.Read(committed.Body)
	if err != nil {
		c.violate("CONFIG", "the committed configuration can't be read: %v", err)
		return
	}
	snapshot := &configcache.Snapshot{Committed: committed, Matcher: configuration.NewMatcher(decoded)}
	for _, pool := range c.pools {
		c.after(0, spreadTimeMs, func() { pool.snapshot = newerOf(pool.snapshot, snapshot) })
	}
	for _, gate := range c.gates {
		c.after(0, spreadTimeMs, func() { c.reach(gate, snapshot) })
	}
}

// reach brings a configuration to a gate, once that is in touch.
func (c *simCluster) reach(gate *modelGate, snapshot *configcache.Snapshot) {
	if gate.number%2 == 0 && c.queue.Now() < c.cutUntil {
		c.queue.After(c.cutUntil-c.queue.Now(), func() { c.reach(gate, snapshot) })
		return
	}
	gate.snapshot = newerOf(gate.snapshot, snapshot)
}

// newerOf is the newer of two configurations; a process never goes back.
func newerOf(known, other *configcache.Snapshot) *configcache.Snapshot {
	if known != nil && known.Committed.Version >= other.Committed.Version {
		return known
	}
	return other
}

func (c *simCluster) violate(oracle, format string, values ...any) {
	detail := fmt.Sprintf(format, values...)
	c.note("%s: %s", oracle, detail)
	c.violations = append(c.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(c.queue.Now().Milliseconds()), Detail: detail})
}
