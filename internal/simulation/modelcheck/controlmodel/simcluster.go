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
	settleLimit   = 12 * time.Second
	maxConcurrent = 20000
	settleCheck   = 200 * time.Millisecond
	wallAtStart   = 1_000_000
)

// simCluster is a whole simulated system: machines, network, operators, and what the oracles know.
type simCluster struct {
	timeline
	schedule modelcheck.Schedule
	draw     *rand.Rand
	nodes    []*simNode
	// slots are the places of machines: a replaced machine's successor takes its slot.
	slots    []*simNode
	triggers []powerTrigger
	disks    int
	voters   []string
	links    map[pair]cut
	trouble  networkTrouble
	// otherFaultAt is when the last fault other than a split began; faultyUntil is when all faults so far will have been over for some time.
	otherFaultAt, faultyUntil time.Duration
	fault                     injectedFault
	// service is what lives on the key; record and traffic are those of the configuration.
	service  service
	record   record
	traffic  traffic
	coverage modelcheck.Coverage
	problems []modelcheck.Violation
	open     int
	// atOnce counts the events of one moment.
	atOnce int
	// isBulk is set where changes write large pairs.
	isBulk bool
	// bulkPairs is how many large pairs there are.
	bulkPairs int
	// trace, if there is one, is told what happens.
	trace io.Writer
}

// newSimCluster sets up the nodes of a schedule; they start one after another.
func newSimCluster(schedule modelcheck.Schedule) *simCluster {
	w := &simCluster{schedule: schedule, draw: rand.New(rand.NewPCG(schedule.Seed, 7)), links: map[pair]cut{},
		coverage: modelcheck.Coverage{}}
	w.fault = faultsOf(schedule.Model)[schedule.InjectedFault]
	w.record = newRecord()
	w.service = serviceOf(schedule.Model, w)
	w.isBulk = slices.ContainsFunc(schedule.Steps, func(step modelcheck.Step) bool { return step.Kind == stepBulk })
	w.bulkPairs = bulkPairs
	if schedule.Size == modelcheck.SizeLarge {
		w.bulkPairs = maxPairs
	}
	for range schedule.Nodes {
		w.slots = append(w.slots, w.addNode())
	}
	for _, node := range w.nodes[:initialVoters] {
		w.voters = append(w.voters, node.disk.name)
	}
	for _, node := range w.nodes {
		w.after(time.Duration(w.draw.IntN(60))*time.Millisecond, node.start)
	}
	return w
}

// tell writes a line of the trace.
func (w *simCluster) tell(format string, values ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%9.3f ms  "+format+"\n", append([]any{float64(w.now) / float64(time.Millisecond)}, values...)...)
	}
}

func (w *simCluster) cover(name string) { w.coverage[name]++ }

// violated notes that an oracle does not hold; the first violation ends the run.
func (w *simCluster) violated(oracle, format string, values ...any) {
	w.problems = append(w.problems, modelcheck.Violation{Oracle: oracle, AtMs: int(w.now.Milliseconds()), Detail: fmt.Sprintf(format, values...)})
}

// play runs a schedule to its end, and then on until the system has settled.
func (w *simCluster) play() modelcheck.Outcome {
	var last time.Duration
	for _, step := range w.schedule.Steps {
		w.after(clock.Milliseconds(int64(step.AtMs)), func() { w.apply(step) })
		last = max(last, endOf(step))
	}
	if !w.runUntil(last + time.Millisecond) {
		return w.outcome()
	}
	w.healAll()
	w.settle()
	if len(w.problems) == 0 {
		w.service.judge()
	}
	return w.outcome()
}

// endOf is when a step has surely ended.
func endOf(step modelcheck.Step) time.Duration {
	end := clock.Milliseconds(int64(step.AtMs + step.ForMs))
	switch step.Kind {
	case stepReplace, stepRestart:
		end += leaveLimit + leaveTime
	case stepEndOfDay:
		end += triggerDuration
	}
	return end
}

// runUntil plays events up to a time; it is false when an invariant was violated.
func (w *simCluster) runUntil(end time.Duration) bool {
	for len(w.problems) == 0 {
		before := w.now
		run, isThere := w.next(end)
		if !isThere {
			return true
		}
		w.checkProgress(before)
		run()
		if w.open > 1 {
			w.checkLeases()
		}
	}
	return false
}

// checkProgress looks for work that goes round without end and without time.
func (w *simCluster) checkProgress(before time.Duration) {
	if w.now > before {
		w.atOnce = 0
		return
	}
	w.atOnce++
	if w.atOnce > maxConcurrent {
		w.violated("time goes on", "more than %d events at one moment", maxConcurrent)
	}
}

// settle waits until all that must hold in a calm system holds; what does not within the limit is a violation.
func (w *simCluster) settle() {
	end := w.now + settleLimit
	var open string
	for w.now < end {
		if !w.runUntil(w.now + settleCheck) {
			return
		}
		if open = w.unsettled(); open == "" {
			w.checkReplicas()
			w.runUntil(w.now + w.service.finish())
			return
		}
	}
	w.violated("settled", "%s, %v after the last fault", open, settleLimit)
}

func (w *simCluster) outcome() modelcheck.Outcome {
	w.coverage["simulated seconds"] = int(w.now / time.Second)
	return modelcheck.Outcome{Violations: w.problems, Coverage: w.coverage}
}
