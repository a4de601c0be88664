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
	settleTimeout       = 12 * time.Second
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
	cuts              map[pair]cut
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
	w := &simCluster{schedule: schedule, random: rand.New(rand.NewPCG(schedule.Seed, 7)), cuts: map[pair]cut{},
		coverage: modelcheck.Coverage{}}
	w.fault = faultsOf(schedule.Model)[schedule.InjectedFault]
	w.oracleState = newOracleState()
	w.service = newService(schedule.Model, w)
	w.isBulk = slices.ContainsFunc(schedule.Steps, func(step modelcheck.Step) bool { return step.Kind == stepBulk })
	w.bulkPairs = bulkPairs
	if schedule.Size == modelcheck.SizeLarge {
		w.bulkPairs = maxBulkPairs
	}
	for range schedule.Nodes {
		w.slots = append(w.slots, w.addNode())
	}
	for _, node := range w.nodes[:initialVoters] {
		w.initialVoterDisks = append(w.initialVoterDisks, node.disk.name)
	}
	for _, node := range w.nodes {
		w.after(time.Duration(w.random.IntN(60))*time.Millisecond, node.start)
	}
	return w
}

// tracef writes a line with the simulated time to the trace.
func (w *simCluster) tracef(format string, values ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%9.3f ms  "+format+"\n", append([]any{float64(w.now) / float64(time.Millisecond)}, values...)...)
	}
}

func (w *simCluster) countCoverage(name string) { w.coverage[name]++ }

// reportViolation records that an oracle does not hold. The first violation ends the run.
func (w *simCluster) reportViolation(oracle, format string, values ...any) {
	w.violations = append(w.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(w.now.Milliseconds()), Detail: fmt.Sprintf(format, values...)})
}

// play runs a schedule to its end, ends all faults, and continues until the system has settled.
func (w *simCluster) play() modelcheck.Outcome {
	var last time.Duration
	for _, step := range w.schedule.Steps {
		w.after(clock.Milliseconds(int64(step.AtMs)), func() { w.applyStep(step) })
		last = max(last, latestEndOf(step))
	}
	if !w.runUntil(last + time.Millisecond) {
		return w.outcome()
	}
	w.healAll()
	w.settle()
	if len(w.violations) == 0 {
		w.service.checkHistory()
	}
	return w.outcome()
}

// latestEndOf returns the latest time at which a step may end.
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

// runUntil runs all events up to a time. It returns false when an invariant was violated.
func (w *simCluster) runUntil(end time.Duration) bool {
	for len(w.violations) == 0 {
		before := w.now
		run, isDue := w.next(end)
		if !isDue {
			return true
		}
		w.checkProgress(before)
		run()
		if w.openLeaders > 1 {
			w.checkLeases()
		}
	}
	return false
}

// checkProgress is an oracle: simulated time advances, so no endless loop of events happens at one moment.
func (w *simCluster) checkProgress(before time.Duration) {
	if w.now > before {
		w.eventsAtOnce = 0
		return
	}
	w.eventsAtOnce++
	if w.eventsAtOnce > maxEventsAtOnce {
		w.reportViolation("time goes on", "more than %d events at one moment", maxEventsAtOnce)
	}
}

// settle runs until no reason is left why the system has not settled, then compares the replicas and makes the final calls.
// A system that has not settled after settleTimeout is a violation.
func (w *simCluster) settle() {
	end := w.now + settleTimeout
	var reason string
	for w.now < end {
		if !w.runUntil(w.now + settleCheckInterval) {
			return
		}
		if reason = w.unsettledReason(); reason == "" {
			w.checkReplicas()
			w.runUntil(w.now + w.service.makeFinalCalls())
			return
		}
	}
	w.reportViolation("settled", "%s, %v after the last fault", reason, settleTimeout)
}

func (w *simCluster) outcome() modelcheck.Outcome {
	w.coverage["simulated seconds"] = int(w.now / time.Second)
	return modelcheck.Outcome{Violations: w.violations, Coverage: w.coverage}
}
