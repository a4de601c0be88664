// Package ordermodel runs the real scheduler pool and the real local-proxy table against simulated executors that follow
// the protocol, on a fake clock and a simulated network, under schedules of faults.
package ordermodel

import (
	"fmt"
	"time"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck"
)

const (
	wallAtStartMs = 1_800_000_000_000
	queueStream   = 42

	service = "board"
	poolKey = "pool/" + service
)

// simCluster is a whole simulated system: stewards, gates, local-proxies and executors.
type simCluster struct {
	queue    *eventQueue
	profile  *profile
	timing   scheduler.Timing
	key      *replicatedKey
	oracles  *oracles
	fault    injectedFault
	coverage modelcheck.Coverage
	modelcheck.Trace
	processes
	conditions
	evacuations evacuationOrders
	// coreSplits counts the splits of the core, so that the end of an earlier one doesn't end a later one.
	coreSplits int
	// calls counts the calls to leaders; the count is the number of the latest one.
	calls uint64
	// isDone ends the run: all jobs are over, and no late call can arrive any more.
	isDone bool
	// onCommit is called once, after a steward has next been informed of the outcome of a durable commit; it is nil if there is
	// nothing to do then.
	onCommit func()
	// retainedRecords names the job records whose deletion faultCancelForgotten leaves out of commits.
	retainedRecords map[string]bool
}

// processes are all processes of the system.
type processes struct {
	stewards  []*modelSteward
	gates     []*modelGate
	proxies   []*modelProxy
	executors []*modelExecutor
	// views are the membership views that processes have, by the index of the steward that leads; each is created on first use.
	views []*membership.View
	// outside stands for all clients, which call from outside of the system.
	outside *modelProcess
}

// conditions are the present faults of the network and the disks, and the ends of the last faults.
type conditions struct {
	messageFaults messageFaults
	syncDelay     time.Duration
	// faultsUntil is the end of the last fault so far, of any kind; it may lie in the future.
	faultsUntil time.Duration
	// coreFaultsUntil is the end of the last fault of stewards, gates or the network as a whole.
	coreFaultsUntil time.Duration
}

// newSimCluster creates and starts all processes that a schedule needs.
func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	profile := profileOf(schedule.Size)
	c := &simCluster{queue: newEventQueue(schedule.Seed), profile: profile, fault: injectedFault{schedule.InjectedFault}, coverage: modelcheck.Coverage{},
		retainedRecords: map[string]bool{}}
	c.timing = c.fault.adjustTiming(profile.timing)
	c.oracles = newOracles(c)
	c.outside = &modelProcess{cluster: c, name: "outside", lifecycle: lifecycle{isUp: true}, isNeverDoubled: true}
	c.key = &replicatedKey{cluster: c, pairs: map[string][]byte{}}
	c.views = make([]*membership.View, schedule.Nodes)
	for number := range schedule.Nodes {
		c.stewards = append(c.stewards, &modelSteward{modelProcess: modelProcess{cluster: c, name: fmt.Sprintf("steward-%d", number)}})
	}
	for number := range profile.gates {
		c.gates = append(c.gates, &modelGate{modelProcess: modelProcess{cluster: c, name: fmt.Sprintf("gate-%d", number), isNeverDoubled: true}})
	}
	for number := range profile.executors {
		machine := fmt.Sprintf("side-%d", number)
		executor := &modelExecutor{cluster: c, machine: machine, number: number, capacity: profile.capacity(number),
			labels: []string{"zone", rackOf(number / profile.rackSize)}, isGuarding: profile.isGuarding(number)}
		executor.proxy = &modelProxy{modelProcess: modelProcess{cluster: c, name: machine}, executor: executor}
		c.executors, c.proxies = append(c.executors, executor), append(c.proxies, executor.proxy)
	}
	c.start()
	return c
}

// start starts all processes, the monitoring of the leader's lease, and the check for stalled jobs.
func (c *simCluster) start() {
	for _, steward := range c.stewards {
		steward.start()
	}
	for _, gate := range c.gates {
		gate.start()
	}
	for _, proxy := range c.proxies {
		proxy.start()
	}
	for _, executor := range c.executors {
		executor.start()
	}
	c.key.monitorLease()
	c.watchStalls()
}

func (c *simCluster) count(description string) { c.coverage[description]++ }

// announce informs gates and proxies of a new leader, each after a delay of its own. A process that is cut off is informed later.
func (c *simCluster) announce(successor *leadership) {
	for _, gate := range c.gates {
		c.announceTo(&gate.modelProcess, successor)
	}
	for _, proxy := range c.proxies {
		c.announceTo(&proxy.modelProcess, successor)
	}
}

// announceTo informs a process of a new leader after a delay, and tries again later if the process can't be reached then. It gives
// up once there is a newer leader.
func (c *simCluster) announceTo(to *modelProcess, successor *leadership) {
	c.queue.after(c.queue.between(time.Millisecond, maxAnnouncementDelay), func() {
		if c.key.leader != successor {
			return
		}
		if !to.isReachable() || to.group != successor.steward.group {
			c.announceTo(to, successor)
			return
		}
		for index, steward := range c.stewards {
			if steward == successor.steward {
				to.updateLeader(index)
			}
		}
	})
}
