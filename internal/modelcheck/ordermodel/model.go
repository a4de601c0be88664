package ordermodel

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"gannetline/internal/modelcheck"
	"gannetline/internal/pulse"
)

const (
	modelName = "orders"
	// settleTime is how long after the last fault jobs may take until they are over.
	settleTime = 40 * time.Second
	lookEvery  = 300 * time.Millisecond
	// After the last fault, a schedule goes on until the longest hold is over, or until late calls can't come any more.
	holdsOver = 7 * time.Second
	lateOver  = 13 * time.Second
)

type model struct{}

// New gives the model of the order path.
func New() modelcheck.Model { return model{} }

func (model) Name() string { return modelName }

func (model) Plants() []modelcheck.Plant { return slices.Clone(plants) }

func (model) Draw(seed uint64, losses int) modelcheck.Schedule { return draw(seed, losses) }

// Run plays a schedule until all jobs are over and late calls can't come any more, or until the time for that is over.
func (model) Run(schedule modelcheck.Schedule) modelcheck.Outcome {
	return newWorld(schedule).run(schedule)
}

// Trace plays a schedule and writes down what executors and leaders do.
func (model) Trace(schedule modelcheck.Schedule, to io.Writer) modelcheck.Outcome {
	w := newWorld(schedule)
	w.trace = to
	return w.run(schedule)
}

func (w *world) note(format string, values ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%8d ms  "+format+"\n", append([]any{w.queue.now().Milliseconds()}, values...)...)
	}
}

func (w *world) run(schedule modelcheck.Schedule) modelcheck.Outcome {
	lastMs, quiet := 0, holdsOver
	for _, step := range schedule.Steps {
		w.queue.after(pulse.Ms(int64(step.AtMs)), func() { w.play(step) })
		lastMs = max(lastMs, step.AtMs+step.ForMs)
		if step.Kind == kindLateExecutor {
			quiet = lateOver
		}
	}
	end := pulse.Ms(int64(lastMs)) + settleTime
	w.queue.after(pulse.Ms(firstStepMs), func() { w.lookRound(0) })
	quietAt := pulse.Ms(int64(lastMs)) + quiet
	w.queue.runUntil(end, func() bool {
		return len(w.oracles.violations) > 0 || w.queue.now() > quietAt && w.isAllOver()
	})
	if len(w.oracles.violations) == 0 {
		w.checkProgress()
	}
	return modelcheck.Outcome{Violations: w.oracles.violations, Coverage: w.coverage}
}

// lookRound asks for the states of all jobs again and again, one job at a time.
func (w *world) lookRound(number int) {
	ids := slices.Sorted(maps.Keys(w.oracles.jobs))
	next := func() { w.queue.after(lookEvery, func() { w.lookRound(number + 1) }) }
	if len(ids) == 0 {
		next()
		return
	}
	w.look(w.oracles.jobs[ids[number%len(ids)]], number, next)
}

func (w *world) isAllOver() bool {
	for _, one := range w.oracles.jobs {
		if one.isAccepted && !one.isOver() && !w.oracles.isAtWork(one) {
			return false
		}
		if one.isCancelled && !one.isOver() {
			return false
		}
	}
	return true
}

// checkProgress looks for accepted jobs that came to nothing though all faults are long over.
func (w *world) checkProgress() {
	for _, id := range slices.Sorted(maps.Keys(w.oracles.jobs)) {
		one := w.oracles.jobs[id]
		if one.isAccepted && !one.isOver() && !w.oracles.isAtWork(one) {
			w.violate("LOST", "%s was accepted and is %q long after the last fault", one.id, one.state)
		}
	}
}

var _ modelcheck.Tracer = model{}
