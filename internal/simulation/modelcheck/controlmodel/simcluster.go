package controlmodel

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

const (
	initialVoters = 3
	// settleTimeout is the longest time from the end of the last fault until unsettledReason must be empty.
	settleTimeout = 12 * time.Second
	// maxEventsAtOnce is the maximum number of events without an advance of simulated time.
	maxEventsAtOnce     = 20000
	settleCheckInterval = 200 * time.Millisecond
	wallAtStartMs       = 1_000_000
)

// simCluster is the whole simulated system: machines, disks, network, callers, and the state of the oracles.
type simCluster struct {
	timeline
	schedule modelcheck.Schedule
	random   *rand.Rand
	nodes    []*simNode
	// slots are the machines in use. The successor of a replaced machine takes its slot, while nodes keeps both.
	slots             []*simNode
	triggers          []powerTrigger
	diskCount         int
	initialVoterDisks []string
	cuts              map[direction]cut
	networkFault      networkFault
	// otherFaultAt is when the last fault other than a split began. faultyUntil is when all faults that have begun are over
	// and replicas have had catchUpMs to catch up.
	otherFaultAt, faultyUntil time.Duration
	fault                     injectedFault
	// service is what the replicated key is used for. oracleState and operators belong to the configuration service.
	service     service
	oracleState oracleState
	operators   operatorState
	coverage    modelcheck.Coverage
	violations  []modelcheck.Violation
	// openLeaders is the number of processes that lead the key or have not noticed yet that they no longer do.
	openLeaders int
	// eventsAtOnce counts the events since simulated time last advanced.
	eventsAtOnce int
	// isBulk is set if each change also writes a large pair.
	isBulk bool
	// bulkPairs is the number of large pairs.
	bulkPairs int
	// trace receives a line for each event; nil writes no trace.
	trace io.Writer
}

// newSimCluster creates the nodes of a schedule. They start within the first 60 ms of simulated time.
func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	sim := &simCluster{schedule: schedule, random: rand.New(rand.NewPCG(schedule.Seed, 7)), cuts: map[direction]cut{},
		coverage: modelcheck.Coverage{}}
	sim.fault = faultsOf(schedule.Model)[schedule.InjectedFault]
	sim.oracleState = newOracleState()
	sim.service = newService(schedule.Model, sim)
	sim.isBulk = slices.ContainsFunc(schedule.Steps, func(step modelcheck.Step) bool { return step.Kind == stepBulk })
	sim.bulkPairs = bulkPairs
	if schedule.Size == modelcheck.SizeLarge {
		sim.bulkPairs = maxBulkPairs
	}
	for range schedule.Nodes {
		sim.slots = append(sim.slots, sim.addNode())
	}
	for _, node := range sim.nodes[:initialVoters] {
		sim.initialVoterDisks = append(sim.initialVoterDisks, node.disk.name)
	}
	for _, node := range sim.nodes {
		sim.after(time.Duration(sim.random.IntN(60))*time.Millisecond, node.start)
	}
	return sim
}

// tracef writes a line with the simulated time to the trace.
func (sim *simCluster) tracef(format string, values ...any) {
	if sim.trace != nil {
		fmt.Fprintf(sim.trace, "%9.3f ms  "+format+"\n", append([]any{float64(sim.now) / float64(time.Millisecond)}, values...)...)
	}
}

func (sim *simCluster) countCoverage(name string) { sim.coverage[name]++ }

// reportViolation records that the invariant of an oracle did not hold. The run ends after the event that caused the first violation.
func (sim *simCluster) reportViolation(oracle, format string, values ...any) {
	sim.violations = append(sim.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(sim.now.Milliseconds()), Detail: fmt.Sprintf(format, values...)})
}

// play runs a schedule to its end, ends all faults, and continues until the system has settled. If no invariant was violated, it then
// checks the history of all calls.
func (sim *simCluster) play() modelcheck.Outcome {
	var last time.Duration
	for _, step := range sim.schedule.Steps {
		sim.after(clock.Milliseconds(int64(step.AtMs)), func() { sim.applyStep(step) })
		last = max(last, latestEndOf(step))
	}
	if !sim.runUntil(last + time.Millisecond) {
		return sim.outcome()
	}
	sim.healAll()
	sim.settle()
	if len(sim.violations) == 0 {
		sim.service.checkHistory()
	}
	return sim.outcome()
}

// latestEndOf returns the latest time at which a step may end. It does not include the time for which stepPowerOnAck waits for an
// acknowledgement.
func latestEndOf(step modelcheck.Step) time.Duration {
	end := clock.Milliseconds(int64(step.AtMs + step.ForMs))
	switch step.Kind {
	case stepReplace, stepRestart:
		end += leaveTimeout + leaveDelay
	case stepEndOfDay:
		end += triggerDuration
	}
	return end
}

// runUntil runs all events up to a time, or until an invariant is violated. It reports whether no invariant was violated.
func (sim *simCluster) runUntil(end time.Duration) bool {
	for len(sim.violations) == 0 {
		before := sim.now
		run, isDue := sim.next(end)
		if !isDue {
			return true
		}
		sim.checkProgress(before)
		run()
		if sim.openLeaders > 1 {
			sim.checkLeases()
		}
	}
	return false
}

// checkProgress is an oracle: simulated time advances after at most maxEventsAtOnce events, so that no endless loop runs at one moment.
func (sim *simCluster) checkProgress(before time.Duration) {
	if sim.now > before {
		sim.eventsAtOnce = 0
		return
	}
	sim.eventsAtOnce++
	if sim.eventsAtOnce > maxEventsAtOnce {
		sim.reportViolation("time goes on", "more than %d events at one moment", maxEventsAtOnce)
	}
}

// settle runs until unsettledReason is empty, then compares the replicas and makes the final calls. It is a violation if the system has not
// settled after settleTimeout.
func (sim *simCluster) settle() {
	end := sim.now + settleTimeout
	var reason string
	for sim.now < end {
		if !sim.runUntil(sim.now + settleCheckInterval) {
			return
		}
		if reason = sim.unsettledReason(); reason == "" {
			sim.checkReplicas()
			sim.runUntil(sim.now + sim.service.makeFinalCalls())
			return
		}
	}
	sim.reportViolation("settled", "%s, %v after the last fault", reason, settleTimeout)
}

func (sim *simCluster) outcome() modelcheck.Outcome {
	sim.coverage["simulated seconds"] = int(sim.now / time.Second)
	return modelcheck.Outcome{Violations: sim.violations, Coverage: sim.coverage}
}
