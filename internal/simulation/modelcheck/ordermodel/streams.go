package ordermodel

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/simulation/modelcheck"
)

// The percentages of a stream's jobs that their clients submit again or cancel, and the longest delays until then.
const (
	percentSubmittedAgain = 5
	percentCancelled      = 3
	maxResendTime         = 1500 * time.Millisecond
	maxCancelTime         = 6 * time.Second
)

// submitNew creates a job and submits it through a gate.
func (w *simCluster) submitNew(number, shape, through int) *modelJob {
	job := w.profile.makeJob(number, shape, w.queue.now().Milliseconds())
	job.isSubmitted, job.submittedAt = true, w.queue.now()
	w.oracles.jobs[job.id] = job
	w.oracles.order = append(w.oracles.order, job)
	w.submit(job, through, 0)
	return job
}

// stream submits Peer jobs of the shape Value, evenly spread over the step's time; their numbers begin with Node.
func (w *simCluster) stream(step modelcheck.Step) {
	for count := range step.Peer {
		at := clock.Milliseconds(int64(step.ForMs)) * time.Duration(count) / time.Duration(step.Peer)
		w.queue.after(at, func() { w.submitFromStream(step.Node+count, step.Value) })
	}
}

// submitFromStream submits a job of a stream, and sometimes submits it again or cancels it.
func (w *simCluster) submitFromStream(number, shape int) {
	random := w.queue.random
	job := w.submitNew(number, shape, random.IntN(len(w.gates)))
	if w.queue.chance(percentSubmittedAgain) {
		w.queue.after(w.queue.between(time.Millisecond, maxResendTime), func() { w.submit(job, random.IntN(len(w.gates)), clientAttempts) })
	}
	if w.queue.chance(percentCancelled) {
		w.queue.after(w.queue.between(time.Millisecond, maxCancelTime), func() { w.cancel(job, random.IntN(len(w.gates)), 0) })
	}
}

// cancelSome cancels Value percent of the jobs that are not over, within the step's time.
func (w *simCluster) cancelSome(step modelcheck.Step) {
	for _, job := range w.oracles.order {
		if !job.isOver() && !job.isCancelSent && w.queue.chance(step.Value) {
			wait := w.queue.between(0, clock.Milliseconds(int64(step.ForMs)))
			w.queue.after(wait, func() { w.cancel(job, w.queue.random.IntN(len(w.gates)), 0) })
		}
	}
}
