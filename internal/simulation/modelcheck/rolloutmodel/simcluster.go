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
	// maxSpreadTimeMs is the longest time until a configuration reaches a process that is not cut off, in milliseconds.
	maxSpreadTimeMs = 1500
	// The bounds of the transit time of a message, and of a late duplicate, in milliseconds.
	minTransitMs, maxTransitMs = 1, 8
	minLateMs, maxLateMs       = 100, 4000
	// latePercentAtPromises is the percentage of messages with a late duplicate while pools lose their leaders at promises.
	latePercentAtPromises = 60
)

// serviceOf returns the name of the service that runs a version.
func serviceOf(number int) string { return fmt.Sprintf("v%d", number) }

// simCluster is the whole simulated system: the pools, the gates, the leader of the configuration and the network. It also
// holds the jobs of clients and the facts and violations that the oracles record.
type simCluster struct {
	queue       *simcluster.EventQueue
	pools       []*modelPool
	gates       []*modelGate
	control     *modelControl
	jobs        map[int]*modelJob
	jobsInOrder []*modelJob
	tasks       map[string]*taskFacts
	fault       string
	network
	coverage   modelcheck.Coverage
	violations []modelcheck.Violation
	modelcheck.Trace
}

// network holds the present faults of messages, and the leaderships that end at certain messages.
type network struct {
	lostPercent, latePercent int
	// cutUntil is the time until which half of the gates receive no configuration.
	cutUntil time.Duration
	// killAtTransfer says for each of the next transfers which pools lose their leaders; see kindKillAtTransfer.
	killAtTransfer []int
	// killAtPromise is the number of the next promises not to take a job at which the promising pool loses its leader.
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

// start has the first leaders take over, commits the first configuration, and starts the periodic work of all processes.
func (c *simCluster) start() {
	for _, pool := range c.pools {
		pool.open()
		pool.tickRepeatedly()
	}
	c.control.open()
	c.control.bootstrap()
	c.control.reconcileRepeatedly()
}

// after schedules a call after a delay that is drawn between two bounds in milliseconds.
func (c *simCluster) after(fromMs, toMs int, run func()) { c.queue.After(c.between(fromMs, toMs), run) }

func (c *simCluster) between(fromMs, toMs int) time.Duration {
	return clock.Milliseconds(int64(fromMs + c.queue.Draw.IntN(toMs-fromMs+1)))
}

// play applies one step of the schedule.
func (c *simCluster) play(step modelcheck.Step) {
	c.coverage[step.Kind]++
	c.tracef("%s node %d peer %d value %d for %d ms", step.Kind, step.Node, step.Peer, step.Value, step.ForMs)
	length := clock.Milliseconds(int64(step.ForMs))
	switch step.Kind {
	case kindSubmit, kindSubmitAgain, kindCancel:
		c.playJob(step)
	case kindKillPool:
		c.pools[step.Node].kill()
	case kindKillAtTransfer:
		c.killAtTransfer = append(c.killAtTransfer, step.Node)
	case kindKillAtPromise:
		c.killAtPromise++
		c.latePercent = latePercentAtPromises
		c.queue.After(length, func() { c.latePercent = 0 })
	case kindKillControl:
		c.control.losesNextChange = true
		c.queue.After(length, c.control.kill)
	case kindCutGates:
		c.cutUntil = c.queue.Now() + length
	case kindLoseMessages:
		c.lostPercent = step.Value
		c.queue.After(length, func() { c.lostPercent = 0 })
	case kindLateMessages:
		c.latePercent = step.Value
		c.queue.After(length, func() { c.latePercent = 0 })
	case kindSilentExecutors:
		pool := c.pools[step.Node]
		pool.isSilent = true
		pool.silentUntil = max(pool.silentUntil, c.queue.Now()+length)
		c.queue.After(length, func() { pool.isSilent = false })
	case kindRetire:
		for _, pool := range c.pools {
			pool.retire()
		}
	default:
		c.control.scheduleOrder(step)
	}
}

// endFaults ends all faults of the network, the leader of the configuration and the executors.
func (c *simCluster) endFaults() {
	c.network = network{}
	c.control.losesNextChange = false
	for _, pool := range c.pools {
		pool.isSilent = false
	}
}

// send carries a message. A fault may lose the message, or deliver a duplicate of it late.
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

// spreadConfiguration brings a committed configuration to all pools and gates, to each after a delay of its own. A gate that is cut
// off then receives it once the cut is over.
func (c *simCluster) spreadConfiguration(committed *wire.Configuration) {
	decoded, err := configuration.Read(committed.Body)
	if err != nil {
		c.violate("CONFIG", "the committed configuration can't be read: %v", err)
		return
	}
	if len(decoded.Routes) == 0 {
		c.coverage["no_queue"]++
	}
	if c.fault == faultRemovedQueueForgotten && c.coverage["no_queue"] > 0 {
		withoutFormer := *committed
		withoutFormer.Moved = nil
		committed = &withoutFormer
	}
	snapshot := &configcache.Snapshot{Committed: committed, Matcher: configuration.NewMatcher(decoded)}
	for _, pool := range c.pools {
		c.after(0, maxSpreadTimeMs, func() { pool.snapshot = newerOf(pool.snapshot, snapshot) })
	}
	for _, gate := range c.gates {
		c.after(0, maxSpreadTimeMs, func() { c.deliverConfiguration(gate, snapshot) })
	}
}

// deliverConfiguration brings a configuration to a gate, or postpones that while the gate is cut off. Only gates with an even number
// are ever cut off.
func (c *simCluster) deliverConfiguration(gate *modelGate, snapshot *configcache.Snapshot) {
	if gate.number%2 == 0 && c.queue.Now() < c.cutUntil {
		c.queue.After(c.cutUntil-c.queue.Now(), func() { c.deliverConfiguration(gate, snapshot) })
		return
	}
	gate.snapshot = newerOf(gate.snapshot, snapshot)
}

// newerOf returns the newer of two configurations, so that a process never goes back to an earlier one. known may be nil.
func newerOf(known, other *configcache.Snapshot) *configcache.Snapshot {
	if known != nil && known.Committed.Version >= other.Committed.Version {
		return known
	}
	return other
}

// violate records a violation of an oracle's invariant.
func (c *simCluster) violate(oracle, format string, values ...any) {
	detail := fmt.Sprintf(format, values...)
	c.tracef("%s: %s", oracle, detail)
	c.violations = append(c.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(c.queue.Now().Milliseconds()), Detail: detail})
}
