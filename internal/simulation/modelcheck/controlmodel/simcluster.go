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
	// settleLimit is how long after the last fault the system may take until all oracles of a settled system hold.
	settleTimeout       = 12 * time.Second
	maxEventsAtOnce     = 20000
	settleCheckInterval = 200 * time.Millisecond
	wallAtStartMs       = 1_000_000
)

// simCluster is a whole simulated system: machines, network, operators, and what the oracles know.
type simCluster struct {
	timeline
	schedule modelcheck.Schedule
	random   *rand.Rand
	nodes    []*simNode
	// slots are the places of machines: a replaced machine's successor takes its slot.
	slots        []*simNode
	triggers     []powerTrigger
	disks        int
	voters       []string
	links        map[pair]cut
	networkFault networkFault
	// otherFaultAt is when the last fault other than a split began; faultyUntil is when all faults so far will have been over for some time.
	otherFaultAt, faultyUntil time.Duration
	fault                     injectedFault
	// service is what lives on the key; record and traffic are those of the configuration.
	service     service
	oracleState oracleState
	operators   operatorState
	coverage    modelcheck.Coverage
	violations  []modelcheck.Violation
	openLeaders int
	// atOnce counts the events of one moment.
	eventsAtOnce int
	// isBulk is set where changes write large pairs.
	isBulk bool
	// bulkPairs is how many large pairs there are.
	bulkPairs int
	// trace, if there is one, is told what happens.
	trace io.Writer
}

// newSimCluster sets up the nodes of a schedule; they start one after another.
func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	w := &simCluster{schedule: schedule, random: rand.New(rand.NewPCG(schedule.Seed, 7)), links: map[pair]cut{},
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
		w.voters = append(w.voters, node.disk.name)
	}
	for _, node := range w.nodes {
		w.after(time.Duration(w.random.IntN(60))*time.Millisecond, node.start)
	}
	return w
}

// tell writes a line of the trace.
func (w *simCluster) tracef(format string, values ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%9.3f ms  "+format+"\n", append([]any{float64(w.now) / float64(time.Millisecond)}, values...)...)
	}
}

func (w *simCluster) countCoverage(name string) { w.coverage[name]++ }

// violated notes that an oracle does not hold; the first violation ends the run.
func (w *simCluster) reportViolation(oracle, format string, values ...any) {
	w.violations = append(w.violations, modelcheck.Violation{Oracle: oracle, AtMs: int(w.now.Milliseconds()), Detail: fmt.Sprintf(format, values...)})
}

// play runs a schedule to its end, and then on until the system has settled.
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

// endOf is when a step has surely ended.
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

// runUntil plays events up to a time; it is false when an invariant was violated.
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

// checkProgress looks for work that goes round without end and without time.
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

// settle waits until all that must hold in a calm system holds; what does not within the limit is a violation.
func (w *simCluster) settle() {
	end := w.now + settleTimeout
	var open string
	for w.now < end {
		if !w.runUntil(w.now + settleCheckInterval) {
			return
		}
		if open = w.unsettledReason(); open == "" {
			w.checkReplicas()
			w.runUntil(w.now + w.service.makeFinalCalls())
			return
		}
	}
	w.reportViolation("settled", "%s, %v after the last fault", open, settleTimeout)
}

func (w *simCluster) outcome() modelcheck.Outcome {
	w.coverage["simulated seconds"] = int(w.now / time.Second)
	return modelcheck.Outcome{Violations: w.violations, Coverage: w.coverage}
}
